package leaser

import (
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// maxContenders is the maximum number of processes that poll a slot object held
// by another process. It is more than one since a process may be cut off from
// the object API.
const maxContenders = 3

// peerTimeout is the timeout of a call to an elector, which is in the same zone.
const peerTimeout = time.Second

// contest is the state of an attempt to take over from the holder of an epoch.
type contest struct {
	epoch mulberrybeam.Epoch
	// promised is, for each elector that was fenced, the time by which the
	// extensions that it granted have ended.
	promised map[mulberrybeam.ProcessID]time.Duration
}

// peerCall is a Fence or Extend call that awaits its answer.
type peerCall struct {
	slot    *slot
	epoch   mulberrybeam.Epoch
	elector mulberrybeam.ProcessID
	sentAt  time.Duration
}

// contend polls the object of a slot that this process does not hold.
func (l *Leaser) contend(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	l.lost(turn.Now, s)
	if s.call.open || turn.Now < s.next {
		return nil
	}
	s.next = turn.Now + l.jitter(turn, l.timing.Poll)
	if l.rank(s) >= maxContenders && len(s.writes) == 0 {
		s.stale = true // no reads in the meantime
		return nil
	}
	return []mulberrybeam.Action{l.send(turn, s, mulberrybeam.OpGet, nil)}
}

// pursue acquires a slot, or prepares to, if the read that has just succeeded
// allows it.
func (l *Leaser) pursue(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	if !l.mayAcquire(turn.Now, s) {
		return nil
	}
	seen := turn.Now - s.seenSince
	if s.lease.Holder != "" && !l.alive(s.lease.Holder) {
		// A dead holder does not renew, so an outage of the object API
		// adds no wait.
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

// fence fences the epoch at all electors of the lease. It reports whether all
// have confirmed and the extensions that they granted have ended.
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

// fenced handles an elector's reply to a Fence.
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

// withMargin adds the drift margin to a remaining time reported by an elector.
func (l *Leaser) withMargin(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return l.timing.longer(remaining)
}

// ask calls an elector if its address is known.
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

// peerReplied handles an elector's reply.
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

// rank returns the position of this process among those that may take a slot,
// starting at 0. Processes with fewer slots come first, and rendezvous hashing
// decides between equals.
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

// held returns the number of slots per process, as far as known.
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

// alive reports whether a process is a live member of the zone.
func (l *Leaser) alive(id mulberrybeam.ProcessID) bool {
	return l.members[id].State == mulberrybeam.MemberAlive
}

// others returns up to count live processes of the zone other than this one, in
// the rendezvous order of the key.
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
