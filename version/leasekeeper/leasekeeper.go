// Package leasekeeper has the mechanics of a lease that one entry host holds at a time:
// who may claim it and when, how long its holder may rely on it, its fencing tokens, and
// what becomes of it when the platform's store comes back from a copy. Its users decide
// when they need the lease and what it carries.
package leasekeeper

import (
	"fmt"
	"time"

	"mulberrybeam"
)

// Config has the durations of a lease.
type Config struct {
	Name    string
	Self    mulberrybeam.ProcessID
	Encoder mulberrybeam.RecordEncoder
	// Validity is how long a holder may rely on the lease after it has sent a renewal that
	// succeeded, and RenewInterval the time between two renewals.
	Validity      time.Duration
	RenewInterval time.Duration
	// Handover is the time from the end of one holder's validity to the next claim.
	Handover time.Duration
	// Reclaims lets the host that held the lease when the store's era changed claim it at
	// once, since nobody else can hold it then. Holders that order engines wait, because
	// an order of the earlier era may still be under way.
	Reclaims bool
	// RetryDelay is the delay after a failed write. After FastRetries failures without an
	// answer it doubles up to MaxRetryDoublings times.
	RetryDelay        time.Duration
	FastRetries       int
	MaxRetryDoublings int
}

// Keeper is this host's view of the lease. It is not safe for concurrent use.
type Keeper struct {
	Config
	lease mulberrybeam.LeaderLease
	// known is set once the lease was listed in the current era.
	known bool
	// era is the current era, highestEra the highest one in which the lease was listed, and
	// listedEra the one of the last list. knownAt is when the store was known to have the
	// lease.
	era        mulberrybeam.StoreEra
	highestEra mulberrybeam.StoreEra
	listedEra  mulberrybeam.StoreEra
	knownAt    time.Duration
	// changedAt is when a change of the lease was last observed.
	changedAt time.Duration
	// claimableAt is when the lease of a holder that this host cannot know has ended.
	claimableAt time.Duration
	// heldUntil is until when this host held the lease of an earlier era, so that nobody
	// else can hold it.
	heldUntil  time.Duration
	validUntil time.Duration
	renewAt    time.Duration
	// renewedAt is when the last successful write was sent.
	renewedAt   time.Duration
	nextWriteAt time.Duration
	// highest is the highest token that this host has seen.
	highest uint64
	// refusals counts the refusals by engines since the era began or another host held the
	// lease.
	refusals int
	failures int
	// proposed is the lease that the write in flight would store.
	proposed mulberrybeam.LeaderLease
	ticket   mulberrybeam.Ticket
}

// New returns the view of a host that has just started.
func New(config Config) Keeper { return Keeper{Config: config} }

// Lease returns the lease as this host knows it.
func (k *Keeper) Lease() mulberrybeam.LeaderLease { return k.lease }

// Holds reports whether this host may act as the holder.
func (k *Keeper) Holds(now time.Duration) bool { return now < k.validUntil }

// ValidUntil returns until when this host may act as the holder.
func (k *Keeper) ValidUntil() time.Duration { return k.validUntil }

// ChangedAt returns when a change of the lease was last observed.
func (k *Keeper) ChangedAt() time.Duration { return k.changedAt }

// RenewBy makes the next renewal due at the given time if that is earlier, but not before
// minInterval has passed since the last one.
func (k *Keeper) RenewBy(minInterval time.Duration) {
	k.renewAt = min(k.renewAt, k.renewedAt+minInterval)
}

// StepDown records that an engine refused the token of this host, which stops. The engine
// may have seen a higher one that no lease tells of any more, so that the next claim goes
// beyond it within a few refusals.
func (k *Keeper) StepDown(now time.Duration) {
	const refusalBits, maxShift = 4, 24
	k.validUntil = 0
	k.refusals++
	k.highest = max(k.highest, k.lease.Token) + 1<<min(refusalBits*k.refusals, maxShift)
	k.nextWriteAt = now + k.RetryDelay
}

