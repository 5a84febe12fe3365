package leaser

import (
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// maxContenders bounds the processes that read a slot object that they do
// not hold. More than one is needed since one may be cut off.
const maxContenders = 3

// peerTimeout bounds a call to an elector of the same zone.
const peerTimeout = time.Second

// contest is the state of an attempt to take over an epoch.
type contest struct {
	epoch mulberrybeam.Epoch
	// promised is when the last extension granted by an elector has
	// surely ended.
	promised map[mulberrybeam.ProcessID]time.Duration
}

// peerCall is a Fence or Extend without an answer.
type peerCall struct {
	slot    *slot
	epoch   mulberrybeam.Epoch
	elector mulberrybeam.ProcessID
	sentAt  time.Duration
}

// contend reads the object of a slot that another process holds, or nobody.
func (l *Leaser) contend(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	l.lost(turn.Now, s)
	if s.call.open || turn.Now < s.next {
		return nil
	}
	s.next = turn.Now + l.jitter(turn, l.timing.Poll)
	if l.rank(s) >= maxContenders && len(s.writes) == 0 {
		s.stale = true // the reads stopped
		return nil
	}
	return []mulberrybeam.Action{l.send(turn, s, mulberrybeam.OpGet, nil)}
}

// pursue acts on a read that has just succeeded.
func (l *Leaser) pursue(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	if !l.mayAcquire(turn.Now, s) {
		return nil
	}
	seen := turn.Now - s.seenSince
	if s.lease.Holder != "" && !l.alive(s.lease.Holder) {
		// A dead holder needs no time to renew after an outage.
		seen = turn.Now - s.firstSeen
	}
	delay := time.Duration(l.rank(s)) * l.timing.RankDelay
	switch {
	case s.lease.Holder == "":
		if s.version != "" {
			delay += l.timing.ReleaseDelay
		}
		if seen < delay {
			s.next = min(s.next, s.seenSince+delay)
			return nil
		}
	case turn.Now-s.firstSeen >= l.timing.longer(l.timing.ExtensionLimit):
	case seen < l.timing.longer(l.timing.Lease)+delay:
		return nil
	default:
		actions, all := l.fence(turn, s)
		if !all {
			return actions
		}
	}
	return []mulberrybeam.Action{l.write(turn, s, mulberrybeam.SlotLease{
		Holder: l.self.ID, Address: l.self.Address, Epoch: s.highest + 1, Electors: l.electors(s),
	})}
}

// fence collects the promises of all electors, and says whether they are
// complete and all extensions have ended.
func (l *Leaser) fence(turn mulberrybeam.Turn, s *slot) ([]mulberrybeam.Action, bool) {
	if s.contest.epoch != s.lease.Epoch || s.contest.promised == nil {
		s.contest = contest{epoch: s.lease.Epoch, promised: map[mulberrybeam.ProcessID]time.Duration{}}
	}
	promised := s.contest.promised
	promised[l.self.ID] = turn.Now + l.withMargin(l.promise(turn.Now, s.id, s.lease.Epoch))
	var actions []mulberrybeam.Action
	all := turn.Now >= promised[l.self.ID]
	for _, elector := range s.lease.Electors {
		if elector == s.lease.Holder || elector == l.self.ID {
			continue
		}
		until, ok := promised[elector]
		if !ok {
			message := mulberrybeam.Fence{From: l.self.ID, Slot: s.id, Epoch: s.lease.Epoch}
			actions = append(actions, l.ask(turn, s, elector, message)...)
		}
		all = all && ok && turn.Now >= until
	}
	return actions, all
}

func (l *Leaser) fenced(turn mulberrybeam.Turn, c peerCall, reply mulberrybeam.FenceReply) {
	contest := &c.slot.contest
	if !reply.Fenced || contest.epoch != c.epoch || contest.promised == nil {
		return
	}
	contest.promised[c.elector] = turn.Now + l.withMargin(reply.Remaining)
	for _, elector := range c.slot.lease.Electors {
		if _, ok := contest.promised[elector]; !ok && elector != c.slot.lease.Holder {
			return
		}
	}
	c.slot.next = turn.Now
}

func (l *Leaser) withMargin(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return l.timing.longer(remaining)
}

// ask calls an elector whose address is known.
func (l *Leaser) ask(turn mulberrybeam.Turn, s *slot, elector mulberrybeam.ProcessID, message mulberrybeam.Message) []mulberrybeam.Action {
	member, ok := l.members[elector]
	if !ok {
		return nil
	}
	ticket := l.newTicket(turn)
	l.peerCalls[ticket] = peerCall{slot: s, epoch: s.lease.Epoch, elector: elector, sentAt: turn.Now}
	return []mulberrybeam.Action{mulberrybeam.Call{
		To: elector, Address: member.Address, Message: message, Ticket: ticket, Timeout: peerTimeout,
	}}
}

func (l *Leaser) peerReplied(turn mulberrybeam.Turn, event mulberrybeam.ReplyReceived) []mulberrybeam.Action {
	c, ok := l.peerCalls[event.Ticket]
	if !ok {
		return nil
	}
	delete(l.peerCalls, event.Ticket)
	if event.Err != nil {
		return nil
	}
	switch reply := event.Message.(type) {
	case mulberrybeam.FenceReply:
		l.fenced(turn, c, reply)
	case mulberrybeam.ExtendReply:
		return l.extended(turn, c, reply)
	}
	return nil
}

// rank is the place of this process among those that may take a slot: who
// holds the fewest slots comes first, then rendezvous hashing decides.
func (l *Leaser) rank(s *slot) int {
	held := l.held()
	own := held[l.self.ID]
	score := ranker.Score(s.name(), string(l.self.ID))
	rank := 0
	for id := range l.members {
		if id == l.self.ID || id == s.lease.Holder || !l.alive(id) {
			continue
		}
		better := ranker.Score(s.name(), string(id)) > score
		if held[id] < own || held[id] == own && better {
			rank++
		}
	}
	return rank
}

// held counts the slots per process as far as known.
func (l *Leaser) held() map[mulberrybeam.ProcessID]int {
	held := make(map[mulberrybeam.ProcessID]int, len(l.slots))
	for number, s := range l.slots {
		holder := s.lease.Holder
		if fact, ok := l.holders[number]; ok && fact.Epoch > s.lease.Epoch {
			holder = fact.Holder
		}
		if holder != "" {
			held[holder]++
		}
	}
	return held
}

func (l *Leaser) alive(id mulberrybeam.ProcessID) bool {
	return l.members[id].State == mulberrybeam.MemberAlive
}

// others returns the first live processes of the zone but this one.
func (l *Leaser) others(key string, count int) []mulberrybeam.ProcessID {
	ids := make([]mulberrybeam.ProcessID, 0, len(l.members))
	for id := range l.members {
		if id != l.self.ID && l.alive(id) {
			ids = append(ids, id)
		}
	}
	return ranker.Top(key, ids, count)
}

func contains(ids []mulberrybeam.ProcessID, id mulberrybeam.ProcessID) bool {
	return slices.Contains(ids, id)
}
