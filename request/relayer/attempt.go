package relayer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
	"mulberrybeam/process/tallier"
	"mulberrybeam/request/chooser"
	"mulberrybeam/request/fetcher"
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
	// exitDelay is the time before the check whether a target has crashed. The
	// kernel closes the connections of a process that ends a few milliseconds
	// before its listener.
	exitDelay = 50 * time.Millisecond
	// verdictTime is how long the host may take to check whether it reaches targets, and
	// verdictInterval the time between two looks at the result.
	verdictTime     = 700 * time.Millisecond
	verdictInterval = 20 * time.Millisecond
	// crashCheckTimeout is the timeout of this check.
	crashCheckTimeout = 300 * time.Millisecond
)

// runAttempt sends the request to one target and forwards the response, or that
// of another target which takes over from a silent one. It returns a Failure if
// the caller did not get a complete response.
func (e *exchange) runAttempt(ctx context.Context) error {
	e.decideSide(true)
	query := e.chooserQuery()
	choice, err := chooser.Choose(e.Now(), e.random, e.fleet, e.Monitor, query)
	if err != nil && e.leaveSample() {
		query = e.chooserQuery()
		choice, err = chooser.Choose(e.Now(), e.random, e.fleet, e.Monitor, query)
	}
	if err != nil {
		return err
	}
	first, err := e.startAttempt(ctx, choice, query.MinVersion)
	if err != nil {
		return err
	}
	return first.runChain(ctx)
}

// runChain runs the attempt and those that take over.
func (a *attempt) runChain(ctx context.Context) error {
	for current := a; ; {
		successor, err := current.runToEnd(ctx)
		if successor == nil {
			return err
		}
		current = successor
	}
}

// startAttempt sends the request to the chosen target.
func (e *exchange) startAttempt(ctx context.Context, choice chooser.Choice, minVersion int) (*attempt, error) {
	a := &attempt{
		exchange: e, target: choice.Target, preferred: choice.PreferredEngine, reason: choice.Reason,
		sentAt: e.Now(), minVersion: minVersion, sent: make(chan sendResult, 1),
	}
	message := a.buildMessage()
	if !a.beginTally() {
		return nil, oldTargetFailure(a.target.ID)
	}
	if !a.reserve(choice) {
		a.tallied.End(tallier.Outcome{})
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(a.target.ID),
			Message: "request rate limit of the cold target, or the share of the fragile one, is reached", NotRun: true,
		}
	}
	sendCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	limit := a.connectionLimit()
	if a.Isolation != nil {
		a.Isolation.RecordSent(a.sentAt, a.target.Address)
	}
	go func() {
		response, err := a.Sender.Send(sendCtx, a.target, limit, message)
		if err == nil {
			a.recordReceived(a.Now())
			a.recordNotice(response)
		}
		a.sent <- sendResult{response, err}
	}()
	return a, nil
}

// recordReceived records that the target sent something.
func (a *attempt) recordReceived(now time.Duration) {
	if a.Isolation != nil {
		a.Isolation.RecordReceived(now)
	}
}

// runToEnd runs the attempt and removes its load from the target, also if the
// caller's connection is aborted by a panic.
func (a *attempt) runToEnd(ctx context.Context) (successor *attempt, err error) {
	defer func() { a.end(ctx, err) }()
	return a.run(ctx)
}

// end removes the attempt's load from its target.
func (a *attempt) end(ctx context.Context, err error) {
	if a.isPassed() {
		a.endPassed(ctx, err)
		return
	}
	a.tallied.End(a.outcome(err))
	if err != nil {
		a.Monitor.Withhold(a.target.ID)
	}
	a.Monitor.RecordEnd(a.target.ID, a.load, err != nil && ctx.Err() == nil && !isRefusal(err))
}

