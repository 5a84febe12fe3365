package starter

import (
	"time"

	"mulberrybeam"
)

// Waits of the calls that follow a kind of objects. The store may cut a watch
// without a word, which shows only when its time is over. The waits of kinds
// with a bound leave room for that.
const (
	// cutMargin is the slack of a call and the time for the next one.
	cutMargin = 700 * time.Millisecond
	// slowMargin is for kinds with long bounds: a second try also fits.
	slowMargin = 1500 * time.Millisecond
	// revokeShare is the part of the bound for revoked keys that one wait for
	// the configuration takes. Each answer confirms the keys as of when its
	// call was sent, so that a confirmation gets twice as old, and keys are
	// refused from 0.95 of the bound on.
	revokeShare = 0.35
	// shortestWait and longestWait bound all waits. The store allows 30 s.
	shortestWait = 200 * time.Millisecond
	longestWait  = 30 * time.Second
	// targetWait is that for targets.
	targetWait = 5 * time.Second
	// usualConfig, usualEvacuation and usualWeights stand for bounds that the
	// settings do not state.
	usualConfig     = 2 * time.Second
	usualEvacuation = 5 * time.Second
	usualWeights    = 8 * time.Second
)

// Pauses after a call that brought changes, so that changes that come together
// cost one call.
const (
	settle = 150 * time.Millisecond
	// crashSettle is longer, since a crash names each request that was in
	// flight and no bound hangs on it.
	crashSettle = 400 * time.Millisecond
	hostSettle  = time.Second
	// settleHosts is the number of entry hosts up to which a pause holds. With
	// more it grows in proportion, since each change costs a call of each
	// host.
	settleHosts = 16
)

// Feed is how a kind of objects is followed.
type Feed struct {
	Kind mulberrybeam.ObjectKind
	// Wait is the longest time of one call.
	Wait time.Duration
	// Settle is the pause after a call that brought changes.
	Settle time.Duration
}

// Feeds returns how all kinds are followed under the bounds of a deployment.
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

// SettleFor returns the pause of a feed that has a given one in a small fleet.
func SettleFor(pause time.Duration, hosts int) time.Duration {
	return max(pause, pause*time.Duration(hosts)/settleHosts)
}
