// Package encoder sends HTTP requests to targets, stores and the platform and
// turns every error into a Failure with step and peer. It also holds the JSON
// forms of docs/protocol.md.
package encoder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"mulberrybeam"
)

const (
	// maxAnswerBytes bounds a JSON answer or a service's answer.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
	// idleTimeout is below the usual 120 s idle timeout of servers, so that
	// a pooled connection is rarely closed by the other side first.
	idleTimeout = 90 * time.Second
	// idlePerHost is about the requests that one entry host has in flight
	// at one target.
	idlePerHost = 64
)

// restartRetry is when control has probably heard of a restarted target.
const restartRetry = 200 * time.Millisecond

// ErrTooLarge says that an answer exceeded its bound.
var ErrTooLarge = errors.New("answer exceeds the size limit")

// Call is one HTTP request.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Peer names the target, the store or the platform in failures.
	Peer string
	// Step is the step of failures after the connection was made.
	Step mulberrybeam.Step
	// Instance is the instance of the target that the call is meant for,
	// empty for any. It needs a client of NewTargetClient.
	Instance mulberrybeam.InstanceID
}

// NewClient returns a client with pooled connections and its clean-up
// function. It has no overall timeout; callers bound each call by a context.
func NewClient(dialTimeout time.Duration) (*http.Client, func()) {
	dialer := newDialer(dialTimeout)
	return newClient(dialer.DialContext)
}

// NewTargetClient returns a client whose connections know the instance of the
// target at their other end.
func NewTargetClient(dialTimeout time.Duration) (*http.Client, func()) {
	dialer := newDialer(dialTimeout)
	return newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialBound(ctx, dialer, network, address)
	})
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
}

func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) (*http.Client, func()) {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return client, transport.CloseIdleConnections
}

// Send sends a call and returns the response, whatever its status. The caller
// closes the body. NotRun of an error is true only when no connection could
// be made.
func Send(ctx context.Context, client *http.Client, call Call) (*http.Response, error) {
	// refused tells of the last connection. The error does not always, as the
	// transport may report how its own read of the connection ended.
	var connected, refused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		refused.Store(refuse(info.Conn, string(call.Instance)))
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeInternal, Step: call.Step, Peer: call.Peer,
			Message: "request cannot be built", NotRun: true, Cause: err,
		}
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err == nil {
		return response, nil
	}
	if refused.Load() {
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoPermit, Step: mulberrybeam.StepPermit, Peer: call.Peer,
			Message: "the target restarted", NotRun: true, RetryAfter: restartRetry, Cause: err,
		}
	}
	if !connected.Load() {
		failure := Broken(ctx, mulberrybeam.StepConnect, call.Peer, "no connection", err)
		failure.NotRun = true
		return nil, failure
	}
	return nil, Broken(ctx, call.Step, call.Peer, "connection broken before the answer", err)
}

// Broken returns the failure of a broken exchange. The code tells the end of
// the context from a fault of the peer.
func Broken(ctx context.Context, step mulberrybeam.Step, peer, message string, cause error) *mulberrybeam.Failure {
	code := mulberrybeam.CodeTargetFailed
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = mulberrybeam.CodeTimeout
	case ctx.Err() != nil:
		code = mulberrybeam.CodeCancelled
	case errors.As(cause, &timeout) && timeout.Timeout():
		code = mulberrybeam.CodeTimeout
	}
	return &mulberrybeam.Failure{Code: code, Step: step, Peer: peer, Message: message, Cause: cause}
}

// Exchange sends a question as JSON and decodes the JSON answer. A status
// that is no success is a refusal.
func Exchange[Q, A any](ctx context.Context, client *http.Client, call Call, question Q) (A, error) {
	var answer A
	body, err := json.Marshal(question)
	if err != nil {
		return answer, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeInternal, Step: call.Step, Peer: call.Peer,
			Message: "question cannot be encoded", NotRun: true, Cause: err,
		}
	}
	call.Body = body
	call.Header = WithHeader(call.Header, "Content-Type", "application/json")
	return Fetch[A](ctx, client, call)
}

// Fetch sends a call and decodes the JSON answer. An empty answer leaves the
// zero value.
func Fetch[A any](ctx context.Context, client *http.Client, call Call) (A, error) {
	var answer A
	response, err := Send(ctx, client, call)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer, Refused(response, call)
	}
	body, err := ReadAll(response.Body)
	if err != nil {
		return answer, Broken(ctx, call.Step, call.Peer, "answer broken off", err)
	}
	if len(body) == 0 {
		return answer, nil
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTargetFailed, Step: call.Step, Peer: call.Peer,
			Message: "answer is not the expected JSON", Cause: err,
		}
	}
	return answer, nil
}

// Belongs returns a failure when a response names another request than the
// call. A response that names none is taken as the call's own.
func Belongs(response *http.Response, call Call) error {
	got, sent := response.Header.Get("X-Request-Id"), call.Header.Get("X-Request-Id")
	if got == "" || got == sent {
		return nil
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: call.Peer,
		Message: fmt.Sprintf("answer belongs to request %q", got),
	}
}

// ReadAll reads an answer up to the size limit.
func ReadAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswerBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Refused reads the refusal in a response.
func Refused(response *http.Response, call Call) *mulberrybeam.Failure {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	failure := RefusalOf(response.StatusCode, data, call)
	failure.Cause = err
	return failure
}

// RefusalOf turns a status and a body into a failure. NotRun holds only when
// the body says so.
func RefusalOf(status int, body []byte, call Call) *mulberrybeam.Failure {
	failure := &mulberrybeam.Failure{
		Code: codeOfStatus(status), Step: call.Step, Peer: call.Peer,
		Message: fmt.Sprintf("refused with status %d", status),
	}
	var refusal Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Error == nil {
		return failure
	}
	failure.NotRun = refusal.Error.NotRun
	failure.RetryAfter = time.Duration(refusal.Error.RetryAfterMs) * time.Millisecond
	if code, known := codeOfRefusal[refusal.Error.Code]; known {
		failure.Code = code
	}
	if refusal.Error.Code != "" {
		failure.Message = fmt.Sprintf("refused with status %d, code %q: %s",
			status, refusal.Error.Code, refusal.Error.Message)
	}
	return failure
}

// codeOfRefusal maps the codes of docs/protocol.md.
var codeOfRefusal = map[string]mulberrybeam.Code{
	"overloaded":          mulberrybeam.CodeOverloaded,
	"stale-fencing":       mulberrybeam.CodeConflict,
	"wrong-version":       mulberrybeam.CodeTargetRefused,
	"context-unavailable": mulberrybeam.CodeContextUnavailable,
	"not-found":           mulberrybeam.CodeNotFound,
}

func codeOfStatus(status int) mulberrybeam.Code {
	switch {
	case status == http.StatusTooManyRequests:
		return mulberrybeam.CodeOverloaded
	case status == http.StatusNotFound:
		return mulberrybeam.CodeNotFound
	case status >= http.StatusInternalServerError:
		return mulberrybeam.CodeTargetFailed
	}
	return mulberrybeam.CodeTargetRefused
}

// WithHeader returns a copy of a header with one more field.
func WithHeader(header http.Header, name, value string) http.Header {
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(name, value)
	return header
}
