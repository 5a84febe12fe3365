package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
	"mulberrybeam/request/retrier"
)

const (
	// maxHelpers is the number of helpers that a request is passed on to.
	maxHelpers = 3
	// helperPrefix distinguishes helpers from targets in logs.
	helperPrefix = "helper:"
)

// Passing has what it takes to pass requests on through other entry hosts.
type Passing struct {
	Codec   mulberrybeam.PassingCodec
	Helpers mulberrybeam.Helpers
	// Sender sends requests to helpers over connections of its own.
	Sender Sender
}

// passState is the part of an exchange that is about passing it on.
type passState struct {
	// received is set for a request of another host, which is not passed on again. from
	// is that host.
	received bool
	from     mulberrybeam.ProcessID
	// forced is set once the request is passed on although this host does not count as
	// isolated.
	forced  bool
	helpers []mulberrybeam.ProcessID
}

// ServePassed handles one request that another entry host passes on. It is sent to one
// target only, unless a target refuses it; that host decides on all repeats.
func (r *Relayer) ServePassed(writer http.ResponseWriter, request *http.Request) {
	e := &exchange{Relayer: r, writer: drainWriter{writer, r.Shutdown}, request: request, arrivedAt: r.Now(), fleet: r.Fleet(), settings: r.Settings()}
	e.pass.received, e.pass.from = true, r.Passing.Codec.PassedFrom(request.Header)
	e.run()
}

// RefusePassed refuses a request of another host that this one cannot help.
func (r *Relayer) RefusePassed(writer http.ResponseWriter, request *http.Request, refusal mulberrybeam.PassedRefusal) {
	// An earlier request on the connection may have left a deadline.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeMargin))
	id := r.Codec.Inbound(request.Header).ID
	r.Passing.Codec.Mark(writer.Header(), mulberrybeam.PassedAnswer{Request: id, NotRun: true, Refusal: refusal})
	r.Codec.RetryAfter(writer.Header(), minRetryAfter)
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// mayPass reports whether the request may be passed on.
func (e *exchange) mayPass() bool {
	return e.Passing != nil && !e.pass.received && len(e.pass.helpers) < maxHelpers
}

// passesOn decides whether the next attempt goes through a helper.
func (e *exchange) passesOn() bool {
	return e.mayPass() && (e.pass.forced || !e.Isolation.SendsDirectly(e.random))
}

// passesInstead decides whether a request that no target got goes through a helper now,
// before this host counts as isolated. While there is no suspicion that it is, requests
// that find no target wait and are refused as ever.
func (e *exchange) passesInstead(err error) bool {
	if e.pass.forced || e.mayHaveRun || e.headerWritten || !e.mayPass() || e.Isolation.Phase() == mulberrybeam.PhaseConnected {
		return false
	}
	if slices.ContainsFunc(e.history.Attempts, wasSent) {
		return false
	}
	e.pass.forced = mulberrybeam.CodeOf(err) == mulberrybeam.CodeNoTarget || cannotConnect(err)
	return e.pass.forced
}

// cannotConnect reports whether no connection to a target could be opened. Its limit of
// connections has no cause.
func cannotConnect(err error) bool {
	var failure *mulberrybeam.Failure
	return errors.As(err, &failure) && failure.Step == mulberrybeam.StepConnect && failure.NotRun && failure.Cause != nil
}

// runNext runs the next attempt, through a helper if that is worth it.
func (e *exchange) runNext(ctx context.Context) error {
	if !e.passesOn() {
		return e.runAttempt(ctx)
	}
	passed := e.startPassed(ctx)
	switch {
	case passed != nil:
		return passed.runChain(ctx)
	case e.match.Rule.Idempotent() || e.Isolation.Phase() != mulberrybeam.PhaseIsolated:
		return e.runAttempt(ctx)
	}
	// A target that this host does not reach would turn a request that has not run into
	// one that may have.
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(e.service),
		Message: "this host reaches no target and no helper takes the request", NotRun: true,
	}
}

