package server

import (
	"encoding/base64"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
	"mulberrybeam/request/replayer"
)

// registry keeps the running streams and, for a bounded time and within
// bounded memory, the finished ones.
type registry struct {
	retention time.Duration
	maxBytes  int

	mutex    sync.Mutex
	closed   bool
	streams  map[mulberrybeam.RequestID]*replayer.Stream
	finished []finished
	bytes    int
}

// finished is a stream that no longer changes.
type finished struct {
	id    mulberrybeam.RequestID
	bytes int
	timer *time.Timer
}

func newRegistry(retention time.Duration, maxBytes int) *registry {
	return &registry{retention: retention, maxBytes: maxBytes, streams: map[mulberrybeam.RequestID]*replayer.Stream{}}
}

func (r *registry) add(stream *replayer.Stream) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.streams[stream.Request] = stream
}

// find returns a stream of a workspace. Another workspace's stream looks like
// one that does not exist.
func (r *registry) find(id mulberrybeam.RequestID, workspace mulberrybeam.WorkspaceName) *replayer.Stream {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stream := r.streams[id]
	if stream == nil || stream.Workspace != workspace {
		return nil
	}
	return stream
}

// finish starts the retention of a stream and forgets the oldest ones when
// there are too many bytes.
func (r *registry) finish(stream *replayer.Stream) {
	entry := finished{id: stream.Request, bytes: stream.Bytes()}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	entry.timer = time.AfterFunc(r.retention, func() { r.forget(stream.Request) })
	r.finished = append(r.finished, entry)
	r.bytes += entry.bytes
	for r.bytes > r.maxBytes {
		r.drop(0)
	}
}

func (r *registry) forget(id mulberrybeam.RequestID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, entry := range r.finished {
		if entry.id == id {
			r.drop(i)
			return
		}
	}
}

// drop removes a finished stream. Streams finish and expire in the same order,
// so that the index is nearly always 0.
func (r *registry) drop(i int) {
	entry := r.finished[i]
	entry.timer.Stop()
	delete(r.streams, entry.id)
	r.bytes -= entry.bytes
	r.finished = append(r.finished[:i], r.finished[i+1:]...)
}

func (r *registry) cancelAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, stream := range r.streams {
		stream.Cancel()
	}
}

// close stops all timers.
func (r *registry) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, entry := range r.finished {
		entry.timer.Stop()
	}
}

// newID returns a request id that names the process. It also serves as the
// stream's id and cannot be guessed.
func newID(process mulberrybeam.ProcessID) mulberrybeam.RequestID {
	return mulberrybeam.RequestID(base64.RawURLEncoding.EncodeToString([]byte(process)) + "." + uuid.NewString())
}

// processOf returns the process in a stream id.
func processOf(id string) (mulberrybeam.ProcessID, bool) {
	encoded, rest, found := strings.Cut(id, ".")
	process, err := base64.RawURLEncoding.DecodeString(encoded)
	if !found || rest == "" || err != nil || len(process) == 0 {
		return "", false
	}
	return mulberrybeam.ProcessID(process), true
}
