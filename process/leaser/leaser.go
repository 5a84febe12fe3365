// Package leaser is the control state machine of slot leases. A slot of a
// zone is held through a conditionally updated object; electors of the zone
// extend the holder's right while the object API cannot be reached.
package leaser

import (
	"time"

	"mulberrybeam"
)

// Encode turns the content of a slot object into bytes.
type Encode func(mulberrybeam.SlotLease) []byte

// Decode is the inverse of Encode.
type Decode func([]byte) (mulberrybeam.SlotLease, error)

// Option changes a Leaser at construction.
type Option func(*Leaser)

// WithTiming replaces the durations of DefaultTiming.
func WithTiming(timing Timing) Option { return func(l *Leaser) { l.timing = timing } }

// WithEncoding sets the encoding of the content of slot objects.
func WithEncoding(encode Encode, decode Decode) Option {
	return func(l *Leaser) { l.encode, l.decode = encode, decode }
}

// Leaser holds the slots of one process's zone. Only the control goroutine
// may use it.
type Leaser struct {
	self   mulberrybeam.Member
	timing Timing
	encode Encode
	decode Decode

	slots   []*slot
	members map[mulberrybeam.ProcessID]mulberrybeam.Member
	// readyAt is when the process may acquire slots, 0 until members and a
	// configuration are known.
	readyAt  time.Duration
	draining bool
	// holders are the slots of the zone that other processes state to
	// hold.
	holders map[int]mulberrybeam.SlotFact
	// promises are this process's own acts as an elector.
	promises map[mulberrybeam.Slot]promise
	// objectCalls and peerCalls are the calls without an answer.
	objectCalls map[mulberrybeam.Ticket]objectCall
	peerCalls   map[mulberrybeam.Ticket]peerCall
	// unevenSince is when this process began to hold at least two slots
	// more than another one, 0 when it does not.
	unevenSince time.Duration
	// evenAfter is the earliest time of the next release for balance.
	evenAfter time.Duration
}

var _ mulberrybeam.Machine = (*Leaser)(nil)

// New returns the machine of one process. The encoding has to be given by
// WithEncoding.
func New(self mulberrybeam.Member, options ...Option) *Leaser {
	l := &Leaser{
		self:        self,
		timing:      DefaultTiming(),
		members:     map[mulberrybeam.ProcessID]mulberrybeam.Member{},
		holders:     map[int]mulberrybeam.SlotFact{},
		promises:    map[mulberrybeam.Slot]promise{},
		objectCalls: map[mulberrybeam.Ticket]objectCall{},
		peerCalls:   map[mulberrybeam.Ticket]peerCall{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Step takes one event.
func (l *Leaser) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.Tick:
		return l.tick(turn)
	case mulberrybeam.ConfigurationChanged:
		return l.configure(turn, event.Tables)
	case mulberrybeam.MembersChanged:
		l.learnMembers(turn, event.Members)
	case mulberrybeam.FactChanged:
		l.learnFact(event)
	case mulberrybeam.MessageReceived:
		return l.elect(turn, event)
	case mulberrybeam.ReplyReceived:
		return l.peerReplied(turn, event)
	case mulberrybeam.ObjectReplied:
		return l.objectReplied(turn, event)
	case mulberrybeam.ShutdownAsked:
		return l.shutDown(turn)
	}
	return nil
}

// Fill writes the valid rights.
func (l *Leaser) Fill(snapshot *mulberrybeam.Snapshot) {
	var rights []mulberrybeam.SlotRight
	for _, s := range l.slots {
		if s.active {
			rights = append(rights, s.right())
		}
	}
	snapshot.Rights = rights
}

func (l *Leaser) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, s := range l.slots {
		actions = append(actions, s.expire(turn.Now)...)
		switch {
		case s.mine():
			actions = append(actions, l.keep(turn, s)...)
		case len(s.writes) > 0 || l.mayAcquire(turn.Now, s):
			actions = append(actions, l.contend(turn, s)...)
		}
	}
	l.forget(turn.Now)
	return append(actions, l.balance(turn)...)
}

// forget drops calls whose answer never came.
func (l *Leaser) forget(now time.Duration) {
	const kept = 10 // an answer this many answer times late is of no use
	for ticket, c := range l.objectCalls {
		if now-c.sentAt > kept*l.timing.Answer {
			delete(l.objectCalls, ticket)
		}
	}
	for ticket, c := range l.peerCalls {
		if now-c.sentAt > kept*l.timing.Answer {
			delete(l.peerCalls, ticket)
		}
	}
}

func (l *Leaser) mayAcquire(now time.Duration, s *slot) bool {
	return l.readyAt > 0 && now >= l.readyAt && !l.draining && !s.retired
}

// configure follows the number of slots of the zone. A slot that is no
// longer declared is released.
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
		if s.retired && s.mine() {
			actions = append(actions, s.startRelease(turn.Now)...)
		}
	}
	l.becomeReady(turn)
	return actions
}

func (l *Leaser) learnMembers(turn mulberrybeam.Turn, members []mulberrybeam.Member) {
	clear(l.members)
	for _, member := range members {
		if member.Zone == l.self.Zone {
			l.members[member.ID] = member
		}
	}
	l.becomeReady(turn)
}

func (l *Leaser) becomeReady(turn mulberrybeam.Turn) {
	if l.readyAt == 0 && len(l.slots) > 0 && len(l.members) > 0 {
		l.readyAt = turn.Now + l.timing.JoinDelay
	}
}

func (l *Leaser) learnFact(event mulberrybeam.FactChanged) {
	fact := event.Fact.Slot
	if event.Local || fact == nil || fact.Zone != l.self.Zone {
		return
	}
	if known, ok := l.holders[fact.Slot]; !ok || fact.Epoch >= known.Epoch {
		l.holders[fact.Slot] = *fact
	}
}

// shutDown releases all slots.
func (l *Leaser) shutDown(turn mulberrybeam.Turn) []mulberrybeam.Action {
	l.draining = true
	var actions []mulberrybeam.Action
	for _, s := range l.slots {
		if s.mine() {
			actions = append(actions, s.startRelease(turn.Now)...)
		}
	}
	return actions
}

func (l *Leaser) newTicket(turn mulberrybeam.Turn) mulberrybeam.Ticket {
	// Random tickets do not collide with those of the other machines, which
	// see the same answers.
	return mulberrybeam.Ticket(turn.Rand.Uint64())
}
