// Package encoder sends HTTP requests to targets, stores and the platform, and
// converts every error to a Failure that names the step and the peer. It also
// defines the JSON types of docs/protocol.md.
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
	"mulberrybeam/connection/responsechecker"
)

const (
	// maxResponseBytes limits the body of a successful response and of any
	// response of a service.
	maxResponseBytes = 8 << 20
	// maxHeadBytes limits the head of a response, with interim responses.
	maxHeadBytes = 64 << 10
	// maxRefusalBytes limits the body of an error response.
	maxRefusalBytes = 64 << 10
	// idleTimeout is shorter than the usual server idle timeout of 120 s, so
	// that the server rarely closes a pooled connection first.
	idleTimeout = 90 * time.Second
	// maxIdlePerTarget limits the idle connections to one target. It is about
	// the number of requests that one entry host has in flight at a target.
	maxIdlePerTarget = 64
)

// restartRetryDelay is the retry delay after a target restarted. By then the
// control loop has probably detected the restart.
const restartRetryDelay = 200 * time.Millisecond

// ErrTooLarge is returned by ReadLimited for a response over the size limit.
var ErrTooLarge = errors.New("response exceeds the size limit")

// Call describes one HTTP request.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Peer is the name of the target, the store or the platform in failures.
	Peer string
	// Step is the step of failures that occur after connecting.
	Step mulberrybeam.Step
	// Instance is the instance of the target that the call is meant for, or
	// empty for any. It requires a client returned by NewTargetClient.
	Instance mulberrybeam.InstanceID
}

// NewClient returns an HTTP client with a connection pool, and a function that
// closes the idle connections. The client has no overall timeout; callers limit
// each call by its context.
func NewClient(dialTimeout time.Duration) (*http.Client, func()) {
	dialer := newDialer(dialTimeout)
	return newClient(dialer.DialContext)
}

// NewTargetClient is like NewClient, but each connection determines the instance
// of the target when it is opened, as Call.Instance requires.
func NewTargetClient(dialTimeout time.Duration) (*http.Client, func()) {
	dialer := newDialer(dialTimeout)
	return newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialInstance(ctx, dialer, network, address)
	})
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
}

func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) (*http.Client, func()) {
	transport := &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	client := &http.Client{
		Transport: responsechecker.Transport{RoundTripper: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return client, transport.CloseIdleConnections
}

// Send sends a call and returns the response, whatever its status. The caller
// must close the body. NotRun is set in an error only if nothing of the request
// was sent.
func Send(ctx context.Context, client *http.Client, call Call) (*http.Response, error) {
	// rejected is the result of rejectOtherInstance for the last connection.
	// The error does not always show it, because the transport may return the
	// error of its own read from the connection instead.
	var connected, rejected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		rejected.Store(rejectOtherInstance(info.Conn, string(call.Instance)))
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeInternal, Step: call.Step, Peer: call.Peer,
			Message: "cannot create the HTTP request", NotRun: true, Cause: err,
		}
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err == nil {
		return response, nil
	}
	if rejected.Load() {
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNoPermit, Step: mulberrybeam.StepPermit, Peer: call.Peer,
			Message: "target restarted before the request was sent", NotRun: true, RetryAfter: restartRetryDelay, Cause: err,
		}
	}
	if !connected.Load() {
		failure := TransportFailure(ctx, mulberrybeam.StepConnect, call.Peer, "cannot connect", err)
		failure.NotRun = true
		return nil, failure
	}
	return nil, TransportFailure(ctx, call.Step, call.Peer, "no response received", err)
}

// TransportFailure returns the failure of a call without a complete response. Its code
// tells whether the context was cancelled, a timeout expired or the peer failed.
func TransportFailure(ctx context.Context, step mulberrybeam.Step, peer, message string, cause error) *mulberrybeam.Failure {
	code := mulberrybeam.CodeTargetFailed
	var netErr net.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = mulberrybeam.CodeTimeout
	case ctx.Err() != nil:
		code = mulberrybeam.CodeCancelled
	case errors.As(cause, &netErr) && netErr.Timeout():
		code = mulberrybeam.CodeTimeout
	}
	return &mulberrybeam.Failure{Code: code, Step: step, Peer: peer, Message: message, Cause: cause}
}

