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

// Ages that a follower's confirmation of a kind may have.
const (
	// recheckMargin is the part of a deadline that is left for a call to the store
	// when a follower's confirmation has become too old.
	recheckMargin = time.Second
	// relayMargin is the time that a confirmation may be under way: a follower keeps
	// an ask for 400 ms, and the rest is for a slow store and busy hosts.
	relayMargin = 900 * time.Millisecond
	// minFollowerWait is the shortest wait of a follower. Kinds whose deadlines need
	// a shorter one are not passed on.
	minFollowerWait = 250 * time.Millisecond
	// unboundedWait is the wait of a follower for kinds without a deadline, and of
	// other hosts until they rely on a follower.
	unboundedWait = 5 * time.Second
	// maxConfirmAge limits the age for kinds with long deadlines, so that followers
	// rarely pass on a wait that the store has dropped.
	maxConfirmAge = 4 * time.Second
	// revokeAgeFraction is the fraction of the deadline for revoked API keys that a
	// confirmation may be old. Requests are refused from 0.95 of it on.
	revokeAgeFraction = 0.4
	// defaultDrainWithin replaces a deadline that the settings do not set.
	defaultDrainWithin = 2 * time.Second
)

// Pauses after a call that returned changes, so that changes in quick succession
// are fetched with one call.
const (
	changePause = 150 * time.Millisecond
	// crashPause is longer, because a crash creates one record for each
	// request that was in flight, and no deadline depends on the records.
	crashPause = 400 * time.Millisecond
	hostPause  = time.Second
	// maxTargetPause limits the pause for targets in a large fleet. With 380 hosts it
	// would be 3.6 s, longer than a drained target may get requests.
	maxTargetPause = time.Second
	// rolloutAgeFraction is the largest age of what a host learns of rollouts from another
	// one, as a fraction of the time for a rollback.
	rolloutAgeFraction = 0.4
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
	// MaxBatchDelay limits the pause in larger fleets, unless it is 0.
	MaxBatchDelay time.Duration
}

// Feeds returns the feeds for all kinds of objects, with wait times that meet the
// deadlines in bounds.
func Feeds(bounds mulberrybeam.HostBounds) []Feed {
	feeds := []Feed{
		{mulberrybeam.ObjectDeployment, configWait(bounds), 0, 0},
		{mulberrybeam.ObjectTarget, targetWait, changePause, maxTargetPause},
		{mulberrybeam.ObjectEvacuation, clampWait(orDefault(bounds.EvacuateWithin, defaultEvacuateWithin) - retryMargin), 0, 0},
		{mulberrybeam.ObjectWeights, clampWait(orDefault(bounds.VersionWithin, defaultVersionWithin) - retryMargin), 0, 0},
		{mulberrybeam.ObjectHost, maxWait, hostPause, 0},
		leaseFeed(bounds),
		{mulberrybeam.ObjectCrash, maxWait, crashPause, 0},
	}
	if bounds.UsesRollouts() {
		feeds = append(feeds, Feed{mulberrybeam.ObjectRollout, clampWait(bounds.RollbackWithin), 0, 0})
	}
	return feeds
}

// leaseFeed returns the feed for leases. Where rollouts are in use, hosts stop
// sending to the new version unless they see its leader's renewals in time.
func leaseFeed(bounds mulberrybeam.HostBounds) Feed {
	if !bounds.UsesRollouts() {
		return Feed{mulberrybeam.ObjectLease, maxWait, changePause, 0}
	}
	return Feed{mulberrybeam.ObjectLease, clampWait(bounds.RollbackWithin), renewalPause, 0}
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

// Policies returns how the kinds are passed on between hosts so that the deadlines in
// bounds are met. Kinds that are missing are followed by every host itself.
func Policies(bounds mulberrybeam.HostBounds) map[mulberrybeam.ObjectKind]mulberrybeam.PropagationPolicy {
	configAge := orDefault(bounds.ConfigWithin, defaultConfigWithin) - recheckMargin
	if bounds.FailClosed && bounds.RevokeWithin > 0 {
		configAge = min(configAge, time.Duration(revokeAgeFraction*float64(bounds.RevokeWithin)))
	}
	unbounded := mulberrybeam.PropagationPolicy{FollowerWait: unboundedWait, MaxAge: 2*unboundedWait + 2*relayMargin}
	policies := map[mulberrybeam.ObjectKind]mulberrybeam.PropagationPolicy{
		mulberrybeam.ObjectHost: unbounded, mulberrybeam.ObjectLease: unbounded, mulberrybeam.ObjectCrash: unbounded,
	}
	ages := map[mulberrybeam.ObjectKind]time.Duration{
		mulberrybeam.ObjectDeployment: configAge,
		mulberrybeam.ObjectTarget:     orDefault(bounds.DrainWithin, defaultDrainWithin) - recheckMargin,
		mulberrybeam.ObjectEvacuation: orDefault(bounds.EvacuateWithin, defaultEvacuateWithin) - recheckMargin,
		mulberrybeam.ObjectWeights:    orDefault(bounds.VersionWithin, defaultVersionWithin) - recheckMargin,
	}
	if bounds.UsesRollouts() {
		// A stage holds for a part of the time for a rollback after the last renewal.
		ages[mulberrybeam.ObjectLease] = time.Duration(rolloutAgeFraction * float64(bounds.RollbackWithin))
		ages[mulberrybeam.ObjectRollout] = ages[mulberrybeam.ObjectLease]
	}
	for kind, age := range ages {
		age = min(age, maxConfirmAge)
		// A confirmation may be two waits old when the next one comes.
		if wait := (age - relayMargin) / 2; wait >= minFollowerWait {
			policies[kind] = mulberrybeam.PropagationPolicy{FollowerWait: wait, MaxAge: age, Bounded: true}
		}
	}
	return policies
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

// Pause returns the pause after a call that returned changes, if a number of hosts
// call the store for each change.
func (f Feed) Pause(hosts int) time.Duration {
	pause := ScaleBatchDelay(f.BatchDelay, hosts)
	if f.MaxBatchDelay > 0 {
		pause = min(pause, f.MaxBatchDelay)
	}
	return pause
}

// ScaleBatchDelay scales a feed's pause to the number of entry hosts.
func ScaleBatchDelay(pause time.Duration, hosts int) time.Duration {
	return max(pause, pause*time.Duration(hosts)/maxUnscaledHosts)
}
