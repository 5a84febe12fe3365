// Package replayer keeps the tokens of one answer for its readers, so that a
// broken stream can be resumed and a slow reader cannot hold up the run.
package replayer

import (
	"context"
	"sync"
	"time"

	"mulberrybeam"
)

// tokenOverhead is the memory of a kept token besides its text and id.
const tokenOverhead = 96

// Settings of a Stream.
type Settings struct {
	Request   mulberrybeam.RequestID
	Workspace mulberrybeam.WorkspaceName
	Model     mulberrybeam.ModelName
	// MaxBytes bounds the kept tokens. The oldest are dropped beyond it.
	MaxBytes int
	// Grace is how long the run goes on without a reader.
	Grace time.Duration
	// Cancel ends the run.
	Cancel func()
}

// Stream is one answer, written by one run and read by any number of readers.
// Writing never waits for a reader.
type Stream struct {
	Settings

	mutex   sync.Mutex
	tokens  []mulberrybeam.Token
	bytes   int
	dropped uint64
	done    bool
	failure *mulberrybeam.Failure
	readers int
	idle    *time.Timer
	// changed is closed and replaced at each change.
	changed chan struct{}
	// read is closed when a reader has got the end.
	read     chan struct{}
	readOnce sync.Once
}

// Batch is what a reader gets at once.
type Batch struct {
	Tokens []mulberrybeam.Token
	// Gap says that tokens after the reader's position were dropped.
	Gap bool
	// Done says that nothing comes after the tokens. Failure is set when the
	// answer is not complete.
	Done    bool
	Failure *mulberrybeam.Failure
	// Changed is closed when there may be more.
	Changed <-chan struct{}
}

// New returns a stream without tokens and readers.
func New(settings Settings) *Stream {
	return &Stream{Settings: settings, changed: make(chan struct{}), read: make(chan struct{})}
}

// Append adds the next token. It never blocks.
func (s *Stream) Append(token mulberrybeam.Token) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tokens = append(s.tokens, token)
	s.bytes += size(token)
	for s.bytes > s.MaxBytes && len(s.tokens) > 1 {
		s.bytes -= size(s.tokens[0])
		s.dropped = s.tokens[0].Sequence
		s.tokens = s.tokens[1:]
	}
	s.change()
}

// Finish ends the stream. A nil failure means that the answer is complete.
func (s *Stream) Finish(failure *mulberrybeam.Failure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.done, s.failure = true, failure
	if s.idle != nil {
		s.idle.Stop()
	}
	s.change()
}

// Next returns at most limit tokens after a sequence number.
func (s *Stream) Next(after uint64, limit int) Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	batch := Batch{Gap: after < s.dropped, Changed: s.changed}
	if batch.Gap {
		return batch
	}
	first := min(int(after-s.dropped), len(s.tokens))
	last := min(first+limit, len(s.tokens))
	batch.Tokens = append(batch.Tokens, s.tokens[first:last]...)
	if last == len(s.tokens) {
		batch.Done, batch.Failure = s.done, s.failure
	}
	return batch
}

// Attach counts a reader and stops the grace time.
func (s *Stream) Attach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers++
	if s.idle != nil {
		s.idle.Stop()
	}
}

// Detach ends a reader. The run is cancelled after the grace time without one.
func (s *Stream) Detach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers--
	if s.readers == 0 && !s.done {
		s.idle = time.AfterFunc(s.Grace, s.cancelIfUnread)
	}
}

// MarkRead says that a reader has got the end of the stream.
func (s *Stream) MarkRead() { s.readOnce.Do(func() { close(s.read) }) }

// AwaitRead waits after the end of the run until a reader has got the end, the
// grace time has passed or ctx has ended.
func (s *Stream) AwaitRead(ctx context.Context) {
	timer := time.NewTimer(s.Grace)
	defer timer.Stop()
	select {
	case <-s.read:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Bytes returns the memory of the kept tokens.
func (s *Stream) Bytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bytes
}

func (s *Stream) cancelIfUnread() {
	s.mutex.Lock()
	unread := s.readers == 0 && !s.done
	s.mutex.Unlock()
	if unread {
		s.Cancel()
	}
}

func (s *Stream) change() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func size(token mulberrybeam.Token) int { return len(token.Text) + tokenOverhead }
