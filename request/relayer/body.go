package relayer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"mulberrybeam"
)

const (
	// defaultBodyLimit is the largest request body, in bytes, if the
	// deployment sets no limit.
	defaultBodyLimit = 4 << 20
	// requestBytes covers the goroutines and connection buffers of a request, streamBytes
	// those of a stream, whose last incomplete event is kept.
	requestBytes = 32 << 10
	streamBytes  = requestBytes + 64<<10
	// fieldBytes is what a field of the head takes beside its text.
	fieldBytes = 64
	// minBodyBuffer is the size of the first buffer of a body without a length.
	minBodyBuffer = 4 << 10
	// writeMargin is how long after the deadline of its request a caller may take to read
	// the answer. No caller waits for an answer beyond its deadline.
	writeMargin = 5 * time.Second
	// unreadTimeout is how long the rest of a refused body may take to arrive before the
	// connection is closed.
	unreadTimeout = 2 * time.Second
)

// readBody buffers the whole body, so that a retry can send it again. A body that is too
// large or finds no room in the memory is refused before it is read.
func (e *exchange) readBody() error {
	limit := e.fleet.Deployment.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if e.request.ContentLength > limit {
		return e.bodyTooLarge(limit, nil)
	}
	timeout := e.timeout()
	e.limitWriting(timeout)
	if err := e.reserve(); err != nil {
		return err
	}
	if e.request.ContentLength == 0 {
		e.bodyRead = e.reservation.Settle()
		return e.checkEvicted(nil)
	}
	e.limitReading(timeout)
	source := &progressReader{http.MaxBytesReader(e.writer.ResponseWriter, e.request.Body, limit), e.reservation}
	body, err := e.receive(source, limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return e.bodyTooLarge(limit, err)
	}
	e.bodyRead = err == nil && e.reservation.Settle()
	if !e.bodyRead {
		return e.checkEvicted(err)
	}
	e.body = body
	e.limitReading(0)
	return nil
}

// reserve reserves the memory that the request takes beside its body.
func (e *exchange) reserve() error {
	var workspace mulberrybeam.WorkspaceName
	if e.match.Workspace != nil {
		workspace = e.match.Workspace.Name
	}
	e.reservation = e.Memory.Open(workspace, func() { _ = e.controller().SetReadDeadline(time.Unix(1, 0)) })
	bytes := int64(requestBytes)
	if e.match.Rule.Streaming {
		bytes = streamBytes
	}
	for name, values := range e.request.Header {
		for _, value := range values {
			bytes += int64(len(name) + len(value) + fieldBytes)
		}
	}
	return e.reservation.Grow(e.request.Context(), bytes)
}

// receive reads the body into memory that is reserved first: all of it if its length is
// announced, otherwise in buffers of growing size up to the limit.
func (e *exchange) receive(source io.Reader, limit int64) ([]byte, error) {
	announced := e.request.ContentLength
	size := announced
	if announced < 0 {
		size = min(minBodyBuffer, limit)
	}
	if err := e.reservation.Grow(e.request.Context(), size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case announced > 0:
			return body, nil
		case int64(len(body)) == limit:
			return body, expectEnd(source)
		}
		if body, err = e.enlarge(body, limit); err != nil {
			return nil, err
		}
	}
}

// expectEnd returns an error unless the source has ended.
func expectEnd(source io.Reader) error {
	_, err := io.ReadFull(source, make([]byte, 1))
	if err == io.EOF {
		return nil
	}
	return err
}

// enlarge returns a copy of the body with twice its capacity, at most the limit.
func (e *exchange) enlarge(body []byte, limit int64) ([]byte, error) {
	capacity := min(2*int64(cap(body)), limit)
	if err := e.reservation.Grow(e.request.Context(), capacity); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, capacity), body...)
	e.reservation.Shrink(int64(cap(body)))
	return larger, nil
}

// progressReader records the progress of a body.
type progressReader struct {
	source   io.Reader
	progress interface{ Progress(bytes int) }
}

// Read reads a part of the body.
func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	if n > 0 {
		r.progress.Progress(n)
	}
	return n, err
}

func (e *exchange) bodyTooLarge(limit int64, cause error) error {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeBodyTooLarge, Step: mulberrybeam.StepAccept,
		Message: fmt.Sprintf("request body exceeds %d bytes", limit), NotRun: true, Cause: cause,
	}
}

// checkEvicted returns the failure of a request whose body was not read whole.
func (e *exchange) checkEvicted(err error) error {
	var refused *mulberrybeam.Failure
	switch {
	case e.bodyRead:
		return nil
	case errors.As(err, &refused):
		return err
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAccept,
			Message: "request body was interrupted", NotRun: true, Cause: err,
		}
	case e.Now() >= e.arrivedAt+e.timeout():
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepAccept,
			Message: "request body was not complete by the deadline of the request", NotRun: true, Cause: err,
		}
	}
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeOverloaded, Step: mulberrybeam.StepAccept,
		Message: "request body made too little progress while memory is short", NotRun: true, Cause: err,
	}
}

func (e *exchange) controller() *http.ResponseController {
	return http.NewResponseController(e.writer)
}

// limitReading limits the time to read the request, 0 for no limit. Writers without
// deadlines are those of tests, which have no connection.
func (e *exchange) limitReading(timeout time.Duration) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = e.controller().SetReadDeadline(deadline)
}

// limitWriting limits the time to write the answer to a request with this timeout.
func (e *exchange) limitWriting(timeout time.Duration) {
	_ = e.controller().SetWriteDeadline(time.Now().Add(timeout + writeMargin))
}

// endUnread ends the connection of a refused request whose body was not read, unless the
// rest arrives soon. After a refusal because of the body or for lack of room, it is not
// awaited.
func (e *exchange) endUnread(code mulberrybeam.Code) {
	if e.bodyRead || e.request.ContentLength == 0 {
		return
	}
	switch code {
	case mulberrybeam.CodeOverloaded, mulberrybeam.CodeBodyTooLarge, mulberrybeam.CodeTimeout, mulberrybeam.CodeCancelled:
		e.writer.Header().Set("Connection", "close")
	}
	e.limitReading(unreadTimeout)
}