// ChangeEra stops this host from acting as the holder, since the store may have lost what
// it relies on. The lease is unknown until it is listed in the new era.
func (k *Keeper) ChangeEra(now time.Duration, era mulberrybeam.StoreEra) {
	// A list of the new era may have come before the change.
	k.known = k.known && k.listedEra == era && era > k.era
	k.era = era
	k.heldUntil = 0
	if k.Reclaims {
		k.heldUntil = k.validUntil
	}
	k.validUntil, k.ticket, k.knownAt, k.refusals = 0, 0, 0, 0
	k.awaitUnknownHolder(now)
}

// awaitUnknownHolder delays claims until a holder whose lease this host cannot see must
// have stopped.
func (k *Keeper) awaitUnknownHolder(now time.Duration) {
	k.claimableAt = max(k.claimableAt, now+k.Validity+k.Handover)
}

// ApplyList applies a list of the leases. It reports whether the lease is another one than
// before. A list of an earlier era is not used.
func (k *Keeper) ApplyList(now time.Duration, list mulberrybeam.RecordsListed) (bool, []mulberrybeam.Action) {
	if list.Era < k.era {
		return false, nil
	}
	first := !k.known
	k.known, k.listedEra = true, list.Era
	lease := list.Records[k.Name].Lease
	if !first && list.SentAt < k.knownAt && (lease == nil || isOlder(lease.Version, k.lease.Version)) {
		// The list is from before what is known.
		return false, nil
	}
	if lease == nil {
		return k.MarkMissing(now)
	}
	if first && lease.Era == k.era && k.era > k.highestEra {
		// The lease was written in this era, in which nothing is lost.
		k.claimableAt = 0
	}
	k.highestEra = max(k.highestEra, k.era)
	return k.adopt(now, *lease)
}

// ApplyChange applies a change of the lease. It reports whether the lease is another one than
// before. Changes may arrive later than the response to a write of this host; with the
// version of an older lease the next renewal would fail.
func (k *Keeper) ApplyChange(now time.Duration, lease *mulberrybeam.LeaderLease) (bool, []mulberrybeam.Action) {
	if lease == nil || !k.known || isOlder(lease.Version, k.lease.Version) {
		return false, nil
	}
	k.knownAt = now
	return k.adopt(now, *lease)
}

// MarkMissing records that the store does not have the lease. Only the host that held it may
// claim it again at once.
func (k *Keeper) MarkMissing(now time.Duration) (bool, []mulberrybeam.Action) {
	lost, held := k.lease, k.Holds(now)
	k.lease, k.validUntil = mulberrybeam.LeaderLease{}, 0
	if lost.Version == "" {
		return false, nil
	}
	k.changedAt = now
	if !held {
		k.awaitUnknownHolder(now)
	}
	return true, []mulberrybeam.Action{k.note("the store has no lease, known was " + describe(lost))}
}

func (k *Keeper) adopt(now time.Duration, lease mulberrybeam.LeaderLease) (bool, []mulberrybeam.Action) {
	if lease.Version == k.lease.Version {
		return false, nil
	}
	var actions []mulberrybeam.Action
	if lease.Holder != k.lease.Holder || lease.Token != k.lease.Token {
		actions = append(actions, k.note("the store has the "+describe(lease)+", known was "+describe(k.lease)))
		// A holder acts with the token of its own claim only.
		k.validUntil = 0
	}
	if lease.Holder != k.Self {
		k.refusals = 0
	}
	if lease.Era != k.era {
		k.awaitUnknownHolder(now)
	}
	k.lease, k.changedAt = lease, now
	k.highest = max(k.highest, lease.Token)
	return true, actions
}

// MayWrite reports whether a write can be sent: the lease is known, none is in flight, and
// the pause after a failed one is over.
func (k *Keeper) MayWrite(now time.Duration) bool {
	return k.known && k.ticket == 0 && now >= k.nextWriteAt
}

// RenewalDue reports whether the holder should renew the lease.
func (k *Keeper) RenewalDue(now time.Duration) bool { return now >= k.renewAt }

// Claimable reports whether no other host can act as the holder.
func (k *Keeper) Claimable(now time.Duration) bool {
	free := k.lease.Holder == k.Self || k.lease.Holder == ""
	switch {
	case now < k.heldUntil && (free || k.lease.Era != k.era):
		return true
	case now < k.claimableAt:
		return false
	}
	return free || now >= k.changedAt+k.Validity+k.Handover
}

