package leaser

import (
	"time"

	"mulberrybeam"
)

// electorState is the state of this process as an elector of a slot. It is kept
// in memory only: a restarted process has a new ID, and the elector with the
// old ID counts as unreachable.
type electorState struct {
	// fencedEpoch is the highest fenced epoch. It and earlier ones are
	// never extended again.
	fencedEpoch mulberrybeam.Epoch
	// grantedUntil is when the last granted extension ends.
	grantedUntil time.Duration
}

// handleElectorMessage handles the Fence and Extend messages sent to this
// process as an elector.
func (l *Leaser) handleElectorMessage(turn mulberrybeam.Turn, event mulberrybeam.MessageReceived) []mulberrybeam.Action {
	switch message := event.Message.(type) {
	case mulberrybeam.Fence:
		remaining := l.fenceEpoch(turn.Now, message.Slot, message.Epoch)
		return []mulberrybeam.Action{mulberrybeam.Reply{
			Ticket:  event.Ticket,
			Message: mulberrybeam.FenceReply{Fenced: true, Remaining: remaining},
		}}
	case mulberrybeam.Extend:
		return []mulberrybeam.Action{mulberrybeam.Reply{
			Ticket:  event.Ticket,
			Message: mulberrybeam.ExtendReply{Granted: l.grantExtension(turn.Now, message)},
		}}
	}
	return nil
}

// fenceEpoch fences an epoch and returns how long a granted extension may still
// last. It includes an extension that an earlier process at the same address
// may have granted just before this one started, since the caller may have
// meant that process.
func (l *Leaser) fenceEpoch(now time.Duration, id mulberrybeam.Slot, epoch mulberrybeam.Epoch) time.Duration {
	state := l.electorStates[id]
	state.fencedEpoch = max(state.fencedEpoch, epoch)
	l.electorStates[id] = state
	inherited := l.timing.longer(l.timing.LeaseDuration) - now
	return max(0, state.grantedUntil-now, inherited)
}

// grantExtension handles a request to extend ownership, and reports whether it
// is granted.
func (l *Leaser) grantExtension(now time.Duration, message mulberrybeam.Extend) bool {
	state := l.electorStates[message.Slot]
	// A leaving process may stop before another process can fence the epoch.
	if l.draining || message.Epoch <= state.fencedEpoch {
		return false
	}
	state.grantedUntil = max(state.grantedUntil, now+l.timing.LeaseDuration)
	l.electorStates[message.Slot] = state
	return true
}
