package leaser

import (
	"time"

	"mulberrybeam"
)

// maxElectors is the maximum number of electors of a slot, all of which must be
// fenced before a takeover.
const maxElectors = 5

// maintain renews, extends or releases a slot whose object names this process
// as holder.
func (l *Leaser) maintain(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if (l.draining || s.retired) && !s.releasing {
		actions = s.startRelease(turn.Now)
	}
	if s.active && turn.Now >= s.refreshFactAt {
		s.refreshFactAt = turn.Now + l.timing.RefreshInterval
		actions = append(actions, l.raiseSlotFact(s))
	}
	actions = append(actions, l.requestExtension(turn, s)...)
	l.expireCall(turn.Now, s)
	if s.call.open || turn.Now < s.nextCallAt {
		return actions
	}
	switch {
	case s.outcomeUnknown:
		return append(actions, l.sendCall(turn, s, mulberrybeam.OpGet, nil))
	case s.releasing:
		return append(actions, l.writeLease(turn, s, mulberrybeam.SlotLease{Epoch: s.lease.Epoch}))
	}
	return append(actions, l.writeLease(turn, s, l.renewedLease(s)))
}

// renewedLease returns the lease to write at the next renewal.
func (l *Leaser) renewedLease(s *slot) mulberrybeam.SlotLease {
	epoch := s.lease.Epoch
	if s.extensionRefused {
		// Electors that were fenced never extend this epoch again.
		epoch = s.highestEpoch + 1
	}
	return mulberrybeam.SlotLease{
		Holder: l.self.ID, Address: l.self.Address, Epoch: epoch, Electors: l.selectElectors(s),
	}
}

// requestExtension asks the electors to extend ownership by one lease duration
// when a renewal is overdue. Expired ownership may be extended too: as long as
// one elector of the lease has not fenced the epoch, no process has taken over.
func (l *Leaser) requestExtension(turn mulberrybeam.Turn, s *slot) []mulberrybeam.Action {
	limit := s.confirmedAt + l.timing.shorter(l.timing.ExtensionLimit)
	switch {
	case s.releasing || s.epoch != s.lease.Epoch,
		s.until-turn.Now > l.timing.LeaseDuration/2,
		turn.Now < s.nextExtendAt,
		turn.Now >= limit || s.until >= limit:
		return nil
	}
	s.nextExtendAt = turn.Now + l.timing.RetryDelay
	var actions []mulberrybeam.Action
	for _, elector := range s.commonElectors() {
		message := mulberrybeam.Extend{From: l.self.ID, Slot: s.id, Epoch: s.epoch}
		actions = append(actions, l.callElector(turn, s, elector, message)...)
	}
	return actions
}

// handleExtendReply handles an elector's reply to an Extend.
func (l *Leaser) handleExtendReply(turn mulberrybeam.Turn, c peerCall, reply mulberrybeam.ExtendReply) []mulberrybeam.Action {
	s := c.slot
	if !s.namesSelf() || c.epoch != s.epoch || c.epoch != s.lease.Epoch {
		return nil
	}
	if !reply.Granted {
		// An elector that is shutting down refuses as well, without
		// having fenced the epoch.
		s.extensionRefused = s.extensionRefused || l.alive(c.elector)
		return nil
	}
	limit := s.confirmedAt + l.timing.shorter(l.timing.ExtensionLimit)
	until := min(c.sentAt+l.timing.shorter(l.timing.LeaseDuration), limit)
	if until <= s.until || until <= turn.Now {
		return nil
	}
	return l.extendOwnership(turn, s, until)
}

// selectElectors selects the electors of the next lease. It keeps the live
// electors of the current lease, so that both leases have electors in common if
// the outcome of the renewal is unknown, and adds other live processes of the
// zone.
func (l *Leaser) selectElectors(s *slot) []mulberrybeam.ProcessID {
	chosen := make([]mulberrybeam.ProcessID, 0, maxElectors)
	add := func(ids []mulberrybeam.ProcessID) {
		for _, id := range ids {
			if len(chosen) < maxElectors && id != l.self.ID && l.alive(id) && !contains(chosen, id) {
				chosen = append(chosen, id)
			}
		}
	}
	add(s.lease.Electors)
	add(l.otherProcesses(s.name(), maxElectors))
	return chosen
}

// rebalance releases one slot when another live process has held at least two
// slots fewer than this one for Timing.BalanceDelay.
func (l *Leaser) rebalance(turn mulberrybeam.Turn) []mulberrybeam.Action {
	own := 0
	var candidate *slot
	for _, s := range l.slots {
		if s.namesSelf() && !s.releasing {
			own++
			// While the object API is down, no process could acquire
			// the slot.
			if s.active && !s.outcomeUnknown && turn.Now-s.confirmedAt < 2*l.timing.RenewalInterval {
				candidate = s
			}
		}
	}
	if candidate == nil || l.draining || own-l.fewestSlots(own) < 2 {
		l.imbalancedSince = 0
		return nil
	}
	if l.imbalancedSince == 0 {
		l.imbalancedSince = turn.Now
	}
	if turn.Now-l.imbalancedSince < l.timing.BalanceDelay || turn.Now < l.nextBalanceAt {
		return nil
	}
	l.imbalancedSince, l.nextBalanceAt = 0, turn.Now+l.timing.BalancePause
	candidate.releasedForBalance = true
	return candidate.startRelease(turn.Now)
}

// fewestSlots returns the smallest number of slots held by a live process of
// the zone, where own is the number held by this process.
func (l *Leaser) fewestSlots(own int) int {
	if own < 2 {
		return own
	}
	counts := l.slotCounts()
	for id := range l.members {
		if id != l.self.ID && l.alive(id) {
			own = min(own, counts[id])
		}
	}
	return own
}

// rebalanceBackoff is the pause after this process got back a slot that it had
// released for balance.
const rebalanceBackoff = 5 * time.Minute
