package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/carrier"
	"mulberrybeam/request/chooser"
	"mulberrybeam/request/fetcher"
	"mulberrybeam/request/retrier"
)

const (
	// firstVersion is the weight version of a model for which the platform has
	// not announced one yet.
	firstVersion = 1
	// connectionShare is the fraction of a target's connection limit that all
	// entry hosts together may use.
	connectionShare = 0.85
	// minConnections is the lowest limit per host, so that every host can reach
	// a target with a small connection limit.
	minConnections = 2
	// plainPatience is how long a repeatable, non-streaming request waits for a
	// response before it is sent to another target, as a multiple of the
	// rule's latency goal.
	plainPatience = 2.5
	// A target gets no new requests for avoidFull after a service refused a
	// request, for avoidBusy after an engine did, and for avoidGone after it
	// was unreachable or another instance responded.
	avoidFull = 40 * time.Millisecond
	avoidBusy = 300 * time.Millisecond
	avoidGone = time.Second
	// suspectSlack is added to the cold start time of an unreachable target,
	// which may have restarted without this process noticing.
	suspectSlack = 500 * time.Millisecond
	// crashCheck is the timeout of the check whether a target has crashed.
	crashCheck = 300 * time.Millisecond
)

// attempt sends the request to one target and forwards the response. It returns
// a Failure if the caller did not get a complete response.
func (x *exchange) attempt(ctx context.Context) error {
	query := x.query()
	choice, err := chooser.Choose(x.Now(), x.random, x.fleet, x.Gauger, query)
	if err != nil {
		return err
	}
	try := &try{exchange: x, target: choice.Target, first: choice.First, reason: choice.Reason, sentAt: x.Now(), strict: query.Strict}
	message := try.message()
	if !x.Gauger.Reserve(try.target.ID, try.load, choice.ColdLimit) {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(try.target.ID),
			Message: "request rate limit of the cold target is reached", NotRun: true,
		}
	}
	err = try.run(ctx, message)
	x.Gauger.Finished(try.target.ID, try.load, err != nil && ctx.Err() == nil && !isRefusal(err))
	return err
}

func (x *exchange) query() chooser.Query {
	query := chooser.Query{
		Rule: x.match.Rule, Service: x.service, Zone: x.settings.Zone, Self: x.settings.ID,
		Model: x.inbound.Model, Tried: x.tried,
		MayWait:      x.match.Rule.Streaming && !x.started && x.Now()+waitPause <= x.waitLimit(),
		PromptTokens: x.inbound.PromptTokens, Memory: x.fleet.Deployment.Pools[x.service].Memory,
		ColdOvershoot: x.settings.Bounds.ColdOvershoot, ColdSlack: x.settings.Bounds.ColdSlack,
	}
	goal, named := x.fleet.Weights[x.inbound.Model]
	if named {
		query.Strict = x.Now()-goal.SeenAt > x.settings.Bounds.VersionWithin-strictMargin
	}
	x.describePrompt(&query, goal.Version)
	return query
}

// describePrompt adds the prompt's shared parts to the query, and where their
// context may be stored.
func (x *exchange) describePrompt(query *chooser.Query, version int) {
	parts := x.inbound.Parts
	if len(parts) == 0 {
		return
	}
	shared := parts[:max(len(parts)-1, 1)]
	last := shared[len(shared)-1]
	query.SharedPart = last.ID
	for _, part := range shared {
		query.SharedTokens += part.Tokens
	}
	query.ContextZone = fetcher.Zone(x.fleet.ContextStores, last.ID)
	if version == 0 {
		version = firstVersion
	}
	_, query.Stored = x.Catalog.Holder(mulberrybeam.PartKey{
		Salt: fetcher.Salt(version, x.match.Workspace), Model: x.inbound.Model, ID: last.ID,
	})
}

// try is one attempt at one target.
type try struct {
	*exchange
	target mulberrybeam.FleetTarget
	// first is the engine preferred by other requests with the same shared
	// parts. It is zero if that engine is the target.
	first  mulberrybeam.FleetTarget
	reason string
	// load is the part of the target's load that this attempt accounts for.
	load   mulberrybeam.TargetLoad
	sentAt time.Duration
	// strict requires the target to run the current weight goal.
	strict bool
}

