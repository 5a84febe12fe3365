package gossiper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/directoryencoder"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/gossiper"
)

// spread is the time that gossip may take within a zone of three: three rounds.
const spread = 3 * gossiper.ExchangeInterval

// probe records the facts and member states that a process hears of.
type probe struct {
	facts  map[string]mulberrybeam.Fact
	states []string
}

func (p *probe) Step(_ mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.FactChanged:
		p.facts[event.Fact.Key] = event.Fact
	case mulberrybeam.MembersChanged:
		for _, member := range event.Members {
			if member.State != mulberrybeam.MemberAlive {
				p.states = append(p.states, fmt.Sprintf("%s %s", member.ID, member.State))
			}
		}
	}
	return nil
}

func (p *probe) Fill(*mulberrybeam.Snapshot) {}

func newFleet(seed uint64, options ...gossiper.Option) (*controllertest.Fleet, map[string]*probe) {
	probes := map[string]*probe{}
	options = append(options, gossiper.WithDirectory(directoryencoder.Encode, directoryencoder.Decode))
	fleet := controllertest.New(controllertest.WithSeed(seed), controllertest.WithBuild(
		func(start controllertest.Start) []mulberrybeam.Machine {
			probes[start.Name] = &probe{facts: map[string]mulberrybeam.Fact{}}
			self := gossiper.Self{ID: start.ID, Zone: start.Zone, Address: start.Address}
			return []mulberrybeam.Machine{gossiper.New(self, options...), probes[start.Name]}
		}))
	return fleet, probes
}

func stateOf(process *controllertest.Process, id mulberrybeam.ProcessID) mulberrybeam.MemberState {
	for _, member := range process.Snapshot.Members {
		if member.ID == id {
			return member.State
		}
	}
	return ""
}

// together says whether every process sees its whole zone alive and relays of
// all other zones.
func together(fleet *controllertest.Fleet) bool {
	for _, process := range fleet.Processes() {
		zones := map[mulberrybeam.ZoneName]bool{process.Zone: true}
		for _, relay := range process.Snapshot.Relays {
			zones[relay.Zone] = true
		}
		for _, other := range fleet.Processes() {
			if !zones[other.Zone] || other.Zone == process.Zone && stateOf(process, other.ID) != mulberrybeam.MemberAlive {
				return false
			}
		}
	}
	return true
}

func drain(key string) mulberrybeam.FactChanged {
	return mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
		Kind: mulberrybeam.FactDrain, Key: key, TTL: time.Hour,
		Drain: &mulberrybeam.DrainFact{Target: mulberrybeam.TargetID(key), Drained: true},
	}}
}

func reached(fleet *controllertest.Fleet, probes map[string]*probe, key string) bool {
	for _, process := range fleet.Processes() {
		if _, heard := probes[process.Name].facts[key]; process.Running() && !heard {
			return false
		}
	}
	return true
}

// Guards against a process that stays out of the directory or alone when all
// start at once, and when answers of the object API are lost.
func TestJoin(t *testing.T) {
	for _, lose := range []float64{0, 0.5} {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("answers lost %v/%d", lose, seed), func(t *testing.T) {
				is := is.New(t)
				fleet, _ := newFleet(seed)
				fleet.Platform.LoseAnswers = lose
				fleet.Start(controllertest.Hosts(3, 3)...)
				fleet.Run(time.Minute)
				is.Equal(fleet.Hits(controllertest.FaultAnswerLost) > 0, lose > 0)
				is.True(together(fleet))
				for _, zone := range []string{"z1", "z2", "z3"} {
					object, _ := fleet.Platform.Get(mulberrybeam.ObjectDirectory, zone)
					members, err := directoryencoder.Decode(object.Data)
					is.NoErr(err)
					is.Equal(len(members), 3)
				}
			})
		}
	}
}

// Guards against a death that is noticed late, in the zone or by the object
// API, and against a process that is taken for dead.
func TestDeath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(11)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	killed := fleet.Process("z1h2").ID
	fleet.Kill("z1h2")
	sees := func(state mulberrybeam.MemberState) func() bool {
		return func() bool {
			return stateOf(fleet.Process("z1h1"), killed) == state && stateOf(fleet.Process("z1h3"), killed) == state
		}
	}
	is.True(fleet.RunUntil(gossiper.SuspectAfter+spread, sees(mulberrybeam.MemberSuspect)))
	is.True(fleet.RunUntil(gossiper.DeadAfter-gossiper.SuspectAfter+spread, sees(mulberrybeam.MemberDead)))
	is.True(fleet.Hits(controllertest.FaultDead) > 0)
	is.Equal(stateOf(fleet.Process("z1h1"), fleet.Process("z1h3").ID), mulberrybeam.MemberAlive)

	fleet.Post("z1h1", mulberrybeam.RightChanged{Right: mulberrybeam.SlotRight{
		Slot: mulberrybeam.Slot{Zone: "z1"}, Until: 24 * time.Hour,
	}})
	fleet.Run(30 * time.Minute)
	object, _ := fleet.Platform.Get(mulberrybeam.ObjectDirectory, "z1")
	members, err := directoryencoder.Decode(object.Data)
	is.NoErr(err)
	is.Equal(len(members), 2)
}

