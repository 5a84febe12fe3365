package permitter

import "time"

// Timing holds the durations and thresholds of permits and of the warm-up.
type Timing struct {
	// Valid is the maximum validity of a permit.
	Valid time.Duration
	// Transit is the maximum time from the sender's last check of a permit
	// until the target counts the request as in flight.
	Transit time.Duration
	// ReleaseGrace is how long a release may take after its request has
	// ended. If a report measured after that shows fewer requests in flight
	// than there are permits, releases were lost.
	ReleaseGrace time.Duration
	// Reassignment is how long no permits are issued for a target that a
	// new revision moves to another slot. Processes with the earlier
	// revision may issue permits until the new one is in force everywhere,
	// which takes 10 s, and these permits are valid for up to Valid.
	Reassignment time.Duration
	// DriftShare is the maximum relative drift between two clocks.
	DriftShare float64
	// WarmAfter and WarmTime are the number of completed requests and the
	// duration of the warm-up, for targets that declare none.
	WarmAfter int
	WarmTime  time.Duration
	// DoubtTime is how long after a broken connection or a crash reports of
	// other processes are not accepted as proof of a healthy target, since
	// they may have been measured before it.
	DoubtTime time.Duration
	// Retry is the retry delay returned when a permit is refused.
	Retry time.Duration
	// FactTTL is the time to live of phase facts. It is longer than a
	// platform outage, during which a fact may have no owner to refresh it.
	FactTTL time.Duration
	// Restate is the interval at which unchanged phase facts are refreshed.
	Restate time.Duration
	// Introduction is the maximum time that a new process waits to learn
	// the owners of its zone's targets before it reports itself ready. It
	// is longer than the takeover of a slot whose holder died.
	Introduction time.Duration
}

// DefaultTiming returns the timing specified in the design page.
func DefaultTiming() Timing {
	return Timing{
		Valid:        2 * time.Second,
		Transit:      500 * time.Millisecond,
		ReleaseGrace: 2 * time.Second,
		Reassignment: 15 * time.Second,
		DriftShare:   0.05,
		WarmAfter:    16,
		WarmTime:     2 * time.Second,
		DoubtTime:    3 * time.Second,
		Retry:        200 * time.Millisecond,
		FactTTL:      24 * time.Hour,
		Restate:      time.Hour,
		Introduction: 15 * time.Second,
	}
}

// longer returns how long to wait locally so that at least the given duration
// has passed on another process's clock.
func (t Timing) longer(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*t.DriftShare)
}

// shorter returns how long to rely locally on the given duration so that no
// more than it has passed on another process's clock.
func (t Timing) shorter(duration time.Duration) time.Duration {
	return duration - time.Duration(float64(duration)*t.DriftShare)
}
