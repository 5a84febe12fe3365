// Package observer is the control state machine that polls targets for their
// load reports. Each target is polled by one live member of its zone and,
// until it is warm, by the holder of its slot. Reports are distributed to the
// other processes as facts.
package observer

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Timing configures intervals and timeouts of polling.
type Timing struct {
	// PollInterval is the mean time between two polls of a target.
	PollInterval time.Duration
	// BackupAfter is the age of the last report at which the member ranked second
	// polls as well. Members suspect a dead member only after 5 s, which is
	// later than the target would count as silent.
	BackupAfter time.Duration
	// SilentAfter is the age of the last report at which a target counts as
	// silent.
	SilentAfter time.Duration
	// RefreshInterval is the interval at which an unchanged report is published
	// again. Each fact goes to all hosts, which limits the rate.
	RefreshInterval time.Duration
	// FactTTL is the time to live of load facts.
	FactTTL time.Duration
	// PollTimeout is how long an unanswered poll holds back the next one.
	PollTimeout time.Duration
}

// DefaultTiming returns the durations given in the design documentation.
func DefaultTiming() Timing {
	return Timing{
		PollInterval:    500 * time.Millisecond,
		BackupAfter:     1500 * time.Millisecond,
		SilentAfter:     3 * time.Second,
		RefreshInterval: time.Second,
		FactTTL:         10 * time.Second,
		PollTimeout:     3 * time.Second,
	}
}

// Option configures an Observer.
type Option func(*Observer)

// WithTiming sets the durations, in place of DefaultTiming.
func WithTiming(timing Timing) Option { return func(o *Observer) { o.timing = timing } }

// Observer decides which targets this process polls and when. It is not safe
// for concurrent use; only the control goroutine may call it.
type Observer struct {
	self    mulberrybeam.Member
	timing  Timing
	tables  *mulberrybeam.Tables
	alive   []mulberrybeam.ProcessID
	targets map[mulberrybeam.TargetID]*targetState
	// sorted lists the targets by ID, so that the actions depend only on
	// the events and the random seed.
	sorted         []*targetState
	slotOwnerships map[mulberrybeam.Slot]mulberrybeam.SlotOwnership
}

var _ mulberrybeam.StateMachine = (*Observer)(nil)

// targetState is the polling state of one target.
type targetState struct {
	declared mulberrybeam.Target
	slot     mulberrybeam.Slot
	// rank is the rank of this process among the target's pollers, from 0.
	// It equals maxPollers if the process is none of them.
	rank       int
	nextPollAt time.Duration
	// unanswered has the send times of unanswered polls, oldest first.
	unanswered   []time.Duration
	lastSequence uint64
	// reportedAt is when the last report arrived, polled by this process or
	// by another.
	reportedAt  time.Duration
	silent      bool
	warm        bool
	published   mulberrybeam.LoadReport
	publishedAt time.Duration
	// reportedLeaving reports whether the target's own report has it as
	// leaving, drained whether a drain fact does.
	reportedLeaving, drained bool
}

// maxPollers is the number of members of a zone, by rank, that may poll a
// target.
const maxPollers = 2

// New returns the state machine for the process self.
func New(self mulberrybeam.Member, options ...Option) *Observer {
	o := &Observer{
		self:           self,
		timing:         DefaultTiming(),
		alive:          []mulberrybeam.ProcessID{self.ID},
		targets:        map[mulberrybeam.TargetID]*targetState{},
		slotOwnerships: map[mulberrybeam.Slot]mulberrybeam.SlotOwnership{},
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// FillSnapshot does nothing: the permitter adds the load reports to the snapshot.
func (*Observer) FillSnapshot(*mulberrybeam.Snapshot) {}

// Step processes one event.
func (o *Observer) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.Tick:
		return o.tick(turn)
	case mulberrybeam.ConfigurationChanged:
		o.configure(event.Tables)
	case mulberrybeam.MembersChanged:
		o.updateMembers(event.Members)
	case mulberrybeam.SlotOwnershipChanged:
		o.slotOwnerships[event.Ownership.Slot] = event.Ownership
	case mulberrybeam.TargetObserved:
		return o.handleObserved(turn, event)
	case mulberrybeam.FactChanged:
		return o.handleFact(turn, event)
	}
	return nil
}

func (o *Observer) configure(tables *mulberrybeam.Tables) {
	o.tables = tables
	previous := o.targets
	o.targets = make(map[mulberrybeam.TargetID]*targetState, len(tables.Targets))
	o.sorted = o.sorted[:0]
	for _, id := range slices.Sorted(maps.Keys(tables.Targets)) {
		t := previous[id]
		if t == nil {
			t = &targetState{}
		}
		t.declared, t.slot = tables.Targets[id], tables.SlotOf[id]
		o.targets[id] = t
		o.sorted = append(o.sorted, t)
	}
	o.assignRanks()
}

func (o *Observer) updateMembers(members []mulberrybeam.Member) {
	o.alive = []mulberrybeam.ProcessID{o.self.ID}
	for _, member := range members {
		if member.Zone == o.self.Zone && member.ID != o.self.ID && member.State == mulberrybeam.MemberAlive {
			o.alive = append(o.alive, member.ID)
		}
	}
	o.assignRanks()
}

// assignRanks computes the rank of this process for each target.
func (o *Observer) assignRanks() {
	for _, t := range o.sorted {
		t.rank = maxPollers
		if t.declared.Zone != o.self.Zone {
			continue
		}
		ranked := ranker.Top(string(t.declared.ID), o.alive, maxPollers)
		if rank := slices.Index(ranked, o.self.ID); rank >= 0 {
			t.rank = rank
		}
	}
}

