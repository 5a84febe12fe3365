package placer

import (
	"time"

	"mulberrybeam"
)

// Flight is a fetch of a context that is under way.
type Flight struct {
	Request mulberrybeam.RequestID
	Target  mulberrybeam.TargetID
	// Until is when the fetch counts as lost, in local monotonic time.
	Until time.Duration
}

// Flights are the fetches under way by the key of the context. They are shared
// by traffic goroutines, which hold a lock around each call.
type Flights map[mulberrybeam.BlockKey]Flight

// Begin starts a fetch of a context unless one is under way, and returns the
// one that is under way after the call and whether it is the caller's. A
// request that finds another's waits for its end or recomputes.
func (f Flights) Begin(now time.Duration, key mulberrybeam.BlockKey, flight Flight) (Flight, bool) {
	if running, found := f[key]; found && now < running.Until {
		return running, running.Request == flight.Request
	}
	f[key] = flight
	return flight, true
}

// End removes the fetch of a request. Another request's fetch, begun after
// this one counted as lost, stays.
func (f Flights) End(key mulberrybeam.BlockKey, request mulberrybeam.RequestID) {
	if f[key].Request == request {
		delete(f, key)
	}
}
