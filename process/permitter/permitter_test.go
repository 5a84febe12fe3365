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

// harness runs the permitter of one process, with events and time controlled by
// the test. The process's zone "a" has one slot.
type harness struct {
	machine *permitter.Permitter
	now     time.Duration
	rand    *rand.Rand
}

func newHarness(targets int) *harness {
	h := &harness{now: time.Minute, rand: rand.New(rand.NewPCG(1, 2))}
	h.machine = permitter.New(mulberrybeam.Member{ID: "p/1", Zone: "a"})
	environment := newEnvironment(targets)
	h.step(mulberrybeam.ConfigurationChanged{Environment: environment, Tables: compiler.Compile(environment)})
	return h
}

// newEnvironment returns an environment with one zone and a group of engines.
func newEnvironment(targets int) *mulberrybeam.Environment {
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

func (h *harness) step(event mulberrybeam.Event) []mulberrybeam.Action {
	return h.machine.Step(mulberrybeam.Turn{Now: h.now, Rand: h.rand}, event)
}

// acquireSlot makes the process the holder of the slot.
func (h *harness) acquireSlot(epoch mulberrybeam.Epoch) {
	h.step(mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{
		Slot: mulberrybeam.Slot{Zone: "a"}, Epoch: epoch, Since: h.now, Until: h.now + time.Hour, TakenOver: true,
	}})
}

// report delivers a load report measured now.
func (h *harness) report(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, running int) {
	h.step(observer.ReportPolled{MeasuredAfter: h.now, TargetObserved: mulberrybeam.TargetObserved{
		Target: target, Report: mulberrybeam.LoadReport{Target: target, Instance: instance, Running: running},
	}})
}

// ask sends an AskPermit and returns the reply.
func (h *harness) ask(ask mulberrybeam.AskPermit) mulberrybeam.AskPermitReply {
	actions := h.step(mulberrybeam.MessageReceived{Message: ask})
	return actions[len(actions)-1].(mulberrybeam.Reply).Message.(mulberrybeam.AskPermitReply)
}

// release releases a permit for t0.
func (h *harness) release(reply mulberrybeam.AskPermitReply, release mulberrybeam.ReleasePermit) {
	release.Target, release.Permit, release.Epoch = "t0", reply.Permit, reply.Epoch
	h.step(mulberrybeam.MessageReceived{Message: release})
}

// phase returns the phase of t0 in the snapshot.
func (h *harness) phase() mulberrybeam.Phase {
	snapshot := mulberrybeam.Snapshot{At: h.now}
	h.machine.FillSnapshot(&snapshot)
	return snapshot.Targets["t0"].Phase
}

var askT0 = mulberrybeam.AskPermit{Target: "t0", Instance: "i1", RunLimit: 10 * time.Second}

// newOwnerHarness returns a harness that owns t0 and knows the number of
// requests that run at its instance i1.
func newOwnerHarness(running int) *harness {
	h := newHarness(1)
	h.report("t0", "i1", running)
	h.acquireSlot(1)
	h.now += time.Second
	h.report("t0", "i1", running)
	return h
}

// Guards against a new holder that grants permits without counting the requests
// in flight that an earlier holder granted.
func TestNewHolderCountsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.acquireSlot(4)
	h.report("t0", "i1", 0)
	is.Equal(h.ask(askT0).Reason, permitter.ReasonNoLoadReport) // the report was taken too early
	h.now += time.Second
	h.report("t0", "i1", 1)
	is.True(h.ask(askT0).Granted)
	is.Equal(h.ask(askT0).Reason, permitter.ReasonColdLimit)
	h.report("t0", "i1", 0)
	is.True(h.ask(askT0).Granted)
}

// Guards against two processes that issue permits for the same target while a
// revision that moves the target to another slot is being rolled out.
func TestReassignedTargetWaitsForRevision(t *testing.T) {
	is := is.New(t)
	h := newOwnerHarness(0)
	is.True(h.ask(askT0).Granted)
	environment := newEnvironment(1)
	tables := compiler.Compile(environment)
	moved := mulberrybeam.Slot{Zone: "a", Number: 1}
	tables.SlotOf["t0"] = moved
	h.step(mulberrybeam.ConfigurationChanged{Environment: environment, Tables: tables})
	h.step(mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{Slot: moved, Epoch: 1, Since: h.now, Until: h.now + time.Hour}})
	for range 14 {
		h.now += time.Second
		h.report("t0", "i1", 0)
		is.Equal(h.ask(askT0).Reason, permitter.ReasonNoLoadReport)
	}
	h.now += 2 * time.Second
	h.report("t0", "i1", 0)
	is.True(h.ask(askT0).Granted)
}

