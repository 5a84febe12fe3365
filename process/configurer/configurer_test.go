package configurer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/directoryencoder"
	"mulberrybeam/process/configurer"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/gossiper"
)

// inForceLimit is the required time until a revision is in force everywhere.
const inForceLimit = 10 * time.Second

const environmentName = "production"

func document(revision int) []byte { return fmt.Appendf(nil, "%s %d", environmentName, revision) }

func parse(data []byte) (*mulberrybeam.Environment, error) {
	environment := &mulberrybeam.Environment{}
	if _, err := fmt.Sscanf(string(data), "%s %d", &environment.Name, &environment.Revision); err != nil {
		return nil, fmt.Errorf("document is invalid: %w", err)
	}
	return environment, nil
}

// checkedFleet is a fleet that records each process whose revision decreases,
// and the timeline entries about configurations.
type checkedFleet struct {
	*controllertest.Fleet
	lastRevision map[mulberrybeam.ProcessID]mulberrybeam.Revision
	reverts      []string
	entries      []string
}

func newCheckedFleet(seed uint64, options ...configurer.Option) *checkedFleet {
	s := &checkedFleet{lastRevision: map[mulberrybeam.ProcessID]mulberrybeam.Revision{}}
	s.Fleet = controllertest.New(
		controllertest.WithSeed(seed),
		controllertest.WithHook(s.recordReverts),
		controllertest.WithNoteFunc(func(_ *controllertest.Process, entry mulberrybeam.Entry) {
			if entry.Kind == mulberrybeam.EntryConfiguration {
				s.entries = append(s.entries, entry.Text)
			}
		}),
		controllertest.WithMachineFactory(func(start controllertest.StartInfo) []mulberrybeam.StateMachine {
			self := gossiper.LocalMember{ID: start.ID, Zone: start.Zone, Address: start.Address}
			return []mulberrybeam.StateMachine{
				gossiper.New(self, gossiper.WithDirectory(directoryencoder.Encode, directoryencoder.Decode)),
				configurer.New(self, environmentName, parse, options...),
			}
		}))
	s.putDocument(document(1))
	s.Start(controllertest.Hosts(3, 3)...)
	return s
}

func (s *checkedFleet) putDocument(data []byte) {
	s.Platform.Put(mulberrybeam.ObjectEnvironment, environmentName, data)
}

func (s *checkedFleet) recordReverts(process *controllertest.Process, _ mulberrybeam.Event) {
	revision := revisionOf(process)
	if revision < s.lastRevision[process.ID] {
		s.reverts = append(s.reverts, fmt.Sprintf("%s went from revision %d back to %d", process.ID, s.lastRevision[process.ID], revision))
	}
	s.lastRevision[process.ID] = revision
}

func revisionOf(process *controllertest.Process) mulberrybeam.Revision {
	if process.Snapshot.Tables == nil {
		return 0
	}
	return process.Snapshot.Tables.Environment.Revision
}

// inForceEverywhere reports whether all processes that are running and not
// paused have the revision and are ready.
func (s *checkedFleet) inForceEverywhere(revision mulberrybeam.Revision) bool {
	return !slices.ContainsFunc(s.Processes(), func(process *controllertest.Process) bool {
		return process.Running() && !process.Paused() && (revisionOf(process) != revision || !process.Snapshot.Ready)
	})
}

func (s *checkedFleet) setPlatformDownLater(down bool) {
	s.After(500*time.Millisecond, func() { s.Platform.SetDown(down) })
}

// cutOneWay drops messages from one zone to another, but not in the other
// direction.
func cutOneWay(s *checkedFleet, from, to mulberrybeam.ZoneName) {
	for _, a := range s.Processes() {
		for _, b := range s.Processes() {
			if a.Zone == from && b.Zone == to {
				s.Network.Cut(a.Name, b.Name)
			}
		}
	}
}

// isolate cuts a zone off from the other zones.
func isolate(s *checkedFleet, zone mulberrybeam.ZoneName) {
	for _, other := range []mulberrybeam.ZoneName{"z1", "z2", "z3"} {
		if other != zone {
			s.Network.CutZones(zone, other)
		}
	}
}

type faultCase struct {
	name   string
	faults []controllertest.Fault
	// inject runs before revision 2 is written. heal runs after that
	// revision is in force at all processes that are not paused.
	inject func(*checkedFleet)
	heal   func(*checkedFleet)
}

