package upgrader

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/leasekeeper"
	"mulberrybeam/version/ranker"
)

const (
	// leaseValidity is how long the holder may send orders after sending a
	// renewal that succeeded.
	leaseValidity = 1500 * time.Millisecond
	// renewInterval allows for one lost renewal within leaseValidity.
	renewInterval = 600 * time.Millisecond
	// takeoverMargin allows for the delay until a renewal is observed. A
	// takeover waits for it in addition to leaseValidity and to the minimum
	// time between orders of two holders.
	takeoverMargin = 300 * time.Millisecond
	// holderHeadStart is the head start of the last holder when upgrades become
	// pending.
	// claimInterval is the interval at which the other processes may claim the lease,
	// one after the other.
	holderHeadStart = 700 * time.Millisecond
	claimInterval   = 300 * time.Millisecond
	// writeRetryDelay is the delay after a failed write of the lease.
	writeRetryDelay = 400 * time.Millisecond
	// maxFencedGap caps the minimum time between orders of two holders where
	// engines refuse orders with an old fencing token. It may be short because
	// a holder that has lost contact with the store can no longer order.
	maxFencedGap = 500 * time.Millisecond
	// announceInterval is the minimum time between a renewal and an early one
	// that announces an upgraded engine.
	announceInterval = 200 * time.Millisecond
)

// newLease returns the lease of a process that has just started. orderGap is the minimum
// time between orders of two holders.
func newLease(self mulberrybeam.ProcessID, orderGap time.Duration, encoder mulberrybeam.RecordEncoder) leasekeeper.Keeper {
	return leasekeeper.New(leasekeeper.Config{
		Name: LeaseName, Self: self, Encoder: encoder, Validity: leaseValidity, RenewInterval: renewInterval,
		Handover: orderGap + takeoverMargin, RetryDelay: writeRetryDelay,
	})
}

// maintainLease renews the lease when that is due, or claims it when this
// process may.
func (u *Upgrader) maintainLease(turn mulberrybeam.Turn) []mulberrybeam.Action {
	holds := u.lease.Holds(turn.Now)
	if !u.lease.MayWrite(turn.Now) || holds && !u.lease.RenewalDue(turn.Now) || !holds && !u.mayClaim(turn.Now) {
		return nil
	}
	next := u.lease.Next(turn)
	next.Upgraded = u.upgradedEngines()
	u.unannounced = false
	return []mulberrybeam.Action{u.lease.Write(turn, next)}
}

// mayClaim reports whether this process may take over the lease: no other holder
// can still send orders, and it is this process's turn.
func (u *Upgrader) mayClaim(now time.Duration) bool {
	if !u.lease.Claimable(now) {
		return false
	}
	holder := u.lease.Lease().Holder
	if holder == u.self {
		return true
	}
	earliest := u.pendingSince
	if holder != "" {
		earliest += holderHeadStart
	}
	return now >= earliest+claimInterval*time.Duration(u.takeoverRank())
}

// takeoverRank returns this process's position in the takeover order of the entry
// hosts.
func (u *Upgrader) takeoverRank() int {
	if !u.hosts[u.self] {
		return 0
	}
	own, rank := ranker.Score(LeaseName, string(u.self)), 0
	for host := range u.hosts {
		score := ranker.Score(LeaseName, string(host))
		if score > own || score == own && host < u.self {
			rank++
		}
	}
	return rank
}

// applyLeaseList applies a list of the leases.
func (u *Upgrader) applyLeaseList(now time.Duration, event mulberrybeam.RecordsListed) []mulberrybeam.Action {
	changed, actions := u.lease.ApplyList(now, event)
	if changed {
		u.applyUpgraded(u.lease.Lease().Upgraded)
	}
	return actions
}

// applyLease applies a change of a lease.
func (u *Upgrader) applyLease(now time.Duration, event mulberrybeam.RecordChanged) []mulberrybeam.Action {
	if event.Name != LeaseName {
		return nil
	}
	if event.Removed {
		_, actions := u.lease.MarkMissing(now)
		return actions
	}
	changed, actions := u.lease.ApplyChange(now, event.Record.Lease)
	if changed {
		u.applyUpgraded(u.lease.Lease().Upgraded)
	}
	return actions
}

// upgradedEngines returns the upgraded engines whose entries still show an older
// version.
func (u *Upgrader) upgradedEngines() []mulberrybeam.UpgradedEngine {
	var upgraded []mulberrybeam.UpgradedEngine
	for _, id := range slices.Sorted(maps.Keys(u.engines)) {
		e := u.engines[id]
		for _, model := range slices.Sorted(maps.Keys(e.knownVersions)) {
			if e.knownVersions[model] > e.target.Versions[model] {
				upgraded = append(upgraded, mulberrybeam.UpgradedEngine{Engine: id, Model: model, Version: e.knownVersions[model]})
			}
		}
	}
	return upgraded
}
