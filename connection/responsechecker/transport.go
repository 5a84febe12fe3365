package responsechecker

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns an error for a response with an invalid
// status, and whose bodies report a response that was cut while the request was being
// written.
type Transport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var written *writeResult
	if request.Body != nil && request.Body != http.NoBody {
		written = newWriteResult()
		request = request.WithContext(written.trace(request.Context()))
	}
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if written != nil && !IsFramed(response) {
		awaitWritten := func() error { return written.await(request.Context()) }
		response.Body = &checkedBody{NewBody(response.Body, awaitWritten), response.Body}
	}
	return response, nil
}

// checkedBody is a body that is read through another reader.
type checkedBody struct {
	io.Reader
	io.Closer
}

// writeResult is the result of writing a request.
type writeResult struct {
	results chan error
}

func newWriteResult() *writeResult { return &writeResult{results: make(chan error, 1)} }

// trace returns a context with which a request reports the result of writing it. The
// result on the last connection replaces those on earlier ones.
func (w *writeResult) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			select {
			case <-w.results:
			default:
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case w.results <- info.Err:
			default:
			}
		},
	})
}

// await waits for the result, or until the request ends.
func (w *writeResult) await(ctx context.Context) error {
	select {
	case err := <-w.results:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
