package permitter_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/observer"
	"mulberrybeam/process/permitter"
	"mulberrybeam/process/permitter/permittertest"
	"mulberrybeam/version/compiler"
)

// bench runs the permitter of one process, with events and time controlled by
// the test. The process's zone "a" has one slot.
type bench struct {
	machine *permitter.Permitter
	now     time.Duration
	rand    *rand.Rand
}

func newBench(targets int) *bench {
	b := &bench{now: time.Minute, rand: rand.New(rand.NewPCG(1, 2))}
	b.machine = permitter.New(mulberrybeam.Member{ID: "p/1", Zone: "a"})
	environment := declared(targets)
	b.step(mulberrybeam.ConfigurationChanged{Environment: environment, Tables: compiler.Compile(environment)})
	return b
}

// declared returns an environment with one zone and a group of engines.
func declared(targets int) *mulberrybeam.Environment {
	group := mulberrybeam.EngineGroup{Zone: "a", ColdLimit: 2, WarmLimit: 32}
	for i := range targets {
		group.Targets = append(group.Targets, mulberrybeam.TargetAddress{ID: mulberrybeam.TargetID(fmt.Sprint("t", i))})
	}
	return &mulberrybeam.Environment{
		Regions:      []mulberrybeam.Region{{Zones: []mulberrybeam.Zone{{Name: "a", Slots: 1}}}},
		EngineGroups: []mulberrybeam.EngineGroup{group},
		Limits:       mulberrybeam.Limits{RequestTimeout: time.Minute, FirstTokenTarget: time.Second},
	}
}

func (b *bench) step(event mulberrybeam.Event) []mulberrybeam.Action {
	return b.machine.Step(mulberrybeam.Turn{Now: b.now, Rand: b.rand}, event)
}

// hold gives the process the right to the slot.
func (b *bench) hold(epoch mulberrybeam.Epoch) {
	b.step(mulberrybeam.RightChanged{Right: mulberrybeam.SlotRight{
		Slot: mulberrybeam.Slot{Zone: "a"}, Epoch: epoch, Since: b.now, Until: b.now + time.Hour, Fresh: true,
	}})
}

// report delivers a load report measured now.
func (b *bench) report(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, running int) {
	b.step(observer.Measured{Since: b.now, TargetObserved: mulberrybeam.TargetObserved{
		Target: target, Report: mulberrybeam.LoadReport{Target: target, Instance: instance, Running: running},
	}})
}

// ask sends an AskPermit and returns the reply.
func (b *bench) ask(ask mulberrybeam.AskPermit) mulberrybeam.AskPermitReply {
	actions := b.step(mulberrybeam.MessageReceived{Message: ask})
	return actions[len(actions)-1].(mulberrybeam.Reply).Message.(mulberrybeam.AskPermitReply)
}

// release releases a permit for t0.
func (b *bench) release(reply mulberrybeam.AskPermitReply, release mulberrybeam.ReleasePermit) {
	release.Target, release.Permit, release.Epoch = "t0", reply.Permit, reply.Epoch
	b.step(mulberrybeam.MessageReceived{Message: release})
}

// phase returns the phase of t0 in the snapshot.
func (b *bench) phase() mulberrybeam.Phase {
	snapshot := mulberrybeam.Snapshot{At: b.now}
	b.machine.Fill(&snapshot)
	return snapshot.Targets["t0"].Phase
}

var askT0 = mulberrybeam.AskPermit{Target: "t0", Instance: "i1", RunLimit: 10 * time.Second}

// proven returns a bench that owns t0 and knows the number of requests that run
// at its instance i1.
func proven(running int) *bench {
	b := newBench(1)
	b.report("t0", "i1", running)
	b.hold(1)
	b.now += time.Second
	b.report("t0", "i1", running)
	return b
}

// Guards against a new holder that grants permits without counting the requests
// in flight that an earlier holder granted.
func TestFreshHolderTakesOverRequestsInFlight(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.hold(4)
	b.report("t0", "i1", 0)
	is.Equal(b.ask(askT0).Reason, permitter.ReasonUnproved) // the report was measured too early
	b.now += time.Second
	b.report("t0", "i1", 1)
	is.True(b.ask(askT0).Granted)
	is.Equal(b.ask(askT0).Reason, permitter.ReasonColdLimit)
	b.report("t0", "i1", 0)
	is.True(b.ask(askT0).Granted)
}