var faultCases = []faultCase{
	{"platform goes down after the write", []controllertest.Fault{controllertest.FaultPlatformDown}, func(s *checkedFleet) { s.setPlatformDownLater(true) }, nil},
	{"platform slow", []controllertest.Fault{controllertest.FaultPlatformSlow}, func(s *checkedFleet) { s.Platform.ExtraDelay = 3 * time.Second }, nil},
	{"answers lost", []controllertest.Fault{controllertest.FaultAnswerLost}, func(s *checkedFleet) { s.Platform.AnswerLossRate = 1; s.Restart("z1h1"); s.Restart("z2h2") }, nil},
	{"zone cut from platform", []controllertest.Fault{controllertest.FaultPlatformCut}, func(s *checkedFleet) { s.Platform.SetZoneCut("z3", true) }, nil},
	{"zone cut from zones", []controllertest.Fault{controllertest.FaultLinkCut}, func(s *checkedFleet) { isolate(s, "z3") }, nil},
	{"one-way cut", []controllertest.Fault{controllertest.FaultLinkCut, controllertest.FaultPlatformCut}, func(s *checkedFleet) {
		cutOneWay(s, "z1", "z3")
		s.Platform.SetZoneCut("z3", true)
	}, nil},
	{"process paused", []controllertest.Fault{controllertest.FaultPaused}, func(s *checkedFleet) { s.Pause("z2h1") }, func(s *checkedFleet) { s.Resume("z2h1") }},
	{"restart while the platform is down", []controllertest.Fault{controllertest.FaultPlatformDown}, func(s *checkedFleet) { s.setPlatformDownLater(true) }, func(s *checkedFleet) {
		s.Restart("z1h1")
		s.Restart("z3h2")
	}},
	{"message loss and zone cut from platform", []controllertest.Fault{controllertest.FaultLoss, controllertest.FaultPlatformCut}, func(s *checkedFleet) {
		s.Network.LossRate = 0.1
		s.Platform.SetZoneCut("z1", true)
	}, nil},
	{"process paused and platform slow", []controllertest.Fault{controllertest.FaultPaused, controllertest.FaultPlatformSlow}, func(s *checkedFleet) {
		s.Pause("z3h3")
		s.Platform.ExtraDelay = 2 * time.Second
	}, func(s *checkedFleet) { s.Resume("z3h3") }},
	{"relays of a zone killed and zone cut from platform", []controllertest.Fault{controllertest.FaultProcessDown, controllertest.FaultPlatformCut}, func(s *checkedFleet) {
		for _, id := range gossiper.RelaysOf("z2", s.Process("z2h1").Snapshot.Members) {
			s.Kill(string(id)[:len("z2h1")])
		}
		s.Platform.SetZoneCut("z2", true)
	}, nil},
}

// Despite one or two faults, a new revision must reach every process that can
// contact one that has it, and no process may go back to a lower revision.
func TestRevisionReachesAll(t *testing.T) {
	for _, test := range faultCases {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newCheckedFleet(seed)
				is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(1) }))
				s.Run(20 * time.Second)
				test.inject(s)
				s.Run(100 * time.Millisecond)
				s.putDocument(document(2))
				is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(2) }))
				s.Run(5 * time.Second)
				if test.heal != nil {
					test.heal(s)
					is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(2) }))
				}
				s.Run(time.Minute)
				is.True(s.inForceEverywhere(2))
				for _, fault := range test.faults {
					is.True(s.FaultCount(fault) > 0)
				}
				is.Equal(s.reverts, nil)
			})
		}
	}
}

// Injects random combinations of faults while revisions are written. No process
// may go back to a lower revision, and after the faults end all must have the
// last revision within the required time.
func TestRandomFaults(t *testing.T) {
	var mutex sync.Mutex
	hits := map[controllertest.Fault]int{}
	t.Cleanup(func() {
		for _, fault := range allFaults {
			is.New(t).True(hits[fault] > 0)
		}
	})
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			s := newCheckedFleet(seed)
			s.Run(20 * time.Second)
			revision := 1
			for range 30 {
				randomFault(s, random)
				if random.IntN(3) == 0 {
					revision++
					s.putDocument(document(revision))
				}
				s.Run(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			mutex.Lock()
			for _, fault := range allFaults {
				hits[fault] += s.FaultCount(fault)
			}
			mutex.Unlock()
			healAll(s)
			is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(mulberrybeam.Revision(revision)) }))
			is.Equal(s.reverts, nil)
		})
	}
}

