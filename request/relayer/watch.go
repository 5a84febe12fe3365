package relayer

import (
	"sync"
	"time"
)

const (
	// stallLimit is how long a stream may be idle before it resumes on another
	// target, if the target sends nothing to other requests either. Callers
	// disconnect after about three seconds.
	stallLimit = 1500 * time.Millisecond
	// hungLimit is added to stallLimit while the target sends data to other
	// requests, which shows that it is busy rather than down.
	hungLimit = 1300 * time.Millisecond
)

// watch is an idle timer: it ends an attempt whose target has sent nothing for
// too long.
type watch struct {
	try   *try
	limit time.Duration
	end   func()

	mutex   sync.Mutex
	timer   *time.Timer
	since   time.Duration
	stopped bool
}

// watch starts the idle timer of the attempt. A limit of 0 disables it.
func (t *try) watch(limit time.Duration, end func()) *watch {
	w := &watch{try: t, limit: limit, end: end, since: t.Now()}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, w.check)
	}
	return w
}

// heard restarts the idle time because the target sent data.
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

// check ends the attempt if it was idle for too long, or restarts the timer for
// the remaining time.
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