func (t *try) run(ctx context.Context, message carrier.Message) error {
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := t.watch(t.patience(), func() { cancel(errNoAnswer) })
	defer watch.stop()
	answer, err := t.Sender.Send(sending, t.target, t.connectionLimit(), message)
	if err != nil {
		return t.failed(ctx, context.Cause(sending), err)
	}
	defer answer.Close()
	watch.stop()
	t.firstByte = t.Now()
	t.Gauger.Started(t.target.ID, t.load.Unread, t.firstByte-t.sentAt)
	t.load.Unread = 0
	return t.judge(ctx, cancel, answer)
}

var errNoAnswer = &mulberrybeam.Failure{
	Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepAnswer, Message: "target did not respond in time",
}

// patience returns how long to wait for the response header before the request
// goes to another target, or 0 for no limit when it may not run on another one.
func (t *try) patience() time.Duration {
	runs := 0
	for _, attempt := range t.history.Attempts {
		if attempt.Sent && !attempt.Refused {
			runs++
		}
	}
	if !t.plain.Repeatable || runs+1 >= t.history.RunLimit {
		return 0
	}
	if t.match.Rule.Streaming {
		return stallLimit
	}
	return time.Duration(plainPatience * float64(t.match.Rule.LatencyGoal))
}

func (t *try) connectionLimit() int {
	pool := t.fleet.Deployment.Pools[t.service]
	if pool.MaxConnections <= 0 {
		return 0
	}
	return max(int(connectionShare*float64(pool.MaxConnections))/len(t.fleet.EntryHosts), minConnections)
}

func (t *try) message() carrier.Message {
	call := mulberrybeam.OutboundCall{
		Deadline: t.plain.Deadline - t.Now(), Instance: t.target.ID, LastEvent: t.inbound.LastEvent,
		Priority: t.match.Rule.Priority, HasPriority: true,
	}
	if workspace := t.match.Workspace; workspace != nil {
		call.Workspace = workspace.Name
		if workspace.HasPriority {
			call.Priority = workspace.Priority
		}
	}
	t.planContext(&call)
	t.load = t.expectedLoad(call)
	if t.splitter.LastID != "" {
		call.LastEvent = t.splitter.LastID
	}
	t.note(mulberrybeam.EntryRoute, string(t.target.ID), fmt.Sprintf(
		"%s, attempt %d of rule %s at revision %d, weight version %d, prompt parts %v, fetch from %v, save to %v, %s until the deadline",
		t.reason, len(t.history.Attempts)+1, t.match.Rule.Name, t.fleet.Deployment.Revision,
		call.Version, t.inbound.Parts, call.FetchFrom, call.SaveTo, call.Deadline.Round(time.Millisecond)))
	return carrier.Message{
		ID: t.inbound.ID, Method: t.request.Method, URI: requestURI(t.request), Host: t.request.Host,
		Header: t.Codec.Outbound(t.request.Header, call), Body: t.body,
		HasBody: len(t.body) > 0 || t.request.ContentLength != 0 || t.request.Method == http.MethodPost,
	}
}

// planContext sets the cache salt, the weight version and the stored context
// that the engine should use. It plans transfers to and from stores only when
// the engine is known to run the current weight goal.
func (t *try) planContext(call *mulberrybeam.OutboundCall) {
	if t.inbound.Model == "" {
		return
	}
	goal := t.fleet.Weights[t.inbound.Model].Version
	version := t.target.Versions[t.inbound.Model]
	call.Salt = fetcher.Salt(version, t.match.Workspace)
	// The salt contains the weight version. An engine that ran the request on
	// other weights would store context under the wrong salt, and engines that
	// fetch it would use context computed with different weights.
	call.Version = version
	if t.strict {
		call.Version = goal
	}
	if version == 0 || version < goal {
		return
	}
	query := fetcher.Query{
		Model: t.inbound.Model, Salt: call.Salt, Parts: t.inbound.Parts, Stores: t.fleet.ContextStores,
	}
	if t.first.Versions[t.inbound.Model] == version {
		query.Peer = t.first.Address
	}
	plan := fetcher.Decide(t.Catalog, query)
	call.FetchFrom, call.SaveTo = plan.FetchFrom, plan.SaveTo
	call.FetchUntil = plan.Until
}

// expectedLoad returns the load that the attempt adds to the target. Parts whose
// context is fetched do not have to be computed.
func (t *try) expectedLoad(call mulberrybeam.OutboundCall) mulberrybeam.TargetLoad {
	load := mulberrybeam.TargetLoad{Requests: 1, Held: t.inbound.PromptTokens}
	for i, part := range t.inbound.Parts {
		if i >= len(call.FetchFrom) || call.FetchFrom[i] == "" {
			load.Unread += part.Tokens
		}
	}
	return load
}

