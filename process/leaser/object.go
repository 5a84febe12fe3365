package leaser

import (
	"errors"
	"fmt"
	"time"

	"mulberrybeam"
)

// sendCall starts a call of the object API. There is at most one open call per
// slot.
func (l *Leaser) sendCall(turn mulberrybeam.Turn, s *slot, op mulberrybeam.ObjectOp, data []byte) mulberrybeam.Action {
	ticket := l.newTicket(turn)
	s.call = call{ticket: ticket, sentAt: turn.Now, open: true}
	l.objectCalls[ticket] = objectCall{slot: s, op: op, sentAt: turn.Now}
	object := mulberrybeam.Object{Kind: mulberrybeam.ObjectSlot, Name: s.name(), Data: data}
	if op == mulberrybeam.OpUpdate {
		object.Version = s.version
	}
	return mulberrybeam.CallObject{Op: op, Object: object, Ticket: ticket}
}

// writeLease sends an update of the current version of a slot object, or a
// create if it has none. The lease counts from this turn, so from before the
// write is sent.
func (l *Leaser) writeLease(turn mulberrybeam.Turn, s *slot, lease mulberrybeam.SlotLease) mulberrybeam.Action {
	op := mulberrybeam.OpUpdate
	if s.version == "" {
		op = mulberrybeam.OpCreate
	}
	lease.Slot = s.id
	lease.Nonce = fmt.Sprintf("%016x", turn.Rand.Uint64())
	action := l.sendCall(turn, s, op, l.encode(lease))
	s.pendingWrites = append(s.pendingWrites, pendingWrite{lease: lease, sentAt: turn.Now, ticket: s.call.ticket})
	return action
}

// expireCall closes the open call of a slot if its answer is overdue.
func (l *Leaser) expireCall(now time.Duration, s *slot) {
	if s.call.open && now-s.call.sentAt >= l.timing.CallTimeout {
		s.call.open = false
		s.outcomeUnknown = true
		s.readsInterrupted = true
		s.nextCallAt = now
	}
}

// handleObjectReply handles the answer to a call of the object API.
func (l *Leaser) handleObjectReply(turn mulberrybeam.Turn, event mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	c, ok := l.objectCalls[event.Ticket]
	if !ok {
		return nil
	}
	delete(l.objectCalls, event.Ticket)
	late := !c.slot.call.open || c.slot.call.ticket != event.Ticket
	if !late {
		c.slot.call.open = false
	}
	if c.op != mulberrybeam.OpGet {
		return l.handleWriteReply(turn, c.slot, event)
	}
	if late {
		// A newer version may already be known.
		return nil
	}
	return l.handleReadReply(turn, c.slot, event)
}

// handleWriteReply handles the answer to a write.
func (l *Leaser) handleWriteReply(turn mulberrybeam.Turn, s *slot, event mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	if event.Err != nil {
		// A conflict does not prove that the write failed, since the
		// client may have sent it twice. The nonce of the object does.
		s.outcomeUnknown = true
		s.nextCallAt = turn.Now
		if !hasCode(event.Err, mulberrybeam.CodeConflict) && !hasCode(event.Err, mulberrybeam.CodeExists) {
			s.readsInterrupted = true
			s.nextCallAt = turn.Now + l.jitter(turn, l.timing.RetryDelay)
		}
		return nil
	}
	for _, w := range s.pendingWrites {
		if w.ticket == event.Ticket {
			return l.confirmWrite(turn, s, w, event.Object.Version)
		}
	}
	return nil
}

