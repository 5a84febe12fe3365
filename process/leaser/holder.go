package leaser

import (
	"time"

	"mulberrybeam"
)

// maxElectors is the maximum number of electors of a slot, all of which must be
// fenced before a takeover.
const maxElectors = 5

// keep renews, extends or releases a slot whose object names this process as
// holder.
func (l *Leaser) keep(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if (l.draining || s.retired) && !s.releasing {
		actions = s.startRelease(turn.Now)
	}
	if s.active && turn.Now >= s.restateAt {
		s.restateAt = turn.Now + l.timing.Restate
		actions = append(actions, l.state(s))
	}
	actions = append(actions, l.extend(turn, s)...)
	l.lost(turn.Now, s)
	if s.call.open || turn.Now < s.next {
		return actions
	}
	switch {
	case s.verify:
		return append(actions, l.send(turn, s, mulberrybeam.OpGet, nil))
	case s.releasing:
		return append(actions, l.write(turn, s, mulberrybeam.SlotLease{Epoch: s.lease.Epoch}))
	}
	return append(actions, l.write(turn, s, l.renewal(s)))
}

// renewal returns the lease to write at the next renewal.
func (l *Leaser) renewal(s *slot) mulberrybeam.SlotLease {
	epoch := s.lease.Epoch
	if s.fenced {
		// Electors that were fenced never extend this epoch again.
		epoch = s.highest + 1
	}
	return mulberrybeam.SlotLease{
		Holder: l.self.ID, Address: l.self.Address, Epoch: epoch, Electors: l.electors(s),
	}
}

// extend asks the electors to extend the right by one lease duration when a
// renewal is overdue. An expired right may be extended too: as long as one
// elector of the lease has not fenced the epoch, no process has taken over.
func (l *Leaser) extend(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	limit := s.confirmed + l.timing.shorter(l.timing.ExtensionLimit)
	switch {
	case s.releasing || s.epoch != s.lease.Epoch,
		s.until-turn.Now > l.timing.Lease/2,
		turn.Now < s.extendNext,
		turn.Now >= limit || s.until >= limit:
		return nil
	}
	s.extendNext = turn.Now + l.timing.Retry
	var actions []mulberrybeam.Action
	for _, elector := range s.ownElectors() {
		message := mulberrybeam.Extend{From: l.self.ID, Slot: s.id, Epoch: s.epoch}
		actions = append(actions, l.ask(turn, s, elector, message)...)
	}
	return actions
}

// extended handles an elector's reply to an Extend.
func (l *Leaser) extended(turn mulberrybeam.Turn, c peerCall, reply mulberrybeam.ExtendReply) []mulberrybeam.Action {
	s := c.slot
	if !s.mine() || c.epoch != s.epoch || c.epoch != s.lease.Epoch {
		return nil
	}
	if !reply.Granted {
		// An elector that is shutting down refuses as well, without
		// having fenced the epoch.
		s.fenced = s.fenced || l.alive(c.elector)
		return nil
	}
	limit := s.confirmed + l.timing.shorter(l.timing.ExtensionLimit)
	until := min(c.sentAt+l.timing.shorter(l.timing.Lease), limit)
	if until <= s.until || until <= turn.Now {
		return nil
	}
	return l.prolong(turn, s, until)
}

// electors selects the electors of the next lease. It keeps the live electors of
// the current lease, so that both leases have electors in common if the outcome
// of the renewal is unknown, and adds other live processes of the zone.
func (l *Leaser) electors(s *slot) []mulberrybeam.ProcessID {
	chosen := make([]mulberrybeam.ProcessID, 0, maxElectors)
	add := func(ids []mulberrybeam.ProcessID) {
		for _, id := range ids {
			if len(chosen) < maxElectors && id != l.self.ID && l.alive(id) && !contains(chosen, id) {
				chosen = append(chosen, id)
			}
		}
	}
	add(s.lease.Electors)
	add(l.others(s.name(), maxElectors))
	return chosen
}

// balance releases one slot when another live process has held at least two
// slots fewer than this one for Timing.BalanceDelay.
func (l *Leaser) balance(turn mulberrybeam.Turn) []mulberrybeam.Action {
	own := 0
	var last *slot
	for _, s := range l.slots {
		if s.mine() && !s.releasing {
			own++
			// While the object API is down, no process could acquire
			// the slot.
			if s.active && !s.verify && turn.Now-s.confirmed < 2*l.timing.Renewal {
				last = s
			}
		}
	}
	if last == nil || l.draining || own-l.fewest(own) < 2 {
		l.unevenSince = 0
		return nil
	}
	if l.unevenSince == 0 {
		l.unevenSince = turn.Now
	}
	if turn.Now-l.unevenSince < l.timing.BalanceDelay || turn.Now < l.evenAfter {
		return nil
	}
	l.unevenSince, l.evenAfter = 0, turn.Now+l.timing.BalancePause
	last.balanced = true
	return last.startRelease(turn.Now)
}

// fewest returns the smallest number of slots held by a live process of the zone,
// where own is the number held by this process.
func (l *Leaser) fewest(own int) int {
	if own < 2 {
		return own
	}
	held := l.held()
	for id := range l.members {
		if id != l.self.ID && l.alive(id) {
			own = min(own, held[id])
		}
	}
	return own
}

// balanceBackoff is the pause after this process got back a slot that it had
// released for balance.
const balanceBackoff = 5 * time.Minute