// Next returns the lease that a renewal or, if this host is not the holder, a claim would
// store.
func (k *Keeper) Next(turn mulberrybeam.Turn) mulberrybeam.LeaderLease {
	next := k.lease
	next.Holder, next.Era, next.Renewals = k.Self, k.era, k.lease.Renewals+1
	if !k.Holds(turn.Now) {
		next.Token = max(k.lease.Token+1, k.highest+1, minToken(k.era, turn.Wall))
	}
	return next
}

// minToken returns the lowest token of a claim. A lease that the store has lost tells
// nothing of the tokens before; the era, and the clock within an era or without one, are
// higher than when those were given out.
func minToken(era mulberrybeam.StoreEra, wall time.Time) uint64 {
	const eraShift = 32
	return uint64(era)<<eraShift | uint64(uint32(max(0, wall.Unix())))
}

// Write stores a lease that Next has returned.
func (k *Keeper) Write(turn mulberrybeam.Turn, next mulberrybeam.LeaderLease) mulberrybeam.Action {
	k.proposed = next
	k.ticket = mulberrybeam.Ticket(turn.Rand.Uint64() | 1)
	op := mulberrybeam.OpUpdate
	if next.Version == "" {
		op = mulberrybeam.OpCreate
	}
	return mulberrybeam.CallObject{Op: op, Object: k.Encoder.Lease(k.Name, next), Ticket: k.ticket}
}

// Awaits reports whether a reply is that to the write in flight.
func (k *Keeper) Awaits(reply mulberrybeam.ObjectReplied) bool {
	return k.ticket != 0 && reply.Ticket == k.ticket
}

// HandleReply handles the reply to the write in flight. It reports whether the write
// succeeded.
func (k *Keeper) HandleReply(now time.Duration, reply mulberrybeam.ObjectReplied) (bool, []mulberrybeam.Action) {
	k.ticket = 0
	if reply.Err != nil {
		return false, k.handleFailure(now, reply.Err)
	}
	k.failures = 0
	if isOlder(reply.Object.Version, k.lease.Version) {
		// The lease has changed since, and the change was handled before the reply.
		return false, nil
	}
	acquired := !k.Holds(now)
	k.lease = k.proposed
	k.lease.Version = reply.Object.Version
	k.highest = max(k.highest, k.lease.Token)
	k.changedAt, k.knownAt = now, now
	k.validUntil = reply.SentAt + k.Validity
	k.renewAt = reply.SentAt + k.RenewInterval
	k.renewedAt = reply.SentAt
	if !acquired {
		return true, nil
	}
	return true, []mulberrybeam.Action{k.note(fmt.Sprintf("lease acquired, fencing token %d", k.lease.Token))}
}

func (k *Keeper) handleFailure(now time.Duration, err error) []mulberrybeam.Action {
	actions := []mulberrybeam.Action{k.note("writing the lease failed: " + err.Error())}
	doublings := min(max(k.failures-k.FastRetries, 0), k.MaxRetryDoublings)
	k.nextWriteAt = now + k.RetryDelay<<doublings
	switch mulberrybeam.CodeOf(err) {
	case mulberrybeam.CodeNotFound:
		_, lost := k.MarkMissing(now)
		actions = append(actions, lost...)
	case mulberrybeam.CodeConflict, mulberrybeam.CodeExists:
	default:
		k.failures++
	}
	return actions
}

func (k *Keeper) note(text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: mulberrybeam.EntrySlot, Subject: k.Name, Text: text}}
}

func describe(lease mulberrybeam.LeaderLease) string {
	return fmt.Sprintf("lease of %q, token %d, renewal %d, version %q, era %d", lease.Holder, lease.Token, lease.Renewals, lease.Version, lease.Era)
}

// isOlder compares two versions of an object. Tokens and renewals cannot be compared,
// because they start again with a lease that was lost.
func isOlder(version, known string) bool {
	a, valid := mulberrybeam.ParseStoreVersion(version)
	b, knownValid := mulberrybeam.ParseStoreVersion(known)
	return valid && knownValid && a.Era == b.Era && a.Revision < b.Revision
}
