// Package pauser waits between two attempts. A pause ends early when its context
// is done.
package pauser

import (
	"context"
	"time"
)

// Pause waits for the given duration and returns true, or returns false as soon
// as ctx is done. With a duration of 0 or less, it only checks ctx.
func Pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
