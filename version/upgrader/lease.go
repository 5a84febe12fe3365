package upgrader

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// validity is how long the holder may send orders after sending a renewal
	// that succeeded.
	validity = 1500 * time.Millisecond
	// renewEvery allows for one lost renewal within validity.
	renewEvery = 600 * time.Millisecond
	// takeoverSlack allows for the delay until a renewal is observed. A
	// takeover waits for it in addition to validity and to the minimum time
	// between orders of two holders.
	takeoverSlack = 300 * time.Millisecond
	// firstTurn is the head start of the last holder when upgrades become
	// pending.
	// turnGap is the interval at which the other processes may claim the lease,
	// one after the other.
	firstTurn = 700 * time.Millisecond
	turnGap   = 300 * time.Millisecond
	// callPause is the delay after a failed write of the lease.
	callPause = 400 * time.Millisecond
	// fencedGap caps the minimum time between orders of two holders where
	// engines refuse orders with an old fencing token. It may be short because
	// a holder that has lost contact with the store can no longer order.
	fencedGap = 500 * time.Millisecond
	// tellAfter is the minimum time between a renewal and an early one that
	// announces an upgraded engine.
	tellAfter = 200 * time.Millisecond
)

// hold renews the lease when that is due, or claims it when this process may.
func (u *Upgrader) hold(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if u.ticket != 0 || turn.Now < u.callAt || !u.leaseKnown {
		return nil
	}
	next := mulberrybeam.DutyLease{
		Holder: u.self, Token: u.lease.Token, Renewals: u.lease.Renewals + 1,
		Changed: u.changed(), Version: u.lease.Version,
	}
	switch {
	case turn.Now < u.validUntil && turn.Now < u.renewAt:
		return nil
	case turn.Now >= u.validUntil && !u.mayClaim(turn.Now):
		return nil
	case turn.Now >= u.validUntil:
		next.Token++
	}
	u.claim = next
	u.untold = false
	u.ticket = mulberrybeam.Ticket(turn.Rand.Uint64() | 1)
	op := mulberrybeam.OpUpdate
	if u.lease.Version == "" {
		op = mulberrybeam.OpCreate
	}
	return []mulberrybeam.Action{mulberrybeam.CallObject{Op: op, Object: u.encoder.Lease(LeaseName, next), Ticket: u.ticket}}
}

// mayClaim says whether this process may take over the lease: no other holder
// can still send orders, and it is this process's turn.
func (u *Upgrader) mayClaim(now time.Duration) bool {
	if u.lease.Holder == u.self {
		return true
	}
	turnAt := u.pendingAt + turnGap*time.Duration(u.rank())
	if u.lease.Holder != "" {
		turnAt += firstTurn
		if now < u.changedAt+validity+u.gap+takeoverSlack {
			return false
		}
	}
	return now >= turnAt
}

// rank returns this process's position in the takeover order of the entry
// hosts.
func (u *Upgrader) rank() int {
	hosts := slices.Collect(maps.Keys(u.hosts))
	order := ranker.Top(LeaseName, hosts, len(hosts))
	return max(slices.Index(order, u.self), 0)
}

// claimed handles the response to a claim or a renewal.
func (u *Upgrader) claimed(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	u.ticket = 0
	if reply.Err != nil {
		u.callAt = turn.Now + callPause
		return []mulberrybeam.Action{note("writing the lease failed: " + reply.Err.Error())}
	}
	first := turn.Now >= u.validUntil
	u.lease = u.claim
	u.lease.Version = reply.Object.Version
	u.changedAt = turn.Now
	u.validUntil = reply.SentAt + validity
	u.renewAt = reply.SentAt + renewEvery
	u.toldAt = reply.SentAt
	if !first {
		return nil
	}
	return []mulberrybeam.Action{note("lease acquired, fencing token " + strconv.FormatUint(u.lease.Token, 10))}
}

// changed returns the upgraded engines whose entries still show an older
// version.
func (u *Upgrader) changed() []mulberrybeam.ChangedEngine {
	var changed []mulberrybeam.ChangedEngine
	for _, id := range slices.Sorted(maps.Keys(u.engines)) {
		e := u.engines[id]
		for _, model := range slices.Sorted(maps.Keys(e.done)) {
			if e.done[model] > e.target.Versions[model] {
				changed = append(changed, mulberrybeam.ChangedEngine{Engine: id, Model: model, Version: e.done[model]})
			}
		}
	}
	return changed
}
