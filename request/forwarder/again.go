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

// shouldRetry reports whether to try another target after a failure, after
// waiting for the delay of the decision. If not, the returned failure ends the
// request.
func (f *Forwarder) shouldRetry(ctx context.Context, r *run, failure *mulberrybeam.Failure) (bool, *mulberrybeam.Failure) {
	if !failure.NotRun {
		r.mayHaveRun = true
	}
	if ctx.Err() != nil || f.Clock() >= r.sendDeadline {
		return false, failure
	}
	if r.brokenConnections > 0 {
		if refusal := f.checkQuarantine(r); refusal != nil {
			return false, refusal
		}
	}
	turn := mulberrybeam.Turn{Now: f.Clock(), Wall: f.Wall(), Rand: r.random}
	decision := f.retryBudget.decide(turn, r, failure)
	if !decision.Retry {
		return false, failure
	}
	f.recordEvent(mulberrybeam.EntryRetry, r.request, failure.Peer, decision.Reason+" after: "+failure.Error())
	r.tried = decision.Tried
	return pauser.Pause(ctx, decision.Delay), failure
}

// checkQuarantine asks the quarantiner whether the request may run, given the
// crashes during which it was in flight.
func (f *Forwarder) checkQuarantine(r *run) *mulberrybeam.Failure {
	suspicion := quarantiner.Suspicion{CrashesBefore: r.crashesBefore, BrokenAttempts: r.brokenConnections}
	if crash, found := f.Snapshot().Crashes[r.request.Fingerprint]; found {
		suspicion.Facts = []mulberrybeam.CrashFact{crash}
	}
	suspicion.Copies = f.isolatedRuns.otherRuns(r)
	verdict, crashes := quarantiner.Decide(suspicion)
	if verdict == quarantiner.RunIsolated && !r.isolated && !f.isolatedRuns.start(r) {
		// A copy of the request started its isolated run in the meantime.
		verdict = quarantiner.Wait
	}
	if err := quarantiner.Refusal(verdict, crashes, suspicion); err != nil {
		return failureOf(err)
	}
	return nil
}

// retryBudget is the process's retry budget. The control loop never locks its
// mutex.
type retryBudget struct {
	mutex   sync.Mutex
	current retrier.Budget
}

func (b *retryBudget) countRequest(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.current = b.current.CountRequest(now)
}

func (b *retryBudget) decide(turn mulberrybeam.Turn, r *run, failure *mulberrybeam.Failure) retrier.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	decision, updated := retrier.Decide(turn, r.request, r.history, failure, b.current)
	b.current = updated
	return decision
}

// isolatedRuns counts the isolated runs in this process by request fingerprint.
type isolatedRuns struct {
	mutex   sync.Mutex
	running map[mulberrybeam.Fingerprint]int
}

// otherRuns counts the isolated runs of the same request other than r.
func (i *isolatedRuns) otherRuns(r *run) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	count := i.running[r.request.Fingerprint]
	if r.isolated {
		count--
	}
	return count
}

// start marks a run as isolated, unless another run of the same request is.
func (i *isolatedRuns) start(r *run) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.running[r.request.Fingerprint] > 0 {
		return false
	}
	i.running[r.request.Fingerprint]++
	r.isolated = true
	return true
}

func (i *isolatedRuns) finish(r *run) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !r.isolated {
		return
	}
	if i.running[r.request.Fingerprint]--; i.running[r.request.Fingerprint] == 0 {
		delete(i.running, r.request.Fingerprint)
	}
}

// mayHaveRun reports whether a target may be running the request after an
// error.
func mayHaveRun(err error) bool {
	var failure *mulberrybeam.Failure
	return !errors.As(err, &failure) || !failure.NotRun
}
