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
	// validity is how long after a renewal was sent the holder may order.
	validity = 1500 * time.Millisecond
	// renewEvery leaves room for one lost renewal within validity.
	renewEvery = 600 * time.Millisecond
	// takeoverSlack covers the delay with which a renewal is seen, beyond
	// validity and the time that must lie between orders of two holders.
	takeoverSlack = 300 * time.Millisecond
	// firstTurn is how long the last holder is waited for when work comes up,
	// and turnGap the pause between the turns of the other processes.
	firstTurn = 700 * time.Millisecond
	turnGap   = 300 * time.Millisecond
	// callPause is the wait after a claim that failed.
	callPause = 400 * time.Millisecond
	// fencedGap stands for the time between orders of two holders where
	// engines refuse an old fencing number: a holder that has lost the store
	// cannot order any more.
	fencedGap = 500 * time.Millisecond
	// tellAfter is the shortest time between two renewals that tell which
	// engines have changed over.
	tellAfter = 200 * time.Millisecond
)

// hold writes the lease when it is this process's turn.
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

// mayClaim says whether no other holder can be ordering and whether it is this
// process's turn to take over.
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

// rank is this process's place among the entry hosts that may take over.
func (u *Upgrader) rank() int {
	hosts := slices.Collect(maps.Keys(u.hosts))
	order := ranker.Top(LeaseName, hosts, len(hosts))
	return max(slices.Index(order, u.self), 0)
}

// claimed takes the answer to a claim or a renewal.
func (u *Upgrader) claimed(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	u.ticket = 0
	if reply.Err != nil {
		u.callAt = turn.Now + callPause
		return []mulberrybeam.Action{note("lease not written: " + reply.Err.Error())}
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
	return []mulberrybeam.Action{note("lease held, fencing number " + strconv.FormatUint(u.lease.Token, 10))}
}

// changed returns the engines whose entries do not show yet that they have
// changed over.
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
