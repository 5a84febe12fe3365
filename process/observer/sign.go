package observer

import (
	"time"

	"mulberrybeam"
)

// Signs that the observer raises in addition to those of traffic.
const (
	// SignSilent says that a target has not reported for a while.
	SignSilent mulberrybeam.SignKind = "silent"
	// SignLeaving says that a target is leaving or drained.
	SignLeaving mulberrybeam.SignKind = "leaving"
	// SignReturned says that a leaving target takes work again.
	SignReturned mulberrybeam.SignKind = "returned"
)

// Measured is a load report that this process fetched itself.
type Measured struct {
	mulberrybeam.TargetObserved
	// Since is the earliest local monotonic time at which the figures may
	// have been measured.
	Since time.Duration
}