// Guards against a warm-up that is too fast or is not reset by a failure.
func TestWarmUp(t *testing.T) {
	is := is.New(t)
	h := newOwnerHarness(0)
	runBatch := func(duration time.Duration, release mulberrybeam.ReleasePermit) int {
		var granted []mulberrybeam.AskPermitReply
		for reply := h.ask(askT0); reply.Granted; reply = h.ask(askT0) {
			granted = append(granted, reply)
		}
		h.now += duration
		for _, reply := range granted {
			h.release(reply, release)
		}
		return len(granted)
	}
	done := mulberrybeam.ReleasePermit{Completed: true, FirstToken: 500 * time.Millisecond}
	slow := mulberrybeam.ReleasePermit{Completed: true, FirstToken: 2 * time.Second}
	for _, step := range []struct {
		release mulberrybeam.ReleasePermit
		granted int
	}{{done, 2}, {slow, 2}, {done, 2}, {mulberrybeam.ReleasePermit{}, 2}} {
		is.Equal(runBatch(100*time.Millisecond, step.release), step.granted)
	}
	for range 10 { // more than 16 completions, but less than 2 s
		is.Equal(runBatch(100*time.Millisecond, done), 2)
	}
	h.now += 2 * time.Second
	h.report("t0", "i1", 0)
	is.Equal(h.phase(), mulberrybeam.PhaseWarm)
	is.True(h.ask(askT0).Warm)
	restarted := askT0
	restarted.Instance = "i2"
	is.True(!h.ask(restarted).Warm) // the caller has seen a restart
	is.Equal(h.phase(), mulberrybeam.PhaseCold)
}

// Guards against a permit that is reclaimed while its request may still run.
func TestLostReleaseIsReclaimedByLaterReport(t *testing.T) {
	is := is.New(t)
	h := newOwnerHarness(0)
	is.True(h.ask(askT0).Granted)
	is.True(h.ask(askT0).Granted)
	h.report("t0", "i1", 0)
	is.True(!h.ask(askT0).Granted) // the requests may not have arrived yet
	h.now += 14 * time.Second
	is.True(!h.ask(askT0).Granted) // no report yet
	h.report("t0", "i1", 2)
	is.True(!h.ask(askT0).Granted) // both requests still run
	h.report("t0", "i1", 1)
	is.True(h.ask(askT0).Granted)
	is.True(!h.ask(askT0).Granted)
}

// Guards against two suspected requests at the same target, and against permits
// for a leaving target.
func TestIsolationAndLeaving(t *testing.T) {
	is := is.New(t)
	h := newOwnerHarness(0)
	suspect := askT0
	suspect.Isolated = true
	first := h.ask(suspect)
	is.True(first.Granted)
	is.Equal(h.ask(suspect).Reason, permitter.ReasonIsolation)
	h.release(first, mulberrybeam.ReleasePermit{Completed: true})
	is.True(h.ask(suspect).Granted)
	h.step(mulberrybeam.TargetSignal{Kind: observer.SignalLeaving, Target: "t0"})
	is.Equal(h.ask(askT0).Reason, permitter.ReasonLeaving)
	is.Equal(h.phase(), mulberrybeam.PhaseLeaving)
}

// Guards against relying on a phase fact that is outdated or contradicts what the
// process has seen itself.
func TestWarmNeedsPhaseFactOfHighestEpoch(t *testing.T) {
	warmFact := func(epoch mulberrybeam.Epoch, instance mulberrybeam.InstanceID) mulberrybeam.FactChanged {
		return mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Phase: &mulberrybeam.PhaseFact{
			Target: "t0", Epoch: epoch, Instance: instance, Phase: mulberrybeam.PhaseWarm,
		}}}
	}
	for name, event := range map[string]mulberrybeam.Event{
		"higher epoch": mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Slot: &mulberrybeam.SlotFact{Zone: "a", Epoch: 4}}},
		"restart":      mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalNewInstance, Target: "t0", Instance: "i2"},
		"broken":       mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalBroken, Target: "t0"},
		"silent":       mulberrybeam.TargetSignal{Kind: observer.SignalSilent, Target: "t0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			h.report("t0", "i1", 0)
			h.step(warmFact(3, "i1"))
			is.Equal(h.phase(), mulberrybeam.PhaseWarm)
			h.step(event)
			is.Equal(h.phase(), mulberrybeam.PhaseCold)
			h.step(warmFact(2, "i1"))
			is.Equal(h.phase(), mulberrybeam.PhaseCold)
		})
	}
}

func BenchmarkAskPermit(b *testing.B) {
	for _, kind := range []mulberrybeam.Phase{mulberrybeam.PhaseCold, mulberrybeam.PhaseWarm} {
		b.Run(string(kind), func(b *testing.B) {
			h := newHarness(91)
			h.step(mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Phase: &mulberrybeam.PhaseFact{
				Target: "t0", Epoch: 1, Instance: "i1", Phase: kind,
			}}})
			h.report("t0", "i1", 0)
			h.acquireSlot(2)
			h.now += time.Second
			h.report("t0", "i1", 0)
			b.ReportAllocs()
			for b.Loop() {
				reply := h.ask(askT0)
				if kind == mulberrybeam.PhaseCold {
					h.release(reply, mulberrybeam.ReleasePermit{})
				}
			}
		})
	}
}

