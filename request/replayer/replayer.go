// Package replayer buffers the tokens of an answer for its readers, so that a
// broken stream can be resumed and a slow reader does not block the run.
package replayer

import (
	"context"
	"sync"
	"time"

	"mulberrybeam"
)

// tokenOverhead is the memory in bytes of a buffered token besides its text and
// id.
const tokenOverhead = 96

// Settings are the settings of a Stream.
type Settings struct {
	Request   mulberrybeam.RequestID
	Workspace mulberrybeam.WorkspaceName
	Model     mulberrybeam.ModelName
	// MaxBytes limits the memory of the buffered tokens. Beyond it, the oldest
	// tokens are dropped.
	MaxBytes int
	// Grace is how long the run continues without a reader.
	Grace time.Duration
	// Cancel cancels the run.
	Cancel func()
}

// Stream buffers one answer, written by one run and read by any number of
// readers. Writes never wait for readers.
type Stream struct {
	Settings

	mutex       sync.Mutex
	tokens      []mulberrybeam.Token
	bytes       int
	lastDropped uint64
	done        bool
	failure     *mulberrybeam.Failure
	readers     int
	graceTimer  *time.Timer
	// changed is closed and replaced on each change.
	changed chan struct{}
	// endRead is closed when a reader has received the end of the stream.
	endRead     chan struct{}
	endReadOnce sync.Once
}

// Batch is the result of one read.
type Batch struct {
	Tokens []mulberrybeam.Token
	// Gap is set if tokens after the reader's position were dropped.
	Gap bool
	// Done is set if the stream ends after Tokens. Failure is then set if the
	// answer is incomplete.
	Done    bool
	Failure *mulberrybeam.Failure
	// Changed is closed when more may be available.
	Changed <-chan struct{}
}

// New returns a stream with no tokens and no readers.
func New(settings Settings) *Stream {
	return &Stream{Settings: settings, changed: make(chan struct{}), endRead: make(chan struct{})}
}

// Append adds the next token. It never waits for readers.
func (s *Stream) Append(token mulberrybeam.Token) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tokens = append(s.tokens, token)
	s.bytes += tokenSize(token)
	for s.bytes > s.MaxBytes && len(s.tokens) > 1 {
		s.bytes -= tokenSize(s.tokens[0])
		s.lastDropped = s.tokens[0].Sequence
		s.tokens = s.tokens[1:]
	}
	s.notifyReaders()
}

// Finish ends the stream. A nil failure means that the answer is complete.
func (s *Stream) Finish(failure *mulberrybeam.Failure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.done, s.failure = true, failure
	if s.graceTimer != nil {
		s.graceTimer.Stop()
	}
	s.notifyReaders()
}

// Next returns at most limit tokens that follow the sequence number after.
func (s *Stream) Next(after uint64, limit int) Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	batch := Batch{Gap: after < s.lastDropped, Changed: s.changed}
	if batch.Gap {
		return batch
	}
	first := min(int(after-s.lastDropped), len(s.tokens))
	last := min(first+limit, len(s.tokens))
	batch.Tokens = append(batch.Tokens, s.tokens[first:last]...)
	if last == len(s.tokens) {
		batch.Done, batch.Failure = s.done, s.failure
	}
	return batch
}

// Attach adds a reader and stops the grace period.
func (s *Stream) Attach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers++
	if s.graceTimer != nil {
		s.graceTimer.Stop()
	}
}

// Detach removes a reader. When the last one is removed, the grace period starts,
// after which the run is cancelled.
func (s *Stream) Detach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers--
	if s.readers == 0 && !s.done {
		s.graceTimer = time.AfterFunc(s.Grace, s.cancelIfAbandoned)
	}
}

// MarkRead records that a reader has received the end of the stream.
func (s *Stream) MarkRead() { s.endReadOnce.Do(func() { close(s.endRead) }) }

// AwaitRead is called after the end of the run. It waits until a reader has
// received the end of the stream, the grace period has passed or ctx is done.
func (s *Stream) AwaitRead(ctx context.Context) {
	timer := time.NewTimer(s.Grace)
	defer timer.Stop()
	select {
	case <-s.endRead:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Bytes returns the memory of the buffered tokens.
func (s *Stream) Bytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bytes
}

func (s *Stream) cancelIfAbandoned() {
	s.mutex.Lock()
	abandoned := s.readers == 0 && !s.done
	s.mutex.Unlock()
	if abandoned {
		s.Cancel()
	}
}

func (s *Stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func tokenSize(token mulberrybeam.Token) int { return len(token.Text) + tokenOverhead }
