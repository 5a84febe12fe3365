package permitter_test

import (
	"time"

	"mulberrybeam"
)

// talker stands in for membership: each process tells all others every half
// second that it lives and what it states. It makes the checks independent of
// the gossip protocol.
type talker struct {
	self    mulberrybeam.Member
	members map[mulberrybeam.ProcessID]mulberrybeam.Member
	heard   map[mulberrybeam.ProcessID]time.Duration
	facts   map[string]mulberrybeam.Fact
	known   map[string]mulberrybeam.Stamp
	next    time.Duration
	counter int64
}

// peers are the addresses of all hosts.
var peers []string

func newTalker(self mulberrybeam.Member) *talker {
	self.State = mulberrybeam.MemberAlive
	return &talker{
		self:    self,
		members: map[mulberrybeam.ProcessID]mulberrybeam.Member{self.ID: self},
		heard:   map[mulberrybeam.ProcessID]time.Duration{},
		facts:   map[string]mulberrybeam.Fact{},
		known:   map[string]mulberrybeam.Stamp{},
	}
}

func (*talker) Fill(*mulberrybeam.Snapshot) {}

func (t *talker) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.FactChanged:
		if event.Local {
			t.counter++
			event.Fact.Stamp = mulberrybeam.Stamp{Wall: turn.Wall.UnixMilli(), Counter: uint32(t.counter), Process: t.self.ID}
			t.facts[string(event.Fact.Kind)+event.Fact.Key] = event.Fact
		}
	case mulberrybeam.MessageReceived:
		if exchange, ok := event.Message.(mulberrybeam.Exchange); ok {
			actions := t.hear(turn, exchange)
			return append(actions, mulberrybeam.Reply{Ticket: event.Ticket, Message: mulberrybeam.ExchangeReply{}})
		}
	case mulberrybeam.Tick:
		return t.tick(turn)
	}
	return nil
}

func (t *talker) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if turn.Now < t.next {
		return nil
	}
	t.next = turn.Now + 500*time.Millisecond
	exchange := mulberrybeam.Exchange{From: t.self.ID, Members: []mulberrybeam.Member{t.self}}
	for _, fact := range t.facts {
		exchange.Facts = append(exchange.Facts, fact)
	}
	actions := []mulberrybeam.Action{t.view(turn)}
	for _, address := range peers {
		if address != t.self.Address {
			actions = append(actions, mulberrybeam.Call{Address: address, Message: exchange, Ticket: 1, Timeout: time.Second})
		}
	}
	return actions
}

func (t *talker) hear(turn mulberrybeam.Turn, exchange mulberrybeam.Exchange) []mulberrybeam.Action {
	t.members[exchange.From] = exchange.Members[0]
	t.heard[exchange.From] = turn.Now
	var actions []mulberrybeam.Action
	for _, fact := range exchange.Facts {
		key := string(fact.Kind) + fact.Key
		if known := t.known[key]; known.Wall > fact.Stamp.Wall || known == fact.Stamp {
			continue
		}
		t.known[key] = fact.Stamp
		actions = append(actions, mulberrybeam.Raise{Event: mulberrybeam.FactChanged{Fact: fact}})
	}
	return actions
}

func (t *talker) view(turn mulberrybeam.Turn) mulberrybeam.Action {
	var changed mulberrybeam.MembersChanged
	for id, member := range t.members {
		if member.Zone != t.self.Zone {
			continue
		}
		switch silence := turn.Now - t.heard[id]; {
		case id == t.self.ID || silence < 5*time.Second:
		case silence < 15*time.Second:
			member.State = mulberrybeam.MemberSuspect
		default:
			member.State = mulberrybeam.MemberDead
		}
		changed.Members = append(changed.Members, member)
	}
	return mulberrybeam.Raise{Event: changed}
}
