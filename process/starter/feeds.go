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
	// pollMargin covers the delay of a call and the time for the next one.
	pollMargin = 700 * time.Millisecond
	// retryMargin is the margin for kinds with long deadlines. It also leaves
	// time for a second attempt.
	retryMargin = 1500 * time.Millisecond
	// revokeFraction is the fraction of the deadline for revoked API keys that one
	// call for the configuration may wait. An answer confirms the keys as of
	// when its call was sent, so the last confirmation can be two wait times
	// old, and requests with keys are refused from 0.95 of the deadline on.
	revokeFraction = 0.35
	// minWait and maxWait limit all wait times. The store allows at most 30 s.
	minWait = 200 * time.Millisecond
	maxWait = 30 * time.Second
	// targetWait is the wait time for targets.
	targetWait = 5 * time.Second
	// defaultConfigWithin, defaultEvacuateWithin and defaultVersionWithin
	// replace deadlines that the settings do not set.
	defaultConfigWithin   = 2 * time.Second
	defaultEvacuateWithin = 5 * time.Second
	defaultVersionWithin  = 8 * time.Second
)

// Pauses after a call that returned changes, so that changes in quick succession
// are fetched with one call.
const (
	changePause = 150 * time.Millisecond
	// crashPause is longer, because a crash creates one record for each
	// request that was in flight, and no deadline depends on the records.
	crashPause = 400 * time.Millisecond
	hostPause  = time.Second
	// renewalPause is the pause after a renewal of the leader of rollouts.
	renewalPause = 50 * time.Millisecond
	// maxUnscaledHosts is the number of entry hosts up to which the pauses apply
	// unchanged. With more hosts they grow in proportion, because each change
	// costs one call by every host.
	maxUnscaledHosts = 16
)

// Feed defines how one kind of objects is polled for changes.
type Feed struct {
	Kind mulberrybeam.ObjectKind
	// Wait is the longest time that one call waits for changes.
	Wait time.Duration
	// BatchDelay is the pause after a call that returned changes, in a fleet of at
	// most maxUnscaledHosts entry hosts.
	BatchDelay time.Duration
}

// Feeds returns the feeds for all kinds of objects, with wait times that meet the
// deadlines in bounds.
func Feeds(bounds mulberrybeam.HostBounds) []Feed {
	configWait := clampWait(orDefault(bounds.ConfigWithin, defaultConfigWithin) - pollMargin)
	if bounds.FailClosed && bounds.RevokeWithin > 0 {
		configWait = clampWait(min(configWait, time.Duration(revokeFraction*float64(bounds.RevokeWithin))))
	}
	feeds := []Feed{
		{mulberrybeam.ObjectDeployment, configWait, 0},
		{mulberrybeam.ObjectTarget, targetWait, changePause},
		{mulberrybeam.ObjectEvacuation, clampWait(orDefault(bounds.EvacuateWithin, defaultEvacuateWithin) - retryMargin), 0},
		{mulberrybeam.ObjectWeights, clampWait(orDefault(bounds.VersionWithin, defaultVersionWithin) - retryMargin), 0},
		{mulberrybeam.ObjectHost, maxWait, hostPause},
		leaseFeed(bounds),
		{mulberrybeam.ObjectCrash, maxWait, crashPause},
	}
	if bounds.UsesRollouts() {
		feeds = append(feeds, Feed{mulberrybeam.ObjectRollout, clampWait(bounds.RollbackWithin), 0})
	}
	return feeds
}

// leaseFeed returns the feed for leases. Where rollouts are in use, hosts stop
// sending to the new version unless they see its leader's renewals in time.
func leaseFeed(bounds mulberrybeam.HostBounds) Feed {
	if !bounds.UsesRollouts() {
		return Feed{mulberrybeam.ObjectLease, maxWait, changePause}
	}
	return Feed{mulberrybeam.ObjectLease, clampWait(bounds.RollbackWithin), renewalPause}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

func clampWait(wait time.Duration) time.Duration {
	return min(max(wait, minWait), maxWait)
}

// ScaleBatchDelay scales a feed's pause to the number of entry hosts.
func ScaleBatchDelay(pause time.Duration, hosts int) time.Duration {
	return max(pause, pause*time.Duration(hosts)/maxUnscaledHosts)
}