var allFaults = []controllertest.Fault{
	controllertest.FaultLoss, controllertest.FaultLinkCut, controllertest.FaultProcessDown, controllertest.FaultPaused,
	controllertest.FaultPlatformDown, controllertest.FaultPlatformSlow, controllertest.FaultPlatformCut, controllertest.FaultAnswerLost,
}

func randomFault(s *checkedFleet, random *rand.Rand) {
	zones := []mulberrybeam.ZoneName{"z1", "z2", "z3"}
	zone, other := zones[random.IntN(3)], zones[random.IntN(3)]
	host := s.Processes()[random.IntN(9)].Name
	switch random.IntN(11) {
	case 0:
		s.Network.LossRate = random.Float64() / 3
	case 1:
		s.Network.CutZones(zone, other)
	case 2:
		cutOneWay(s, zone, other)
	case 3:
		s.Platform.SetDown(true)
	case 4:
		s.Platform.SetDown(false)
		s.Platform.ExtraDelay = time.Duration(random.IntN(5)) * time.Second
	case 5:
		s.Platform.SetZoneCut(zone, random.IntN(2) == 0)
	case 6:
		s.Platform.AnswerLossRate = random.Float64()
	case 7:
		s.Pause(host)
	case 8:
		s.Resume(host)
	case 9:
		s.Restart(host)
	case 10:
		s.Kill(host)
	}
}

func healAll(s *checkedFleet) {
	s.Network.RemoveCuts()
	s.Network.LossRate, s.Platform.ExtraDelay, s.Platform.AnswerLossRate = 0, 0, 0
	s.Platform.SetDown(false)
	for _, process := range s.Processes() {
		s.Platform.SetZoneCut(process.Zone, false)
		s.Resume(process.Name)
		if !process.Running() {
			s.Restart(process.Name)
		}
	}
}

// Only the two relays of each zone may watch the object API, to limit its load.
func TestOnlyRelaysWatch(t *testing.T) {
	is := is.New(t)
	s := newCheckedFleet(6)
	s.Run(10 * time.Minute)
	watches := 0
	for _, process := range s.Processes() {
		watches += process.Traffic.ObjectCalls[mulberrybeam.OpWatch]
	}
	is.Equal(watches, 3*2)
}

// A revision written during a platform outage, which no process can have seen,
// must be picked up when the outage ends.
func TestWriteDuringOutage(t *testing.T) {
	is := is.New(t)
	s := newCheckedFleet(7)
	s.Run(20 * time.Second)
	s.Platform.SetDown(true)
	s.Run(time.Hour)
	is.True(s.FaultCount(controllertest.FaultPlatformDown) > 0)
	s.putDocument(document(2))
	s.Run(time.Minute)
	is.True(s.inForceEverywhere(1))
	s.Platform.SetDown(false)
	is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(2) }))
	is.Equal(s.reverts, nil)
}

// A process must not report ready without a configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	s := newCheckedFleet(8)
	s.Platform.SetDown(true)
	s.Run(30 * time.Second)
	is.True(s.FaultCount(controllertest.FaultPlatformDown) > 0)
	for _, process := range s.Processes() {
		is.True(!process.Snapshot.Ready)
	}
	s.Platform.SetDown(false)
	is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(1) }))
}

// An invalid document must not replace the revision in force, nor prevent a
// later valid document from being applied.
func TestInvalidDocument(t *testing.T) {
	is := is.New(t)
	s := newCheckedFleet(9)
	s.Run(20 * time.Second)
	s.entries = nil
	s.putDocument([]byte("not a document"))
	s.Run(3 * time.Minute)
	is.True(s.inForceEverywhere(1))
	// Each process reports the rejection at most once, not at every poll.
	is.True(len(s.entries) > 0 && len(s.entries) <= len(s.Processes()))
	s.putDocument(document(2))
	is.True(s.RunUntil(inForceLimit, func() bool { return s.inForceEverywhere(2) }))
}

// An old document written over a newer one must not be applied. The test also
// shows that the check for reverts works: it must report processes whose rule
// accepts the old document.
func TestCheckDetectsRevert(t *testing.T) {
	replay := func(options ...configurer.Option) []string {
		s := newCheckedFleet(10, options...)
		s.Run(20 * time.Second)
		s.putDocument(document(2))
		s.Run(inForceLimit)
		s.putDocument(document(1))
		s.Run(2 * time.Minute)
		return s.reverts
	}
	is := is.New(t)
	is.Equal(replay(), nil)
	broken := func(inForce, offered mulberrybeam.Revision) bool { return offered != inForce }
	is.True(len(replay(configurer.WithRule(broken))) > 0)
}