// handleReadReply handles the answer to a read.
func (l *Leaser) handleReadReply(turn mulberrybeam.Turn, s *slot, event mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	var lease mulberrybeam.SlotLease
	err := event.Err
	absent := hasCode(err, mulberrybeam.CodeNotFound)
	if err == nil {
		lease, err = l.decode(event.Object.Data)
	}
	if err != nil && !absent {
		s.readsInterrupted = true
		s.nextCallAt = turn.Now + l.jitter(turn, l.timing.RetryDelay)
		return nil
	}
	s.outcomeUnknown = false
	for _, w := range s.pendingWrites {
		if !absent && w.lease.Nonce == lease.Nonce {
			return l.confirmWrite(turn, s, w, event.Object.Version)
		}
	}
	if s.readsInterrupted {
		s.observedSince, s.readsInterrupted = turn.Now, false
	}
	var actions []mulberrybeam.Action
	if s.namesSelf() && lease.Holder != l.self.ID {
		actions = s.endOwnership(turn.Now, fmt.Sprintf("taken over by %q at epoch %d", lease.Holder, lease.Epoch))
		s.releasing = false
	}
	s.storeVersion(turn.Now, event.Object.Version, lease)
	if s.namesSelf() {
		s.nextCallAt = turn.Now
		return actions
	}
	return append(actions, l.tryAcquire(turn, s)...)
}

// confirmWrite handles a write of this process that is known to have succeeded.
func (l *Leaser) confirmWrite(turn mulberrybeam.Turn, s *slot, w pendingWrite, version string) []mulberrybeam.Action {
	s.pendingWrites = nil
	s.storeVersion(turn.Now, version, w.lease)
	s.outcomeUnknown, s.readsInterrupted = false, false
	s.takeover = takeover{}
	if w.lease.Holder == "" {
		s.releasing = false
		s.nextCallAt = turn.Now + l.timing.PollInterval
		return []mulberrybeam.Action{s.note("released"), l.raiseSlotFact(s)}
	}
	s.confirmedAt = w.sentAt
	s.nextCallAt = w.sentAt + l.timing.RenewalInterval
	if s.releasing {
		s.nextCallAt = turn.Now
	}
	until := w.sentAt + l.timing.shorter(l.timing.LeaseDuration)
	if s.epoch == w.lease.Epoch {
		return l.extendOwnership(turn, s, until)
	}
	s.epoch, s.until, s.active = w.lease.Epoch, 0, false
	s.takenOver = s.epoch > 1
	s.extensionRefused = false
	if s.releasedForBalance {
		// No other process acquired the slot after its release.
		s.releasedForBalance = false
		l.nextBalanceAt = turn.Now + rebalanceBackoff
	}
	return l.extendOwnership(turn, s, until)
}

// extendOwnership extends ownership until a later time and informs the other
// state machines.
func (l *Leaser) extendOwnership(turn mulberrybeam.Turn, s *slot, until time.Duration) []mulberrybeam.Action {
	s.until = max(s.until, until)
	if s.until <= turn.Now || s.releasing || l.draining || s.retired {
		return nil
	}
	var actions []mulberrybeam.Action
	acquired := !s.active
	if acquired {
		s.active, s.since = true, turn.Now
		s.refreshFactAt = turn.Now + l.timing.RefreshInterval
	}
	actions = append(actions, mulberrybeam.EmitEvent{Event: mulberrybeam.SlotOwnershipChanged{Ownership: s.ownership()}})
	if acquired {
		actions = append(actions, l.raiseSlotFact(s), s.note(fmt.Sprintf("slot held at epoch %d", s.epoch)))
	}
	return append(actions, mulberrybeam.PublishSnapshot{})
}

// raiseSlotFact raises the fact that names the holder of a slot.
func (l *Leaser) raiseSlotFact(s *slot) mulberrybeam.Action {
	fact := mulberrybeam.SlotFact{
		Zone: s.id.Zone, Slot: s.id.Number, Epoch: s.lease.Epoch,
		Holder: s.lease.Holder, Address: s.lease.Address,
	}
	return mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
		Kind: mulberrybeam.FactSlot, Key: s.name(), TTL: l.timing.FactTTL, Slot: &fact,
	}}}
}

// jitter returns a random duration between half and one and a half times the
// given one.
func (l *Leaser) jitter(turn mulberrybeam.Turn, duration time.Duration) time.Duration {
	return duration/2 + time.Duration(turn.Rand.Int64N(int64(duration)))
}

func hasCode(err error, code mulberrybeam.Code) bool {
	var failure *mulberrybeam.Failure
	return errors.As(err, &failure) && failure.Code == code
}
