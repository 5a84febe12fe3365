package relayer

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/process/reserver"
	"mulberrybeam/request/matcher"
	"mulberrybeam/request/resumer"
	"mulberrybeam/request/retrier"
)

const (
	// keyAgeFraction is the fraction of the key revocation limit for which
	// keys stay valid without a confirmation from the platform. The time
	// counts from the start of the confirming call, so the rest only covers
	// clock error.
	keyAgeFraction = 0.95
	// defaultTimeout is the timeout of a request whose rule sets none.
	defaultTimeout = 30 * time.Second
	// weightDeadlineMargin is how long before the deadline for replacing old
	// weights requests are restricted to engines with the new ones.
	weightDeadlineMargin = 2500 * time.Millisecond
)

// exchange is one request of a caller, from its arrival to the end of the
// response.
type exchange struct {
	*Relayer
	writer    drainWriter
	request   *http.Request
	arrivedAt time.Duration
	fleet     *mulberrybeam.Fleet
	// settings are the host settings at the request's arrival.
	settings *mulberrybeam.HostSettings

	inbound mulberrybeam.InboundCall
	match   matcher.Match
	service mulberrybeam.ServiceName
	body    []byte
	// reservation holds the memory of the request, and bodyRead is set once the caller
	// has sent all.
	reservation *reserver.Reservation
	bodyRead    bool
	requestInfo mulberrybeam.Request
	random      *rand.Rand
	history     retrier.History
	tried       []mulberrybeam.InstanceID
	waitCount   int
	// sample is the part of a rollout that the request takes.
	sample     sample
	mayHaveRun bool
	// trials are the convicted prompt parts that this request tries.
	trials []mulberrybeam.SharedPart
	// firstByteAt is when the response header of the last attempt arrived.
	firstByteAt time.Duration
	// headerWritten is set once the response header has been written to the
	// caller.
	headerWritten bool
	splitter      resumer.Splitter
	origin        origin
	pass          passState
}

func (e *exchange) run() {
	e.limitWriting(defaultTimeout)
	defer func() { e.reservation.Close() }()
	e.inbound = e.Codec.Inbound(e.request.Header)
	if e.pass.received {
		e.recordEntry(mulberrybeam.EntryPassing, string(e.pass.from), "runs for a caller of this host")
	}
	if err := e.accept(); err != nil {
		e.writeRefusal(err)
		return
	}
	ctx, cancel := context.WithTimeout(e.request.Context(), e.requestInfo.Deadline-e.Now())
	defer cancel()
	if !e.pass.received {
		e.Budgets.CountRequest(e.service, len(e.fleet.EntryHosts), e.arrivedAt)
	}
	defer func() { e.endStream() }()
	e.tryTargets(ctx)
}

// accept matches the request to a rule, reads its body and picks a service.
func (e *exchange) accept() error {
	bounds := e.settings.Bounds
	match, err := matcher.Decide(e.fleet, matcher.Query{
		Host: e.request.Host, Path: requestPath(e.request), Key: e.inbound.Key, Now: e.arrivedAt,
		FailClosed: bounds.FailClosed, MaxKeyAge: time.Duration(keyAgeFraction * float64(bounds.RevokeWithin)),
		MaxConfigAge: e.MaxConfigAge,
	})
	if err != nil {
		return err
	}
	e.match = match
	if err := e.readBody(); err != nil {
		return err
	}
	e.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if e.history.MaxRuns = max(match.Rule.MaxAttempts, 1); e.pass.received {
		e.history.MaxRuns = 1
	}
	e.requestInfo = mulberrybeam.Request{
		ID: e.inbound.ID, Repeatable: match.Rule.Idempotent(),
		Arrived: e.arrivedAt, Deadline: e.arrivedAt + e.timeout(), Fingerprint: e.fingerprint(),
	}
	service, found := matcher.PickService(e.random, match.Rule)
	if !found {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute,
			Message: "rule has no service with a positive weight", NotRun: true,
		}
	}
	e.service = service
	return e.bindTakenUp()
}

// timeout returns the caller's timeout, limited by the rule's timeout.
func (e *exchange) timeout() time.Duration {
	timeout := e.match.Rule.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if e.inbound.Deadline > 0 {
		timeout = min(timeout, e.inbound.Deadline)
	}
	return timeout
}

