package relayer

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/carrier"
)

const (
	// maxHeld is the largest response body, in bytes, that is buffered until
	// it is complete. The rest of a larger one is copied as it arrives.
	maxHeld = 64 << 10
	// streamBuffer is the size of the read buffer of a stream, in bytes.
	streamBuffer = 8 << 10
	// retryPause is the shortest Retry-After of a 503 response.
	retryPause = 300 * time.Millisecond
)

// deliver forwards a response that is not a stream. It buffers the body before
// it writes the header, so that an interrupted response can still be retried.
func (t *try) deliver(ctx context.Context, answer *carrier.Answer) error {
	held, err := io.ReadAll(io.LimitReader(answer, maxHeld+1))
	if err != nil {
		return t.broke(ctx, "response body was interrupted", err)
	}
	t.writeHead(answer)
	if len(held) <= maxHeld {
		_, err = t.writer.Write(held)
	} else if _, err = t.writer.Write(held); err == nil {
		_, err = io.Copy(t.writer, answer)
	}
	if err != nil {
		t.note(mulberrybeam.EntryCompletion, string(t.target.ID), "response interrupted: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	t.completed(answer.Status)
	return nil
}

// stream forwards events as they arrive. Of a repeatable stream, it forwards
// complete events only, so that the stream can resume on another target. The
// header is written with the first event, because until then the request can
// still be refused with a status of its own.
func (t *try) stream(ctx context.Context, cancel context.CancelCauseFunc, answer *carrier.Answer) error {
	t.splitter.Drop()
	flusher := http.NewResponseController(t.writer)
	buffer := make([]byte, streamBuffer)
	limit := time.Duration(0)
	if t.plain.Repeatable {
		limit = stallLimit
	}
	watch := t.watch(limit, func() { cancel(errNoAnswer) })
	defer watch.stop()
	for {
		n, err := answer.Read(buffer)
		watch.heard()
		if n > 0 {
			if writeErr := t.forward(flusher, answer, buffer[:n]); writeErr != nil {
				return t.callerLeft(writeErr)
			}
		}
		if err == io.EOF {
			return t.endStream(flusher, answer)
		}
		if err != nil {
			return t.broke(ctx, fmt.Sprintf("stream was interrupted after event %q", t.splitter.LastID), err)
		}
	}
}

func (t *try) forward(flusher *http.ResponseController, answer *carrier.Answer, chunk []byte) error {
	if t.plain.Repeatable {
		chunk = t.splitter.Feed(chunk)
		if len(chunk) == 0 {
			return nil
		}
	}
	t.begin(answer)
	if _, err := t.writer.Write(chunk); err != nil {
		return err
	}
	return flusher.Flush()
}

func (t *try) endStream(flusher *http.ResponseController, answer *carrier.Answer) error {
	t.begin(answer)
	if rest := t.splitter.Rest(); len(rest) > 0 {
		if _, err := t.writer.Write(rest); err != nil {
			return t.callerLeft(err)
		}
	}
	_ = flusher.Flush()
	t.completed(answer.Status)
	return nil
}

func (t *try) callerLeft(cause error) error {
	t.noteAttempt(true, false)
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAnswer,
		Message: "caller disconnected", Cause: cause,
	}
}

// begin writes the response header unless an earlier attempt has written it.
func (t *try) begin(answer *carrier.Answer) {
	if !t.started {
		t.writeHead(answer)
	}
}

func (t *try) writeHead(answer *carrier.Answer) {
	header := t.writer.Header()
	reply := answer.Header.Clone()
	t.Codec.Reply(reply)
	maps.Copy(header, reply)
	if _, typed := reply["Content-Type"]; !typed {
		// A nil entry stops net/http from detecting a content type when the
		// target sent none.
		header["Content-Type"] = nil
	}
	t.writer.WriteHeader(answer.Status)
	t.started = true
}

func (t *try) completed(status int) {
	duration := t.Now() - t.arrived
	attempts := len(t.history.Attempts) + 1
	measure := &mulberrybeam.Measure{
		Model: t.inbound.Model, Service: t.service, Duration: duration, Attempts: attempts,
		FirstToken: t.firstByte - t.arrived,
	}
	if t.match.Workspace != nil {
		measure.Workspace = t.match.Workspace.Name
	}
	t.Recorder.Record(mulberrybeam.Entry{
		Kind: mulberrybeam.EntryCompletion, Request: t.inbound.ID, Subject: string(t.target.ID), Measure: measure,
		Text: fmt.Sprintf("status %d after %d attempts in %s, first byte after %s", status, attempts,
			duration.Round(time.Millisecond), measure.FirstToken.Round(time.Millisecond)),
	})
}

// giveUp ends a request that got no complete response from any target. Once the
// header is out or the caller has disconnected, it can only abort the connection.
func (x *exchange) giveUp(ctx context.Context, err error) {
	if x.started {
		x.note(mulberrybeam.EntryCompletion, "", "response interrupted: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	if x.request.Context().Err() != nil {
		x.note(mulberrybeam.EntryCompletion, "", "caller disconnected")
		panic(http.ErrAbortHandler)
	}
	failure := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeOf(err), Step: mulberrybeam.StepOutcome, Message: "no target returned a complete response",
		NotRun: !x.mayHaveRun, RetryAfter: retryPause, Cause: err,
	}
	if ctx.Err() != nil {
		failure.Code = mulberrybeam.CodeTimeout
	}
	x.refuse(failure)
}

// refuse writes an error response that this process generates itself.
func (x *exchange) refuse(err error) {
	failure, ok := err.(*mulberrybeam.Failure)
	if !ok {
		failure = &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Cause: err}
	}
	x.Recorder.Record(mulberrybeam.Entry{
		Kind: mulberrybeam.EntryRefusal, Request: x.inbound.ID, Code: failure.Code, Text: failure.Error(),
	})
	status := statusOf(failure)
	if status == http.StatusServiceUnavailable {
		x.Codec.RetryAfter(x.writer.Header(), max(failure.RetryAfter, retryPause))
	}
	x.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, string(failure.Code)+"\n")
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