func (o *Observer) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, t := range o.sorted {
		age := turn.Now - t.reportedAt
		if t.reportedAt > 0 && !t.silent && age >= o.timing.SilentAfter {
			t.silent = true
			actions = append(actions, emitSignal(SignalSilent, t))
		}
		if t.declared.Zone != o.self.Zone || turn.Now < t.nextPollAt || !o.shouldPoll(turn, t, age) {
			continue
		}
		if len(t.unanswered) > 0 && turn.Now-t.unanswered[len(t.unanswered)-1] < o.timing.PollTimeout {
			continue
		}
		t.nextPollAt = turn.Now + o.timing.PollInterval*4/5 + time.Duration(turn.Rand.Int64N(int64(o.timing.PollInterval)*2/5))
		t.unanswered = append(t.unanswered, turn.Now)
		actions = append(actions, mulberrybeam.Observe{Target: t.declared, After: t.lastSequence})
	}
	return actions
}

func (o *Observer) shouldPoll(turn mulberrybeam.Turn, t *targetState, age time.Duration) bool {
	if t.rank == 0 || t.rank < maxPollers && age >= o.timing.BackupAfter {
		return true
	}
	// Until the target is warm, its owner needs reports whose time of
	// measurement it knows, so it polls the target itself.
	ownership, found := o.slotOwnerships[t.slot]
	return found && turn.Now < ownership.Until && (!t.warm || age >= o.timing.BackupAfter)
}

func (o *Observer) handleObserved(turn mulberrybeam.Turn, event mulberrybeam.TargetObserved) []mulberrybeam.Action {
	t := o.targets[event.Target]
	if t == nil || len(t.unanswered) == 0 {
		return nil
	}
	// Results of polls carry no ticket. The send time of the earliest
	// unanswered poll is a lower bound for the time of measurement, whichever
	// poll this result belongs to.
	sentAt := t.unanswered[0]
	t.unanswered = t.unanswered[1:]
	if event.Err != nil {
		return nil
	}
	for _, cacheEvent := range event.Events {
		t.lastSequence = max(t.lastSequence, cacheEvent.Sequence)
	}
	event.Report.Target = event.Target
	actions := []mulberrybeam.Action{mulberrybeam.EmitEvent{Event: ReportPolled{
		TargetObserved: event,
		MeasuredAfter:  sentAt - event.Report.Lag - event.Report.Lag/lagDriftDivisor,
	}}}
	actions = append(actions, o.publishReport(turn, t, event.Report)...)
	return append(actions, o.acceptReport(turn, t, event.Report)...)
}

// lagDriftDivisor allows for clock drift: the true lag may exceed the reported
// one by 1/20.
const lagDriftDivisor = 20

// publishReport publishes a report as a fact if it differs from the last one
// that was published or if that one is older than Timing.RefreshInterval.
func (o *Observer) publishReport(turn mulberrybeam.Turn, t *targetState, report mulberrybeam.LoadReport) []mulberrybeam.Action {
	if t.publishedAt > 0 && turn.Now-t.publishedAt < o.timing.RefreshInterval && sameLoad(t.published, report) {
		return nil
	}
	t.published, t.publishedAt = report, turn.Now
	return []mulberrybeam.Action{mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
		Kind: mulberrybeam.FactLoad, Key: string(report.Target), TTL: o.timing.FactTTL, Load: &report,
	}}}}
}

func sameLoad(a, b mulberrybeam.LoadReport) bool {
	return a.Instance == b.Instance && a.Running == b.Running && a.Waiting == b.Waiting &&
		a.Leaving == b.Leaving && maps.Equal(a.WeightVersions, b.WeightVersions)
}

func (o *Observer) handleFact(turn mulberrybeam.Turn, event mulberrybeam.FactChanged) []mulberrybeam.Action {
	fact := event.Fact
	switch {
	case fact.Load != nil && !event.Local:
		if t := o.targets[fact.Load.Target]; t != nil {
			return o.acceptReport(turn, t, *fact.Load)
		}
	case fact.Phase != nil && event.Local:
		if t := o.targets[fact.Phase.Target]; t != nil {
			t.warm = fact.Phase.Phase == mulberrybeam.PhaseWarm
			t.nextPollAt = turn.Now
		}
	case fact.Drain != nil && fact.Drain.Target != "":
		if t := o.targets[fact.Drain.Target]; t != nil {
			return t.updateLeaving(t.reportedLeaving, fact.Drain.Drained)
		}
	}
	return nil
}

func (o *Observer) acceptReport(turn mulberrybeam.Turn, t *targetState, report mulberrybeam.LoadReport) []mulberrybeam.Action {
	t.reportedAt = turn.Now
	t.silent = false
	return t.updateLeaving(report.Leaving, t.drained)
}

func (t *targetState) updateLeaving(reportedLeaving, drained bool) []mulberrybeam.Action {
	wasLeaving := t.reportedLeaving || t.drained
	t.reportedLeaving, t.drained = reportedLeaving, drained
	switch isLeaving := reportedLeaving || drained; {
	case isLeaving && !wasLeaving:
		return []mulberrybeam.Action{emitSignal(SignalLeaving, t)}
	case wasLeaving && !isLeaving:
		return []mulberrybeam.Action{emitSignal(SignalReturned, t)}
	}
	return nil
}

func emitSignal(kind mulberrybeam.SignalKind, t *targetState) mulberrybeam.Action {
	return mulberrybeam.EmitEvent{Event: mulberrybeam.TargetSignal{Kind: kind, Target: t.declared.ID}}
}