// fingerprint returns a hash of the request's method, URI, API key and body,
// which are the same when a caller retries it.
func (e *exchange) fingerprint() mulberrybeam.Fingerprint {
	digest := sha256.New()
	for _, text := range []string{e.request.Method, e.request.RequestURI, e.inbound.Key} {
		_, _ = io.WriteString(digest, text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(e.body)
	var fingerprint mulberrybeam.Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// tryTargets tries targets until the caller has a complete response or no
// retry is allowed.
func (e *exchange) tryTargets(ctx context.Context) {
	for {
		// Targets may have left since the previous attempt.
		e.refreshFleet()
		e.unbind()
		if err := e.checkParts(ctx); err != nil {
			e.failSuspect(ctx, err)
			return
		}
		// Waiting for checkParts may have taken long.
		if err := e.checkShutdown(); err != nil {
			e.writeRefusal(err)
			return
		}
		err := e.runNext(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil || !e.shouldRetry(ctx, err) {
			e.fail(ctx, err)
			return
		}
	}
}

// refreshFleet replaces the state of the fleet and the workspace's settings by the
// current ones, which must be of the same revision.
func (e *exchange) refreshFleet() {
	e.fleet = e.Fleet()
	if e.match.Workspace != nil {
		e.match.Workspace = currentWorkspace(e.fleet, e.inbound.Key, e.match.Workspace)
	}
}

// currentWorkspace returns the current settings of a workspace. A workspace that was
// removed shares no context any more.
func currentWorkspace(fleet *mulberrybeam.Fleet, key string, workspace *mulberrybeam.WorkspaceSpec) *mulberrybeam.WorkspaceSpec {
	if current := fleet.Keys[key]; current != nil && current.Name == workspace.Name {
		return current
	}
	for i := range fleet.Deployment.Workspaces {
		if current := &fleet.Deployment.Workspaces[i]; current.Name == workspace.Name {
			return current
		}
	}
	removed := *workspace
	removed.Isolated = true
	return &removed
}

// shouldRetry reports whether to send the request again, after a wait if one is
// needed.
func (e *exchange) shouldRetry(ctx context.Context, err error) bool {
	turn := mulberrybeam.Turn{Now: e.Now(), Rand: e.random}
	var retry *grantedRetry
	if errors.As(err, &retry) {
		return true
	}
	if e.passesInstead(err) {
		return true
	}
	if mulberrybeam.CodeOf(err) == mulberrybeam.CodeNoTarget {
		return e.waitForTarget(ctx, turn, err)
	}
	if e.headerWritten && !(e.requestInfo.Repeatable && e.splitter.Resumable()) {
		return false
	}
	decision := e.Budgets.Decide(turn, e.service, len(e.fleet.EntryHosts), &e.requestInfo, e.history, err)
	e.recordEntry(mulberrybeam.EntryRetry, "", fmt.Sprintf("retry %t: %s after %v", decision.Retry, decision.Reason, err))
	return decision.Retry
}

const (
	// waitFraction is the fraction of the rule's latency goal, counted from the
	// request's arrival, for which a request may wait for a free target.
	waitFraction = 1.0
	// waitInterval is the time between two checks for a free target.
	waitInterval = 25 * time.Millisecond
	// resetTriedAfter is the number of waits after which targets that refused
	// the request may be tried again.
	resetTriedAfter = 2
)

// waitDeadline returns the time until which the request may wait for a target. A
// stream that has begun cannot be refused any more.
func (e *exchange) waitDeadline() time.Duration {
	if e.headerWritten {
		return e.requestInfo.Deadline
	}
	return e.arrivedAt + time.Duration(waitFraction*float64(e.match.Rule.LatencyGoal))
}

// waitForTarget waits for waitInterval and reports whether to look for a target
// again. A wait puts no load on targets, so the retry budget is not charged.
func (e *exchange) waitForTarget(ctx context.Context, turn mulberrybeam.Turn, err error) bool {
	// Waiting is in vain if the pauses of all targets end after the deadline.
	if turn.Now+max(waitInterval, waitBefore(err)) > e.waitDeadline() || e.mayHaveRun && !e.requestInfo.Repeatable {
		return false
	}
	if e.origin.bound && !e.hasBoundTarget() {
		return false
	}
	e.borrowShare()
	if !pauser.Pause(ctx, waitInterval) {
		return false
	}
	e.waitCount++
	if e.waitCount >= resetTriedAfter && !e.mayHaveRun {
		e.tried = nil
	}
	return true
}

func (e *exchange) recordEntry(kind mulberrybeam.EntryKind, subject, text string) {
	e.Recorder.Record(mulberrybeam.Entry{Kind: kind, Request: e.inbound.ID, Subject: subject, Text: text})
}

// requestPath returns the escaped path that rules are matched against.
func requestPath(request *http.Request) string {
	path, _, _ := strings.Cut(request.URL.EscapedPath(), "?")
	return path
}
