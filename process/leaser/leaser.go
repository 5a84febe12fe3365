// Package leaser implements the control state machine for slot leases. A process
// holds a slot of its zone through a lease in an object that is updated
// conditionally. Its ownership of the slot lasts for the duration of the lease
// after each renewal. While the object API is unreachable, other processes of
// the zone, the electors, extend the ownership.
package leaser

import (
	"time"

	"mulberrybeam"
)

// Encode encodes the lease in a slot object.
type Encode func(mulberrybeam.SlotLease) []byte

// Decode decodes the lease in a slot object.
type Decode func([]byte) (mulberrybeam.SlotLease, error)

// Option configures a Leaser.
type Option func(*Leaser)

// WithTiming sets the timing, in place of DefaultTiming.
func WithTiming(timing Timing) Option { return func(l *Leaser) { l.timing = timing } }

// WithEncoding sets the encoding of the leases in slot objects. It is required.
func WithEncoding(encode Encode, decode Decode) Option {
	return func(l *Leaser) { l.encode, l.decode = encode, decode }
}

// Leaser acquires, renews and releases slots of the process's zone, and acts as
// an elector for other processes. It is not safe for concurrent use: only the
// control goroutine calls it.
type Leaser struct {
	self   mulberrybeam.Member
	timing Timing
	encode Encode
	decode Decode

	slots   []*slot
	members map[mulberrybeam.ProcessID]mulberrybeam.Member
	// readyAt is when the process may start to acquire slots. It is 0 until
	// members and a configuration are known.
	readyAt  time.Duration
	draining bool
	// holderFacts are the latest facts of other processes about the holders
	// of the zone's slots, by slot number.
	holderFacts map[int]mulberrybeam.SlotFact
	// electorStates is the state of this process as an elector, by slot.
	electorStates map[mulberrybeam.Slot]electorState
	// objectCalls and peerCalls are the calls that await an answer.
	objectCalls map[mulberrybeam.Ticket]objectCall
	peerCalls   map[mulberrybeam.Ticket]peerCall
	// imbalancedSince is when this process began to hold at least two slots
	// more than another one, or 0 if it does not.
	imbalancedSince time.Duration
	// nextBalanceAt is the earliest time at which another slot may be
	// released for balance.
	nextBalanceAt time.Duration
}

var _ mulberrybeam.StateMachine = (*Leaser)(nil)

// New returns the lease state machine of the process self. WithEncoding must be
// among the options.
func New(self mulberrybeam.Member, options ...Option) *Leaser {
	l := &Leaser{
		self:          self,
		timing:        DefaultTiming(),
		members:       map[mulberrybeam.ProcessID]mulberrybeam.Member{},
		holderFacts:   map[int]mulberrybeam.SlotFact{},
		electorStates: map[mulberrybeam.Slot]electorState{},
		objectCalls:   map[mulberrybeam.Ticket]objectCall{},
		peerCalls:     map[mulberrybeam.Ticket]peerCall{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Step handles one event and returns the resulting actions.
func (l *Leaser) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.Tick:
		return l.tick(turn)
	case mulberrybeam.ConfigurationChanged:
		return l.configure(turn, event.Tables)
	case mulberrybeam.MembersChanged:
		l.updateMembers(turn, event.Members)
	case mulberrybeam.FactChanged:
		l.handleFact(event)
	case mulberrybeam.MessageReceived:
		return l.handleElectorMessage(turn, event)
	case mulberrybeam.ReplyReceived:
		return l.handlePeerReply(turn, event)
	case mulberrybeam.ObjectReplied:
		return l.handleObjectReply(turn, event)
	case mulberrybeam.ShutdownRequested:
		return l.shutDown(turn)
	}
	return nil
}

// FillSnapshot adds the slots that this process currently owns to the snapshot.
func (l *Leaser) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	var owned []mulberrybeam.SlotOwnership
	for _, s := range l.slots {
		if s.active {
			owned = append(owned, s.ownership())
		}
	}
	snapshot.OwnedSlots = owned
}

