package observer

import (
	"time"

	"mulberrybeam"
)

// Kinds of signals that the observer emits, in addition to those from request
// handling.
const (
	// SignalSilent reports that the last report of a target is older than
	// Timing.SilentAfter.
	SignalSilent mulberrybeam.SignalKind = "silent"
	// SignalLeaving reports that a target is leaving or drained.
	SignalLeaving mulberrybeam.SignalKind = "leaving"
	// SignalReturned reports that a leaving or drained target accepts work again.
	SignalReturned mulberrybeam.SignalKind = "returned"
)

// ReportPolled is the event of a load report that this process polled itself.
type ReportPolled struct {
	mulberrybeam.TargetObserved
	// MeasuredAfter is the earliest local monotonic time at which the target may
	// have taken the measurements of the report.
	MeasuredAfter time.Duration
}
