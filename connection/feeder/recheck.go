package feeder

import (
	"context"
	"errors"
	"sync"
)

// errRecheck ends the call of a feed that waits for changes when another feed's
// call failed or the store has another history.
var errRecheck = errors.New("all feeds are to check the store")

// RecheckSignal makes all feeds of a process check the store when a call of one feed
// fails. The store may drop all watches without closing them, and a feed whose
// calls wait long would notice it seconds after one with short calls.
type RecheckSignal struct {
	mutex   sync.Mutex
	cancels map[int]context.CancelCauseFunc
	nextID  int
}

// Notify ends the calls of all feeds that are waiting for changes, so that they ask the
// store at once.
func (r *RecheckSignal) Notify() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, cancel := range r.cancels {
		cancel(errRecheck)
	}
	r.cancels = nil
}

// register returns a context for a call that waits for changes. It ends with ctx
// or when Notify is called. The caller must call done when the call has
// returned.
func (r *RecheckSignal) register(ctx context.Context) (waitCtx context.Context, done func()) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cancels == nil {
		r.cancels = map[int]context.CancelCauseFunc{}
	}
	id := r.nextID
	r.nextID++
	r.cancels[id] = cancel
	return waitCtx, func() {
		cancel(nil)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.cancels, id)
	}
}
