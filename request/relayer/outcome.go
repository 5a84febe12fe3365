package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/requester"
	"mulberrybeam/process/tallier"
	"mulberrybeam/request/retrier"
)

// handleResponse decides from the status and the header how to handle a
// response. Like run, it returns the attempt that took over.
func (a *attempt) handleResponse(ctx context.Context, response *requester.Answer) (*attempt, error) {
	if a.isPassed() {
		if refused, err := a.handlePassed(ctx, response); refused {
			return nil, err
		}
	}
	switch {
	case response.Head.NotRun && response.Status != http.StatusBadRequest:
		return nil, a.handleRefusal(response)
	case response.Status < http.StatusMultipleChoices && !response.Head.Stamped:
		return nil, a.recordInterruption(ctx, "response lacks the target's stamp", nil)
	case response.Status >= http.StatusInternalServerError && a.requestInfo.Repeatable && !a.headerWritten:
		return nil, a.handleErrorStatus(response)
	case a.headerWritten && !a.continuesStream(response):
		return nil, a.recordInterruption(ctx, fmt.Sprintf("stream cannot be resumed, target returned status %d with content type %q",
			response.Status, response.Header.Get("Content-Type")), nil)
	case impliesNotRun(response.Status) && !response.Head.NotRun:
		return nil, a.recordInterruption(ctx, fmt.Sprintf("target returned status %d without confirming that the request did not run", response.Status), nil)
	case a.match.Rule.Streaming && response.Status == http.StatusOK:
		return a.forwardStream(ctx, response)
	}
	return nil, a.forwardBody(ctx, response)
}

// canForward reports whether a response is a success that the caller can get.
func (a *attempt) canForward(response *requester.Answer) bool {
	switch {
	case !response.Head.Stamped || response.Head.NotRun:
		return false
	case a.headerWritten:
		return a.continuesStream(response)
	case a.match.Rule.Streaming:
		return response.Status == http.StatusOK
	}
	return response.Status < http.StatusMultipleChoices
}

// impliesNotRun reports whether callers may conclude from the status that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleRefusal handles a response by which the target says that it did not
// run the request.
func (a *attempt) handleRefusal(response *requester.Answer) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxDiscardedBody))
	return a.recordRefusal(response.Status)
}

// recordRefusal records that the target refused the request.
func (a *attempt) recordRefusal(status int) error {
	if !a.isPassed() {
		a.avoidAfterRefusal(status)
	}
	a.recordAttempt(true, true)
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetRefused, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: fmt.Sprintf("target refused the request with status %d", status), NotRun: true,
	}
}

func (a *attempt) avoidAfterRefusal(status int) {
	avoidFor := avoidAfterServiceRefusal
	switch {
	case status == http.StatusMisdirectedRequest:
		avoidFor = avoidAfterUnreachable
	case a.inbound.Model != "":
		avoidFor = avoidAfterEngineRefusal
	}
	a.Monitor.Avoid(a.target.ID, avoidFor)
}

// handleErrorStatus handles a 5xx response to a repeatable request: it returns
// an error that causes a retry, or forwards the response if no retry is
// allowed.
func (a *attempt) handleErrorStatus(response *requester.Answer) error {
	a.recordAttempt(true, false)
	failure := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: fmt.Sprintf("target returned status %d", response.Status),
	}
	turn := mulberrybeam.Turn{Now: a.Now(), Rand: a.random}
	if decision := a.Budgets.Decide(turn, a.service, len(a.fleet.EntryHosts), &a.requestInfo, a.history, failure); !decision.Retry {
		return a.forwardBody(a.request.Context(), response)
	}
	return &grantedRetry{failure}
}

// grantedRetry is a failure after which the retry budget has granted a retry.
type grantedRetry struct{ *mulberrybeam.Failure }

// Unwrap returns the underlying failure.
func (r *grantedRetry) Unwrap() error { return r.Failure }

// classifySendError classifies an attempt that ended before a response header
// arrived.
func (a *attempt) classifySendError(ctx context.Context, err error) error {
	if !isRefusal(err) {
		return a.recordInterruption(ctx, "no response", err)
	}
	a.recordAttempt(false, true)
	if a.isPassed() {
		a.outcomeAtHelper = mulberrybeam.HelperUnreachable
		return err
	}
	if ctx.Err() == nil {
		pool := a.fleet.Deployment.Pools[a.service]
		a.Monitor.Avoid(a.target.ID, avoidAfterUnreachable)
		if pool.ColdTime > 0 {
			a.Monitor.Suspect(a.target.ID, pool.ColdTime+suspectMargin)
		}
	}
	return err
}

// recordInterruption records an attempt that the target may have run although
// no complete response arrived, and returns its failure.
func (a *attempt) recordInterruption(ctx context.Context, message string, cause error) error {
	a.recordAttempt(true, false)
	if ctx.Err() == nil && cause != nil && !a.isPassed() {
		a.reportCrash()
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: message, Cause: cause,
	}
}

// recordSilence records that another target took over because this one was
// silent.
func (a *attempt) recordSilence() error {
	a.recordAttempt(true, false)
	return errSilent
}

// reportCrash reports the request to the control loop if its target has
// crashed. If the target still accepts connections, only the response was
// lost.
func (a *attempt) reportCrash() {
	crash := mulberrybeam.CrashRecord{Fingerprint: a.requestInfo.Fingerprint, Target: a.target.Incarnation(), Parts: a.crashParts()}
	address, post, sender, tallied, isolation := a.target.Address, a.Post, a.Sender, a.tallied, a.Isolation
	a.tallied = nil
	go func() {
		crashed := hasStopped(context.Background(), sender, address)
		// A crash of one target, which breaks all its requests at once, is no evidence
		// against the version of its software.
		tallied.End(tallier.Outcome{Failed: !crashed})
		if crashed && !explainsCrash(isolation) {
			post(mulberrybeam.TargetCrashed{Crash: crash})
		}
	}()
}

// explainsCrash reports whether a target refuses connections because this host reaches no
// target. Records of such crashes would convict prompt parts that its requests share.
func explainsCrash(isolation mulberrybeam.Isolation) bool {
	if isolation == nil {
		return false
	}
	for waited := time.Duration(0); waited < verdictTime && isolation.Phase() == mulberrybeam.PhaseSuspecting; waited += verdictInterval {
		time.Sleep(verdictInterval)
	}
	return isolation.Phase() != mulberrybeam.PhaseConnected
}

// hasStopped reports whether the process of a target that closed a connection has ended.
func hasStopped(ctx context.Context, sender Sender, address string) bool {
	if !pauser.Pause(ctx, exitDelay) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return sender.RefusesConnections(ctx, address)
}

func (a *attempt) recordAttempt(sent, refused bool) {
	a.history.Attempts = append(a.history.Attempts, retrier.Attempt{
		Target: mulberrybeam.TargetID(a.target.ID), Sent: sent, Refused: refused,
	})
	a.tried = append(a.tried, a.target.ID)
	a.mayHaveRun = a.mayHaveRun || sent && !refused
}

func isRefusal(err error) bool {
	return mulberrybeam.CodeOf(err) == mulberrybeam.CodeTargetRefused
}