// Guards against two processes that issue permits for the same target while a
// revision that moves the target to another slot is being rolled out.
func TestTargetOfAnotherSlotWaitsForTheRevision(t *testing.T) {
	is := is.New(t)
	b := proven(0)
	is.True(b.ask(askT0).Granted)
	environment := declared(1)
	tables := compiler.Compile(environment)
	moved := mulberrybeam.Slot{Zone: "a", Number: 1}
	tables.SlotOf["t0"] = moved
	b.step(mulberrybeam.ConfigurationChanged{Environment: environment, Tables: tables})
	b.step(mulberrybeam.RightChanged{Right: mulberrybeam.SlotRight{Slot: moved, Epoch: 1, Since: b.now, Until: b.now + time.Hour}})
	for range 14 {
		b.now += time.Second
		b.report("t0", "i1", 0)
		is.Equal(b.ask(askT0).Reason, permitter.ReasonUnproved)
	}
	b.now += 2 * time.Second
	b.report("t0", "i1", 0)
	is.True(b.ask(askT0).Granted)
}

// Guards against a warm-up that is too fast or is not reset by a failure.
func TestRampUp(t *testing.T) {
	is := is.New(t)
	b := proven(0)
	run := func(at time.Duration, release mulberrybeam.ReleasePermit) int {
		var granted []mulberrybeam.AskPermitReply
		for reply := b.ask(askT0); reply.Granted; reply = b.ask(askT0) {
			granted = append(granted, reply)
		}
		b.now += at
		for _, reply := range granted {
			b.release(reply, release)
		}
		return len(granted)
	}
	done := mulberrybeam.ReleasePermit{Completed: true, FirstToken: 500 * time.Millisecond}
	slow := mulberrybeam.ReleasePermit{Completed: true, FirstToken: 2 * time.Second}
	for _, step := range []struct {
		release mulberrybeam.ReleasePermit
		granted int
	}{{done, 2}, {slow, 2}, {done, 2}, {mulberrybeam.ReleasePermit{}, 2}} {
		is.Equal(run(100*time.Millisecond, step.release), step.granted)
	}
	for range 10 { // more than 16 completions, but less than 2 s
		is.Equal(run(100*time.Millisecond, done), 2)
	}
	b.now += 2 * time.Second
	b.report("t0", "i1", 0)
	is.Equal(b.phase(), mulberrybeam.PhaseWarm)
	is.True(b.ask(askT0).Warm)
	restarted := askT0
	restarted.Instance = "i2"
	is.True(!b.ask(restarted).Warm) // the caller has seen a restart
	is.Equal(b.phase(), mulberrybeam.PhaseCold)
}

// Guards against a permit that is reclaimed while its request may still run.
func TestLostReleaseIsFreedByALaterReport(t *testing.T) {
	is := is.New(t)
	b := proven(0)
	is.True(b.ask(askT0).Granted)
	is.True(b.ask(askT0).Granted)
	b.report("t0", "i1", 0)
	is.True(!b.ask(askT0).Granted) // the requests may not have arrived yet
	b.now += 14 * time.Second
	is.True(!b.ask(askT0).Granted) // no report yet
	b.report("t0", "i1", 2)
	is.True(!b.ask(askT0).Granted) // both requests still run
	b.report("t0", "i1", 1)
	is.True(b.ask(askT0).Granted)
	is.True(!b.ask(askT0).Granted)
}

// Guards against two suspected requests at the same target, and against permits
// for a leaving target.
func TestIsolationAndLeaving(t *testing.T) {
	is := is.New(t)
	b := proven(0)
	suspect := askT0
	suspect.Isolated = true
	first := b.ask(suspect)
	is.True(first.Granted)
	is.Equal(b.ask(suspect).Reason, permitter.ReasonIsolation)
	b.release(first, mulberrybeam.ReleasePermit{Completed: true})
	is.True(b.ask(suspect).Granted)
	b.step(mulberrybeam.TrafficSign{Kind: observer.SignLeaving, Target: "t0"})
	is.Equal(b.ask(askT0).Reason, permitter.ReasonLeaving)
	is.Equal(b.phase(), mulberrybeam.PhaseLeaving)
}

