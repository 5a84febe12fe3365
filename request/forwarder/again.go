package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/request/quarantiner"
	"mulberrybeam/request/retrier"
)

// again reports whether to try another target after a failure, after waiting
// for the delay of the decision. If not, the returned failure ends the request.
func (f *Forwarder) again(ctx context.Context, r *run, failure *mulberrybeam.Failure) (bool, *mulberrybeam.Failure) {
	if !failure.NotRun {
		r.reached = true
	}
	if ctx.Err() != nil || f.Clock() >= r.sendBefore {
		return false, failure
	}
	if r.broken > 0 {
		if refusal := f.suspect(r); refusal != nil {
			return false, refusal
		}
	}
	turn := mulberrybeam.Turn{Now: f.Clock(), Wall: f.Wall(), Rand: r.random}
	decision := f.budget.decide(turn, r, failure)
	if !decision.Retry {
		return false, failure
	}
	f.note(mulberrybeam.EntryRetry, r.request, failure.Peer, decision.Reason+" after: "+failure.Error())
	r.tried = decision.Tried
	return pauser.Pause(ctx, decision.Delay), failure
}

// suspect asks the quarantiner whether the request may run, given the crashes
// during which it was in flight.
func (f *Forwarder) suspect(r *run) *mulberrybeam.Failure {
	suspicion := quarantiner.Suspicion{Before: r.crashesBefore, Broken: r.broken}
	if crash, found := f.Snapshot().Crashes[r.request.Fingerprint]; found {
		suspicion.Spread = []mulberrybeam.CrashFact{crash}
	}
	suspicion.Copies = f.copies.others(r)
	verdict, crashes := quarantiner.Decide(suspicion)
	if verdict == quarantiner.RunIsolated && !r.isolated && !f.copies.enter(r) {
		// A copy of the request started its isolated run in the meantime.
		verdict = quarantiner.Wait
	}
	if err := quarantiner.Refusal(verdict, crashes, suspicion); err != nil {
		return failureOf(err)
	}
	return nil
}

// budget is the process's retry budget. The control loop never locks its mutex.
type budget struct {
	mutex sync.Mutex
	value retrier.Budget
}

func (b *budget) count(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.value = b.value.Count(now)
}

func (b *budget) decide(turn mulberrybeam.Turn, r *run, failure *mulberrybeam.Failure) retrier.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	decision, value := retrier.Decide(turn, r.request, r.history, failure, b.value)
	b.value = value
	return decision
}

// copies counts the isolated runs in this process by request fingerprint.
type copies struct {
	mutex   sync.Mutex
	running map[mulberrybeam.Fingerprint]int
}

// others counts the isolated runs of the same request other than r.
func (c *copies) others(r *run) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := c.running[r.request.Fingerprint]
	if r.isolated {
		count--
	}
	return count
}

// enter marks a run as isolated, unless another run of the same request is.
func (c *copies) enter(r *run) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running[r.request.Fingerprint] > 0 {
		return false
	}
	c.running[r.request.Fingerprint]++
	r.isolated = true
	return true
}

func (c *copies) leave(r *run) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !r.isolated {
		return
	}
	if c.running[r.request.Fingerprint]--; c.running[r.request.Fingerprint] == 0 {
		delete(c.running, r.request.Fingerprint)
	}
}

// mayRun reports whether a target may be running the request after an error.
func mayRun(err error) bool {
	var failure *mulberrybeam.Failure
	return !errors.As(err, &failure) || !failure.NotRun
}
