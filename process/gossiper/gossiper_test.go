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

// spreadLimit is the time limit for gossip to reach all of a zone of three
// processes: three rounds.
const spreadLimit = 3 * gossiper.ExchangeInterval

// probe records the facts and the member states other than alive that a process
// learns.
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

func (p *probe) FillSnapshot(*mulberrybeam.Snapshot) {}

func newFleet(seed uint64, options ...gossiper.Option) (*controllertest.Fleet, map[string]*probe) {
	probes := map[string]*probe{}
	options = append(options, gossiper.WithDirectory(directoryencoder.Encode, directoryencoder.Decode))
	fleet := controllertest.New(controllertest.WithSeed(seed), controllertest.WithMachineFactory(
		func(start controllertest.StartInfo) []mulberrybeam.StateMachine {
			probes[start.Name] = &probe{facts: map[string]mulberrybeam.Fact{}}
			self := gossiper.LocalMember{ID: start.ID, Zone: start.Zone, Address: start.Address}
			return []mulberrybeam.StateMachine{gossiper.New(self, options...), probes[start.Name]}
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

// converged reports whether every process considers its whole zone alive and
// knows a relay of each other zone.
func converged(fleet *controllertest.Fleet) bool {
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

// drainEvent returns the event that publishes a drain fact with the given key.
func drainEvent(key string) mulberrybeam.FactChanged {
	return mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
		Kind: mulberrybeam.FactDrain, Key: key, TTL: time.Hour,
		Drain: &mulberrybeam.DrainFact{Target: mulberrybeam.TargetID(key), Drained: true},
	}}
}

// factReached reports whether all running processes have learned the fact with
// the given key.
func factReached(fleet *controllertest.Fleet, probes map[string]*probe, key string) bool {
	for _, process := range fleet.Processes() {
		if _, heard := probes[process.Name].facts[key]; process.Running() && !heard {
			return false
		}
	}
	return true
}

// All processes must find each other and get into the directory when they start
// at the same time, even if half of the replies of the object API are lost.
func TestJoin(t *testing.T) {
	for _, lose := range []float64{0, 0.5} {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("answers lost %v/%d", lose, seed), func(t *testing.T) {
				is := is.New(t)
				fleet, _ := newFleet(seed)
				fleet.Platform.AnswerLossRate = lose
				fleet.Start(controllertest.Hosts(3, 3)...)
				fleet.Run(time.Minute)
				is.Equal(fleet.FaultCount(controllertest.FaultAnswerLost) > 0, lose > 0)
				is.True(converged(fleet))
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

// The fleet must start even if a directory object is corrupt, or if the object
// API is down and the settings name one seed per zone.
func TestJoinWithoutDirectory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(6)
	fleet.Platform.Put(mulberrybeam.ObjectDirectory, "z1", []byte("garbage"))
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	is.True(converged(fleet))

	var seeds []mulberrybeam.Member
	for _, host := range controllertest.Hosts(3, 1) {
		seeds = append(seeds, mulberrybeam.Member{Zone: host.Zone, Address: host.Address})
	}
	fleet, _ = newFleet(6, gossiper.WithSeeds(seeds...))
	fleet.Platform.SetDown(true)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	is.True(fleet.FaultCount(controllertest.FaultPlatformDown) > 0)
	is.True(converged(fleet))
}

// The members of a zone must detect a killed process in time, without
// considering another one dead, and the holder of slot 0 must remove it from
// the directory.
func TestMemberFailureDetection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(11)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	killed := fleet.Process("z1h2").ID
	fleet.Kill("z1h2")
	hasState := func(state mulberrybeam.MemberState) func() bool {
		return func() bool {
			return stateOf(fleet.Process("z1h1"), killed) == state && stateOf(fleet.Process("z1h3"), killed) == state
		}
	}
	is.True(fleet.RunUntil(gossiper.SuspectAfter+spreadLimit, hasState(mulberrybeam.MemberSuspect)))
	is.True(fleet.RunUntil(gossiper.DeadAfter-gossiper.SuspectAfter+spreadLimit, hasState(mulberrybeam.MemberDead)))
	is.True(fleet.FaultCount(controllertest.FaultProcessDown) > 0)
	is.Equal(stateOf(fleet.Process("z1h1"), fleet.Process("z1h3").ID), mulberrybeam.MemberAlive)

	fleet.Post("z1h1", mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{
		Slot: mulberrybeam.Slot{Zone: "z1"}, Until: 24 * time.Hour,
	}})
	fleet.Run(30 * time.Minute)
	object, _ := fleet.Platform.Get(mulberrybeam.ObjectDirectory, "z1")
	members, err := directoryencoder.Decode(object.Data)
	is.NoErr(err)
	is.Equal(len(members), 2)
}

// Members must not be suspected because of lost messages, clock drift,
// wraparound of the shortened heartbeats, or a pause of the process that tracks
// them.
func TestNoFlapping(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(12, gossiper.WithHeartbeat(1<<16-100))
	fleet.SetDrift("z1h1", 0.05, time.Hour)
	fleet.SetDrift("z1h2", -0.05, -time.Hour)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Network.LossRate = 0.1
	fleet.Run(30 * time.Minute)
	is.True(fleet.FaultCount(controllertest.FaultLoss) > 0)
	is.True(converged(fleet))
	for _, probe := range probes {
		is.Equal(probe.states, nil)
	}
	fleet.Pause("z2h1")
	fleet.Run(time.Minute)
	fleet.Resume("z2h1")
	fleet.Run(spreadLimit)
	is.True(fleet.FaultCount(controllertest.FaultPaused) > 0)
	is.True(converged(fleet))
	is.Equal(probes["z2h1"].states, nil)
}

// Two members must not suspect each other if the link between them is cut, in
// one or both directions, while a third member reaches both.
func TestCutWithinZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(22)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	fleet.Network.LossRate = 0.05
	fleet.Network.Cut("z1h1", "z1h2")
	fleet.Network.Cut("z2h1", "z2h2")
	fleet.Network.Cut("z2h2", "z2h1")
	fleet.Run(10 * time.Minute)
	is.True(fleet.FaultCount(controllertest.FaultLinkCut) > 0)
	is.True(converged(fleet))
	for _, probe := range probes {
		is.Equal(probe.states, nil)
	}
}

// Gossip must be fast enough for the largest zone: no live member may be
// suspected while messages are lost, and all must detect a killed process.
func TestLargeZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, probes := newFleet(20)
	fleet.Start(controllertest.Hosts(1, 54)...)
	fleet.Run(time.Minute)
	fleet.Network.LossRate = 0.1
	fleet.Run(2 * time.Minute)
	is.True(fleet.FaultCount(controllertest.FaultLoss) > 0)
	is.True(converged(fleet))
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
	is.True(fleet.FaultCount(controllertest.FaultProcessDown) > 0)
}

// Short records omit the revision if it equals the sender's. Each member must
// still be shown with its own revision, or hosts that lag would go unnoticed.
func TestMemberRevisions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(21)
	fleet.Start(controllertest.Hosts(1, 5)...)
	fleet.Run(30 * time.Second)
	revisions := map[string]mulberrybeam.Revision{"z1h1": 7, "z1h2": 7, "z1h3": 6, "z1h4": 0, "z1h5": 0}
	for host, revision := range revisions {
		if revision > 0 {
			fleet.Post(host, mulberrybeam.ConfigurationChanged{Environment: &mulberrybeam.Environment{Revision: revision}, Tables: &mulberrybeam.Tables{}})
		}
	}
	fleet.Run(30 * time.Second)
	for _, process := range fleet.Processes() {
		for _, member := range process.Snapshot.Members {
			is.Equal(member.Revision, revisions[string(member.ID)[:len("z1h1")]])
		}
	}
}

