package relayer

import (
	"sync"
	"time"
)

const (
	// idleTimeout is how long a stream may be idle before it resumes on another
	// target, if the target sends nothing to other requests either. Callers
	// disconnect after about three seconds.
	idleTimeout = 1500 * time.Millisecond
	// busyIdleExtra is added to idleTimeout while the target sends data to
	// other requests, which shows that it is busy rather than down.
	busyIdleExtra = 1300 * time.Millisecond
)

// idleTimer ends an attempt whose target has made no progress for too long.
type idleTimer struct {
	attempt *attempt
	limit   time.Duration
	onIdle  func()

	mutex        sync.Mutex
	timer        *time.Timer
	lastActivity time.Duration
	stopped      bool
}

// startIdleTimer starts the idle timer of the attempt. A limit of 0 disables
// it.
func (a *attempt) startIdleTimer(limit time.Duration, onIdle func()) *idleTimer {
	i := &idleTimer{attempt: a, limit: limit, onIdle: onIdle, lastActivity: a.Now()}
	if limit > 0 {
		i.timer = time.AfterFunc(limit, i.check)
	}
	return i
}

// recordActivity records that the target made progress, which restarts the idle
// time.
func (i *idleTimer) recordActivity() {
	i.attempt.Monitor.RecordReceived(i.attempt.target.ID)
	if i.limit == 0 {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.lastActivity = i.attempt.Now()
}

func (i *idleTimer) stop() {
	if i.limit == 0 {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stopped = true
	i.timer.Stop()
}

// check ends the attempt if it was idle for too long, or restarts the timer for
// the remaining time.
func (i *idleTimer) check() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return
	}
	now := i.attempt.Now()
	limit := i.limit
	if i.attempt.match.Rule.Streaming && now-i.attempt.Monitor.TargetStats(i.attempt.target.ID).LastReceivedAt < i.limit {
		limit += busyIdleExtra
	}
	if idle := now - i.lastActivity; idle < limit {
		i.timer.Reset(max(min(limit-idle, i.limit), time.Millisecond))
		return
	}
	i.onIdle()
}
