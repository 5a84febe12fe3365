package leaser

import "time"

// Timing holds the durations of the lease protocol.
type Timing struct {
	// LeaseDuration is the duration T of a lease and of an extension.
	LeaseDuration time.Duration
	// RenewalInterval is the interval between renewals.
	RenewalInterval time.Duration
	// MaxClockDrift and ClockMargin are the relative and the fixed part of the
	// margin for clock drift and timer granularity.
	MaxClockDrift float64
	ClockMargin   time.Duration
	// ExtensionLimit is how long after the last confirmed renewal electors
	// may extend ownership.
	ExtensionLimit time.Duration
	// PollInterval is the interval at which a process that may take over a slot
	// reads its object.
	PollInterval time.Duration
	// RankDelay is the additional wait per process with a better rank.
	RankDelay time.Duration
	// JoinDelay is how long a new process waits before it acquires slots,
	// so that it knows the members and the holders of slots.
	JoinDelay time.Duration
	// ReleaseDelay is how long a process waits after it has seen a release
	// before it acquires the slot. The former holder may leave at once.
	ReleaseDelay time.Duration
	// BalanceDelay is how long an uneven distribution of slots must last
	// before a slot is released for balance.
	BalanceDelay time.Duration
	// BalancePause is the minimum time between two releases for balance.
	BalancePause time.Duration
	// CallTimeout is the timeout of calls of the object API.
	CallTimeout time.Duration
	// RetryDelay is the delay before a failed call is retried.
	RetryDelay time.Duration
	// RefreshInterval is the interval at which the slot fact is refreshed, FactTTL
	// its time to live.
	RefreshInterval time.Duration
	FactTTL         time.Duration
}

// Durations of DefaultTiming that follow from other durations.
const (
	// The next holder must not start before the last permit of the former
	// one, valid for up to 2 s, has expired even on a slower clock.
	defaultReleaseDelay = 2*time.Second + 600*time.Millisecond
	// The time of two gossip exchanges, after which a new process knows
	// most members.
	defaultJoinDelay = 3 * time.Second
)

// DefaultTiming returns the timing specified in the design page.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:   10 * time.Second,
		RenewalInterval: 3 * time.Second,
		MaxClockDrift:   0.05,
		ClockMargin:     500 * time.Millisecond,
		ExtensionLimit:  75 * time.Minute,
		PollInterval:    2 * time.Second,
		RankDelay:       4 * time.Second,
		JoinDelay:       defaultJoinDelay,
		ReleaseDelay:    defaultReleaseDelay,
		BalanceDelay:    10 * time.Second,
		BalancePause:    20 * time.Second,
		CallTimeout:     5 * time.Second,
		RetryDelay:      time.Second,
		RefreshInterval: 10 * time.Second,
		FactTTL:         30 * time.Second,
	}
}

// margin returns the drift margin of a duration.
func (t Timing) margin(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*t.MaxClockDrift) + t.ClockMargin
}

// shorter returns how long the holder may rely on a duration.
func (t Timing) shorter(duration time.Duration) time.Duration { return duration - t.margin(duration) }

// longer returns how long other processes must wait for a duration to pass.
func (t Timing) longer(duration time.Duration) time.Duration { return duration + t.margin(duration) }
