// Package agechecker decides how long a host may rely on what followers tell it of
// one kind of objects, instead of asking the store itself. All times are of the
// host's own monotonic clock.
package agechecker

import (
	"time"

	"mulberrybeam"
)

// Check holds what is relied on for one kind. It is not safe for concurrent use.
type Check struct {
	// MaxAge is how long a confirmation may be relied on.
	MaxAge time.Duration
	// EntryWait is how long the first answer may take after a call to the store.
	EntryWait time.Duration

	// listedAt is when this host itself last listed the objects. Calls of followers
	// before it may have seen a history that the store has lost since.
	listedAt time.Duration
	// usableUntil is until when a follower could answer, by its last answer.
	usableUntil time.Duration
	// relying is set from Begin to End. completeAt is then
	// when this host's records were last confirmed, and enteredAt when it began to
	// rely on followers.
	relying    bool
	enteredAt  time.Duration
	completeAt time.Duration
	confirmed  bool
	// quietFrom and version are versions of this host between which there are no
	// changes of the kind.
	quietFrom mulberrybeam.StoreVersion
	version   mulberrybeam.StoreVersion
	known     bool
}

// List records that this host listed the objects with a call sent at sentAt. What
// followers confirmed before is not relied on any more.
func (c *Check) List(version string, sentAt time.Duration) {
	*c = Check{MaxAge: c.MaxAge, EntryWait: c.EntryWait, listedAt: sentAt}
	c.quietFrom, c.known = mulberrybeam.ParseStoreVersion(version)
	c.version = c.quietFrom
}

// Advance records that this host's records are now those of the version.
func (c *Check) Advance(version string, changed bool) {
	c.version, c.known = mulberrybeam.ParseStoreVersion(version)
	if changed || c.quietFrom.Era != c.version.Era || c.quietFrom.Revision > c.version.Revision {
		c.quietFrom = c.version
	}
}

// Invalidate makes followers unusable until the next answer.
func (c *Check) Invalidate() { c.usableUntil = 0 }

// End records that this host does not rely on a follower any more, but asks the store.
func (c *Check) End() { c.relying = false }

// Usable reports whether a follower can be relied on.
func (c *Check) Usable(now time.Duration) bool { return now < c.usableUntil }

// Begin records that this host relies on a follower's next answer.
func (c *Check) Begin(now time.Duration) {
	if !c.relying {
		c.relying, c.confirmed, c.enteredAt = true, false, now
	}
}

// Deadline returns when this host must ask the store unless a follower answers.
func (c *Check) Deadline() time.Duration {
	if !c.confirmed {
		return c.enteredAt + c.EntryWait
	}
	return c.completeAt + c.MaxAge
}

// Accept records a follower's answer to an ask that was sent at sentAt, and returns
// when the answer was confirmed and whether it may be used. If it may be used, the
// changes in it are all that this host lacks. They are not sent with a probe,
// which therefore confirms nothing.
//
// The follower read the ask after sentAt, so that it sent its call to the store at
// sentAt+Offset or later, whatever time the messages took and however long either
// process was frozen.
func (c *Check) Accept(state mulberrybeam.PropagationState, probe bool, sentAt, now time.Duration) (time.Duration, bool) {
	confirmedAt := sentAt + state.Offset
	if state.Status != mulberrybeam.StatusCurrent || !c.continues(state) {
		return 0, false
	}
	if confirmedAt > now || confirmedAt <= c.listedAt || now-confirmedAt >= c.MaxAge {
		return 0, false
	}
	c.usableUntil = max(c.usableUntil, confirmedAt+c.MaxAge)
	if probe || !c.relying {
		return 0, false
	}
	if !c.confirmed || confirmedAt > c.completeAt {
		c.completeAt = confirmedAt
	}
	c.confirmed = true
	return c.completeAt, true
}

// continues reports whether the answer begins where this host's records end, and
// is not older than they are. Versions of another era are neither.
func (c *Check) continues(state mulberrybeam.PropagationState) bool {
	since, sinceKnown := mulberrybeam.ParseStoreVersion(state.Since)
	next, nextKnown := mulberrybeam.ParseStoreVersion(state.Next)
	if !c.known || !sinceKnown || !nextKnown || since.Era != c.version.Era || next.Era != c.version.Era {
		return false
	}
	return since.Revision >= c.quietFrom.Revision && since.Revision <= c.version.Revision && next.Revision >= c.version.Revision
}
