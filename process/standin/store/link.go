package store

import (
	"io"
	"net/http"
	"sync"
	"time"

	"mulberrybeam/process/standin/fixture"
)

// chunkBytes is the size of the chunks in which concurrent transfers share the
// link.
const chunkBytes = 16 << 10

// link simulates a network link that transmits chunks in the order in which
// they are reserved. idleAt is the time at which it becomes idle.
type link struct {
	mu     sync.Mutex
	idleAt time.Time
}

// reserve schedules a chunk and returns the time until its transmission ends,
// with the rate in bytes per second.
func (l *link) reserve(now time.Time, bytes int, rate float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return l.idleAt.Sub(now)
}

func (s *Store) linkRate() float64 {
	if rate := s.Faults().LinkRate; rate > 0 {
		return rate
	}
	return s.settings.LinkRate
}

// send writes data at the speed of the link. It reports whether all of it was
// sent.
func (s *Store) send(w http.ResponseWriter, r *http.Request, data []byte) bool {
	for len(data) > 0 {
		chunk := data[:min(len(data), chunkBytes)]
		if !fixture.Pause(r, s.link.reserve(time.Now(), len(chunk), s.linkRate())) {
			return false
		}
		if _, err := w.Write(chunk); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
		s.AddN("bytes-sent", len(chunk))
		data = data[len(chunk):]
	}
	return true
}

// receive reads a request body at the speed of the link, at most limit+1 bytes.
func (s *Store) receive(r *http.Request, limit int64) ([]byte, error) {
	var data []byte
	chunk := make([]byte, chunkBytes)
	body := io.LimitReader(r.Body, limit+1)
	for {
		n, err := io.ReadFull(body, chunk)
		data = append(data, chunk[:n]...)
		s.AddN("bytes-received", n)
		if n > 0 && !fixture.Pause(r, s.link.reserve(time.Now(), n, s.linkRate())) {
			return nil, r.Context().Err()
		}
		switch err {
		case nil:
			continue
		case io.EOF, io.ErrUnexpectedEOF:
			return data, nil
		}
		return nil, err
	}
}