// BenchmarkTick measures one tick of the leaser, observer and permitter with 91
// targets in the process's zone, including answers to polls and renewals.
func BenchmarkTick(b *testing.B) {
	self := mulberrybeam.Member{ID: "p/1", Zone: "a", State: mulberrybeam.MemberAlive}
	machines := []mulberrybeam.StateMachine{
		leaser.New(self, leaser.WithEncoding(permittertest.Encode, permittertest.Decode)), observer.New(self), permitter.New(self),
	}
	environment := newEnvironment(91)
	turn := mulberrybeam.Turn{Now: time.Minute, Rand: rand.New(rand.NewPCG(1, 2))}
	dispatch(machines, turn, mulberrybeam.MembersChanged{Members: []mulberrybeam.Member{self}})
	dispatch(machines, turn, mulberrybeam.ConfigurationChanged{Environment: environment, Tables: compiler.Compile(environment)})
	b.ReportAllocs()
	for b.Loop() {
		turn.Now += 100 * time.Millisecond
		dispatch(machines, turn, mulberrybeam.Tick{})
	}
}

// dispatch passes an event to state machines and answers the calls that they
// make.
func dispatch(machines []mulberrybeam.StateMachine, turn mulberrybeam.Turn, event mulberrybeam.Event) {
	queue := []mulberrybeam.Event{event}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, machine := range machines {
			for _, action := range machine.Step(turn, queue[0]) {
				switch action := action.(type) {
				case mulberrybeam.EmitEvent:
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
	environment := newEnvironment(targets)
	tables := compiler.Compile(environment)
	self := mulberrybeam.Member{ID: "p/1", Zone: "a"}
	for b.Loop() {
		before := heapBytes()
		machines := []mulberrybeam.StateMachine{observer.New(self), permitter.New(self)}
		turn := mulberrybeam.Turn{Now: time.Minute, Rand: rand.New(rand.NewPCG(1, 2))}
		dispatch(machines, turn, mulberrybeam.ConfigurationChanged{Environment: environment, Tables: tables})
		dispatch(machines, turn, mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{
			Slot: mulberrybeam.Slot{Zone: "a"}, Epoch: 1, Until: time.Hour,
		}})
		dispatch(machines, turn, mulberrybeam.Tick{})
		b.ReportMetric(float64(heapBytes()-before)/targets, "B/target")
		runtime.KeepAlive(machines)
	}
}

// heapBytes returns the number of bytes on the heap after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFill measures filling a snapshot with the targets of the largest
// fleet.
func BenchmarkFill(b *testing.B) {
	h := newHarness(640)
	b.ReportAllocs()
	for b.Loop() {
		snapshot := mulberrybeam.Snapshot{At: h.now}
		h.machine.FillSnapshot(&snapshot)
	}
}

// Guards against a process that dies or is paused with permits of a cold target
// and so blocks the target for the run limit, which is minutes, and against
// permits that are reclaimed while their requests still run.
func TestPermitsOfDeadProcessAreReclaimedByReports(t *testing.T) {
	is := is.New(t)
	askLong := askT0
	askLong.RunLimit = 2 * time.Minute
	timing := permitter.DefaultTiming()
	lostReleaseDelay := 2*timing.PermitValidity + timing.MaxTransit + timing.ReleaseGrace
	h := newOwnerHarness(0)
	first, second := h.ask(askLong), h.ask(askLong)
	is.True(first.Granted && second.Granted)
	h.now += timing.PermitValidity
	h.report("t0", "i1", 0)
	is.Equal(h.ask(askLong).Reason, permitter.ReasonColdLimit) // the requests may be in transit
	h.now += lostReleaseDelay
	h.report("t0", "i1", 2)
	is.Equal(h.ask(askLong).Reason, permitter.ReasonColdLimit) // both requests run
	h.report("t0", "i1", 1)
	is.True(h.ask(askLong).Granted) // one request has ended
	h.release(first, mulberrybeam.ReleasePermit{Completed: true})
	h.release(second, mulberrybeam.ReleasePermit{Completed: true})
	is.Equal(h.ask(askLong).Reason, permitter.ReasonColdLimit) // late releases are ignored
	h.report("t0", "i1", 1)
	is.Equal(h.ask(askLong).Reason, permitter.ReasonColdLimit)
	h.now += lostReleaseDelay
	h.report("t0", "i1", 0)
	is.True(h.ask(askLong).Granted)
	is.True(h.ask(askLong).Granted)
	is.Equal(h.ask(askLong).Reason, permitter.ReasonColdLimit)
}

// Guards against isolating a second suspected request while the process of the
// first one is paused and that request may still run.
func TestPermitOfSuspectIsKeptForRunLimit(t *testing.T) {
	is := is.New(t)
	h := newOwnerHarness(0)
	suspect := askT0
	suspect.Isolated, suspect.RunLimit = true, 2*time.Minute
	is.True(h.ask(suspect).Granted)
	h.now += time.Minute
	h.report("t0", "i1", 0)
	is.Equal(h.ask(suspect).Reason, permitter.ReasonIsolation)
}
