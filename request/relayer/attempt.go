package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
	"mulberrybeam/request/chooser"
	"mulberrybeam/request/fetcher"
	"mulberrybeam/request/retrier"
)

const (
	// defaultVersion is the weight version of a model for which the platform
	// has not announced one yet.
	defaultVersion = 1
	// connectionFraction is the fraction of a target's connection limit that
	// all entry hosts together may use.
	connectionFraction = 0.85
	// minConnections is the lowest limit per host, so that every host can reach
	// a target with a small connection limit.
	minConnections = 2
	// responseWaitFactor is how long a repeatable, non-streaming request waits
	// for a response before it is sent to another target, as a multiple of the
	// rule's latency goal.
	responseWaitFactor = 2.5
	// avoidAfterServiceRefusal, avoidAfterEngineRefusal and
	// avoidAfterUnreachable are how long a target gets no new requests after a
	// service or an engine refused one, and after the target was unreachable
	// or another instance responded.
	avoidAfterServiceRefusal = 40 * time.Millisecond
	avoidAfterEngineRefusal  = 300 * time.Millisecond
	avoidAfterUnreachable    = time.Second
	// suspectMargin is added to the cold start time of an unreachable target,
	// which may have restarted without this process noticing.
	suspectMargin = 500 * time.Millisecond
	// crashCheckTimeout is the timeout of the check whether a target has
	// crashed.
	crashCheckTimeout = 300 * time.Millisecond
)

// runAttempt sends the request to one target and forwards the response. It
// returns a Failure if the caller did not get a complete response.
func (e *exchange) runAttempt(ctx context.Context) error {
	query := e.chooserQuery()
	choice, err := chooser.Choose(e.Now(), e.random, e.fleet, e.Monitor, query)
	if err != nil {
		return err
	}
	current := &attempt{exchange: e, target: choice.Target, preferred: choice.PreferredEngine, reason: choice.Reason, sentAt: e.Now(), requireGoal: query.ExcludeOldWeights}
	message := current.buildMessage()
	if !e.Monitor.Reserve(current.target.ID, current.load, choice.ColdLimit) {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(current.target.ID),
			Message: "request rate limit of the cold target is reached", NotRun: true,
		}
	}
	err = current.run(ctx, message)
	e.Monitor.RecordEnd(current.target.ID, current.load, err != nil && ctx.Err() == nil && !isRefusal(err))
	return err
}

func (e *exchange) chooserQuery() chooser.Query {
	query := chooser.Query{
		Rule: e.match.Rule, Service: e.service, Zone: e.settings.Zone, Self: e.settings.ID,
		Model: e.inbound.Model, Tried: e.tried,
		MayWait:      e.match.Rule.Streaming && !e.headerWritten && e.Now()+waitInterval <= e.waitDeadline(),
		PromptTokens: e.inbound.PromptTokens, MemoryTokens: e.fleet.Deployment.Pools[e.service].MemoryTokens,
		ColdOvershoot: e.settings.Bounds.ColdOvershoot, ColdSlack: e.settings.Bounds.ColdSlack,
	}
	goal, found := e.fleet.Weights[e.inbound.Model]
	if found {
		query.ExcludeOldWeights = e.Now()-goal.SeenAt > e.settings.Bounds.VersionWithin-weightDeadlineMargin
	}
	e.addPromptParts(&query, goal.Version)
	return query
}

// addPromptParts adds the prompt's shared parts to the query, and where their
// context may be stored.
func (e *exchange) addPromptParts(query *chooser.Query, version int) {
	parts := e.inbound.Parts
	if len(parts) == 0 {
		return
	}
	shared := parts[:max(len(parts)-1, 1)]
	last := shared[len(shared)-1]
	query.SharedPart = last.ID
	for _, part := range shared {
		query.SharedTokens += part.Tokens
	}
	query.ContextZone = fetcher.PreferredZone(e.fleet.ContextStores, last.ID)
	if version == 0 {
		version = defaultVersion
	}
	_, query.Stored = e.Catalog.StoreOf(mulberrybeam.PartKey{
		Salt: fetcher.Salt(version, e.match.Workspace), Model: e.inbound.Model, ID: last.ID,
	})
}