// Guards against relying on a phase fact that is outdated or contradicts what the
// process has seen itself.
func TestWarmOnlyByTheWordOfTheHighestEpoch(t *testing.T) {
	word := func(epoch mulberrybeam.Epoch, instance mulberrybeam.InstanceID) mulberrybeam.FactChanged {
		return mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Phase: &mulberrybeam.PhaseFact{
			Target: "t0", Epoch: epoch, Instance: instance, Phase: mulberrybeam.PhaseWarm,
		}}}
	}
	for name, event := range map[string]mulberrybeam.Event{
		"higher epoch": mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Slot: &mulberrybeam.SlotFact{Zone: "a", Epoch: 4}}},
		"restart":      mulberrybeam.TrafficSign{Kind: mulberrybeam.SignInstance, Target: "t0", Instance: "i2"},
		"broken":       mulberrybeam.TrafficSign{Kind: mulberrybeam.SignBroken, Target: "t0"},
		"silent":       mulberrybeam.TrafficSign{Kind: observer.SignSilent, Target: "t0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(1)
			b.report("t0", "i1", 0)
			b.step(word(3, "i1"))
			is.Equal(b.phase(), mulberrybeam.PhaseWarm)
			b.step(event)
			is.Equal(b.phase(), mulberrybeam.PhaseCold)
			b.step(word(2, "i1"))
			is.Equal(b.phase(), mulberrybeam.PhaseCold)
		})
	}
}

func BenchmarkAskPermit(b *testing.B) {
	for _, kind := range []mulberrybeam.Phase{mulberrybeam.PhaseCold, mulberrybeam.PhaseWarm} {
		b.Run(string(kind), func(b *testing.B) {
			machine := newBench(91)
			machine.step(mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Phase: &mulberrybeam.PhaseFact{
				Target: "t0", Epoch: 1, Instance: "i1", Phase: kind,
			}}})
			machine.report("t0", "i1", 0)
			machine.hold(2)
			machine.now += time.Second
			machine.report("t0", "i1", 0)
			b.ReportAllocs()
			for b.Loop() {
				reply := machine.ask(askT0)
				if kind == mulberrybeam.PhaseCold {
					machine.release(reply, mulberrybeam.ReleasePermit{})
				}
			}
		})
	}
}

// BenchmarkTick measures one tick of the leaser, observer and permitter with 91
// targets in the process's zone, including answers to polls and renewals.
func BenchmarkTick(b *testing.B) {
	self := mulberrybeam.Member{ID: "p/1", Zone: "a", State: mulberrybeam.MemberAlive}
	machines := []mulberrybeam.Machine{
		leaser.New(self, leaser.WithEncoding(permittertest.Encode, permittertest.Decode)), observer.New(self), permitter.New(self),
	}
	environment := declared(91)
	turn := mulberrybeam.Turn{Now: time.Minute, Rand: rand.New(rand.NewPCG(1, 2))}
	run(machines, turn, mulberrybeam.MembersChanged{Members: []mulberrybeam.Member{self}})
	run(machines, turn, mulberrybeam.ConfigurationChanged{Environment: environment, Tables: compiler.Compile(environment)})
	b.ReportAllocs()
	for b.Loop() {
		turn.Now += 100 * time.Millisecond
		run(machines, turn, mulberrybeam.Tick{})
	}
}

// run passes an event to state machines and answers the calls that they make.
func run(machines []mulberrybeam.Machine, turn mulberrybeam.Turn, event mulberrybeam.Event) {
	queue := []mulberrybeam.Event{event}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, machine := range machines {
			for _, action := range machine.Step(turn, queue[0]) {
				switch action := action.(type) {
				case mulberrybeam.Raise:
					queue = append(queue, action.Event)
				case mulberrybeam.Observe:
					queue = append(queue, mulberrybeam.TargetObserved{Target: action.Target.ID, Report: mulberrybeam.LoadReport{Instance: "i"}})
				case mulberrybeam.CallObject:
					reply := mulberrybeam.ObjectReplied{Ticket: action.Ticket, Object: action.Object}
					reply.Object.Version = "1"
					if action.Op == mulberrybeam.OpGet {
						reply.Err = &mulberrybeam.Failure{Code: mulberrybeam.CodeNotFound}
					}
					queue = append(queue, reply)
				}
			}
		}
	}
}