// startPassed sends the request to a helper. It returns nil if there is none.
func (e *exchange) startPassed(ctx context.Context) *attempt {
	helper, found := e.Passing.Helpers.Begin(e.random, e.pass.helpers)
	if !found {
		return nil
	}
	e.pass.helpers = append(e.pass.helpers, helper.ID)
	a := &attempt{exchange: e, helper: helper, outcomeAtHelper: mulberrybeam.HelperFailed, sentAt: e.Now(), sent: make(chan sendResult, 1)}
	a.target.ID = mulberrybeam.InstanceID(helperPrefix + string(helper.ID))
	a.target.Service, a.target.Address, a.target.Zone = e.service, helper.Address, helper.Zone
	call := mulberrybeam.PassedCall{From: e.settings.ID, Deadline: e.requestInfo.Deadline - e.Now(), LastEvent: e.splitter.LastID}
	if call.LastEvent != "" && e.inbound.Resumes == "" {
		call.Resumes = e.inbound.ID
	}
	message := e.newMessage(e.Passing.Codec.PassOn(e.request.Header, call))
	a.recordEntry(mulberrybeam.EntryRoute, string(a.target.ID), fmt.Sprintf(
		"passed on to %s, attempt %d of rule %s at revision %d, this host is %s, after event %q, %s until the deadline",
		helper.Address, len(e.history.Attempts)+1, e.match.Rule.Name, e.fleet.Deployment.Revision, e.Isolation.Phase(), call.LastEvent, call.Deadline.Round(time.Millisecond)))
	sendCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	go func() {
		response, err := a.Passing.Sender.Send(sendCtx, a.target, 0, message)
		a.sent <- sendResult{response, err}
	}()
	return a
}

// startPassedStandby sends the request of a silent attempt to a helper, if the budget
// allows it.
func (a *attempt) startPassedStandby(ctx context.Context) *attempt {
	history := a.history
	history.Attempts = append(slices.Clone(history.Attempts), retrier.Attempt{Target: mulberrybeam.TargetID(a.target.ID), Sent: true})
	decision := a.Budgets.Decide(mulberrybeam.Turn{Now: a.Now(), Rand: a.random}, a.service, len(a.fleet.EntryHosts), &a.requestInfo, history, errSilent)
	if !decision.Retry {
		a.recordEntry(mulberrybeam.EntryRetry, string(a.target.ID), "silent target is kept: "+decision.Reason)
		return nil
	}
	return a.startPassed(ctx)
}

// isPassed reports whether the attempt goes through a helper.
func (a *attempt) isPassed() bool { return a.helper.ID != "" }

// recordPassedHead takes what the helper added out of the head of its answer.
func (a *attempt) recordPassedHead(response *requester.Answer) {
	a.answeredByHelper = true
	a.passedAnswer = a.Passing.Codec.Unmark(response.Header)
	refusal := a.passedAnswer.Refusal
	a.Passing.Helpers.Answer(a.helper.ID, refusal == "" || refusal == mulberrybeam.PassedFinal)
	a.target.Software = a.passedAnswer.Software
	if service := a.passedAnswer.Service; service != "" && !a.headerWritten && a.sharesWith(service) {
		a.service = service
	}
	a.recordLeavingTarget(response)
}

// recordLeavingTarget records that the target behind the helper said that it is about to
// stop, so that this host sends nothing to it either.
func (a *attempt) recordLeavingTarget(response *requester.Answer) {
	if !response.Head.Leaving || a.passedAnswer.Target == "" {
		return
	}
	targets := a.fleet.Targets[a.service]
	for i := range targets {
		if targets[i].ID == a.passedAnswer.Target && a.Monitor.RecordLeaving(targets[i].LiveTarget) {
			a.recordEntry(mulberrybeam.EntryMember, string(targets[i].ID), "target said that it is about to stop, through "+string(a.helper.ID))
		}
	}
}

// handlePassed handles a refusal of the helper itself. It reports false for any other
// answer.
func (a *attempt) handlePassed(ctx context.Context, response *requester.Answer) (refused bool, err error) {
	if a.passedAnswer.Refusal == "" && a.passedAnswer.Target == "" {
		return true, a.recordInterruption(ctx, fmt.Sprintf("the answer with status %d is from no target and from no helper", response.Status), nil)
	}
	if a.passedAnswer.Refusal == "" || !a.passedAnswer.NotRun {
		return false, nil
	}
	// A refusal is the caller's answer unless this host has sent the request before, so
	// that it may have run.
	if a.passedAnswer.Refusal == mulberrybeam.PassedFinal && !a.headerWritten && !a.mayHaveRun {
		return true, a.forwardBody(ctx, response)
	}
	return true, a.refusedByHelper(response)
}

