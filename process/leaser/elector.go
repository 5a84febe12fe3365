package leaser

import (
	"time"

	"mulberrybeam"
)

// promise is what this process granted and promised for a slot. It is kept
// in memory only: a restarted process has another id and counts as
// unreachable.
type promise struct {
	// fenced is the highest epoch that is never extended again.
	fenced mulberrybeam.Epoch
	// grantedUntil is when the last extension ends.
	grantedUntil time.Duration
}

// elect answers as an elector.
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

// promise fences an epoch and returns how long an extension may still run.
// An earlier process at the same address may have granted one shortly before
// this process started, and the asker may have its id.
func (l *Leaser) promise(now time.Duration, id mulberrybeam.Slot, epoch mulberrybeam.Epoch) time.Duration {
	p := l.promises[id]
	p.fenced = max(p.fenced, epoch)
	l.promises[id] = p
	earlier := l.timing.longer(l.timing.Lease) - now
	return max(0, p.grantedUntil-now, earlier)
}

func (l *Leaser) grant(now time.Duration, message mulberrybeam.Extend) bool {
	p := l.promises[message.Slot]
	// A process that is about to leave could no longer be fenced.
	if l.draining || message.Epoch <= p.fenced {
		return false
	}
	p.grantedUntil = max(p.grantedUntil, now+l.timing.Lease)
	l.promises[message.Slot] = p
	return true
}
