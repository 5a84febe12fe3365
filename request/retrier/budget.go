package retrier

import (
	"math"
	"time"
)

const (
	// DefaultBudgetShare is the default fraction of requests that may be retried.
	DefaultBudgetShare = 0.1
	// DefaultBudgetFloor is the default number of retries per second that are allowed
	// at any request rate.
	DefaultBudgetFloor = 3.0
	// rateWindow is the time constant of the request rate's moving average.
	rateWindow = 10 * time.Second
)

// Budget limits the retries of one process to a share of its requests, or to a
// number per second if that is more. It is a token bucket with value semantics:
// the caller replaces its Budget with the returned one, under its own lock.
type Budget struct {
	// Rate is the exponential moving average of requests per second.
	Rate float64
	// Tokens are the retries allowed now. At most the retries of one second
	// accumulate, but at least one.
	Tokens float64
	// UpdatedAt is when Rate and Tokens were last updated.
	UpdatedAt time.Duration
	// Share is the fraction of requests that may be retried, and Floor the
	// number of retries per second that are always allowed.
	Share float64
	Floor float64
}

// NewBudget returns a budget with the default share and floor.
func NewBudget(now time.Duration) Budget {
	return NewBudgetWithLimits(now, DefaultBudgetShare, DefaultBudgetFloor)
}

// NewBudgetWithLimits returns a budget of a share of the requests, or of floor retries
// per second if that is more.
func NewBudgetWithLimits(now time.Duration, share, floor float64) Budget {
	return Budget{Tokens: max(floor, 1), UpdatedAt: now, Share: share, Floor: floor}
}

// CountRequest records one new request. Retries must not be counted.
func (b Budget) CountRequest(now time.Duration) Budget {
	b = b.advance(now)
	b.Rate += 1 / rateWindow.Seconds()
	return b
}

// PerSecond returns the number of retries allowed per second.
func (b Budget) PerSecond() float64 {
	return max(b.Floor, b.Share*b.Rate)
}

func (b Budget) takeToken(now time.Duration) (Budget, bool) {
	b = b.advance(now)
	if b.Tokens < 1 {
		return b, false
	}
	b.Tokens--
	return b, true
}

func (b Budget) advance(now time.Duration) Budget {
	elapsed := max(0, now-b.UpdatedAt).Seconds()
	b.Rate *= math.Exp(-elapsed / rateWindow.Seconds())
	b.Tokens = min(max(b.PerSecond(), 1), b.Tokens+elapsed*b.PerSecond())
	b.UpdatedAt = max(b.UpdatedAt, now)
	return b
}