// attempt is one attempt at one target.
type attempt struct {
	*exchange
	target mulberrybeam.FleetTarget
	// preferred is the engine preferred by other requests with the same shared
	// parts. It is zero if that engine is the target.
	preferred mulberrybeam.FleetTarget
	reason    string
	// load is the part of the target's load that this attempt accounts for.
	load   mulberrybeam.TargetLoad
	sentAt time.Duration
	// requireGoal requires the target to run the current weight goal.
	requireGoal bool
}

func (a *attempt) run(ctx context.Context, message requester.Message) error {
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := a.startIdleTimer(a.responseTimeout(), func() { cancel(errResponseTimeout) })
	defer idle.stop()
	response, err := a.Sender.Send(sendCtx, a.target, a.connectionLimit(), message)
	if err != nil {
		return a.classifySendError(ctx, context.Cause(sendCtx), err)
	}
	defer response.Close()
	idle.stop()
	a.firstByteAt = a.Now()
	a.Monitor.RecordFirstByte(a.target.ID, a.load.PrefillTokens, a.firstByteAt-a.sentAt)
	a.load.PrefillTokens = 0
	return a.handleResponse(ctx, sendCtx, cancel, response)
}

var errResponseTimeout = &mulberrybeam.Failure{
	Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepAnswer, Message: "target did not respond in time",
}

// responseTimeout returns how long to wait for the response header before the
// request goes to another target, or 0 for no limit when it may not run on
// another one.
func (a *attempt) responseTimeout() time.Duration {
	runs := 0
	for _, earlier := range a.history.Attempts {
		if earlier.Sent && !earlier.Refused {
			runs++
		}
	}
	if !a.requestInfo.Repeatable || runs+1 >= a.history.MaxRuns {
		return 0
	}
	if a.match.Rule.Streaming {
		return idleTimeout
	}
	return time.Duration(responseWaitFactor * float64(a.match.Rule.LatencyGoal))
}

func (a *attempt) connectionLimit() int {
	pool := a.fleet.Deployment.Pools[a.service]
	if pool.MaxConnections <= 0 {
		return 0
	}
	return max(int(connectionFraction*float64(pool.MaxConnections))/len(a.fleet.EntryHosts), minConnections)
}

func (a *attempt) buildMessage() requester.Message {
	call := mulberrybeam.OutboundCall{
		Deadline: a.requestInfo.Deadline - a.Now(), Instance: a.target.ID, LastEvent: a.inbound.LastEvent,
		Priority: a.match.Rule.Priority, HasPriority: true,
	}
	if workspace := a.match.Workspace; workspace != nil {
		call.Workspace = workspace.Name
		if workspace.HasPriority {
			call.Priority = workspace.Priority
		}
	}
	a.planContext(&call)
	a.load = a.expectedLoad(call)
	if a.splitter.LastID != "" {
		call.LastEvent = a.splitter.LastID
	}
	a.recordEntry(mulberrybeam.EntryRoute, string(a.target.ID), fmt.Sprintf(
		"%s, attempt %d of rule %s at revision %d, weight version %d, prompt parts %v, fetch from %v, save to %v, %s until the deadline",
		a.reason, len(a.history.Attempts)+1, a.match.Rule.Name, a.fleet.Deployment.Revision,
		call.Version, a.inbound.Parts, call.FetchFrom, call.SaveTo, call.Deadline.Round(time.Millisecond)))
	return requester.Message{
		ID: a.inbound.ID, Method: a.request.Method, URI: requestURI(a.request), Host: a.request.Host,
		Header: a.Codec.Outbound(a.request.Header, call), Body: a.body,
		HasBody: len(a.body) > 0 || a.request.ContentLength != 0 || a.request.Method == http.MethodPost,
	}
}

// planContext sets the cache salt, the weight version and the stored context
// that the engine should use. It plans transfers to and from stores only when
// the engine is known to run the current weight goal.
func (a *attempt) planContext(call *mulberrybeam.OutboundCall) {
	if a.inbound.Model == "" {
		return
	}
	goal := a.fleet.Weights[a.inbound.Model].Version
	version := a.target.Versions[a.inbound.Model]
	call.Salt = fetcher.Salt(version, a.match.Workspace)
	// The salt contains the weight version. An engine that ran the request on
	// other weights would store context under the wrong salt, and engines that
	// fetch it would use context computed with different weights.
	call.Version = version
	if a.requireGoal {
		call.Version = goal
	}
	if version == 0 || version < goal {
		return
	}
	query := fetcher.Query{
		Model: a.inbound.Model, Salt: call.Salt, Parts: a.inbound.Parts, Stores: a.fleet.ContextStores,
		TimeToGoal: a.timeToGoal(),
		Backlog:    a.Monitor.TargetStats(a.target.ID).Load().PrefillTokens,
	}
	if a.preferred.Versions[a.inbound.Model] == version {
		query.Peer = a.preferred.Address
	}
	plan := fetcher.Decide(a.Catalog, query)
	call.FetchFrom, call.SaveTo = plan.FetchFrom, plan.SaveTo
	call.FetchDeadline = plan.FetchDeadline
}

