// Package permitter implements the control state machine for cold-start
// permits. The holder of a slot owns the slot's targets: it tracks their phases
// and issues permits for the cold ones. Every process derives from gossiped
// facts which targets it may use without a permit.
package permitter

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/observer"
)

// Option configures a Permitter.
type Option func(*Permitter)

// WithTiming sets the timing, in place of DefaultTiming.
func WithTiming(timing Timing) Option { return func(p *Permitter) { p.timing = timing } }

// Permitter tracks the phases of targets and issues permits. It is not safe for
// concurrent use: only the control goroutine calls it.
type Permitter struct {
	self    mulberrybeam.Member
	timing  Timing
	limits  mulberrybeam.Limits
	targets map[mulberrybeam.TargetID]*target
	// sortedTargets lists the targets sorted by ID. Iterating it instead of
	// the map keeps simulations deterministic for a given seed.
	sortedTargets []*target
	slots         map[mulberrybeam.Slot]*slot
	// departed holds the processes that died or left.
	departed map[mulberrybeam.ProcessID]bool
	// permitsIssued is the number of permits issued, and the ID of the last
	// one.
	permitsIssued uint64
	// dirty is set when the state has changed since the last snapshot.
	dirty bool
	// refreshFactsAt is when the phase facts of owned targets are next
	// refreshed.
	refreshFactsAt time.Duration
	// configuredAt is when the first configuration arrived. ready is set
	// once the process may report itself ready.
	configuredAt time.Duration
	ready        bool
}

var _ mulberrybeam.StateMachine = (*Permitter)(nil)

// slot is what the process knows about the holder of a slot.
type slot struct {
	id mulberrybeam.Slot
	// highestEpoch is the highest known epoch.
	highestEpoch mulberrybeam.Epoch
	// ownership is this process's own ownership of the slot. fact names the
	// holder according to another process, until factExpiresAt.
	ownership     mulberrybeam.SlotOwnership
	fact          mulberrybeam.SlotFact
	factExpiresAt time.Duration
}

// heldBySelf reports whether this process holds the slot.
func (s *slot) heldBySelf(now time.Duration) bool {
	return now < s.ownership.Until && s.ownership.Epoch == s.highestEpoch
}

// New returns the permit state machine of the process self.
func New(self mulberrybeam.Member, options ...Option) *Permitter {
	p := &Permitter{
		self:     self,
		timing:   DefaultTiming(),
		targets:  map[mulberrybeam.TargetID]*target{},
		slots:    map[mulberrybeam.Slot]*slot{},
		departed: map[mulberrybeam.ProcessID]bool{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Step handles one event and returns the resulting actions.
func (p *Permitter) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.Tick:
		return p.tick(turn)
	case mulberrybeam.MessageReceived:
		return p.handleMessage(turn, event)
	case observer.ReportPolled:
		return p.handleReport(turn, event)
	case mulberrybeam.FactChanged:
		return p.handleFact(turn, event)
	case mulberrybeam.TargetSignal:
		return p.handleSignal(turn, event)
	case mulberrybeam.SlotOwnershipChanged:
		return p.handleOwnership(turn, event.Ownership)
	case mulberrybeam.MembersChanged:
		clear(p.departed)
		for _, member := range event.Members {
			if member.State == mulberrybeam.MemberDead || member.State == mulberrybeam.MemberLeft {
				p.departed[member.ID] = true
			}
		}
	case mulberrybeam.ConfigurationChanged:
		return p.configure(turn, event)
	}
	return nil
}

func (p *Permitter) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if turn.Now >= p.refreshFactsAt {
		p.refreshFactsAt = turn.Now + p.timing.RefreshInterval
		for _, t := range p.sortedTargets {
			if p.owns(turn.Now, t) {
				actions = append(actions, p.raisePhaseFact(t))
			}
		}
	}
	if !p.ready && p.mayBecomeReady(turn.Now) {
		p.ready, p.dirty = true, true
	}
	if p.dirty {
		p.dirty = false
		actions = append(actions, mulberrybeam.PublishSnapshot{})
	}
	return actions
}

func (p *Permitter) handleMessage(turn mulberrybeam.Turn, event mulberrybeam.MessageReceived) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	var reply mulberrybeam.Message
	switch message := event.Message.(type) {
	case mulberrybeam.AskPermit:
		reply, actions = p.handleAsk(turn, message)
	case mulberrybeam.ReleasePermit:
		reply, actions = mulberrybeam.ReleasePermitReply{}, p.handleRelease(turn, message)
	default:
		return nil
	}
	return append(actions, mulberrybeam.Reply{Ticket: event.Ticket, Message: reply})
}

