// Package resumer splits a stream of server-sent events into whole events, so
// that a stream that breaks off can go on at another target without a gap.
package resumer

import "bytes"

// maxPending bounds an event that has not ended. A longer one is passed on as
// it is, and the stream can then not be resumed.
const maxPending = 1 << 20

// Splitter is the state of one stream. The zero value is ready to use.
type Splitter struct {
	// LastID is the id of the last whole event.
	LastID string
	// Events counts the whole events.
	Events  int
	pending []byte
	broken  bool
}

// Feed takes the next bytes and returns those of whole events, which are valid
// until the next call.
func (s *Splitter) Feed(chunk []byte) []byte {
	s.pending = append(s.pending, chunk...)
	end := 0
	for {
		size := eventSize(s.pending[end:])
		if size == 0 {
			break
		}
		s.note(s.pending[end : end+size])
		end += size
	}
	if end == 0 && len(s.pending) > maxPending {
		s.broken = true
		end = len(s.pending)
	}
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return whole
}

// Rest returns what follows the last whole event.
func (s *Splitter) Rest() []byte { return s.pending }

// Drop forgets what follows the last whole event, before the stream goes on at
// another target.
func (s *Splitter) Drop() { s.pending = s.pending[:0] }

// Resumable says whether the stream can go on after the last whole event.
func (s *Splitter) Resumable() bool {
	return !s.broken && (s.Events == 0 || s.LastID != "")
}

func (s *Splitter) note(event []byte) {
	s.Events++
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.LastID = string(bytes.TrimSpace(value))
		}
	}
}

// eventSize returns the length of the first event with the empty line that
// ends it, or 0 when it has not ended.
func eventSize(data []byte) int {
	size := 0
	for line := range bytes.Lines(data) {
		size += len(line)
		if line[len(line)-1] != '\n' {
			return 0
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return size
		}
	}
	return 0
}
