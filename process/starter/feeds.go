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
	return []Feed{
		{mulberrybeam.ObjectDeployment, configWait(bounds), 0},
		{mulberrybeam.ObjectTarget, targetWait, changePause},
		{mulberrybeam.ObjectEvacuation, clampWait(orDefault(bounds.EvacuateWithin, defaultEvacuateWithin) - retryMargin), 0},
		{mulberrybeam.ObjectWeights, clampWait(orDefault(bounds.VersionWithin, defaultVersionWithin) - retryMargin), 0},
		{mulberrybeam.ObjectHost, maxWait, hostPause},
		{mulberrybeam.ObjectLease, maxWait, changePause},
		{mulberrybeam.ObjectCrash, maxWait, crashPause},
	}
}

// configWait returns the longest wait of a call for the configuration.
func configWait(bounds mulberrybeam.HostBounds) time.Duration {
	wait := clampWait(orDefault(bounds.ConfigWithin, defaultConfigWithin) - pollMargin)
	if bounds.FailClosed && bounds.RevokeWithin > 0 {
		wait = clampWait(min(wait, time.Duration(revokeFraction*float64(bounds.RevokeWithin))))
	}
	return wait
}

// MaxConfigAge returns the greatest age that the last confirmation of the configuration
// has while the store answers. A confirmation counts from when its call was sent, so
// that it is two waits old when the next one comes, and somewhat older if one call is
// lost. The age is 0, for no limit, if the settings do not bound how late a configuration
// may take effect.
func MaxConfigAge(bounds mulberrybeam.HostBounds) time.Duration {
	if bounds.ConfigWithin <= 0 {
		return 0
	}
	const lostCallMargin = 500 * time.Millisecond
	return 2*configWait(bounds) + pollMargin + lostCallMargin
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
