package mulberrybeam

import "time"

// TargetStats is what this process knows of a target's load and health from its own
// requests and from its peers.
type TargetStats struct {
	// OwnLoad is the load that this process puts on the target, and PeerLoad
	// that of the other entry hosts according to their latest messages.
	OwnLoad  TargetLoad
	PeerLoad TargetLoad
	// LastReceivedAt is when this process last received data from the target.
	LastReceivedAt time.Duration
	// Latency is a moving average of the time to the first byte of an answer.
	Latency time.Duration
	// ErrorRate is a moving average of the share of failed requests, from 0 to
	// 1.
	ErrorRate float64
	// AvoidUntil is when the target may be tried again after it refused a
	// request or could not be reached.
	AvoidUntil time.Duration
	// LeavingRun is the incarnation of the target that has said that it is about to
	// stop, or empty.
	LeavingRun InstanceID
	// PausedUntil is the end of the pause that the target asked for.
	PausedUntil time.Duration
	// SuspectUntil is the time until which the target may be in a cold start
	// that it has not announced.
	SuspectUntil time.Duration
	// ColdSends counts the requests sent to the target within the last second.
	ColdSends int
	// FragileUntil is the time until which the target counts as fragile. It then bears
	// MaxRefusals refusals per second, summed over all hosts.
	FragileUntil time.Duration
	MaxRefusals  int
	// WithheldShares are the shares of a fragile target that this process may not use yet
	// after requests that were refused or interrupted. The first is free at
	// NextShareAt.
	WithheldShares int
	// BorrowedShares are those that other processes lend to this one, and LentShares those
	// that it lends.
	BorrowedShares int
	LentShares     int
	NextShareAt    time.Duration
}

// Load is the load that all entry hosts put on the target.
func (g TargetStats) Load() TargetLoad { return g.OwnLoad.Plus(g.PeerLoad) }

// TargetLoad is the load of the unfinished requests at a target.
type TargetLoad struct {
	Requests int
	// PrefillTokens is the number of prompt tokens that the target has yet to prefill
	// before it can return the first token of their requests. HeldTokens is the
	// number of tokens of all prompts, which occupy the target's memory.
	PrefillTokens int
	HeldTokens    int
}

// Plus returns the sum of two loads.
func (l TargetLoad) Plus(other TargetLoad) TargetLoad {
	return TargetLoad{Requests: l.Requests + other.Requests, PrefillTokens: l.PrefillTokens + other.PrefillTokens, HeldTokens: l.HeldTokens + other.HeldTokens}
}

// Minus returns the difference of two loads.
func (l TargetLoad) Minus(other TargetLoad) TargetLoad {
	return TargetLoad{Requests: l.Requests - other.Requests, PrefillTokens: l.PrefillTokens - other.PrefillTokens, HeldTokens: l.HeldTokens - other.HeldTokens}
}

// LoadUpdate is a message in which an entry host tells its peers the load that
// it puts on targets.
type LoadUpdate struct {
	From ProcessID
	// Sequence increases with each message of one run of the process.
	Sequence uint64
	Targets  []SharedLoad
	// Incarnation identifies the run of the process. It is set with Rollouts.
	Incarnation uint64
	Rollouts    []RolloutReport
	Streams     StreamUpdate
	// Isolated reports that the host reaches no target.
	Isolated bool
	// Fragile are the fragile targets that the sender has heard of from the targets.
	Fragile []SharedFragility
	Shares  ShareUpdate
}

// SharedLoad is the load that an entry host puts on one target.
type SharedLoad struct {
	Target InstanceID
	Load   TargetLoad
}