func (e *exchange) chooserQuery() chooser.Query {
	query := chooser.Query{
		Rule: e.match.Rule, Service: e.service, Zone: e.settings.Zone, Self: e.settings.ID,
		Model: e.inbound.Model, Tried: e.tried, Usable: e.usable(),
		MayWait:      e.match.Rule.Streaming && !e.headerWritten && e.Now()+waitInterval <= e.waitDeadline(),
		PromptTokens: e.inbound.PromptTokens, MemoryTokens: e.fleet.Deployment.Pools[e.service].MemoryTokens,
		ColdOvershoot: e.settings.Bounds.ColdOvershoot, ColdSlack: e.settings.Bounds.ColdSlack, Shares: &e.shares,
	}
	query.MinVersion = e.fleet.RequiredVersion(e.inbound.Model, e.Now(), e.settings.Bounds.VersionWithin-weightDeadlineMargin)
	e.addPromptParts(&query, e.fleet.Weights[e.inbound.Model].Version)
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
		Salt: e.salt(version, e.sideSoftware()), Model: e.inbound.Model, ID: last.ID,
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
	// minVersion is the oldest weight version that the target may run.
	minVersion int
	// eventsBefore is the number of events of the stream from earlier attempts.
	eventsBefore int
	// partsReported is set once the attempt's prompt parts were reported as
	// completed.
	partsReported bool
	// checkedSoftware is set once the software version of the target was compared with that
	// of the stream.
	checkedSoftware bool
	// cancel closes the connection to the target, and sent receives the head of
	// the response.
	cancel context.CancelFunc
	sent   chan sendResult
	// tallied is the attempt as rollouts count it, or nil. firstResponse is the time
	// until the first byte of the answer, and status that of the response.
	tallied       *tallier.Attempt
	firstResponse time.Duration
	status        int
	// helper is the host that the request is passed on to, if any; target then stands
	// for it. answeredByHelper, passedAnswer and outcomeAtHelper are what came of that.
	helper           mulberrybeam.Helper
	answeredByHelper bool
	passedAnswer     mulberrybeam.PassedAnswer
	outcomeAtHelper  mulberrybeam.HelperOutcome
}

// sendResult is the head of a target's response, or why there is none.
type sendResult struct {
	response *requester.Answer
	err      error
}

// run forwards the target's response. It returns the attempt that took over, if
// any, or a Failure if the caller did not get a complete response.
func (a *attempt) run(ctx context.Context) (*attempt, error) {
	defer a.cancel()
	response, successor, err := a.awaitHead(ctx)
	if response == nil {
		return successor, err
	}
	defer response.Close()
	a.firstByteAt = a.Now()
	if a.isPassed() {
		return a.handleResponse(ctx, response)
	}
	a.recordStatus(response.Status)
	a.Monitor.RecordFirstByte(a.target.ID, a.load.PrefillTokens, a.firstByteAt-a.sentAt)
	a.load.PrefillTokens = 0
	return a.handleResponse(ctx, response)
}

// awaitHead waits for the head of the response.
func (a *attempt) awaitHead(ctx context.Context) (*requester.Answer, *attempt, error) {
	w := a.startWatch()
	defer w.stop()
	for {
		var successor *attempt
		select {
		case result := <-a.sent:
			if result.err == nil && a.isPassed() {
				a.recordPassedHead(result.response)
			}
			if result.err != nil || w.standby != nil && !a.canForward(result.response) {
				return nil, w.takeStandby(), a.reject(ctx, result)
			}
			return result.response, nil, nil
		case <-w.expired():
			successor = w.check(ctx)
		case result := <-w.standbySent():
			successor = w.handleStandby(ctx, result)
		}
		if successor != nil {
			a.abandon()
			return nil, successor, a.recordSilence()
		}
	}
}

// responseTimeout returns for how long the target may be silent before another
// one is asked to take over, or 0 for any time when the request may not run on
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
		"%s, attempt %d of rule %s at revision %d, software %q, after event %q of request %q, weight version %d, prompt parts %v, fetch from %v, save to %v, %s until the deadline",
		a.reason, len(a.history.Attempts)+1, a.match.Rule.Name, a.fleet.Deployment.Revision,
		a.target.Software, call.LastEvent, a.inbound.Resumes, call.Version, a.inbound.Parts, call.FetchFrom, call.SaveTo, call.Deadline.Round(time.Millisecond)))
	return a.newMessage(a.Codec.Outbound(a.request.Header, call))
}

// newMessage returns the request with a header for a target or a helper.
func (e *exchange) newMessage(header http.Header) requester.Message {
	return requester.Message{
		ID: e.inbound.ID, Method: e.request.Method, URI: requestURI(e.request), Host: e.request.Host,
		Header: header, Body: e.body,
		HasBody: len(e.body) > 0 || e.request.ContentLength != 0 || e.request.Method == http.MethodPost,
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
	call.Salt = a.salt(version, a.target.Software)
	// The salt contains the weight version. An engine that ran the request on
	// other weights would store context under the wrong salt, and engines that
	// fetch it would use context computed with different weights.
	call.Version = version
	if version < a.minVersion {
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
	if a.preferred.Versions[a.inbound.Model] == version && (a.Tallier == nil || a.preferred.Software == a.target.Software) {
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

// requestURI returns the request target in origin form.
func requestURI(request *http.Request) string {
	if request.URL.Host == "" {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}
