package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
)

const (
	// maxBufferedBody is the largest response body, in bytes, that is buffered
	// until it is complete. The rest of a larger one is copied as it arrives.
	maxBufferedBody = 64 << 10
	// minBufferedBody is used instead while memory is short.
	minBufferedBody = 4 << 10
	// maxDiscardedBody is the largest body of a refusal, in bytes, that is read
	// so that the connection can be used again.
	maxDiscardedBody = 64 << 10
	// streamBufferSize is the size of the read buffer of a stream, in bytes.
	streamBufferSize = 8 << 10
	// minRetryAfter is the shortest Retry-After of a 503 response.
	minRetryAfter = 300 * time.Millisecond
)

// forwardBody forwards a response that is not a stream. It buffers the body
// before it writes the header, so that an interrupted response can still be
// retried.
func (a *attempt) forwardBody(ctx context.Context, response *requester.Answer) error {
	limit := maxBufferedBody
	if !a.reservation.TryGrow(maxBufferedBody) {
		limit = minBufferedBody
	}
	buffered, err := io.ReadAll(io.LimitReader(response, int64(limit)+1))
	if err != nil {
		return a.recordInterruption(ctx, "response body was interrupted", err)
	}
	whole := len(buffered) <= limit
	if whole && a.mayBeCut(ctx, response) {
		return a.recordInterruption(ctx, "response body may have been cut", errTargetStopped)
	}
	a.writeHeader(response)
	if _, err = a.writer.Write(buffered); err == nil && !whole {
		err = a.forwardRest(ctx, response)
	}
	if err != nil {
		a.recordEntry(mulberrybeam.EntryInterruption, string(a.target.ID), "response interrupted: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	a.recordCompletion(response)
	return nil
}

// forwardRest forwards the rest of a body that is too large to be buffered.
func (a *attempt) forwardRest(ctx context.Context, response *requester.Answer) error {
	_, err := io.Copy(a.writer, response)
	if err == nil && a.mayBeCut(ctx, response) {
		a.reportCrash()
		return errTargetStopped
	}
	return err
}

var errTargetStopped = errors.New("the response ended with its connection and the target accepts none")

// mayBeCut reports whether a body that ended with its connection may be incomplete: when
// the process of a target ends, its connections are closed as after a complete response.
func (a *attempt) mayBeCut(ctx context.Context, response *requester.Answer) bool {
	return !response.Framed && hasStopped(ctx, a.Sender, a.target.Address)
}

// forwardStream forwards events as they arrive. Of a repeatable stream, it
// forwards complete events only, so that the stream can go on at another target,
// which is asked to take over when no event is completed for too long. The header
// is written with the first event, because until then the request can still be
// refused with a status of its own.
func (a *attempt) forwardStream(ctx context.Context, response *requester.Answer) (*attempt, error) {
	a.splitter.Drop()
	a.eventsBefore = a.splitter.Events
	flusher := http.NewResponseController(a.writer)
	chunks, stopReading := readChunks(response)
	bodyEnded := false
	defer func() {
		if !bodyEnded {
			a.cancel()
		}
		stopReading()
	}()
	w := a.startWatch()
	defer w.stop()
	for {
		var successor *attempt
		select {
		case received := <-chunks:
			bodyEnded = received.err != nil
			ended, err := a.forwardReceived(ctx, w, flusher, response, received)
			if err != nil {
				return w.takeStandby(), err
			}
			if ended {
				return nil, nil
			}
		case <-w.expired():
			successor = w.check(ctx)
		case result := <-w.standbySent():
			successor = w.handleStandby(ctx, result)
		}
		if successor != nil {
			return successor, a.recordSilence()
		}
	}
}

// forwardReceived forwards a part of a stream and reports whether it was the
// last one.
func (a *attempt) forwardReceived(ctx context.Context, w *watch, flusher *http.ResponseController, response *requester.Answer, received chunk) (bool, error) {
	if len(received.data) > 0 {
		a.recordFirstResponse()
		if err := a.bindAttempt(); err != nil {
			return false, a.recordInterruption(ctx, "stream cannot be resumed: "+err.Error(), nil)
		}
		if err := a.forwardChunk(w, flusher, response, received.data); err != nil {
			return false, a.callerDisconnected(err)
		}
		if a.splitter.Repeated() {
			return false, a.recordInterruption(ctx, fmt.Sprintf("target repeated an event, stream was given up after event %q", a.splitter.LastID), nil)
		}
	}
	switch {
	case received.err == nil:
		return false, nil
	case received.err != io.EOF:
	case a.splitter.InsideEvent() && isEventStream(response):
		return false, a.recordInterruption(ctx, fmt.Sprintf("stream ended inside the event after event %q", a.splitter.LastID), io.ErrUnexpectedEOF)
	case a.mayBeCut(ctx, response):
		return false, a.recordInterruption(ctx, fmt.Sprintf("stream may have been cut after event %q", a.splitter.LastID), errTargetStopped)
	default:
		w.dropStandby()
		return true, a.finishStream(flusher, response)
	}
	return false, a.recordInterruption(ctx, fmt.Sprintf("stream was interrupted after event %q", a.splitter.LastID), received.err)
}

func (a *attempt) forwardChunk(w *watch, flusher *http.ResponseController, response *requester.Answer, chunk []byte) error {
	if a.requestInfo.Repeatable {
		chunk = a.splitter.Feed(chunk)
		a.reportStreamedParts()
		if len(chunk) == 0 {
			return nil
		}
	} else {
		a.splitter.Observe(chunk)
	}
	a.recordStream()
	// Before the write, since a slow caller may block it while the standby runs.
	w.recordActivity()
	a.ensureHeader(response)
	if _, err := a.writer.Write(chunk); err != nil {
		return err
	}
	return flusher.Flush()
}

func (a *attempt) finishStream(flusher *http.ResponseController, response *requester.Answer) error {
	a.recordStream()
	a.ensureHeader(response)
	if remainder := a.splitter.Rest(); len(remainder) > 0 {
		if _, err := a.writer.Write(remainder); err != nil {
			return a.callerDisconnected(err)
		}
	}
	_ = flusher.Flush()
	a.recordCompletion(response)
	return nil
}

func (a *attempt) callerDisconnected(cause error) error {
	a.recordAttempt(true, false)
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAnswer,
		Message: "caller disconnected", Cause: cause,
	}
}

// ensureHeader writes the response header unless an earlier attempt has
// written it.
func (a *attempt) ensureHeader(response *requester.Answer) {
	if !a.headerWritten {
		a.writeHeader(response)
	}
}

func (a *attempt) writeHeader(response *requester.Answer) {
	header := a.writer.Header()
	reply := response.Header.Clone()
	a.Codec.Reply(reply)
	maps.Copy(header, reply)
	if _, hasType := reply["Content-Type"]; !hasType {
		// A nil entry stops net/http from detecting a content type when the
		// target sent none.
		header["Content-Type"] = nil
	}
	a.markAnswer(header)
	a.writer.WriteHeader(response.Status)
	a.headerWritten = true
}

func (a *attempt) recordCompletion(response *requester.Answer) {
	a.origin.complete = true
	a.reportCompletedParts(response)
	duration := a.Now() - a.arrivedAt
	attempts := len(a.history.Attempts) + 1
	measure := &mulberrybeam.RequestStats{
		Model: a.inbound.Model, Service: a.service, Duration: duration, Attempts: attempts,
		FirstToken: a.firstByteAt - a.arrivedAt,
	}
	if a.match.Workspace != nil {
		measure.Workspace = a.match.Workspace.Name
	}
	a.Recorder.Record(mulberrybeam.Entry{
		Kind: mulberrybeam.EntryCompletion, Request: a.inbound.ID, Subject: string(a.target.ID), Stats: measure,
		Text: fmt.Sprintf("status %d after %d attempts in %s, first byte after %s", response.Status, attempts,
			duration.Round(time.Millisecond), measure.FirstToken.Round(time.Millisecond)),
	})
}

// fail ends a request that got no complete response from any target. Once the
// header is out or the caller has disconnected, it can only abort the
// connection.
func (e *exchange) fail(ctx context.Context, err error) {
	if e.headerWritten {
		e.recordEntry(mulberrybeam.EntryInterruption, "", "response interrupted: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	if e.request.Context().Err() != nil {
		e.recordEntry(mulberrybeam.EntryCompletion, "", "caller disconnected")
		panic(http.ErrAbortHandler)
	}
	failure := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeOf(err), Step: mulberrybeam.StepOutcome, Message: "no target returned a complete response",
		NotRun: !e.mayHaveRun, RetryAfter: max(spread(e.random, waitBefore(err)), minRetryAfter), Cause: err,
	}
	if ctx.Err() != nil {
		failure.Code = mulberrybeam.CodeTimeout
	}
	e.writeRefusal(failure)
}

// writeRefusal writes an error response that this process generates itself.
func (e *exchange) writeRefusal(err error) {
	failure, ok := err.(*mulberrybeam.Failure)
	if !ok {
		failure = &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Cause: err}
	}
	e.Recorder.Record(mulberrybeam.Entry{
		Kind: mulberrybeam.EntryRefusal, Request: e.inbound.ID, Code: failure.Code, Text: failure.Error(),
	})
	status := statusOf(failure)
	e.endUnread(failure.Code)
	if status == http.StatusServiceUnavailable {
		e.Codec.RetryAfter(e.writer.Header(), max(failure.RetryAfter, minRetryAfter))
	}
	e.markRefusal(failure)
	e.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.writer.WriteHeader(status)
	_, _ = io.WriteString(e.writer, string(failure.Code)+"\n")
}

// statusOf returns the HTTP status of a refusal. 503 guarantees to the caller
// that the request did not run and will not run later.
func statusOf(failure *mulberrybeam.Failure) int {
	switch failure.Code {
	case mulberrybeam.CodeNotFound:
		return http.StatusNotFound
	case mulberrybeam.CodeUnauthorized:
		return http.StatusUnauthorized
	case mulberrybeam.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case failure.NotRun:
		return http.StatusServiceUnavailable
	case failure.Code == mulberrybeam.CodeTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
