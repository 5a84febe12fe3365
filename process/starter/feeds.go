package starter

import (
	"time"

	"mulberrybeam"
)

// Wait times of the calls that poll the store for changes of one kind of
// objects. The store may drop a waiting call without an error, which is noticed
// only when the wait time is over. If changes of a kind must take effect within
// a deadline, the wait time is shorter than the deadline by a margin.
const (
	// cutMargin covers the delay of a call and the time for the next one.
	cutMargin = 700 * time.Millisecond
	// slowMargin is the margin for kinds with long deadlines. It also leaves
	// time for a second attempt.
	slowMargin = 1500 * time.Millisecond
	// revokeShare is the fraction of the deadline for revoked API keys that one
	// call for the configuration may wait. An answer confirms the keys as of
	// when its call was sent, so the last confirmation can be two wait times
	// old, and requests with keys are refused from 0.95 of the deadline on.
	revokeShare = 0.35
	// shortestWait and longestWait limit all wait times. The store allows at
	// most 30 s.
	shortestWait = 200 * time.Millisecond
	longestWait  = 30 * time.Second
	// targetWait is the wait time for targets.
	targetWait = 5 * time.Second
	// usualConfig, usualEvacuation and usualWeights replace deadlines that the
	// settings do not set.
	usualConfig     = 2 * time.Second
	usualEvacuation = 5 * time.Second
	usualWeights    = 8 * time.Second
)

// Pauses after a call that returned changes, so that changes in quick succession
// are fetched with one call.
const (
	settle = 150 * time.Millisecond
	// crashSettle is longer, because a crash creates one record for each
	// request that was in flight, and no deadline depends on the records.
	crashSettle = 400 * time.Millisecond
	hostSettle  = time.Second
	// settleHosts is the number of entry hosts up to which the pauses apply
	// unchanged. With more hosts they grow in proportion, because each change
	// costs one call by every host.
	settleHosts = 16
)

// Feed defines how one kind of objects is polled for changes.
type Feed struct {
	Kind mulberrybeam.ObjectKind
	// Wait is the longest time that one call waits for changes.
	Wait time.Duration
	// Settle is the pause after a call that returned changes, in a fleet of at
	// most settleHosts entry hosts.
	Settle time.Duration
}

// Feeds returns the feeds for all kinds of objects, with wait times that meet the
// deadlines in bounds.
func Feeds(bounds mulberrybeam.HostBounds) []Feed {
	config := within(orUsual(bounds.ConfigWithin, usualConfig) - cutMargin)
	if bounds.FailClosed && bounds.RevokeWithin > 0 {
		config = within(min(config, time.Duration(revokeShare*float64(bounds.RevokeWithin))))
	}
	return []Feed{
		{mulberrybeam.ObjectDeployment, config, 0},
		{mulberrybeam.ObjectTarget, targetWait, settle},
		{mulberrybeam.ObjectEvacuation, within(orUsual(bounds.EvacuateWithin, usualEvacuation) - slowMargin), 0},
		{mulberrybeam.ObjectWeights, within(orUsual(bounds.VersionWithin, usualWeights) - slowMargin), 0},
		{mulberrybeam.ObjectHost, longestWait, hostSettle},
		{mulberrybeam.ObjectLease, longestWait, settle},
		{mulberrybeam.ObjectCrash, longestWait, crashSettle},
	}
}

func orUsual(bound, usual time.Duration) time.Duration {
	if bound <= 0 {
		return usual
	}
	return bound
}

func within(wait time.Duration) time.Duration {
	return min(max(wait, shortestWait), longestWait)
}

// SettleFor scales a feed's pause to the number of entry hosts.
func SettleFor(pause time.Duration, hosts int) time.Duration {
	return max(pause, pause*time.Duration(hosts)/settleHosts)
}
