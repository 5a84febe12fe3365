package promoter

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// leaseValidity is how long the holder leads after sending a renewal that
	// succeeded, and renewInterval allows for one lost renewal within it.
	leaseValidity = 1500 * time.Millisecond
	renewInterval = 700 * time.Millisecond
	// takeoverMargin allows for the delay until a renewal is observed.
	takeoverMargin = 300 * time.Millisecond
	// claimInterval is the interval at which the other processes may claim the
	// lease, one after the other.
	claimInterval = 300 * time.Millisecond
	// writeRetryDelay is the delay after a failed write. After fastRetries failures
	// of the lease it doubles, since all hosts try to claim it while the store is down.
	writeRetryDelay   = 400 * time.Millisecond
	fastRetries       = 4
	maxRetryDoublings = 3
)

// leadership is this process's view of the lease of the leader.
type leadership struct {
	lease mulberrybeam.LeaderLease
	known bool
	// changedAt is when a change of the lease was last observed, and wantedSince when
	// a leader became necessary, 0 while none is.
	changedAt   time.Duration
	wantedSince time.Duration
	validUntil  time.Duration
	renewAt     time.Duration
	nextWriteAt time.Duration
	// failures counts the writes since the last success that the store did not take.
	failures int
	// proposed is the lease that the write in flight would store.
	proposed mulberrybeam.LeaderLease
	ticket   mulberrybeam.Ticket
	// freshAt is when a renewal was last known to be the newest. unconfirmed reports
	// a renewal that was read by a call whose start is not known yet.
	freshAt     time.Duration
	unconfirmed bool
}

// leads reports whether this process is the leader.
func (p *Promoter) leads(now time.Duration) bool { return now < p.leader.validUntil }

// maintainLease writes the lease if it must be renewed or claimed, or if the
// progress that this process wants to publish differs from the stored one.
func (p *Promoter) maintainLease(turn mulberrybeam.Turn, progress []mulberrybeam.RolloutProgress) []mulberrybeam.Action {
	l := &p.leader
	if !p.needsLeader(progress) {
		l.wantedSince = 0
		return nil
	}
	if l.wantedSince == 0 {
		l.wantedSince = turn.Now
	}
	if l.ticket != 0 || turn.Now < l.nextWriteAt || !l.known {
		return nil
	}
	next := mulberrybeam.LeaderLease{
		Holder: p.self, Token: l.lease.Token, Renewals: l.lease.Renewals + 1, Version: l.lease.Version, Rollouts: progress,
	}
	switch {
	case p.leads(turn.Now) && turn.Now < l.renewAt && !changed(l.lease.Rollouts, progress):
		return nil
	case !p.leads(turn.Now) && !p.mayClaim(turn.Now):
		return nil
	case !p.leads(turn.Now):
		// The stages of the last leader are kept until this process leads.
		next.Token++
		next.Rollouts = l.lease.Rollouts
	}
	l.proposed = next
	l.ticket = newTicket(turn)
	op := mulberrybeam.OpUpdate
	if l.lease.Version == "" {
		op = mulberrybeam.OpCreate
	}
	return []mulberrybeam.Action{mulberrybeam.CallObject{Op: op, Object: p.encoder.Lease(mulberrybeam.RolloutLeaseName, next), Ticket: l.ticket}}
}

// needsLeader reports whether a rollout is in progress or the lease still lists
// one that has ended.
func (p *Promoter) needsLeader(progress []mulberrybeam.RolloutProgress) bool {
	return len(progress) > 0 || len(p.leader.lease.Rollouts) > 0 || len(p.activeServices()) > 0
}

// changed reports whether stages differ. The time elapsed is written with the
// next renewal only.
func changed(stored, wanted []mulberrybeam.RolloutProgress) bool {
	return !slices.EqualFunc(stored, wanted, func(a, b mulberrybeam.RolloutProgress) bool {
		return a.Service == b.Service && a.To == b.To && a.Order == b.Order && a.Stage == b.Stage && a.Good == b.Good
	})
}

// mayClaim reports whether the lease of the last holder has ended and it is this
// process's turn.
func (p *Promoter) mayClaim(now time.Duration) bool {
	l := &p.leader
	if p.isDeaf(now) {
		return false
	}
	if l.lease.Holder == p.self {
		return true
	}
	hosts := slices.Collect(maps.Keys(p.hosts))
	rank := max(slices.Index(ranker.Top(mulberrybeam.RolloutLeaseName, hosts, len(hosts)), p.self), 0)
	turnAt := l.wantedSince
	if l.lease.Holder != "" {
		turnAt = max(turnAt, l.changedAt+leaseValidity+takeoverMargin)
	}
	return now >= turnAt+claimInterval*time.Duration(rank)
}

// applyLease adopts a lease that the store has. A change may be older than this
// process's own last write; a list is not, and may show that the store has lost
// writes.
func (p *Promoter) applyLease(turn mulberrybeam.Turn, lease *mulberrybeam.LeaderLease, listed bool) []mulberrybeam.Action {
	l := &p.leader
	if lease == nil || lease.Version == l.lease.Version {
		return nil
	}
	if !listed && isOlder(lease.Version, l.lease.Version) {
		return nil
	}
	if lease.Holder != p.self {
		l.validUntil = 0
	}
	l.lease, l.changedAt, l.unconfirmed = *lease, turn.Now, true
	return p.applyProgress(turn)
}

// isOlder compares the versions of two states of an object. Tokens cannot be
// compared, because they start again with a lease that was lost.
func isOlder(version, known string) bool {
	a, err := strconv.ParseUint(version, 10, 64)
	b, knownErr := strconv.ParseUint(known, 10, 64)
	return err == nil && knownErr == nil && a < b
}

// confirmLease records that the known lease was current at a time.
func (p *Promoter) confirmLease(sentAt time.Duration) {
	if p.leader.unconfirmed {
		p.leader.unconfirmed = false
		p.leader.freshAt = max(p.leader.freshAt, sentAt)
	}
}

// handleLeaseReply handles the response to a claim or a renewal.
func (p *Promoter) handleLeaseReply(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	l := &p.leader
	l.ticket = 0
	if reply.Err != nil {
		l.nextWriteAt = turn.Now + writeRetryDelay<<min(max(l.failures-fastRetries, 0), maxRetryDoublings)
		switch mulberrybeam.CodeOf(reply.Err) {
		case mulberrybeam.CodeNotFound:
			l.lease.Version = ""
		case mulberrybeam.CodeConflict, mulberrybeam.CodeExists:
		default:
			l.failures++
		}
		return []mulberrybeam.Action{note(mulberrybeam.RolloutLeaseName, "writing the lease failed: "+reply.Err.Error())}
	}
	l.failures = 0
	acquired := !p.leads(turn.Now)
	l.lease = l.proposed
	l.lease.Version = reply.Object.Version
	l.changedAt = turn.Now
	l.validUntil = reply.SentAt + leaseValidity
	l.renewAt = reply.SentAt + renewInterval
	l.freshAt = max(l.freshAt, reply.SentAt)
	actions := p.applyProgress(turn)
	if acquired {
		actions = append(actions, note(mulberrybeam.RolloutLeaseName, fmt.Sprintf("lease acquired, fencing token %d", l.lease.Token)))
	}
	return actions
}

func newTicket(turn mulberrybeam.Turn) mulberrybeam.Ticket {
	return mulberrybeam.Ticket(turn.Rand.Uint64() | 1)
}

func note(subject, text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: mulberrybeam.EntryRollout, Subject: subject, Text: text}}
}