// Guards against members that are suspected because of lost messages, clock
// drift or a pause of the process that judges them.
func TestNoFlapping(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(12)
	fleet.SetDrift("z1h1", 0.05, time.Hour)
	fleet.SetDrift("z1h2", -0.05, -time.Hour)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Network.Loss = 0.1
	fleet.Run(30 * time.Minute)
	is.True(fleet.Hits(controllertest.FaultLoss) > 0)
	is.True(together(fleet))
	for _, probe := range probes {
		is.Equal(probe.states, nil)
	}
	fleet.Pause("z2h1")
	fleet.Run(time.Minute)
	fleet.Resume("z2h1")
	fleet.Run(spread)
	is.True(fleet.Hits(controllertest.FaultPaused) > 0)
	is.True(together(fleet))
	is.Equal(probes["z2h1"].states, nil)
}

// Guards against gossip that is too slow for the largest zone: under loss no
// live member may be suspected there, and a death must be seen by all.
func TestLargeZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(20)
	fleet.Start(controllertest.Hosts(1, 54)...)
	fleet.Run(time.Minute)
	fleet.Network.Loss = 0.1
	fleet.Run(2 * time.Minute)
	is.True(fleet.Hits(controllertest.FaultLoss) > 0)
	is.True(together(fleet))
	for _, probe := range probes {
		is.Equal(probe.states, nil)
	}
	killed := fleet.Process("z1h30").ID
	fleet.Kill("z1h30")
	is.True(fleet.RunUntil(gossiper.DeadAfter+gossiper.SuspectAfter, func() bool {
		for _, process := range fleet.Processes() {
			if process.Running() && stateOf(process, killed) != mulberrybeam.MemberDead {
				return false
			}
		}
		return true
	}))
	is.True(fleet.Hits(controllertest.FaultDead) > 0)
}

// Guards against parts of a zone that stay apart after a partition in which
// each took the other for dead, and against zones that stay apart.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(13)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	for _, other := range []string{"z1h2", "z1h3"} {
		fleet.Network.Cut("z1h1", other)
		fleet.Network.Cut(other, "z1h1")
	}
	fleet.Network.CutZones("z1", "z2")
	fleet.Network.CutZones("z1", "z3")
	fleet.Platform.SetDown(true)
	fleet.Run(time.Hour)
	is.True(fleet.Hits(controllertest.FaultCut) > 0)
	is.Equal(stateOf(fleet.Process("z1h1"), fleet.Process("z1h2").ID), mulberrybeam.MemberDead)
	fleet.Network.Heal()
	fleet.Run(30 * time.Second)
	is.True(together(fleet))
}

// Guards against a process that leaves and is waited for until its suspicion,
// and against a restarted process that its predecessor's record hides.
func TestLeavingAndReincarnation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(14)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	old := fleet.Process("z1h2").ID
	fleet.Post("z1h2", mulberrybeam.ShutdownAsked{})
	fleet.Run(spread)
	is.Equal(stateOf(fleet.Process("z1h1"), old), mulberrybeam.MemberLeaving)
	fleet.Post("z1h2", mulberrybeam.ShutdownAsked{})
	fleet.Run(time.Second)
	fleet.Kill("z1h2")
	fleet.Run(spread)
	is.Equal(stateOf(fleet.Process("z1h1"), old), mulberrybeam.MemberLeft)
	fleet.Platform.SetDown(true)
	fleet.Restart("z1h2")
	fleet.Run(10 * time.Second)
	is.True(together(fleet))

	old = fleet.Process("z2h3").ID
	fleet.Restart("z2h3")
	fleet.Run(gossiper.SuspectAfter + spread)
	is.True(together(fleet))
	is.Equal(stateOf(fleet.Process("z2h1"), old), mulberrybeam.MemberDead)
}

// Guards against a fact that is lost for good by lost messages, and against
// urgent facts that wait for the rounds of gossip: a zone or an engine taken
// out must be known within 5 s.
func TestFactsSpread(t *testing.T) {
	const known = 5 * time.Second
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			is := is.New(t)
			fleet, probes := newFleet(15)
			fleet.Start(controllertest.Hosts(3, 3)...)
			fleet.Run(time.Minute)
			fleet.Network.Loss = loss
			for i := range 20 {
				key := fmt.Sprintf("t%d", i)
				fleet.Post("z1h2", drain(key))
				is.True(fleet.RunUntil(known, func() bool { return reached(fleet, probes, key) }))
			}
			is.Equal(fleet.Hits(controllertest.FaultLoss) > 0, loss > 0)
		})
	}
}

