package permitter

import "time"

// Timing has the durations and counts of permits and of the warm-up.
type Timing struct {
	// Valid is the longest validity of a permit.
	Valid time.Duration
	// Transit bounds the way of a request from the sender's last check to
	// the target's count of requests in flight.
	Transit time.Duration
	// ReleaseGrace is how long a release may take after its request has
	// ended. A report measured later that shows fewer requests than such
	// permits proves that a release was lost.
	ReleaseGrace time.Duration
	// Reassignment is the wait for permits of a target whose slot another
	// revision changes. Processes that have the earlier revision may issue
	// permits for the 10 s until the new one is in force everywhere, and
	// these stay valid for Valid.
	Reassignment time.Duration
	// DriftShare is the part by which another process's clock may be off.
	DriftShare float64
	// WarmAfter and WarmTime are the warm-up of targets that declare none.
	WarmAfter int
	WarmTime  time.Duration
	// DoubtTime is how long a report of another process does not clear a
	// doubt of a process's own, since it may have been measured before.
	DoubtTime time.Duration
	// Retry is proposed to processes whose request is refused.
	Retry time.Duration
	// FactTTL is the time to live of phase facts. It outlasts a platform
	// outage in which nobody can state them again.
	FactTTL time.Duration
	// Restate is the time between two statements of an unchanged phase.
	Restate time.Duration
	// Introduction bounds the time in which a new process learns the owners
	// of its zone's targets before it calls itself ready. It is longer than
	// the wait for a slot whose holder died.
	Introduction time.Duration
}

// DefaultTiming returns the durations and counts of the design page.
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

// longer is how long to wait for a length on another process's clock.
func (t Timing) longer(length time.Duration) time.Duration {
	return length + time.Duration(float64(length)*t.DriftShare)
}

func (t Timing) shorter(length time.Duration) time.Duration {
	return length - time.Duration(float64(length)*t.DriftShare)
}