// timeToGoal returns the time until the first token is due, or until the deadline
// if the rule has no latency goal.
func (a *attempt) timeToGoal() time.Duration {
	if a.match.Rule.LatencyGoal <= 0 {
		return a.requestInfo.Deadline - a.Now()
	}
	return a.arrivedAt + a.match.Rule.LatencyGoal - a.Now()
}

// expectedLoad returns the load that the attempt adds to the target. Parts
// whose context is fetched do not have to be computed.
func (a *attempt) expectedLoad(call mulberrybeam.OutboundCall) mulberrybeam.TargetLoad {
	load := mulberrybeam.TargetLoad{Requests: 1, HeldTokens: a.inbound.PromptTokens}
	for i, part := range a.inbound.Parts {
		if i >= len(call.FetchFrom) || call.FetchFrom[i] == "" {
			load.PrefillTokens += part.Tokens
		}
	}
	return load
}

// handleResponse decides from the status and the header how to handle a
// response.
func (a *attempt) handleResponse(ctx, sendCtx context.Context, cancel context.CancelCauseFunc, response *requester.Answer) error {
	switch {
	case response.Head.NotRun && response.Status != http.StatusBadRequest:
		return a.handleRefusal(response)
	case response.Status < http.StatusMultipleChoices && !response.Head.Stamped:
		return a.recordInterruption(ctx, "response lacks the target's stamp", nil)
	case response.Status >= http.StatusInternalServerError && a.requestInfo.Repeatable && !a.headerWritten:
		return a.handleErrorStatus(response)
	case a.headerWritten && !a.continuesStream(response):
		return a.recordInterruption(ctx, fmt.Sprintf("stream cannot be resumed, target returned status %d with content type %q",
			response.Status, response.Header.Get("Content-Type")), nil)
	case impliesNotRun(response.Status) && !response.Head.NotRun:
		return a.recordInterruption(ctx, fmt.Sprintf("target returned status %d without confirming that the request did not run", response.Status), nil)
	case a.match.Rule.Streaming && response.Status == http.StatusOK:
		return a.forwardStream(ctx, sendCtx, cancel, response)
	}
	return a.forwardBody(ctx, response)
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
	avoidFor := avoidAfterServiceRefusal
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		avoidFor = avoidAfterUnreachable
	case a.inbound.Model != "":
		avoidFor = avoidAfterEngineRefusal
	}
	a.Monitor.Avoid(a.target.ID, avoidFor)
	a.recordAttempt(true, true)
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetRefused, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: fmt.Sprintf("target refused the request with status %d", response.Status), NotRun: true,
	}
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
func (a *attempt) classifySendError(ctx context.Context, cause, err error) error {
	if !isRefusal(err) {
		if cause == errResponseTimeout {
			a.recordAttempt(true, false)
			return errResponseTimeout
		}
		return a.recordInterruption(ctx, "no response", err)
	}
	a.recordAttempt(false, true)
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
	if ctx.Err() == nil && cause != nil {
		a.reportCrash()
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: message, Cause: cause,
	}
}

// reportCrash reports the request to the control loop if its target has
// crashed. If the target still accepts connections, only the response was
// lost.
func (a *attempt) reportCrash() {
	crash := mulberrybeam.CrashRecord{Fingerprint: a.requestInfo.Fingerprint, Target: a.target.ID}
	address, post, sender := a.target.Address, a.Post, a.Sender
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if sender.RefusesConnections(ctx, address) {
			post(mulberrybeam.TargetCrashed{Crash: crash})
		}
	}()
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

// requestURI returns the request target in origin form.
func requestURI(request *http.Request) string {
	if request.URL.Host == "" {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}
