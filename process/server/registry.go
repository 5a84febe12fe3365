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

// registry holds the running streams. It retains finished streams for a limited
// time and within limited memory, so that they can still be resumed.
type registry struct {
	retention time.Duration
	maxBytes  int

	mutex         sync.Mutex
	closed        bool
	streams       map[mulberrybeam.RequestID]*replayer.Stream
	finished      []finishedStream
	finishedBytes int
}

// finishedStream is the registry's entry for a stream whose run has ended.
type finishedStream struct {
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

// find returns a stream of a workspace, or nil. It also returns nil for a stream
// of another workspace, so that callers cannot learn that it exists.
func (r *registry) find(id mulberrybeam.RequestID, workspace mulberrybeam.WorkspaceName) *replayer.Stream {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stream := r.streams[id]
	if stream == nil || stream.Workspace != workspace {
		return nil
	}
	return stream
}

// finish starts the retention time of a stream whose run has ended. While the
// retained streams exceed maxBytes, it drops the oldest.
func (r *registry) finish(stream *replayer.Stream) {
	entry := finishedStream{id: stream.Request, bytes: stream.Bytes()}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	entry.timer = time.AfterFunc(r.retention, func() { r.expire(stream.Request) })
	r.finished = append(r.finished, entry)
	r.finishedBytes += entry.bytes
	for r.finishedBytes > r.maxBytes {
		r.remove(0)
	}
}

func (r *registry) expire(id mulberrybeam.RequestID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, entry := range r.finished {
		if entry.id == id {
			r.remove(i)
			return
		}
	}
}

// remove removes the finished stream with index i. Streams finish and expire in
// the same order, so the index is almost always 0.
func (r *registry) remove(i int) {
	entry := r.finished[i]
	entry.timer.Stop()
	delete(r.streams, entry.id)
	r.finishedBytes -= entry.bytes
	r.finished = append(r.finished[:i], r.finished[i+1:]...)
}

func (r *registry) cancelAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, stream := range r.streams {
		stream.Cancel()
	}
}

// close stops all retention timers.
func (r *registry) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, entry := range r.finished {
		entry.timer.Stop()
	}
}

// newRequestID returns a request id that contains the process id, which tells
// other entry processes where the request's stream is. The id also identifies the
// stream and cannot be guessed.
func newRequestID(process mulberrybeam.ProcessID) mulberrybeam.RequestID {
	return mulberrybeam.RequestID(base64.RawURLEncoding.EncodeToString([]byte(process)) + "." + uuid.NewString())
}

// processFromID returns the process that a stream id contains, and false if the id
// is malformed.
func processFromID(id string) (mulberrybeam.ProcessID, bool) {
	encoded, rest, found := strings.Cut(id, ".")
	process, err := base64.RawURLEncoding.DecodeString(encoded)
	if !found || rest == "" || err != nil || len(process) == 0 {
		return "", false
	}
	return mulberrybeam.ProcessID(process), true
}
