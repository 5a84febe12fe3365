package relayer

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
	"mulberrybeam/process/tallier"
	"mulberrybeam/request/chooser"
	"mulberrybeam/request/quarantiner"
	"mulberrybeam/request/retrier"
)

const (
	// idleTimeout is how long a stream may be idle before another target is
	// asked to take it over, if the target sends nothing to other requests
	// either. Callers disconnect after about three seconds.
	idleTimeout = 1500 * time.Millisecond
	// busyIdleExtra is added to idleTimeout while the target sends data to
	// other requests, which shows that it is busy rather than down.
	busyIdleExtra = 1300 * time.Millisecond
	// standbyGrace is the time after which a standby takes over that has neither
	// failed nor been refused. It is longer than the time to open a connection,
	// and limits how long both targets work on the request.
	standbyGrace = 350 * time.Millisecond
	// standbyInterval is the time between two searches for a standby.
	standbyInterval = 500 * time.Millisecond
)

var errSilent = &mulberrybeam.Failure{
	Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepAnswer, Message: "target was silent",
}

// watch notices that the target of an attempt is silent, and looks for another
// one. A silent target may be healthy, so its attempt ends only when another attempt
// at a second target, the standby, takes over. Only the request's goroutine uses it.
type watch struct {
	attempt *attempt
	// limit is how long the target may be silent, or 0 for any time.
	limit        time.Duration
	timer        *time.Timer
	lastActivity time.Duration
	// standby is the attempt that will take over, or nil.
	standby *attempt
}

// startWatch starts the watch of an attempt. Stop must be called.
func (a *attempt) startWatch() *watch {
	w := &watch{attempt: a, limit: a.responseTimeout(), lastActivity: a.Now()}
	if w.limit > 0 {
		w.timer = time.NewTimer(w.limit)
	}
	return w
}

// expired returns the channel that receives when check must be called.
func (w *watch) expired() <-chan time.Time {
	if w.timer == nil {
		return nil
	}
	return w.timer.C
}

// standbySent returns the channel that receives the response to the standby.
func (w *watch) standbySent() <-chan sendResult {
	if w.standby == nil {
		return nil
	}
	return w.standby.sent
}

// recordActivity records that the target made progress, which makes a standby
// unnecessary.
func (w *watch) recordActivity() {
	w.lastActivity = w.attempt.Now()
	if !w.attempt.isPassed() {
		w.attempt.Monitor.RecordReceived(w.attempt.target.ID)
		w.attempt.recordReceived(w.lastActivity)
	}
	w.dropStandby()
}

// check is called when the timer expires. It looks for a standby if the target has
// been silent for too long, and returns the standby once it takes over.
func (w *watch) check(ctx context.Context) *attempt {
	if w.standby != nil {
		return w.takeStandby()
	}
	if remaining := w.remaining(); remaining > 0 {
		w.timer.Reset(max(min(remaining, w.limit), time.Millisecond))
		return nil
	}
	w.standby = w.attempt.startStandby(ctx)
	if w.standby == nil {
		w.timer.Reset(standbyInterval)
		return nil
	}
	w.timer.Reset(standbyGrace)
	return nil
}

// remaining returns for how much longer the target may be silent.
func (w *watch) remaining() time.Duration {
	a := w.attempt
	limit := w.limit
	if a.match.Rule.Streaming && a.Now()-a.Monitor.TargetStats(a.target.ID).LastReceivedAt < w.limit {
		limit += busyIdleExtra
	}
	return limit - (a.Now() - w.lastActivity)
}

// handleStandby handles the response to the standby. It returns the standby if
// it takes over, and nil if its target failed or refused the request.
func (w *watch) handleStandby(ctx context.Context, result sendResult) *attempt {
	if result.err == nil && w.standby.canForward(result.response) {
		// The standby receives its response once more when it runs.
		w.standby.sent <- result
		return w.takeStandby()
	}
	standby := w.standby
	w.standby = nil
	standby.end(ctx, standby.reject(ctx, result))
	w.timer.Reset(standbyInterval)
	return nil
}

