// Package pauser waits between two attempts. A pause lasts no longer than its
// context.
package pauser

import (
	"context"
	"time"
)

// Pause waits and says whether the context still holds. A length of 0 or less
// does not wait.
func Pause(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