// rejectPassed ends an attempt whose response is not forwarded.
func (a *attempt) rejectPassed(ctx context.Context, response *requester.Answer) error {
	if !a.answeredByHelper {
		a.recordPassedHead(response)
	}
	if a.passedAnswer.Refusal != "" && a.passedAnswer.NotRun {
		return a.refusedByHelper(response)
	}
	return a.recordInterruption(ctx, fmt.Sprintf("helper passed on status %d", response.Status), nil)
}

// refusedByHelper records that the helper cannot help. The request reached no target
// through it, so that another helper may be asked.
func (a *attempt) refusedByHelper(response *requester.Answer) error {
	switch a.passedAnswer.Refusal {
	case mulberrybeam.PassedFinal:
		a.outcomeAtHelper = mulberrybeam.HelperAnswered
	case mulberrybeam.PassedIsolated:
		a.outcomeAtHelper = mulberrybeam.HelperIsolated
	default:
		a.outcomeAtHelper = mulberrybeam.HelperRefused
	}
	a.recordAttempt(false, true)
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetRefused, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: fmt.Sprintf("helper refused the request with status %d, %s", response.Status, a.passedAnswer.Refusal), NotRun: true,
	}
}

// endPassed records how an attempt through a helper ended.
func (a *attempt) endPassed(ctx context.Context, err error) {
	switch {
	case err == nil:
		a.outcomeAtHelper = mulberrybeam.HelperAnswered
	case a.passedAnswer.Target != "" && a.outcomeAtHelper == mulberrybeam.HelperFailed && isErrorOfTarget(err):
		a.outcomeAtHelper = mulberrybeam.HelperAnswered
	case ctx.Err() != nil || errors.Is(err, errSilent):
		a.outcomeAtHelper = mulberrybeam.HelperUnneeded
	}
	a.Passing.Helpers.End(a.helper.ID, a.answeredByHelper, a.outcomeAtHelper)
	text := fmt.Sprintf("passed on through %s to target %q: %s after %s", a.helper.ID, a.passedAnswer.Target, a.outcomeAtHelper, (a.Now() - a.sentAt).Round(time.Millisecond))
	if err != nil {
		text += ": " + err.Error()
	}
	a.recordEntry(mulberrybeam.EntryPassing, string(a.target.ID), text)
}

// isErrorOfTarget reports whether the target behind a helper answered with an error.
func isErrorOfTarget(err error) bool {
	var retry *grantedRetry
	return errors.As(err, &retry)
}

// markAnswer adds to the answer to another host which target it is from.
func (a *attempt) markAnswer(header http.Header) {
	if a.pass.received {
		a.Passing.Codec.Mark(header, mulberrybeam.PassedAnswer{Request: a.inbound.ID, Target: a.target.ID, Software: a.target.Software, Service: a.service})
	}
}

func wasSent(attempt retrier.Attempt) bool { return attempt.Sent }

// reachedNone reports whether there were attempts and none could be sent. This host may be
// cut off and not know it yet.
func (e *exchange) reachedNone() bool {
	return len(e.history.Attempts) > 0 && !slices.ContainsFunc(e.history.Attempts, wasSent)
}

// markRefusal adds to a refusal for another host whether a third one may do better.
func (e *exchange) markRefusal(failure *mulberrybeam.Failure) {
	if !e.pass.received {
		return
	}
	refusal := mulberrybeam.PassedFinal
	switch failure.Code {
	case mulberrybeam.CodeShuttingDown, mulberrybeam.CodeNotReady, mulberrybeam.CodePlatformDown, mulberrybeam.CodeOverloaded:
		refusal = mulberrybeam.PassedBusy
	case mulberrybeam.CodeNoTarget, mulberrybeam.CodeTargetRefused:
		switch phase := e.Isolation.Phase(); {
		case phase == mulberrybeam.PhaseIsolated:
			refusal = mulberrybeam.PassedIsolated
		case phase != mulberrybeam.PhaseConnected || e.reachedNone():
			refusal = mulberrybeam.PassedBusy
		}
	}
	e.Passing.Codec.Mark(e.writer.Header(), mulberrybeam.PassedAnswer{Request: e.inbound.ID, NotRun: failure.NotRun, Refusal: refusal})
}