// Processes of a zone that considered each other dead during a partition must
// find each other again when it ends, and so must zones.
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
	is.True(fleet.FaultCount(controllertest.FaultLinkCut) > 0)
	is.Equal(stateOf(fleet.Process("z1h1"), fleet.Process("z1h2").ID), mulberrybeam.MemberDead)
	fleet.Network.RemoveCuts()
	fleet.Run(30 * time.Second)
	is.True(converged(fleet))
}

// Members must learn that a process is leaving or has left before it would be
// suspected, and the record of a terminated process must not hide its successor
// on the same host.
func TestLeaveAndRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, _ := newFleet(14)
	fleet.Start(controllertest.Hosts(3, 3)...)
	fleet.Run(time.Minute)
	old := fleet.Process("z1h2").ID
	fleet.Post("z1h2", mulberrybeam.ShutdownRequested{})
	fleet.Run(spreadLimit)
	is.Equal(stateOf(fleet.Process("z1h1"), old), mulberrybeam.MemberLeaving)
	fleet.Post("z1h2", mulberrybeam.ShutdownRequested{})
	fleet.Run(time.Second)
	fleet.Kill("z1h2")
	fleet.Run(spreadLimit)
	is.Equal(stateOf(fleet.Process("z1h1"), old), mulberrybeam.MemberLeft)
	fleet.Platform.SetDown(true)
	fleet.Restart("z1h2")
	fleet.Run(10 * time.Second)
	is.True(converged(fleet))

	old = fleet.Process("z2h3").ID
	fleet.Restart("z2h3")
	fleet.Run(gossiper.SuspectAfter + spreadLimit)
	is.True(converged(fleet))
	is.Equal(stateOf(fleet.Process("z2h1"), old), mulberrybeam.MemberDead)
}
