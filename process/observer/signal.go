package observer

import (
	"time"

	"mulberrybeam"
)

// Kinds of signals that the observer emits, in addition to those from request
// handling.
const (
	// SignSilent says that the last report of a target is older than
	// Timing.Silence.
	SignSilent mulberrybeam.SignalKind = "silent"
	// SignLeaving says that a target is leaving or drained.
	SignLeaving mulberrybeam.SignalKind = "leaving"
	// SignReturned says that a leaving or drained target accepts work again.
	SignReturned mulberrybeam.SignalKind = "returned"
)

// Measured is the event of a load report that this process polled itself.
type Measured struct {
	mulberrybeam.TargetObserved
	// Since is the earliest local monotonic time at which the target may
	// have taken the measurements of the report.
	Since time.Duration
}
