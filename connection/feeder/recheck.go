package feeder

import (
	"context"
	"errors"
	"sync"
)

// errRaised ends the wait of a feed whose neighbour has lost the store.
var errRaised = errors.New("another feed has lost the store")

// Recheck tells the feeds of a process of each other's trouble. The store may
// cut all watches without a word, and a feed whose calls wait long would notice
// it seconds after one whose calls are short.
type Recheck struct {
	mutex sync.Mutex
	waits map[int]context.CancelCauseFunc
	next  int
}

// raise ends the waits of all feeds that wait now.
func (r *Recheck) raise() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, cancel := range r.waits {
		cancel(errRaised)
	}
	r.waits = nil
}

// enter returns a context that ends with ctx or when the check is raised. The
// caller leaves it in the end.
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
