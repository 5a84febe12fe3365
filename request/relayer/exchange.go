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
	"mulberrybeam/request/matcher"
	"mulberrybeam/request/quarantiner"
	"mulberrybeam/request/resumer"
	"mulberrybeam/request/retrier"
)

const (
	// keyShare is the part of the time in which revoked keys must be refused
	// that may pass without word from the platform. The time counts from when
	// the confirming call was sent, so that only the clock's own error needs
	// the rest.
	keyShare = 0.95
	// defaultTimeout bounds a request whose route states no timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyLimit bounds a body where the deployment states none.
	defaultBodyLimit = 4 << 20
	// strictMargin is how long before the last moment for old weights
	// requests are tied to the new ones.
	strictMargin = 2500 * time.Millisecond
)

// exchange is one request from its arrival to the end of its answer.
type exchange struct {
	*Relayer
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Duration
	fleet   *mulberrybeam.Fleet
	// settings are those at the request's arrival.
	settings *mulberrybeam.HostSettings

	inbound    mulberrybeam.InboundCall
	match      matcher.Match
	service    mulberrybeam.ServiceName
	body       []byte
	plain      mulberrybeam.Request
	random     *rand.Rand
	history    retrier.History
	tried      []mulberrybeam.InstanceID
	waits      int
	mayHaveRun bool
	// firstByte is when the target of the last attempt began to answer.
	firstByte time.Duration
	// started says that the caller has the head of an answer.
	started  bool
	splitter resumer.Splitter
}

func (x *exchange) run() {
	x.inbound = x.Codec.Inbound(x.request.Header)
	if err := x.accept(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), x.plain.Deadline-x.Now())
	defer cancel()
	x.Budgets.Count(x.service, len(x.fleet.EntryHosts), x.arrived)
	x.serve(ctx)
}

// accept reads the request and finds where it belongs.
func (x *exchange) accept() error {
	bounds := x.settings.Bounds
	match, err := matcher.Decide(x.fleet, matcher.Query{
		Host: x.request.Host, Path: requestPath(x.request), Key: x.inbound.Key, Now: x.arrived,
		FailClosed: bounds.FailClosed, KeysWithin: time.Duration(keyShare * float64(bounds.RevokeWithin)),
	})
	if err != nil {
		return err
	}
	x.match = match
	if err := x.readBody(); err != nil {
		return err
	}
	x.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x.history.RunLimit = max(match.Rule.MaxAttempts, 1)
	x.plain = mulberrybeam.Request{
		ID: x.inbound.ID, Repeatable: match.Rule.Idempotent(),
		Arrived: x.arrived, Deadline: x.arrived + x.timeout(), Fingerprint: x.fingerprint(),
	}
	suspicion := quarantiner.Suspicion{Before: x.fleet.Crashes[x.plain.Fingerprint]}
	if verdict, crashes := quarantiner.Decide(suspicion); verdict == quarantiner.Refuse {
		return quarantiner.Refusal(verdict, crashes, suspicion)
	}
	service, found := matcher.PickService(x.random, match.Rule)
	if !found {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute,
			Message: "the route has no service", NotRun: true,
		}
	}
	x.service = service
	return nil
}

// timeout is the time that the request may take: the caller's, but no more than
// the operators allow.
func (x *exchange) timeout() time.Duration {
	timeout := x.match.Rule.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.inbound.Deadline > 0 {
		timeout = min(timeout, x.inbound.Deadline)
	}
	return timeout
}

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody() error {
	limit := x.fleet.Deployment.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeBodyTooLarge, Step: mulberrybeam.StepAccept,
			Message: fmt.Sprintf("the body exceeds %d bytes", limit), NotRun: true, Cause: err,
		}
	case err != nil:
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAccept,
			Message: "the request's body broke off", NotRun: true, Cause: err,
		}
	}
	x.body = body
	return nil
}

// fingerprint identifies the request's caller, path and body, which stay the
// same when it is sent again.
func (x *exchange) fingerprint() mulberrybeam.Fingerprint {
	digest := sha256.New()
	for _, text := range []string{x.request.Method, x.request.RequestURI, x.inbound.Key} {
		_, _ = io.WriteString(digest, text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(x.body)
	var fingerprint mulberrybeam.Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// serve tries targets until the request has its answer or may not be sent
// again.
func (x *exchange) serve(ctx context.Context) {
	for {
		// Targets may have left since the request arrived or was sent.
		x.fleet = x.Fleet()
		err := x.attempt(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil || !x.again(ctx, err) {
			x.giveUp(ctx, err)
			return
		}
	}
}

// again decides whether the request is sent once more, and waits where that is
// needed.
func (x *exchange) again(ctx context.Context, err error) bool {
	turn := mulberrybeam.Turn{Now: x.Now(), Rand: x.random}
	var granted *repeat
	if errors.As(err, &granted) {
		return true
	}
	if mulberrybeam.CodeOf(err) == mulberrybeam.CodeNoTarget {
		return x.waitForTarget(ctx, turn)
	}
	if x.started && !(x.plain.Repeatable && x.splitter.Resumable()) {
		return false
	}
	decision := x.Budgets.Decide(turn, x.service, len(x.fleet.EntryHosts), &x.plain, x.history, err)
	x.note(mulberrybeam.EntryRetry, "", fmt.Sprintf("retry %t: %s after %v", decision.Retry, decision.Reason, err))
	return decision.Retry
}

const (
	// waitShare is the part of the latency goal for which a request that
	// has not run waits for a target to become free.
	waitShare = 1.0
	// waitPause is the time between two looks for a free target.
	waitPause = 25 * time.Millisecond
	// forgiveAfter is the number of waits after which targets that refused
	// the request are asked again.
	forgiveAfter = 2
)

// waitLimit is until when the request waits for a target.
func (x *exchange) waitLimit() time.Duration {
	return x.arrived + time.Duration(waitShare*float64(x.match.Rule.LatencyGoal))
}

// waitForTarget waits a little for a target to become free. Such a wait puts
// no load on a target, so that it is not charged to the retry budget.
func (x *exchange) waitForTarget(ctx context.Context, turn mulberrybeam.Turn) bool {
	if turn.Now+waitPause > x.waitLimit() || x.mayHaveRun && !x.plain.Repeatable {
		return false
	}
	if !pauser.Pause(ctx, waitPause) {
		return false
	}
	x.waits++
	if x.waits >= forgiveAfter && !x.mayHaveRun {
		x.tried = nil
	}
	return true
}

func (x *exchange) note(kind mulberrybeam.EntryKind, subject, text string) {
	x.Recorder.Record(mulberrybeam.Entry{Kind: kind, Request: x.inbound.ID, Subject: subject, Text: text})
}

// requestPath is the path by which the request is matched.
func requestPath(request *http.Request) string {
	path, _, _ := strings.Cut(request.URL.EscapedPath(), "?")
	return path
}
