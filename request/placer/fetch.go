package placer

import (
	"time"

	"mulberrybeam"
)

// Fetch is a fetch of a context that is in progress.
type Fetch struct {
	Request mulberrybeam.RequestID
	Target  mulberrybeam.TargetID
	// Until is the local monotonic time from which the fetch counts as lost.
	Until time.Duration
}

// Fetches are the fetches in progress by the key of the context. They are not
// safe for concurrent use: callers must hold a lock.
type Fetches map[mulberrybeam.BlockKey]Fetch

// Begin adds a fetch of a context unless one is in progress. It returns the fetch
// that is in progress after the call, and whether it belongs to the caller's
// request. If it belongs to another request, the caller waits for its end or
// recomputes the context.
func (f Fetches) Begin(now time.Duration, key mulberrybeam.BlockKey, fetch Fetch) (Fetch, bool) {
	if running, found := f[key]; found && now < running.Until {
		return running, running.Request == fetch.Request
	}
	f[key] = fetch
	return fetch, true
}

// End removes the fetch of a request. It keeps the fetch of another request that
// began after this one counted as lost.
func (f Fetches) End(key mulberrybeam.BlockKey, request mulberrybeam.RequestID) {
	if f[key].Request == request {
		delete(f, key)
	}
}
