package enginecaller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
)

const (
	// endMarker is the data of the event that ends a complete response.
	endMarker = "[DONE]"
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// drainTimeout limits the wait for the end of the response body after the
	// end marker. The connection can be reused only if the body was read to
	// its end.
	drainTimeout = 50 * time.Millisecond
)

// Stream implements mulberrybeam.EngineStream. Close may be called while Next is
// blocked.
type Stream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	idle     *idleTimer
	body     io.ReadCloser
	peer     string
	instance mulberrybeam.InstanceID
	version  mulberrybeam.WeightVersion
	closed   atomic.Bool
	// complete is set once the end marker was read. From then on Next does not
	// block.
	complete atomic.Bool

	mu         sync.Mutex
	nextEvent  func() (sse.Event, error, bool)
	stopEvents func()
	finalToken *mulberrybeam.Token
	finalErr   error
}

func newStream(
	ctx context.Context, cancel context.CancelFunc, idle *idleTimer, response *http.Response, peer string,
) *Stream {
	events := sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	nextEvent, stopEvents := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{
		ctx: ctx, cancel: cancel, idle: idle, body: response.Body, peer: peer,
		instance:  mulberrybeam.InstanceID(response.Header.Get("X-Instance-Id")),
		version:   mulberrybeam.WeightVersion(response.Header.Get("X-Weight-Version")),
		nextEvent: nextEvent, stopEvents: stopEvents,
	}
}

// Instance returns the instance of the engine that runs the request.
func (s *Stream) Instance() mulberrybeam.InstanceID { return s.instance }

// WeightVersion returns the version of the weights that the engine uses for the
// request.
func (s *Stream) WeightVersion() mulberrybeam.WeightVersion { return s.version }

// Next returns the next token. The token with End set is returned only once the
// end marker was read; after it, Next returns io.EOF. A stream that ends without
// the end marker gives a Failure with CodeStreamBroken.
func (s *Stream) Next() (mulberrybeam.Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalErr != nil {
		return mulberrybeam.Token{}, s.finalErr
	}
	for {
		s.idle.reset()
		event, err, more := s.nextEvent()
		if err != nil || !more {
			return s.fail(s.brokenStream("stream ended without the end marker", err))
		}
		token, found, err := s.decode(event)
		if err != nil {
			return s.fail(err)
		}
		if found {
			return token, nil
		}
	}
}

// decode decodes one event and reports whether it gives a token. The token with
// the finish reason is held back until the end marker is read.
func (s *Stream) decode(event sse.Event) (mulberrybeam.Token, bool, error) {
	if event.Data == endMarker {
		if s.finalToken == nil {
			return mulberrybeam.Token{}, false, s.brokenStream("end marker without a finish reason", nil)
		}
		s.finalErr = io.EOF
		s.complete.Store(true)
		return *s.finalToken, true, nil
	}
	var chunk encoder.Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return mulberrybeam.Token{}, false, s.brokenStream("event is not a JSON chunk", err)
	}
	if chunk.Error != nil {
		return mulberrybeam.Token{}, false, s.brokenStream("engine reported an error: "+chunk.Error.Code+": "+chunk.Error.Message, nil)
	}
	sequence, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return mulberrybeam.Token{}, false, s.brokenStream("event has no valid sequence number", err)
	}
	if len(chunk.Choices) == 0 {
		return mulberrybeam.Token{}, false, nil
	}
	token := mulberrybeam.Token{
		Request: mulberrybeam.RequestID(chunk.ID), Sequence: sequence, Text: chunk.Choices[0].Delta.Content,
	}
	reason := chunk.Choices[0].FinishReason
	if reason == nil || *reason == "" {
		return token, true, nil
	}
	s.finalToken = &mulberrybeam.Token{
		Request: token.Request, Sequence: sequence, End: true, FinishReason: *reason,
		Usage: chunk.Usage.Decode(),
	}
	return token, token.Text != "", nil
}

// fail records the error that this and all later calls of Next return.
func (s *Stream) fail(err error) (mulberrybeam.Token, error) {
	s.finalErr = err
	return mulberrybeam.Token{}, err
}

// brokenStream returns the failure of a stream that ended early. Its code tells
// whether the stream was closed, the context ended, the idle timeout expired or
// the stream itself was faulty.
func (s *Stream) brokenStream(message string, cause error) error {
	failure := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeStreamBroken, Step: mulberrybeam.StepAnswer,
		Peer: s.peer, Message: message, Cause: cause,
	}
	if s.closed.Load() {
		failure.Code = mulberrybeam.CodeCancelled
		return failure
	}
	if s.ctx.Err() != nil {
		failure = encoder.TransportFailure(s.ctx, mulberrybeam.StepAnswer, s.peer, message, s.ctx.Err())
	}
	return s.idle.markTimeout(s.ctx, failure)
}

// Close ends the stream and releases its connection. A blocked Next returns.
func (s *Stream) Close() error {
	if !s.closed.Swap(true) && s.complete.Load() {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.body, maxEventBytes)
		timer.Stop()
	}
	s.cancel()
	err := s.body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopEvents()
	s.idle.stop()
	if s.finalErr == nil {
		s.finalErr = &mulberrybeam.Failure{
			Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAnswer,
			Peer: s.peer, Message: "stream was closed by the caller",
		}
	}
	return err
}

// idleTimer cancels a stream if no event arrives within the timeout.
type idleTimer struct {
	timeout time.Duration
	timer   *time.Timer
	fired   atomic.Bool
}

func newIdleTimer(timeout time.Duration, cancel context.CancelFunc) *idleTimer {
	idle := &idleTimer{timeout: timeout}
	idle.timer = time.AfterFunc(timeout, func() {
		idle.fired.Store(true)
		cancel()
	})
	return idle
}

func (t *idleTimer) reset() {
	if !t.fired.Load() {
		t.timer.Reset(t.timeout)
	}
}

func (t *idleTimer) stop() { t.timer.Stop() }

// markTimeout sets the code of a failure to CodeTimeout if the idle timer caused
// it.
func (t *idleTimer) markTimeout(ctx context.Context, err error) error {
	var failure *mulberrybeam.Failure
	if t.fired.Load() && ctx.Err() == nil && errors.As(err, &failure) {
		failure.Code = mulberrybeam.CodeTimeout
	}
	return err
}
