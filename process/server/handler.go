package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"mulberrybeam"
	"mulberrybeam/request/replayer"
)

// maxStatus is the highest HTTP status code that is accepted from a service.
const maxStatus = 599

// handleChat handles a chat completion request.
func (s *Server) handleChat(ctx iris.Context) {
	request, snapshot, failure := s.accept(ctx)
	if failure != nil {
		s.writeError(ctx, failure)
		return
	}
	if failure := s.fillPrompt(request, snapshot.Tables); failure != nil {
		s.runs.Done()
		s.writeError(ctx, failure)
		return
	}
	stream := s.startRun(request)
	if request.Stream {
		s.streamEvents(ctx, stream, 0, false)
		return
	}
	s.writeCompletion(ctx, stream, request)
}

// startRun runs a prompt in a separate goroutine, so that the run survives a
// broken connection to the caller. The handler of the caller's request is attached
// as the first reader of the returned stream.
func (s *Server) startRun(request *mulberrybeam.Request) *replayer.Stream {
	runCtx, cancel := context.WithCancel(context.Background())
	grace := s.ResumeGrace
	if !request.Stream {
		grace = nonStreamingGrace
	}
	stream := replayer.New(replayer.Settings{
		Request: request.ID, Workspace: request.Workspace, Model: request.Model,
		MaxBytes: s.StreamBytes, Grace: grace, Cancel: cancel,
	})
	stream.Attach()
	s.streams.add(stream)
	go func() {
		defer s.runs.Done()
		defer cancel()
		err := s.Forwarder.Generate(runCtx, request, func(token mulberrybeam.Token) error {
			stream.Append(token)
			return nil
		})
		stream.Finish(failureOf(err))
		s.streams.finish(stream)
		// The run counts as active until a reader has received the end of the
		// stream, so that a shutdown waits for callers that may resume it.
		stream.AwaitRead(runCtx)
	}()
	return stream
}

// streamEvents writes the events of a stream that follow the sequence number
// after, as server-sent events, and detaches from the stream. A failure before the
// first event is sent as an ordinary error response, so the header of a new stream
// is sent only with its first event. The header of a resumed stream is sent at
// once, because the caller already knows that the request is running.
func (s *Server) streamEvents(ctx iris.Context, stream *replayer.Stream, after uint64, resumed bool) {
	defer stream.Detach()
	writer, created, headerSent := ctx.ResponseWriter(), time.Now().Unix(), false
	for {
		batch := stream.Next(after, maxBatchTokens)
		if batch.Gap {
			batch.Done, batch.Failure = true, unknownStream("the requested position in the stream is no longer buffered")
		}
		if !headerSent && batch.Failure != nil && len(batch.Tokens) == 0 {
			s.writeError(ctx, batch.Failure)
			stream.MarkRead()
			return
		}
		if !headerSent && (resumed || len(batch.Tokens) > 0 || batch.Done) {
			headerSent = true
			ctx.Header(headerRequestID, string(stream.Request))
			ctx.Header("Content-Type", "text/event-stream")
			ctx.Header("Cache-Control", "no-store")
			ctx.StatusCode(http.StatusOK)
			writer.Flush()
		}
		var events strings.Builder
		for _, token := range batch.Tokens {
			after = token.Sequence
			writeEvent(&events, strconv.FormatUint(after, 10), newChunk(string(stream.Request), string(stream.Model), created, token))
		}
		switch {
		case batch.Failure != nil:
			writeEvent(&events, "", newErrorResponse(batch.Failure))
		case batch.Done:
			events.WriteString("data: [DONE]\n\n")
		}
		if events.Len() > 0 {
			s.setWriteDeadline(ctx)
			if _, err := writer.Write([]byte(events.String())); err != nil {
				return
			}
			writer.Flush()
		}
		if batch.Done {
			stream.MarkRead()
			return
		}
		if !awaitMore(ctx, batch) {
			return
		}
	}
}

// awaitMore waits until the stream may have more tokens, or returns at once if the
// batch was full. It returns false if the caller has disconnected.
func awaitMore(ctx iris.Context, batch replayer.Batch) bool {
	if len(batch.Tokens) == maxBatchTokens {
		return true
	}
	select {
	case <-batch.Changed:
		return true
	case <-ctx.Request().Context().Done():
		return false
	}
}

// writeEvent appends one server-sent event with value as JSON, which contains no
// line breaks and therefore fits into one data line.
func writeEvent(events *strings.Builder, id string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	if id != "" {
		events.WriteString("id: " + id + "\n")
	}
	events.WriteString("data: ")
	events.Write(data)
	events.WriteString("\n\n")
}

// writeCompletion waits for the end of the answer and writes it as one chat
// completion.
func (s *Server) writeCompletion(ctx iris.Context, stream *replayer.Stream, request *mulberrybeam.Request) {
	defer stream.Detach()
	defer stream.MarkRead()
	var text strings.Builder
	var after uint64
	finishReason := ""
	for {
		batch := stream.Next(after, maxBatchTokens)
		for _, token := range batch.Tokens {
			after = token.Sequence
			text.WriteString(token.Text)
			finishReason = token.FinishReason
		}
		switch {
		case batch.Gap:
			s.writeError(ctx, &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepAnswer, Message: "the answer was generated faster than it could be collected"})
			return
		case batch.Failure != nil:
			s.writeError(ctx, batch.Failure)
			return
		case batch.Done:
			generated := max(0, int(after)-1)
			s.writeJSON(ctx, http.StatusOK, completion{
				ID: string(request.ID), Object: "chat.completion", Created: time.Now().Unix(), Model: string(request.Model),
				Choices: []completionChoice{{Message: completionMessage{Role: "assistant", Content: text.String()}, FinishReason: finishReason}},
				Usage:   usage{PromptTokens: request.PromptTokens, CompletionTokens: generated, TotalTokens: request.PromptTokens + generated},
			})
			return
		case !awaitMore(ctx, batch):
			return
		}
	}
}

