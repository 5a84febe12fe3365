package leaser

import (
	"time"

	"mulberrybeam"
)

// promise is the state of this process as an elector of a slot. It is kept in
// memory only: a restarted process has a new ID, and the elector with the old
// ID counts as unreachable.
type promise struct {
	// fenced is the highest fenced epoch. It and earlier ones are never
	// extended again.
	fenced mulberrybeam.Epoch
	// grantedUntil is when the last granted extension ends.
	grantedUntil time.Duration
}

// elect handles the Fence and Extend messages sent to this process as an
// elector.
func (l *Leaser) elect(turn mulberrybeam.Turn, event mulberrybeam.MessageReceived) []mulberrybeam.Action {
	switch message := event.Message.(type) {
	case mulberrybeam.Fence:
		remaining := l.promise(turn.Now, message.Slot, message.Epoch)
		return []mulberrybeam.Action{mulberrybeam.Reply{
			Ticket:  event.Ticket,
			Message: mulberrybeam.FenceReply{Fenced: true, Remaining: remaining},
		}}
	case mulberrybeam.Extend:
		return []mulberrybeam.Action{mulberrybeam.Reply{
			Ticket:  event.Ticket,
			Message: mulberrybeam.ExtendReply{Granted: l.grant(turn.Now, message)},
		}}
	}
	return nil
}

// promise fences an epoch and returns how long a granted extension may still
// last. It includes an extension that an earlier process at the same address may
// have granted just before this one started, since the caller may have meant
// that process.
func (l *Leaser) promise(now time.Duration, id mulberrybeam.Slot, epoch mulberrybeam.Epoch) time.Duration {
	p := l.promises[id]
	p.fenced = max(p.fenced, epoch)
	l.promises[id] = p
	earlier := l.timing.longer(l.timing.Lease) - now
	return max(0, p.grantedUntil-now, earlier)
}

// grant handles a request to extend a right, and reports whether it is granted.
func (l *Leaser) grant(now time.Duration, message mulberrybeam.Extend) bool {
	p := l.promises[message.Slot]
	// A leaving process may stop before another process can fence the epoch.
	if l.draining || message.Epoch <= p.fenced {
		return false
	}
	p.grantedUntil = max(p.grantedUntil, now+l.timing.Lease)
	l.promises[message.Slot] = p
	return true
}