// Guards against facts that processes which were away never get: full
// comparisons must repair them after the transmit budget is used up.
func TestFullComparison(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(16)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	fleet.Kill("z1h3")
	for i := range 200 {
		fleet.Post("z1h2", drain(fmt.Sprintf("t%03d", i)))
	}
	fleet.Run(2 * time.Minute)
	fleet.Restart("z1h3")
	fleet.Run(2 * time.Minute)
	for i := range 200 {
		is.True(reached(fleet, probes, fmt.Sprintf("t%03d", i)))
	}
}

// Guards against facts that outlive their time to live because processes pass
// them to each other again and again, and against a lower stamp that wins.
func TestTimeToLiveAndStamps(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(17)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	crash := mulberrybeam.Fact{
		Kind: mulberrybeam.FactCrash, Key: "f/t/1", TTL: 30 * time.Second,
		Crash: &mulberrybeam.CrashFact{Fingerprint: mulberrybeam.Fingerprint{1}, Count: 1, Target: "t"},
	}
	second := crash
	second.Key = "f/t/2"
	fleet.Post("z1h1", mulberrybeam.FactChanged{Local: true, Fact: crash})
	fleet.Post("z2h1", mulberrybeam.FactChanged{Local: true, Fact: second})
	fleet.Run(5 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(process.Snapshot.Crashes[mulberrybeam.Fingerprint{1}].Count, 2)
	}
	cleared := crash
	cleared.Crash = &mulberrybeam.CrashFact{Fingerprint: mulberrybeam.Fingerprint{1}, Target: "t"}
	fleet.Post("z3h1", mulberrybeam.FactChanged{Local: true, Fact: cleared})
	fleet.Run(5 * time.Second)
	stale := crash
	stale.Stamp = mulberrybeam.Stamp{Wall: 1, Process: "z9h9/1"}
	fleet.Post("z1h1", mulberrybeam.FactChanged{Local: true, Fact: stale})
	fleet.Run(5 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(process.Snapshot.Crashes[mulberrybeam.Fingerprint{1}].Count, 1)
		is.Equal(probes[process.Name].facts["f/t/2"].Crash.Count, 1)
	}
	fleet.Run(30 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(len(process.Snapshot.Crashes), 0)
	}
}

// Guards against load reports that crowd out urgent facts or exceed the cap
// in bytes of an exchange.
func TestExchangeBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(18, gossiper.WithExchangeBytes(300))
	fleet.Start(controllertest.Hosts(1, 3)...)
	fleet.Run(time.Minute)
	for i := range 500 {
		fleet.Post("z1h1", mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
			Kind: mulberrybeam.FactLoad, Key: fmt.Sprintf("e%d", i), TTL: 3 * time.Second,
			Load: &mulberrybeam.LoadReport{Target: "e"},
		}})
	}
	fleet.Post("z1h1", drain("t"))
	before := fleet.Process("z1h1").Traffic
	is.True(fleet.RunUntil(time.Second, func() bool { return reached(fleet, probes, "t") }))
	fleet.Run(4 * time.Second)
	after := fleet.Process("z1h1").Traffic
	// Rows of members add less than 300 bytes to the facts of a message.
	is.True(after.SentBytes-before.SentBytes <= (after.Sent-before.Sent)*(600+controllertest.MessageOverhead))
	is.True(!reached(fleet, probes, "e0"))
}

// Guards against shares that add up to more than a workspace's limit, and
// against a process that gets none.
func TestShares(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(19)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	tables := &mulberrybeam.Tables{Workspaces: map[mulberrybeam.WorkspaceName]mulberrybeam.Workspace{"w": {Name: "w", RequestsPerSecond: 90}}}
	for _, process := range fleet.Processes() {
		fleet.Post(process.Name, mulberrybeam.ConfigurationChanged{Environment: &mulberrybeam.Environment{Revision: 1}, Tables: tables})
	}
	fleet.Run(5 * time.Second)
	for _, process := range fleet.Processes() {
		is.Equal(process.Snapshot.Shares["w"], 1.0/9)
	}
	rates := map[string]float64{"z1h1": 60, "z2h1": 30, "z3h1": 1}
	for range 20 {
		for host, rate := range rates {
			fleet.Post(host, mulberrybeam.UseMeasured{
				Workspaces: map[mulberrybeam.WorkspaceName]float64{"w": rate},
				Links:      map[mulberrybeam.StoreID]float64{"s": rate},
			})
		}
		fleet.Run(time.Second)
	}
	is.Equal(fleet.Process("z1h1").Snapshot.Shares["w"], 60.0/90)
	is.Equal(fleet.Process("z2h1").Snapshot.Shares["w"], 30.0/90)
	// Its demand is below the floor, which it keeps.
	is.Equal(fleet.Process("z3h1").Snapshot.Shares["w"], 1.0/9)
	is.Equal(fleet.Process("z1h1").Snapshot.LinkUse["s"], 31.0)
	fleet.Run(30 * time.Second)
	is.Equal(fleet.Process("z1h1").Snapshot.Shares["w"], 1.0/9)
}
