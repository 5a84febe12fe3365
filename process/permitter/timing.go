package permitter

import "time"

// Timing holds the durations and thresholds of permits and of the warm-up.
type Timing struct {
	// PermitValidity is the maximum validity of a permit.
	PermitValidity time.Duration
	// MaxTransit is the maximum time from the sender's last check of a permit
	// until the target counts the request as in flight.
	MaxTransit time.Duration
	// ReleaseGrace is how long a release may take after its request has
	// ended. If a report measured after that shows fewer requests in flight
	// than there are permits, releases were lost.
	ReleaseGrace time.Duration
	// Reassignment is how long no permits are issued for a target that a
	// new revision moves to another slot. Processes with the earlier
	// revision may issue permits until the new one is in force everywhere,
	// which takes 10 s, and these permits are valid for up to PermitValidity.
	Reassignment time.Duration
	// MaxClockDrift is the maximum relative drift between two clocks.
	MaxClockDrift float64
	// WarmRequests and WarmTime are the number of completed requests and the
	// duration of the warm-up, for targets that declare none.
	WarmRequests int
	WarmTime     time.Duration
	// DistrustTime is how long after a broken connection or a crash reports of
	// other processes are not accepted as proof of a healthy target, since
	// they may have been measured before it.
	DistrustTime time.Duration
	// RetryDelay is the retry delay returned when a permit is refused.
	RetryDelay time.Duration
	// FactTTL is the time to live of phase facts. It is longer than a
	// platform outage, during which a fact may have no owner to refresh it.
	FactTTL time.Duration
	// RefreshInterval is the interval at which unchanged phase facts are refreshed.
	RefreshInterval time.Duration
	// ReadyTimeout is the maximum time that a new process waits to learn
	// the owners of its zone's targets before it reports itself ready. It
	// is longer than the takeover of a slot whose holder died.
	ReadyTimeout time.Duration
}

// DefaultTiming returns the timing specified in the design page.
func DefaultTiming() Timing {
	return Timing{
		PermitValidity:  2 * time.Second,
		MaxTransit:      500 * time.Millisecond,
		ReleaseGrace:    2 * time.Second,
		Reassignment:    15 * time.Second,
		MaxClockDrift:   0.05,
		WarmRequests:    16,
		WarmTime:        2 * time.Second,
		DistrustTime:    3 * time.Second,
		RetryDelay:      200 * time.Millisecond,
		FactTTL:         24 * time.Hour,
		RefreshInterval: time.Hour,
		ReadyTimeout:    15 * time.Second,
	}
}

// longer returns how long to wait locally so that at least the given duration
// has passed on another process's clock.
func (t Timing) longer(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*t.MaxClockDrift)
}

// shorter returns how long to rely locally on the given duration so that no
// more than it has passed on another process's clock.
func (t Timing) shorter(duration time.Duration) time.Duration {
	return duration - time.Duration(float64(duration)*t.MaxClockDrift)
}