func (l *Leaser) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, s := range l.slots {
		actions = append(actions, s.expire(turn.Now)...)
		switch {
		case s.namesSelf():
			actions = append(actions, l.maintain(turn, s)...)
		case len(s.pendingWrites) > 0 || l.mayAcquire(turn.Now, s):
			actions = append(actions, l.poll(turn, s)...)
		}
	}
	l.dropStaleCalls(turn.Now)
	return append(actions, l.rebalance(turn)...)
}

// dropStaleCalls drops calls that got no answer.
func (l *Leaser) dropStaleCalls(now time.Duration) {
	const maxTimeouts = 10 // in multiples of Timing.CallTimeout; later answers are of no use
	for ticket, c := range l.objectCalls {
		if now-c.sentAt > maxTimeouts*l.timing.CallTimeout {
			delete(l.objectCalls, ticket)
		}
	}
	for ticket, c := range l.peerCalls {
		if now-c.sentAt > maxTimeouts*l.timing.CallTimeout {
			delete(l.peerCalls, ticket)
		}
	}
}

// mayAcquire reports whether this process may acquire a slot.
func (l *Leaser) mayAcquire(now time.Duration, s *slot) bool {
	return l.readyAt > 0 && now >= l.readyAt && !l.draining && !s.retired
}

// configure applies the configured number of slots of the zone. Slots that are
// no longer declared are released.
func (l *Leaser) configure(turn mulberrybeam.Turn, tables *mulberrybeam.Tables) []mulberrybeam.Action {
	declared := tables.Zones[l.self.Zone].Slots
	for number := len(l.slots); number < declared; number++ {
		l.slots = append(l.slots, &slot{
			id: mulberrybeam.Slot{Zone: l.self.Zone, Number: number}, self: l.self.ID,
		})
	}
	var actions []mulberrybeam.Action
	for number, s := range l.slots {
		s.retired = number >= declared
		if s.retired && s.namesSelf() {
			actions = append(actions, s.startRelease(turn.Now)...)
		}
	}
	l.scheduleReady(turn)
	return actions
}

// updateMembers stores the members of the zone.
func (l *Leaser) updateMembers(turn mulberrybeam.Turn, members []mulberrybeam.Member) {
	clear(l.members)
	for _, member := range members {
		if member.Zone == l.self.Zone {
			l.members[member.ID] = member
		}
	}
	l.scheduleReady(turn)
}

// scheduleReady sets readyAt once members and slots are known.
func (l *Leaser) scheduleReady(turn mulberrybeam.Turn) {
	if l.readyAt == 0 && len(l.slots) > 0 && len(l.members) > 0 {
		l.readyAt = turn.Now + l.timing.JoinDelay
	}
}

// handleFact stores another process's fact about the holder of a slot.
func (l *Leaser) handleFact(event mulberrybeam.FactChanged) {
	fact := event.Fact.Slot
	if event.Local || fact == nil || fact.Zone != l.self.Zone {
		return
	}
	if known, ok := l.holderFacts[fact.Slot]; !ok || fact.Epoch >= known.Epoch {
		l.holderFacts[fact.Slot] = *fact
	}
}

// shutDown releases all slots, and acquires none from then on.
func (l *Leaser) shutDown(turn mulberrybeam.Turn) []mulberrybeam.Action {
	l.draining = true
	var actions []mulberrybeam.Action
	for _, s := range l.slots {
		if s.namesSelf() {
			actions = append(actions, s.startRelease(turn.Now)...)
		}
	}
	return actions
}

func (l *Leaser) newTicket(turn mulberrybeam.Turn) mulberrybeam.Ticket {
	// Tickets are random so that they do not collide with those of the other
	// state machines, which receive the same answers.
	return mulberrybeam.Ticket(turn.Rand.Uint64())
}
