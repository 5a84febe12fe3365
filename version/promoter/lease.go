package promoter

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/leasekeeper"
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
	leasekeeper.Keeper
	// wantedSince is when a leader became necessary, 0 while none is.
	wantedSince time.Duration
	// freshAt is when a renewal was last known to be the newest. unconfirmed reports
	// a renewal that was read by a call whose start is not known yet.
	freshAt     time.Duration
	unconfirmed bool
}

// newLeadership returns the view of a process that has just started.
func newLeadership(self mulberrybeam.ProcessID, encoder mulberrybeam.RecordEncoder) leadership {
	return leadership{Keeper: leasekeeper.New(leasekeeper.Config{
		Name: mulberrybeam.RolloutLeaseName, Self: self, Encoder: encoder, Validity: leaseValidity, RenewInterval: renewInterval,
		Handover: takeoverMargin, Reclaims: true, RetryDelay: writeRetryDelay, FastRetries: fastRetries, MaxRetryDoublings: maxRetryDoublings,
	})}
}

// leads reports whether this process is the leader.
func (p *Promoter) leads(now time.Duration) bool { return p.leader.Holds(now) }

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
	if !l.MayWrite(turn.Now) {
		return nil
	}
	// The stages of the last leader are kept until this process leads.
	next := l.Next(turn)
	switch {
	case !p.leads(turn.Now) && !p.mayClaim(turn.Now):
		return nil
	case p.leads(turn.Now) && !l.RenewalDue(turn.Now) && !changed(next.Rollouts, progress):
		return nil
	case p.leads(turn.Now):
		next.Rollouts = progress
	}
	return []mulberrybeam.Action{l.Write(turn, next)}
}

// needsLeader reports whether a rollout is in progress or the lease still lists
// one that has ended.
func (p *Promoter) needsLeader(progress []mulberrybeam.RolloutProgress) bool {
	return len(progress) > 0 || len(p.leader.Lease().Rollouts) > 0 || len(p.activeServices()) > 0
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
	if p.isDeaf(now) || !l.Claimable(now) {
		return false
	}
	lease := l.Lease()
	if lease.Holder == p.self {
		return true
	}
	hosts := slices.Collect(maps.Keys(p.hosts))
	rank := max(slices.Index(ranker.Top(mulberrybeam.RolloutLeaseName, hosts, len(hosts)), p.self), 0)
	turnAt := l.wantedSince
	if lease.Holder != "" {
		turnAt = max(turnAt, l.ChangedAt()+leaseValidity+takeoverMargin)
	}
	return now >= turnAt+claimInterval*time.Duration(rank)
}

// applyLeaseList applies a list of the leases. The next leader creates a lease that was
// lost again, and begins at the first stage.
func (p *Promoter) applyLeaseList(turn mulberrybeam.Turn, event mulberrybeam.RecordsListed) []mulberrybeam.Action {
	changed, actions := p.leader.ApplyList(turn.Now, event)
	actions = p.applyLeaseProgress(turn, changed, actions)
	p.confirmLease(event.SentAt)
	return actions
}

// applyLease applies a change of a lease.
func (p *Promoter) applyLease(turn mulberrybeam.Turn, event mulberrybeam.RecordChanged) []mulberrybeam.Action {
	if event.Name != mulberrybeam.RolloutLeaseName {
		return nil
	}
	var changed bool
	var actions []mulberrybeam.Action
	if event.Removed {
		changed, actions = p.leader.MarkMissing(turn.Now)
	} else {
		changed, actions = p.leader.ApplyChange(turn.Now, event.Record.Lease)
	}
	return p.applyLeaseProgress(turn, changed, actions)
}

// applyLeaseProgress applies the progress in the lease if that has changed.
func (p *Promoter) applyLeaseProgress(turn mulberrybeam.Turn, changed bool, actions []mulberrybeam.Action) []mulberrybeam.Action {
	if !changed {
		return actions
	}
	p.leader.unconfirmed = p.leader.Lease().Version != ""
	return append(actions, p.applyProgress(turn)...)
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
	written, actions := p.leader.HandleReply(turn.Now, reply)
	if !written {
		return actions
	}
	p.leader.freshAt = max(p.leader.freshAt, reply.SentAt)
	return append(p.applyProgress(turn), actions...)
}

func newTicket(turn mulberrybeam.Turn) mulberrybeam.Ticket {
	return mulberrybeam.Ticket(turn.Rand.Uint64() | 1)
}

func note(subject, text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: mulberrybeam.EntryRollout, Subject: subject, Text: text}}
}
