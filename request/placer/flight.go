package placer

import (
	"time"

	"mulberrybeam"
)

// Flight is a fetch of a context that is in progress.
type Flight struct {
	Request mulberrybeam.RequestID
	Target  mulberrybeam.TargetID
	// Until is the local monotonic time from which the fetch counts as lost.
	Until time.Duration
}

// Flights are the fetches in progress by the key of the context. They are not
// safe for concurrent use: callers must hold a lock.
type Flights map[mulberrybeam.BlockKey]Flight

// Begin adds a fetch of a context unless one is in progress. It returns the fetch
// that is in progress after the call, and whether it belongs to the caller's
// request. If it belongs to another request, the caller waits for its end or
// recomputes the context.
func (f Flights) Begin(now time.Duration, key mulberrybeam.BlockKey, flight Flight) (Flight, bool) {
	if running, found := f[key]; found && now < running.Until {
		return running, running.Request == flight.Request
	}
	f[key] = flight
	return flight, true
}

// End removes the fetch of a request. It keeps the fetch of another request that
// began after this one counted as lost.
func (f Flights) End(key mulberrybeam.BlockKey, request mulberrybeam.RequestID) {
	if f[key].Request == request {
		delete(f, key)
	}
}
