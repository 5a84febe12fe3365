package leaser

import (
	"time"

	"mulberrybeam"
)

// maxElectors bounds the electors of a slot, and with them the promises that
// a take-over needs.
const maxElectors = 5

// keep renews, extends or releases a slot whose object names this process.
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

func (l *Leaser) renewal(s *slot) mulberrybeam.SlotLease {
	epoch := s.lease.Epoch
	if s.fenced {
		// Electors promised another process never to extend this epoch.
		epoch = s.highest + 1
	}
	return mulberrybeam.SlotLease{
		Holder: l.self.ID, Address: l.self.Address, Epoch: epoch, Electors: l.electors(s),
	}
}

// extend asks electors for one more lease length when a renewal is overdue.
// A right that has lapsed may be extended too: as long as one elector of the
// record has not fenced the epoch, nobody has taken over.
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

func (l *Leaser) extended(turn mulberrybeam.Turn, c peerCall, reply mulberrybeam.ExtendReply) []mulberrybeam.Action {
	s := c.slot
	if !s.mine() || c.epoch != s.epoch || c.epoch != s.lease.Epoch {
		return nil
	}
	if !reply.Granted {
		// An elector that shuts down refuses too, without a fence.
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

// electors keeps those of the present record that are alive, so that a
// renewal with an unknown outcome leaves electors common to both records,
// and fills up with other live processes of the zone.
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

// balance releases one slot when another live process holds at least two
// fewer for a while.
func (l *Leaser) balance(turn mulberrybeam.Turn) []mulberrybeam.Action {
	own := 0
	var last *slot
	for _, s := range l.slots {
		if s.mine() && !s.releasing {
			own++
			// While the object API is down nobody could take the slot.
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

// fewest returns how many slots the live process with the fewest holds, at
// most own.
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

// balanceBackoff is the pause after a release for balance that nobody used.
const balanceBackoff = 5 * time.Minute
