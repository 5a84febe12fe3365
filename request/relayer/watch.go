package relayer

import (
	"sync"
	"time"
)

const (
	// stallLimit is how long a stream may be silent before it goes on at
	// another target, when the target is silent altogether. Callers leave
	// after about three seconds.
	stallLimit = 1500 * time.Millisecond
	// hungLimit is how much longer it may be when the target answers other
	// requests, which shows that it is busy rather than gone.
	hungLimit = 1300 * time.Millisecond
)

// watch ends an attempt whose target has been silent for too long.
type watch struct {
	try   *try
	limit time.Duration
	end   func()

	mutex   sync.Mutex
	timer   *time.Timer
	since   time.Duration
	stopped bool
}

// watch starts to watch the attempt. A limit of 0 watches nothing.
func (t *try) watch(limit time.Duration, end func()) *watch {
	w := &watch{try: t, limit: limit, end: end, since: t.Now()}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, w.check)
	}
	return w
}

// heard notes that the attempt's target sent something.
func (w *watch) heard() {
	w.try.Gauger.Heard(w.try.target.ID)
	if w.limit == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.since = w.try.Now()
}

func (w *watch) stop() {
	if w.limit == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check ends the attempt, or looks again later.
func (w *watch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	now := w.try.Now()
	limit := w.limit
	if w.try.match.Rule.Streaming && now-w.try.Gauger.Gauge(w.try.target.ID).HeardAt < w.limit {
		limit += hungLimit
	}
	if silent := now - w.since; silent < limit {
		w.timer.Reset(max(min(limit-silent, w.limit), time.Millisecond))
		return
	}
	w.end()
}
