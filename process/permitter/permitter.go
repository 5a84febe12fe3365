// Package permitter is the control state machine of cold-start permits. The
// holder of a slot tracks the phases of the slot's targets and issues permits
// for the cold ones. Every process derives from facts which targets it may
// use without a permit.
package permitter

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/observer"
)

// Option changes a Permitter at construction.
type Option func(*Permitter)

// WithTiming replaces the values of DefaultTiming.
func WithTiming(timing Timing) Option { return func(p *Permitter) { p.timing = timing } }

// Permitter tracks the phases of targets. Only the control goroutine may use
// it.
type Permitter struct {
	self    mulberrybeam.Member
	timing  Timing
	limits  mulberrybeam.Limits
	targets map[mulberrybeam.TargetID]*target
	// order makes the steps of a run depend on its seed only.
	order []*target
	slots map[mulberrybeam.Slot]*slot
	gone  map[mulberrybeam.ProcessID]bool
	// permits counts the permits of this process.
	permits uint64
	// dirty says that reports changed since the last snapshot.
	dirty     bool
	restateAt time.Duration
	// configuredAt is when the first configuration came, introduced says
	// that the process may call itself ready.
	configuredAt time.Duration
	introduced   bool
}

var _ mulberrybeam.Machine = (*Permitter)(nil)

// slot is what the process knows of the right to a slot.
type slot struct {
	id mulberrybeam.Slot
	// highest is the highest epoch known.
	highest mulberrybeam.Epoch
	right   mulberrybeam.SlotRight
	fact    mulberrybeam.SlotFact
	factEnd time.Duration
}

func (s *slot) held(now time.Duration) bool {
	return now < s.right.Until && s.right.Epoch == s.highest
}

// New returns the machine of one process.
func New(self mulberrybeam.Member, options ...Option) *Permitter {
	p := &Permitter{
		self:    self,
		timing:  DefaultTiming(),
		targets: map[mulberrybeam.TargetID]*target{},
		slots:   map[mulberrybeam.Slot]*slot{},
		gone:    map[mulberrybeam.ProcessID]bool{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Step takes one event.
func (p *Permitter) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.Tick:
		return p.tick(turn)
	case mulberrybeam.MessageReceived:
		return p.receive(turn, event)
	case observer.Measured:
		return p.measured(turn, event)
	case mulberrybeam.FactChanged:
		return p.learnFact(turn, event)
	case mulberrybeam.TrafficSign:
		return p.learnSign(turn, event)
	case mulberrybeam.RightChanged:
		return p.learnRight(turn, event.Right)
	case mulberrybeam.MembersChanged:
		clear(p.gone)
		for _, member := range event.Members {
			if member.State == mulberrybeam.MemberDead || member.State == mulberrybeam.MemberLeft {
				p.gone[member.ID] = true
			}
		}
	case mulberrybeam.ConfigurationChanged:
		return p.configure(turn, event)
	}
	return nil
}

func (p *Permitter) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if turn.Now >= p.restateAt {
		p.restateAt = turn.Now + p.timing.Restate
		for _, t := range p.order {
			if p.owns(turn.Now, t) {
				actions = append(actions, p.state(t))
			}
		}
	}
	if !p.introduced && p.introduce(turn.Now) {
		p.introduced, p.dirty = true, true
	}
	if p.dirty {
		p.dirty = false
		actions = append(actions, mulberrybeam.Publish{})
	}
	return actions
}

func (p *Permitter) receive(turn mulberrybeam.Turn, event mulberrybeam.MessageReceived) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	var answer mulberrybeam.Message
	switch message := event.Message.(type) {
	case mulberrybeam.AskPermit:
		answer, actions = p.ask(turn, message)
	case mulberrybeam.ReleasePermit:
		answer, actions = mulberrybeam.ReleasePermitReply{}, p.release(turn, message)
	default:
		return nil
	}
	return append(actions, mulberrybeam.Reply{Ticket: event.Ticket, Message: answer})
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
	p.order = p.order[:0]
	var actions []mulberrybeam.Action
	for _, id := range slices.Sorted(maps.Keys(event.Tables.Targets)) {
		t := old[id]
		if t == nil {
			t = &target{}
		}
		moved := t.slot != nil && t.slot.id != event.Tables.SlotOf[id]
		t.declared, t.slot = event.Tables.Targets[id], p.slot(event.Tables.SlotOf[id])
		if moved {
			t.owned = nil
			t.notBefore = turn.Now + p.timing.Reassignment
		}
		p.targets[id] = t
		p.order = append(p.order, t)
		if t.owned == nil && t.slot.held(turn.Now) {
			// Another slot's holder may have issued permits for it.
			actions = append(actions, p.own(turn, t, true)...)
		}
	}
	return append(actions, mulberrybeam.Publish{})
}

func (p *Permitter) slot(id mulberrybeam.Slot) *slot {
	s := p.slots[id]
	if s == nil {
		s = &slot{id: id}
		p.slots[id] = s
	}
	return s
}

// learnRight starts to own the slot's targets when a new epoch begins. A
// right that lapsed and came back in the same epoch goes on with its permits,
// since nobody else issued any.
func (p *Permitter) learnRight(turn mulberrybeam.Turn, right mulberrybeam.SlotRight) []mulberrybeam.Action {
	s := p.slot(right.Slot)
	began := right.Epoch != s.right.Epoch
	s.right = right
	if !began {
		return nil
	}
	var actions []mulberrybeam.Action
	for _, t := range p.order {
		if t.slot == s {
			actions = append(actions, p.own(turn, t, right.Fresh)...)
		}
	}
	s.highest = max(s.highest, right.Epoch)
	for _, t := range p.order {
		if t.slot == s {
			actions = append(actions, p.state(t))
		}
	}
	return append(actions, mulberrybeam.Publish{})
}

// introduce says whether a new process knows each target of its zone as warm
// or by its owner. Before that it would refuse requests that its peers can
// serve. After a while it is ready all the same, since owners may be missing.
func (p *Permitter) introduce(now time.Duration) bool {
	if p.configuredAt == 0 {
		return false
	}
	if now-p.configuredAt >= p.timing.Introduction {
		return true
	}
	for _, t := range p.order {
		owner, _ := p.owner(now, t.slot)
		if t.declared.Zone == p.self.Zone && owner == "" && p.phase(now, t) == mulberrybeam.PhaseCold {
			return false
		}
	}
	return true
}

// Fill writes the state of all targets. The process is ready once it has been
// introduced.
func (p *Permitter) Fill(snapshot *mulberrybeam.Snapshot) {
	snapshot.Ready = snapshot.Ready && p.introduced
	states := make(map[mulberrybeam.TargetID]mulberrybeam.TargetState, len(p.order))
	for _, t := range p.order {
		state := mulberrybeam.TargetState{
			Phase: p.phase(snapshot.At, t), Instance: t.instance, Report: t.report, ReportedAt: t.reportedAt,
		}
		state.Owner, state.OwnerAddress = p.owner(snapshot.At, t.slot)
		states[t.declared.ID] = state
	}
	snapshot.Targets = states
}

func (p *Permitter) owner(now time.Duration, s *slot) (mulberrybeam.ProcessID, string) {
	if s.held(now) {
		return p.self.ID, p.self.Address
	}
	if s.fact.Epoch != s.highest || now >= s.factEnd || p.gone[s.fact.Holder] || s.fact.Holder == p.self.ID {
		return "", ""
	}
	return s.fact.Holder, s.fact.Address
}