// BenchmarkMemory reports the memory used per target by the permitter and the
// observer, without the tables shared by all state machines.
func BenchmarkMemory(b *testing.B) {
	const targets = 910
	environment := declared(targets)
	tables := compiler.Compile(environment)
	self := mulberrybeam.Member{ID: "p/1", Zone: "a"}
	for b.Loop() {
		before := heap()
		machines := []mulberrybeam.Machine{observer.New(self), permitter.New(self)}
		turn := mulberrybeam.Turn{Now: time.Minute, Rand: rand.New(rand.NewPCG(1, 2))}
		run(machines, turn, mulberrybeam.ConfigurationChanged{Environment: environment, Tables: tables})
		run(machines, turn, mulberrybeam.RightChanged{Right: mulberrybeam.SlotRight{
			Slot: mulberrybeam.Slot{Zone: "a"}, Epoch: 1, Until: time.Hour,
		}})
		run(machines, turn, mulberrybeam.Tick{})
		b.ReportMetric(float64(heap()-before)/targets, "B/target")
		runtime.KeepAlive(machines)
	}
}

// heap returns the number of bytes on the heap after a garbage collection.
func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFill measures filling a snapshot with the targets of the largest
// fleet.
func BenchmarkFill(b *testing.B) {
	machine := newBench(640)
	b.ReportAllocs()
	for b.Loop() {
		snapshot := mulberrybeam.Snapshot{At: machine.now}
		machine.machine.Fill(&snapshot)
	}
}

// Guards against a process that dies or is paused with permits of a cold target
// and so blocks the target for the run limit, which is minutes, and against
// permits that are reclaimed while their requests still run.
func TestPermitsOfDeadProcessAreFreedByReports(t *testing.T) {
	is := is.New(t)
	long := askT0
	long.RunLimit = 2 * time.Minute
	timing := permitter.DefaultTiming()
	settled := 2*timing.Valid + timing.Transit + timing.ReleaseGrace
	b := proven(0)
	first, second := b.ask(long), b.ask(long)
	is.True(first.Granted && second.Granted)
	b.now += timing.Valid
	b.report("t0", "i1", 0)
	is.Equal(b.ask(long).Reason, permitter.ReasonColdLimit) // the requests may be in transit
	b.now += settled
	b.report("t0", "i1", 2)
	is.Equal(b.ask(long).Reason, permitter.ReasonColdLimit) // both requests run
	b.report("t0", "i1", 1)
	is.True(b.ask(long).Granted) // one request has ended
	b.release(first, mulberrybeam.ReleasePermit{Completed: true})
	b.release(second, mulberrybeam.ReleasePermit{Completed: true})
	is.Equal(b.ask(long).Reason, permitter.ReasonColdLimit) // late releases are ignored
	b.report("t0", "i1", 1)
	is.Equal(b.ask(long).Reason, permitter.ReasonColdLimit)
	b.now += settled
	b.report("t0", "i1", 0)
	is.True(b.ask(long).Granted)
	is.True(b.ask(long).Granted)
	is.Equal(b.ask(long).Reason, permitter.ReasonColdLimit)
}

// Guards against isolating a second suspected request while the process of the
// first one is paused and that request may still run.
func TestPermitOfSuspectIsKeptForItsRunLimit(t *testing.T) {
	is := is.New(t)
	b := proven(0)
	suspect := askT0
	suspect.Isolated, suspect.RunLimit = true, 2*time.Minute
	is.True(b.ask(suspect).Granted)
	b.now += time.Minute
	b.report("t0", "i1", 0)
	is.Equal(b.ask(suspect).Reason, permitter.ReasonIsolation)
}
