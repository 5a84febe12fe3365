package leaser

import (
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// maxPollers is the maximum number of processes that poll a slot object held by
// another process. It is more than one since a process may be cut off from the
// object API.
const maxPollers = 3

// peerTimeout is the timeout of a call to an elector, which is in the same zone.
const peerTimeout = time.Second

// takeover is the state of an attempt to take over from the holder of an epoch.
type takeover struct {
	epoch mulberrybeam.Epoch
	// extensionsEnd is, for each elector that was fenced, the time by which
	// the extensions that it granted have ended.
	extensionsEnd map[mulberrybeam.ProcessID]time.Duration
}

// peerCall is a Fence or Extend call that awaits its answer.
type peerCall struct {
	slot    *slot
	epoch   mulberrybeam.Epoch
	elector mulberrybeam.ProcessID
	sentAt  time.Duration
}

// poll polls the object of a slot that this process does not hold.
func (l *Leaser) poll(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	l.expireCall(turn.Now, s)
	if s.call.open || turn.Now < s.nextCallAt {
		return nil
	}
	s.nextCallAt = turn.Now + l.jitter(turn, l.timing.PollInterval)
	if l.rank(s) >= maxPollers && len(s.pendingWrites) == 0 {
		s.readsInterrupted = true // no reads in the meantime
		return nil
	}
	return []mulberrybeam.Action{l.sendCall(turn, s, mulberrybeam.OpGet, nil)}
}

// tryAcquire acquires a slot, or prepares to, if the read that has just
// succeeded allows it.
func (l *Leaser) tryAcquire(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	if !l.mayAcquire(turn.Now, s) {
		return nil
	}
	seenFor := turn.Now - s.observedSince
	if s.lease.Holder != "" && !l.alive(s.lease.Holder) {
		// A dead holder does not renew, so an outage of the object API
		// adds no wait.
		seenFor = turn.Now - s.firstSeen
	}
	delay := time.Duration(l.rank(s)) * l.timing.RankDelay
	switch {
	case s.lease.Holder == "":
		if s.version != "" {
			delay += l.timing.ReleaseDelay
		}
		if seenFor < delay {
			s.nextCallAt = min(s.nextCallAt, s.observedSince+delay)
			return nil
		}
	case turn.Now-s.firstSeen >= l.timing.longer(l.timing.ExtensionLimit):
		// No extension lasts this long, so there is nothing to fence.
	case seenFor < l.timing.longer(l.timing.LeaseDuration)+delay:
		return nil
	default:
		actions, complete := l.fence(turn, s)
		if !complete {
			return actions
		}
	}
	return []mulberrybeam.Action{l.writeLease(turn, s, mulberrybeam.SlotLease{
		Holder: l.self.ID, Address: l.self.Address, Epoch: s.highestEpoch + 1, Electors: l.selectElectors(s),
	})}
}

// fence fences the epoch at all electors of the lease. It reports whether all
// have confirmed and the extensions that they granted have ended.
func (l *Leaser) fence(turn mulberrybeam.Turn, s *slot) ([]mulberrybeam.Action, bool) {
	if s.takeover.epoch != s.lease.Epoch || s.takeover.extensionsEnd == nil {
		s.takeover = takeover{epoch: s.lease.Epoch, extensionsEnd: map[mulberrybeam.ProcessID]time.Duration{}}
	}
	extensionsEnd := s.takeover.extensionsEnd
	extensionsEnd[l.self.ID] = turn.Now + l.withMargin(l.fenceEpoch(turn.Now, s.id, s.lease.Epoch))
	var actions []mulberrybeam.Action
	complete := turn.Now >= extensionsEnd[l.self.ID]
	for _, elector := range s.lease.Electors {
		if elector == s.lease.Holder || elector == l.self.ID {
			continue
		}
		until, ok := extensionsEnd[elector]
		if !ok {
			message := mulberrybeam.Fence{From: l.self.ID, Slot: s.id, Epoch: s.lease.Epoch}
			actions = append(actions, l.callElector(turn, s, elector, message)...)
		}
		complete = complete && ok && turn.Now >= until
	}
	return actions, complete
}

// handleFenceReply handles an elector's reply to a Fence.
func (l *Leaser) handleFenceReply(turn mulberrybeam.Turn, c peerCall, reply mulberrybeam.FenceReply) {
	takeover := &c.slot.takeover
	if !reply.Fenced || takeover.epoch != c.epoch || takeover.extensionsEnd == nil {
		return
	}
	takeover.extensionsEnd[c.elector] = turn.Now + l.withMargin(reply.Remaining)
	for _, elector := range c.slot.lease.Electors {
		if _, ok := takeover.extensionsEnd[elector]; !ok && elector != c.slot.lease.Holder {
			return
		}
	}
	c.slot.nextCallAt = turn.Now
}

// withMargin adds the drift margin to a remaining time reported by an elector.
func (l *Leaser) withMargin(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return l.timing.longer(remaining)
}

// callElector calls an elector if its address is known.
func (l *Leaser) callElector(turn mulberrybeam.Turn, s *slot, elector mulberrybeam.ProcessID, message mulberrybeam.Message) []mulberrybeam.Action {
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

// handlePeerReply handles an elector's reply.
func (l *Leaser) handlePeerReply(turn mulberrybeam.Turn, event mulberrybeam.ReplyReceived) []mulberrybeam.Action {
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
		l.handleFenceReply(turn, c, reply)
	case mulberrybeam.ExtendReply:
		return l.handleExtendReply(turn, c, reply)
	}
	return nil
}

// rank returns the position of this process among those that may take a slot,
// starting at 0. Processes with fewer slots come first, and rendezvous hashing
// decides between equals.
func (l *Leaser) rank(s *slot) int {
	counts := l.slotCounts()
	own := counts[l.self.ID]
	score := ranker.Score(s.name(), string(l.self.ID))
	rank := 0
	for id := range l.members {
		if id == l.self.ID || id == s.lease.Holder || !l.alive(id) {
			continue
		}
		better := ranker.Score(s.name(), string(id)) > score
		if counts[id] < own || counts[id] == own && better {
			rank++
		}
	}
	return rank
}

// slotCounts returns the number of slots per process, as far as known.
func (l *Leaser) slotCounts() map[mulberrybeam.ProcessID]int {
	counts := make(map[mulberrybeam.ProcessID]int, len(l.slots))
	for number, s := range l.slots {
		holder := s.lease.Holder
		if fact, ok := l.holderFacts[number]; ok && fact.Epoch > s.lease.Epoch {
			holder = fact.Holder
		}
		if holder != "" {
			counts[holder]++
		}
	}
	return counts
}

// alive reports whether a process is a live member of the zone.
func (l *Leaser) alive(id mulberrybeam.ProcessID) bool {
	return l.members[id].State == mulberrybeam.MemberAlive
}

// otherProcesses returns up to count live processes of the zone other than this
// one, in the rendezvous order of the key.
func (l *Leaser) otherProcesses(key string, count int) []mulberrybeam.ProcessID {
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
