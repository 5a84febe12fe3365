package leaser

import "time"

// Timing has the durations of the lease rules.
type Timing struct {
	// Lease is the length T of a lease and of one extension.
	Lease time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// DriftShare and DriftFixed make up the margin for the drift of clocks
	// and the granularity of timers.
	DriftShare float64
	DriftFixed time.Duration
	// ExtensionLimit bounds a right since the last confirmed renewal.
	ExtensionLimit time.Duration
	// Poll is the time between two reads of a slot object by a process
	// that may take the slot over.
	Poll time.Duration
	// RankDelay is the additional wait per better-placed process.
	RankDelay time.Duration
	// JoinDelay is the wait of a new process, which lets it learn members
	// and holders before it takes slots.
	JoinDelay time.Duration
	// ReleaseDelay is the wait of the next holder since it saw a release.
	// The old one may leave at once.
	ReleaseDelay time.Duration
	// BalanceDelay is how long an uneven distribution has to last before
	// a slot is released for it.
	BalanceDelay time.Duration
	// BalancePause follows a release for balance.
	BalancePause time.Duration
	// Answer is when a call without an answer counts as lost.
	Answer time.Duration
	// Retry is the time between two attempts at a failed call.
	Retry time.Duration
	// Restate is the time between two statements of the slot fact, and
	// FactTTL its time to live.
	Restate time.Duration
	FactTTL time.Duration
}

// Durations of DefaultTiming that have a reason beyond the design page.
const (
	// A permit is valid for 2 s at most; the next holder must not begin
	// before the last one has run out on a slower clock.
	defaultReleaseDelay = 2*time.Second + 600*time.Millisecond
	// Two exchanges between members, after which a new process knows most
	// of them.
	defaultJoinDelay = 3 * time.Second
)

// DefaultTiming returns the durations of the design page.
func DefaultTiming() Timing {
	return Timing{
		Lease:          10 * time.Second,
		Renewal:        3 * time.Second,
		DriftShare:     0.05,
		DriftFixed:     500 * time.Millisecond,
		ExtensionLimit: 75 * time.Minute,
		Poll:           2 * time.Second,
		RankDelay:      4 * time.Second,
		JoinDelay:      defaultJoinDelay,
		ReleaseDelay:   defaultReleaseDelay,
		BalanceDelay:   10 * time.Second,
		BalancePause:   20 * time.Second,
		Answer:         5 * time.Second,
		Retry:          time.Second,
		Restate:        10 * time.Second,
		FactTTL:        30 * time.Second,
	}
}

func (t Timing) margin(length time.Duration) time.Duration {
	return time.Duration(float64(length)*t.DriftShare) + t.DriftFixed
}

// shorter is how long the holder may rely on a length.
func (t Timing) shorter(length time.Duration) time.Duration { return length - t.margin(length) }

// longer is how long others have to wait for a length to pass.
func (t Timing) longer(length time.Duration) time.Duration { return length + t.margin(length) }
