// Package resumer splits a stream of server-sent events into complete events, so
// that a broken stream can continue at another target without a gap.
package resumer

import (
	"bytes"
	"strconv"
)

// maxPending is the maximum size in bytes of an incomplete event. A longer one is
// forwarded as it is, after which the stream cannot be resumed.
const maxPending = 64 << 10

// Splitter splits one stream. The zero value is ready to use.
type Splitter struct {
	// LastID is the last id that a complete event had.
	LastID string
	// Events is the number of complete events.
	Events    int
	pending   []byte
	oversized bool
	repeated  bool
	boundary  boundary
}

// Feed takes the next bytes of the stream and returns the events that are now
// complete. The result is valid until the next call.
func (s *Splitter) Feed(chunk []byte) []byte {
	s.Observe(chunk)
	s.pending = append(s.pending, chunk...)
	end := 0
	for {
		size := eventSize(s.pending[end:])
		if size == 0 {
			break
		}
		if s.repeated = s.repeated || s.repeats(s.pending[end:end+size]); s.repeated {
			break
		}
		s.record(s.pending[end : end+size])
		end += size
	}
	if end == 0 && len(s.pending) > maxPending && !s.repeated {
		s.oversized = true
		end = len(s.pending)
	}
	complete := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return complete
}

// Observe takes the next bytes of a stream that is forwarded as it arrives. In
// contrast to Feed it only serves InsideEvent.
func (s *Splitter) Observe(chunk []byte) { s.boundary.feed(chunk) }

// InsideEvent reports whether the last event is incomplete. A stream that ends
// inside an event has been broken off. Comments are not events.
func (s *Splitter) InsideEvent() bool { return s.boundary.insideEvent() }

// Repeated reports whether an event came whose id is not above that of the event
// before it. It and what follows are not returned by Feed.
func (s *Splitter) Repeated() bool { return s.repeated }

// Rest returns the bytes of the incomplete event at the end.
func (s *Splitter) Rest() []byte { return s.pending }

// Drop discards the incomplete event at the end, before the stream continues at
// another target.
func (s *Splitter) Drop() {
	s.pending = s.pending[:0]
	s.boundary = boundary{}
	s.repeated = false
}

// Resumable reports whether the stream can continue after the last complete event.
func (s *Splitter) Resumable() bool {
	return !s.oversized && (s.Events == 0 || s.LastID != "")
}

func (s *Splitter) record(event []byte) {
	s.Events++
	if id, found := eventID(event); found {
		s.LastID = id
	}
}

// repeats reports whether an event has a number as its id that is not above the
// last one.
func (s *Splitter) repeats(event []byte) bool {
	id, found := eventID(event)
	number, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(s.LastID, 10, 64)
	return found && err == nil && lastErr == nil && number <= last
}

// eventID returns the last id in an event.
func eventID(event []byte) (id string, found bool) {
	for line := range bytes.Lines(event) {
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}

// eventSize returns the length of the first event including the empty line that
// ends it, or 0 if the event is incomplete.
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
