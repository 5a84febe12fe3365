package feeder

import (
	"context"
	"errors"
	"sync"
)

// errRaised ends the call of a feed that waits for changes when another feed's
// call failed.
var errRaised = errors.New("call of another feed to the store failed")

// Recheck makes all feeds of a process check the store when a call of one feed
// fails. The store may drop all watches without closing them, and a feed whose
// calls wait long would notice it seconds after one with short calls.
type Recheck struct {
	mutex sync.Mutex
	waits map[int]context.CancelCauseFunc
	next  int
}

// raise ends the calls of all feeds that are waiting for changes.
func (r *Recheck) raise() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, cancel := range r.waits {
		cancel(errRaised)
	}
	r.waits = nil
}

// enter returns a context for a call that waits for changes. It ends with ctx or
// when raise is called. The caller must call leave when the call has returned.
func (r *Recheck) enter(ctx context.Context) (waiting context.Context, leave func()) {
	waiting, cancel := context.WithCancelCause(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waits == nil {
		r.waits = map[int]context.CancelCauseFunc{}
	}
	number := r.next
	r.next++
	r.waits[number] = cancel
	return waiting, func() {
		cancel(nil)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.waits, number)
	}
}