func (p *Permitter) configure(turn mulberrybeam.Turn, event mulberrybeam.ConfigurationChanged) []mulberrybeam.Action {
	if event.Environment != nil {
		p.limits = event.Environment.Limits
	}
	if p.configuredAt == 0 {
		p.configuredAt = turn.Now
	}
	old := p.targets
	p.targets = make(map[mulberrybeam.TargetID]*target, len(event.Tables.Targets))
	p.sortedTargets = p.sortedTargets[:0]
	var actions []mulberrybeam.Action
	for _, id := range slices.Sorted(maps.Keys(event.Tables.Targets)) {
		t := old[id]
		if t == nil {
			t = &target{}
		}
		moved := t.slot != nil && t.slot.id != event.Tables.SlotOf[id]
		t.declared, t.slot = event.Tables.Targets[id], p.slot(event.Tables.SlotOf[id])
		if moved {
			t.ownerState = nil
			t.reassignmentEnd = turn.Now + p.timing.Reassignment
		}
		p.targets[id] = t
		p.sortedTargets = append(p.sortedTargets, t)
		if t.ownerState == nil && t.slot.heldBySelf(turn.Now) {
			// The holder of another slot may have issued permits for it.
			actions = append(actions, p.takeOwnership(turn, t, true)...)
		}
	}
	return append(actions, mulberrybeam.PublishSnapshot{})
}

// slot returns the state of a slot, and adds it when it is new.
func (p *Permitter) slot(id mulberrybeam.Slot) *slot {
	s := p.slots[id]
	if s == nil {
		s = &slot{id: id}
		p.slots[id] = s
	}
	return s
}

// handleOwnership takes ownership of the slot's targets when a new epoch
// begins. A process that lost the slot and regains it in the same epoch keeps
// its permits, since no other process has issued any.
func (p *Permitter) handleOwnership(turn mulberrybeam.Turn, ownership mulberrybeam.SlotOwnership) []mulberrybeam.Action {
	s := p.slot(ownership.Slot)
	newEpoch := ownership.Epoch != s.ownership.Epoch
	s.ownership = ownership
	if !newEpoch {
		return nil
	}
	var actions []mulberrybeam.Action
	for _, t := range p.sortedTargets {
		if t.slot == s {
			actions = append(actions, p.takeOwnership(turn, t, ownership.TakenOver)...)
		}
	}
	s.highestEpoch = max(s.highestEpoch, ownership.Epoch)
	for _, t := range p.sortedTargets {
		if t.slot == s {
			actions = append(actions, p.raisePhaseFact(t))
		}
	}
	return append(actions, mulberrybeam.PublishSnapshot{})
}

// mayBecomeReady reports whether a new process may become ready: it knows the
// owner of each target of its zone, or knows the target as warm or leaving.
// Before that it would refuse requests that its peers can serve. After
// Timing.ReadyTimeout it becomes ready in any case, since some targets may have
// no owner.
func (p *Permitter) mayBecomeReady(now time.Duration) bool {
	if p.configuredAt == 0 {
		return false
	}
	if now-p.configuredAt >= p.timing.ReadyTimeout {
		return true
	}
	for _, t := range p.sortedTargets {
		owner, _ := p.owner(now, t.slot)
		if t.declared.Zone == p.self.Zone && owner == "" && p.phase(now, t) == mulberrybeam.PhaseCold {
			return false
		}
	}
	return true
}

// FillSnapshot adds the state of all targets to the snapshot. It clears Ready until the
// process knows the owners of its zone's targets.
func (p *Permitter) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	snapshot.Ready = snapshot.Ready && p.ready
	states := make(map[mulberrybeam.TargetID]mulberrybeam.TargetState, len(p.sortedTargets))
	for _, t := range p.sortedTargets {
		state := mulberrybeam.TargetState{
			Phase: p.phase(snapshot.At, t), Instance: t.instance, Report: t.report, ReportedAt: t.reportedAt,
		}
		state.Owner, state.OwnerAddress = p.owner(snapshot.At, t.slot)
		states[t.declared.ID] = state
	}
	snapshot.Targets = states
}

// owner returns the ID and address of the holder of a slot, or empty strings.
func (p *Permitter) owner(now time.Duration, s *slot) (mulberrybeam.ProcessID, string) {
	if s.heldBySelf(now) {
		return p.self.ID, p.self.Address
	}
	if s.fact.Epoch != s.highestEpoch || now >= s.factExpiresAt || p.departed[s.fact.Holder] || s.fact.Holder == p.self.ID {
		return "", ""
	}
	return s.fact.Holder, s.fact.Address
}