// Exchange encodes a request body as JSON, sends the call and decodes the JSON
// response like Fetch.
func Exchange[Req, Resp any](ctx context.Context, client *http.Client, call Call, requestBody Req) (Resp, error) {
	var none Resp
	body, err := json.Marshal(requestBody)
	if err != nil {
		return none, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeInternal, Step: call.Step, Peer: call.Peer,
			Message: "cannot encode the request body", NotRun: true, Cause: err,
		}
	}
	call.Body = body
	call.Header = WithHeader(call.Header, "Content-Type", "application/json")
	return Fetch[Resp](ctx, client, call)
}

// Fetch sends a call and decodes the JSON response. An empty response gives the
// zero value. A status of 300 or above gives the error of ReadRefusal.
func Fetch[Resp any](ctx context.Context, client *http.Client, call Call) (Resp, error) {
	var decoded Resp
	response, err := Send(ctx, client, call)
	if err != nil {
		return decoded, err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return decoded, ReadRefusal(response, call)
	}
	body, err := ReadLimited(response.Body)
	if err != nil {
		return decoded, TransportFailure(ctx, call.Step, call.Peer, "cannot read the response body", err)
	}
	if len(body) == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTargetFailed, Step: call.Step, Peer: call.Peer,
			Message: "cannot decode the JSON response", Cause: err,
		}
	}
	return decoded, nil
}

// CheckRequestID returns a failure if the request ID in the response header is not the
// one of the call. A response without a request ID is accepted.
func CheckRequestID(response *http.Response, call Call) error {
	received, sent := response.Header.Get("X-Request-Id"), call.Header.Get("X-Request-Id")
	if received == "" || received == sent {
		return nil
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: call.Peer,
		Message: fmt.Sprintf("response belongs to request %q", received),
	}
}

// ReadLimited reads a response body, or returns ErrTooLarge if it exceeds the size
// limit.
func ReadLimited(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxResponseBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// ReadRefusal reads the body of an error response and returns its failure.
func ReadRefusal(response *http.Response, call Call) *mulberrybeam.Failure {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	failure := ParseRefusal(response.StatusCode, data, call)
	failure.Cause = err
	return failure
}

// ParseRefusal returns the failure for the status and body of an error response.
// NotRun is set only if the body says so.
func ParseRefusal(status int, body []byte, call Call) *mulberrybeam.Failure {
	failure := &mulberrybeam.Failure{
		Code: codeForStatus(status), Step: call.Step, Peer: call.Peer,
		Message: fmt.Sprintf("refused with status %d", status),
	}
	var refusal Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Error == nil {
		return failure
	}
	failure.NotRun = refusal.Error.NotRun
	failure.RetryAfter = time.Duration(refusal.Error.RetryAfterMs) * time.Millisecond
	if code, known := refusalCodes[refusal.Error.Code]; known {
		failure.Code = code
	}
	if refusal.Error.Code != "" {
		failure.Message = fmt.Sprintf("refused with status %d, code %q: %s",
			status, refusal.Error.Code, refusal.Error.Message)
	}
	return failure
}

// refusalCodes maps the error codes of docs/protocol.md to failure codes. The
// status decides on a code that is not listed.
var refusalCodes = map[string]mulberrybeam.Code{
	"overloaded":          mulberrybeam.CodeOverloaded,
	"stale-fencing":       mulberrybeam.CodeConflict,
	"wrong-version":       mulberrybeam.CodeTargetRefused,
	"context-unavailable": mulberrybeam.CodeContextUnavailable,
	"not-found":           mulberrybeam.CodeNotFound,
}

func codeForStatus(status int) mulberrybeam.Code {
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

// WithHeader returns a copy of a header in which one field is set.
func WithHeader(header http.Header, name, value string) http.Header {
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(name, value)
	return header
}
