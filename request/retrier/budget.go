package retrier

import (
	"math"
	"time"
)

const (
	// BudgetShare is the part of requests that may be retried.
	BudgetShare = 0.1
	// BudgetFloor is the retries per second that are allowed at any request
	// rate.
	BudgetFloor = 3.0
	// rateWindow is the time over which the request rate is averaged.
	rateWindow = 10 * time.Second
)

// Budget bounds the retries of one process to a share of its requests, or to a
// number per second if that is more. It is a value: its owner keeps the
// one that each call returns, under the lock of traffic state.
type Budget struct {
	// Rate is the request rate per second, averaged exponentially.
	Rate float64
	// Tokens are the retries allowed now, at most those of one second.
	Tokens float64
	// At is when Rate and Tokens were reckoned.
	At time.Duration
	// Share and Floor are the part of the requests and the number per
	// second that may be retried.
	Share float64
	Floor float64
}

// NewBudget returns the budget of a process that begins at a time.
func NewBudget(now time.Duration) Budget {
	return NewBudgetOf(now, BudgetShare, BudgetFloor)
}

// NewBudgetOf returns a budget of a share of the requests, or of floor retries
// per second if that is more.
func NewBudgetOf(now time.Duration, share, floor float64) Budget {
	return Budget{Tokens: max(floor, 1), At: now, Share: share, Floor: floor}
}

// Count notes one new request, not a retry.
func (b Budget) Count(now time.Duration) Budget {
	b = b.advance(now)
	b.Rate += 1 / rateWindow.Seconds()
	return b
}

// PerSecond is the number of retries allowed per second.
func (b Budget) PerSecond() float64 {
	return max(b.Floor, b.Share*b.Rate)
}

func (b Budget) take(now time.Duration) (Budget, bool) {
	b = b.advance(now)
	if b.Tokens < 1 {
		return b, false
	}
	b.Tokens--
	return b, true
}

func (b Budget) advance(now time.Duration) Budget {
	passed := max(0, now-b.At).Seconds()
	b.Rate *= math.Exp(-passed / rateWindow.Seconds())
	b.Tokens = min(max(b.PerSecond(), 1), b.Tokens+passed*b.PerSecond())
	b.At = max(b.At, now)
	return b
}