// handleResume continues a stream after the last event that the caller received.
func (s *Server) handleResume(ctx iris.Context) {
	stream, answered := s.findStream(ctx)
	if answered {
		return
	}
	var after uint64
	if text := ctx.GetHeader("Last-Event-ID"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			s.writeError(ctx, badRequest(fmt.Sprintf("Last-Event-ID is %q, but must be a sequence number", text)))
			return
		}
		after = parsed
	}
	stream.Attach()
	s.streamEvents(ctx, stream, after, true)
}

// handleCancel cancels a run. Cancelling a run that has already ended is not an
// error.
func (s *Server) handleCancel(ctx iris.Context) {
	stream, answered := s.findStream(ctx)
	if answered {
		return
	}
	stream.Cancel()
	s.writeResponse(ctx, http.StatusNoContent, "", nil)
}

// findStream returns the stream that the request names. It returns true if the
// request has already been answered, with an error response or by the process
// that has the stream.
func (s *Server) findStream(ctx iris.Context) (*replayer.Stream, bool) {
	snapshot := s.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		s.writeError(ctx, &mulberrybeam.Failure{Code: mulberrybeam.CodeNotReady, Step: mulberrybeam.StepAccept, Message: "no configuration is in force", RetryAfter: time.Second})
		return nil, true
	}
	workspace, failure := s.authenticate(ctx.Request(), snapshot.Tables)
	if failure == nil {
		_, failure = s.readBody(ctx)
	}
	if failure != nil {
		s.writeError(ctx, failure)
		return nil, true
	}
	id := ctx.Params().Get("id")
	if process, valid := processFromID(id); valid && process != snapshot.Self {
		// Writes of a stream from another process have the same timeout as
		// writes of a local stream.
		if s.Proxy(process, deadlineWriter{ctx.ResponseWriter(), func() { s.setWriteDeadline(ctx) }}, ctx.Request()) {
			return nil, true
		}
	} else if stream := s.streams.find(mulberrybeam.RequestID(id), workspace); stream != nil {
		return stream, false
	}
	s.writeError(ctx, unknownStream("the stream does not exist or is no longer buffered"))
	return nil, true
}

// handleService handles a call of a service.
func (s *Server) handleService(ctx iris.Context) {
	request, snapshot, failure := s.accept(ctx)
	if failure != nil {
		s.writeError(ctx, failure)
		return
	}
	defer s.runs.Done()
	service, callName := mulberrybeam.ServiceName(ctx.Params().Get("service")), ctx.Params().Get("call")
	call, found := snapshot.Tables.Calls[service][callName]
	if !found {
		s.writeError(ctx, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeUnknownService, Step: mulberrybeam.StepAccept, NotRun: true,
			Message: fmt.Sprintf("service %q has no call %q", service, callName),
		})
		return
	}
	request.Service, request.Call, request.Repeatable = service, callName, call.Repeatable
	request.IdempotencyKey = ctx.GetHeader(headerIdempotencyKey)
	result, err := s.Forwarder.Call(ctx.Request().Context(), request)
	if err != nil {
		s.writeError(ctx, failureOf(err))
		return
	}
	if result.Answer.Status < http.StatusOK || result.Answer.Status > maxStatus {
		s.writeError(ctx, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer,
			Message: fmt.Sprintf("the service returned the invalid status %d", result.Answer.Status),
		})
		return
	}
	if result.Replayed {
		ctx.Header("X-Outcome", "replayed")
	}
	if result.BodyOmitted {
		ctx.Header("X-Outcome-Body", fmt.Sprintf("omitted; bytes=%d", result.BodyBytes))
	}
	s.writeResponse(ctx, result.Answer.Status, result.Answer.ContentType, result.Answer.Body)
}

// handleHint prefetches the context of an expected prompt. Hints beyond maxHints
// are dropped, because they only save time.
func (s *Server) handleHint(ctx iris.Context) {
	request, snapshot, failure := s.accept(ctx)
	if failure != nil {
		s.writeError(ctx, failure)
		return
	}
	if failure := s.fillPrompt(request, snapshot.Tables); failure != nil {
		s.runs.Done()
		s.writeError(ctx, failure)
		return
	}
	select {
	case s.hintSlots <- struct{}{}:
		go func() {
			defer s.runs.Done()
			defer func() { <-s.hintSlots }()
			// The error is ignored: the caller has already received its
			// response, and a hint promises nothing.
			_ = s.Forwarder.Prefetch(context.Background(), request)
		}()
	default:
		s.runs.Done()
	}
	s.writeResponse(ctx, http.StatusAccepted, "", nil)
}

func unknownStream(text string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{Code: mulberrybeam.CodeUnknownStream, Step: mulberrybeam.StepAccept, Message: text}
}

// failureOf converts an error to a Failure. It returns nil for a nil error.
func failureOf(err error) *mulberrybeam.Failure {
	var failure *mulberrybeam.Failure
	if err == nil || errors.As(err, &failure) {
		return failure
	}
	return &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepAnswer, Message: "unexpected error", Cause: err}
}