func (w *watch) takeStandby() *attempt {
	standby := w.standby
	w.standby = nil
	return standby
}

func (w *watch) dropStandby() {
	if w.standby == nil {
		return
	}
	w.standby.discard()
	w.standby = nil
	w.timer.Reset(w.limit)
}

// stop ends the watch and drops a standby that has not taken over.
func (w *watch) stop() {
	w.dropStandby()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// startStandby sends the request of a silent attempt to another target as well.
// It returns nil if that is not allowed or no target has capacity.
func (a *attempt) startStandby(ctx context.Context) *attempt {
	if a.headerWritten && !a.splitter.Resumable() {
		return nil
	}
	a.refreshFleet()
	if a.decideParts(true).Verdict != quarantiner.RunNormally {
		return nil
	}
	if a.mayPass() && !a.Isolation.SendsDirectly(a.random) {
		return a.startPassedStandby(ctx)
	}
	a.decideSide(false)
	query := a.chooserQuery()
	query.Tried = append(slices.Clone(a.tried), a.target.ID)
	query.MayWait = true
	choice, err := chooser.Choose(a.Now(), a.random, a.fleet, a.Monitor, query)
	if err != nil {
		a.recordEntry(mulberrybeam.EntryRetry, string(a.target.ID), "silent target is kept: "+err.Error())
		return nil
	}
	history := a.history
	history.Attempts = append(slices.Clone(history.Attempts), retrier.Attempt{Target: mulberrybeam.TargetID(a.target.ID), Sent: true})
	turn := mulberrybeam.Turn{Now: a.Now(), Rand: a.random}
	decision := a.Budgets.Decide(turn, a.service, len(a.fleet.EntryHosts), &a.requestInfo, history, errSilent)
	if !decision.Retry {
		a.recordEntry(mulberrybeam.EntryRetry, string(a.target.ID), "silent target is kept: "+decision.Reason)
		return nil
	}
	a.recordEntry(mulberrybeam.EntryRetry, string(a.target.ID), fmt.Sprintf("silent target, trying %s", choice.Target.ID))
	standby, err := a.startAttempt(ctx, choice, query.MinVersion)
	if err != nil {
		return nil
	}
	return standby
}

// reject ends an attempt whose response is not forwarded because another attempt
// is running, and returns what was wrong with it. It does not read the body, which
// may take long.
func (a *attempt) reject(ctx context.Context, result sendResult) error {
	a.cancel()
	if result.err != nil {
		return a.classifySendError(ctx, result.err)
	}
	result.response.Close()
	if a.isPassed() {
		return a.rejectPassed(ctx, result.response)
	}
	if result.response.Head.NotRun {
		return a.recordRefusal(result.response.Status)
	}
	return a.recordInterruption(ctx, fmt.Sprintf("target returned status %d", result.response.Status), nil)
}

// discard ends an attempt that is not needed any more. Its target may have run
// the request.
func (a *attempt) discard() {
	a.recordAttempt(true, false)
	if a.isPassed() {
		a.endPassed(context.Background(), errSilent)
	} else {
		a.tallied.End(tallier.Outcome{})
		a.Monitor.Withhold(a.target.ID)
		a.Monitor.RecordEnd(a.target.ID, a.load, false)
	}
	a.abandon()
}

// abandon closes the connection of an attempt whose response is not awaited any
// more.
func (a *attempt) abandon() {
	a.cancel()
	go func() {
		if result := <-a.sent; result.err == nil {
			result.response.Close()
		}
	}()
}

// chunk is a part of a response body, with the error that ended it.
type chunk struct {
	data []byte
	err  error
}

// readChunks reads a response body in a goroutine. The returned function waits
// until the goroutine has ended; unless the body has, its connection must be
// closed before.
func readChunks(response *requester.Answer) (<-chan chunk, func()) {
	chunks, stopped, done := make(chan chunk), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		buffer := make([]byte, streamBufferSize)
		for {
			n, err := response.Read(buffer)
			select {
			case chunks <- chunk{bytes.Clone(buffer[:n]), err}:
			case <-stopped:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return chunks, func() {
		close(stopped)
		<-done
	}
}