// judge decides from the status and the header how to handle a response.
func (t *try) judge(ctx context.Context, cancel context.CancelCauseFunc, answer *carrier.Answer) error {
	switch {
	case answer.Head.NotRun && answer.Status != http.StatusBadRequest:
		return t.refused(answer)
	case answer.Status < http.StatusMultipleChoices && !answer.Head.Stamped:
		return t.broke(ctx, "response has no stamp of the target", nil)
	case answer.Status >= http.StatusInternalServerError && t.plain.Repeatable && !t.started:
		return t.failedAnswer(answer)
	case t.started && answer.Status != http.StatusOK:
		return t.broke(ctx, fmt.Sprintf("stream cannot be resumed, target returned status %d", answer.Status), nil)
	case promisesNotRun(answer.Status) && !answer.Head.NotRun:
		return t.broke(ctx, fmt.Sprintf("target returned status %d without confirming that the request did not run", answer.Status), nil)
	case t.match.Rule.Streaming && answer.Status == http.StatusOK:
		return t.stream(ctx, cancel, answer)
	}
	return t.deliver(ctx, answer)
}

// promisesNotRun reports whether callers may conclude from the status that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refused handles a response by which the target says that it did not run the
// request.
func (t *try) refused(answer *carrier.Answer) error {
	_, _ = io.Copy(io.Discard, answer)
	avoid := avoidFull
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		avoid = avoidGone
	case t.inbound.Model != "":
		avoid = avoidBusy
	}
	t.Gauger.Avoid(t.target.ID, avoid)
	t.noteAttempt(true, true)
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetRefused, Step: mulberrybeam.StepAnswer, Peer: string(t.target.ID),
		Message: fmt.Sprintf("target refused the request with status %d", answer.Status), NotRun: true,
	}
}

// failedAnswer handles a 5xx response to a repeatable request: it returns an
// error that causes a retry, or forwards the response if no retry is allowed.
func (t *try) failedAnswer(answer *carrier.Answer) error {
	t.noteAttempt(true, false)
	failure := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: string(t.target.ID),
		Message: fmt.Sprintf("target returned status %d", answer.Status),
	}
	turn := mulberrybeam.Turn{Now: t.Now(), Rand: t.random}
	if decision := t.Budgets.Decide(turn, t.service, len(t.fleet.EntryHosts), &t.plain, t.history, failure); !decision.Retry {
		return t.deliver(t.request.Context(), answer)
	}
	return &repeat{failure}
}

// repeat is a failure for which the retry budget has already granted a retry.
type repeat struct{ *mulberrybeam.Failure }

// Unwrap returns the underlying failure.
func (r *repeat) Unwrap() error { return r.Failure }

// failed classifies an attempt that ended before a response header arrived.
func (t *try) failed(ctx context.Context, cause, err error) error {
	if !isRefusal(err) {
		if cause == errNoAnswer {
			t.noteAttempt(true, false)
			return errNoAnswer
		}
		return t.broke(ctx, "no response", err)
	}
	t.noteAttempt(false, true)
	if ctx.Err() == nil {
		pool := t.fleet.Deployment.Pools[t.service]
		t.Gauger.Avoid(t.target.ID, avoidGone)
		if pool.ColdTime > 0 {
			t.Gauger.Suspect(t.target.ID, pool.ColdTime+suspectSlack)
		}
	}
	return err
}

// broke records an attempt that the target may have run although no complete
// response arrived, and returns its failure.
func (t *try) broke(ctx context.Context, message string, cause error) error {
	t.noteAttempt(true, false)
	if ctx.Err() == nil && cause != nil {
		t.checkCrash()
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: string(t.target.ID),
		Message: message, Cause: cause,
	}
}

// checkCrash reports the request to the control loop if its target has crashed.
// If the target still accepts connections, only the response was lost.
func (t *try) checkCrash() {
	crash := mulberrybeam.CrashRecord{Fingerprint: t.plain.Fingerprint, Target: t.target.ID}
	address, post, sender := t.target.Address, t.Post, t.Sender
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheck)
		defer cancel()
		if sender.Crashed(ctx, address) {
			post(mulberrybeam.TargetCrashed{Crash: crash})
		}
	}()
}

func (t *try) noteAttempt(sent, refused bool) {
	t.history.Attempts = append(t.history.Attempts, retrier.Attempt{
		Target: mulberrybeam.TargetID(t.target.ID), Sent: sent, Refused: refused,
	})
	t.tried = append(t.tried, t.target.ID)
	t.mayHaveRun = t.mayHaveRun || sent && !refused
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
