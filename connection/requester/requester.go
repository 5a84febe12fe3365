// Package requester sends HTTP requests to targets over pooled connections. It
// matches responses to requests by their IDs, and does not reuse a connection on
// which unexpected data arrived.
package requester

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/responsechecker"
)

const (
	// dialTimeout limits the time to open a connection. A round trip takes a
	// few milliseconds, so after this time the target is considered down.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a connection if the target
	// does not state its own. If it does, only idleTimeoutFraction of that is
	// used, so that no request is in transit while the target closes the
	// connection.
	defaultIdleTimeout  = 8 * time.Second
	idleTimeoutFraction = 0.6
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 16
	// bufferBytes is large enough for the head of most responses. It also
	// limits the request bodies that are written before the response is read.
	bufferBytes = 4 << 10
	// maxSkippedResponses limits the number of responses to other requests
	// that are skipped before a request fails, and maxSkippedBytes the size of
	// their bodies.
	maxSkippedResponses = 2
	maxSkippedBytes     = 1 << 20
	// maxHeadBytes limits the head of a response, with the interim responses
	// before it. A target in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
	// rememberedRequests is the number of earlier requests of a connection that
	// are not sent on it again.
	rememberedRequests = 64
)

// Message is a request to a target. Content-Length is sent only with HasBody.
type Message struct {
	ID      mulberrybeam.RequestID
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool
}

// Answer is a response of a target. Read returns its body, and Close must be
// called.
type Answer struct {
	Status int
	Header http.Header
	Head   mulberrybeam.AnswerHead
	// Framed is false if the body ends with its connection, so that a body that
	// was cut may look complete.
	Framed   bool
	body     io.ReadCloser
	conn     *pooledConn
	complete bool
}

// Requester has a connection pool for each target. Its methods are safe for
// concurrent use.
type Requester struct {
	codec mulberrybeam.CallCodec
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	now   func() time.Duration

	mutex sync.Mutex
	pools map[mulberrybeam.InstanceID]*pool
}

// New returns a Requester and a function that closes its idle connections.
func New(codec mulberrybeam.CallCodec, dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Duration) (*Requester, func()) {
	c := &Requester{codec: codec, dial: dial, now: now, pools: map[mulberrybeam.InstanceID]*pool{}}
	return c, c.closeIdle
}

// Send sends a request and returns once the head of the response was read. It
// fails if the target already has limit connections, none of them idle; a limit
// of 0 means no limit. If ctx ends before Answer.Close is called, the connection
// is closed. Errors are Failures; NotRun means that nothing was sent.
func (c *Requester) Send(ctx context.Context, target mulberrybeam.FleetTarget, limit int, message Message) (*Answer, error) {
	pc, err := c.acquireConn(ctx, target, limit, message.ID)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		c.putIdle(pc)
		return nil, newFailure(mulberrybeam.StepSend, target.ID, "request ended before it was sent", true, ctx.Err())
	}
	stop := context.AfterFunc(ctx, func() { _ = pc.conn.Close() })
	answer, err := c.exchange(pc, message)
	if err != nil {
		stop()
		c.closeConn(pc)
		return nil, err
	}
	answer.conn = pc
	answer.body = &bodyCloser{Reader: answer.body, close: func() {
		if stop() && answer.complete && c.reusable(answer) {
			c.putIdle(pc)
			return
		}
		c.closeConn(pc)
	}}
	return answer, nil
}

// exchange writes the request and reads the head of the response. A target may
// respond before it has read the complete request, so a large body is written
// while the response is read.
func (c *Requester) exchange(pc *pooledConn, message Message) (*Answer, error) {
	pc.writeResult = make(chan error, 1)
	pc.remember(message.ID)
	head := encodeHead(message)
	if len(message.Body) <= bufferBytes {
		_, err := pc.conn.Write(append(head, message.Body...))
		pc.writeResult <- err
		if err != nil {
			return nil, newFailure(mulberrybeam.StepSend, pc.target, "cannot write the request", false, err)
		}
	} else {
		go func() {
			buffers := net.Buffers{head, message.Body}
			_, err := buffers.WriteTo(pc.conn)
			pc.writeResult <- err
		}()
	}
	return c.readResponseHead(pc, message)
}

// readResponseHead reads the head of the response to a message and skips
// responses to other requests.
func (c *Requester) readResponseHead(pc *pooledConn, message Message) (*Answer, error) {
	pc.source.limit(maxHeadBytes)
	for range maxSkippedResponses + 1 {
		response, err := readFinalResponse(pc.reader, message.Method)
		if err != nil {
			return nil, newFailure(mulberrybeam.StepAnswer, pc.target, "no response received", false, err)
		}
		head := c.codec.Answer(response.StatusCode, response.Header)
		if pc.answers(head.Request, message.ID) {
			pc.source.unlimit()
			answer := &Answer{Status: response.StatusCode, Header: response.Header, Head: head, body: response.Body}
			answer.Framed = responsechecker.IsFramed(response)
			if !answer.Framed {
				answer.body = io.NopCloser(responsechecker.NewBody(response.Body, func() error { return <-pc.writeResult }))
			}
			pc.reuseUntil = c.now() + idleTimeout(response)
			if response.Close {
				pc.reuseUntil = 0
			}
			return answer, nil
		}
		pc.source.limit(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			break
		}
		pc.source.limit(maxHeadBytes)
	}
	return nil, newFailure(mulberrybeam.StepAnswer, pc.target, "response belongs to another request", false, nil)
}

// readFinalResponse reads a response and skips the interim ones (status 1xx)
// before it.
func readFinalResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !responsechecker.IsInterim(response.StatusCode) {
			return response, responsechecker.CheckStatus(response.StatusCode)
		}
	}
}

// idleTimeout returns how long the connection may stay idle after a response.
func idleTimeout(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// Read reads the response body. It returns io.EOF only at the end of a complete
// body.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Close releases the connection. It is reused if the response was read
// completely.
func (a *Answer) Close() { _ = a.body.Close() }

// reusable reports whether the request was written completely, no unread data is
// buffered and the target keeps the connection open.
func (c *Requester) reusable(answer *Answer) bool {
	pc := answer.conn
	select {
	case err := <-pc.writeResult:
		return err == nil && pc.reuseUntil > 0 && pc.reader.Buffered() == 0
	default:
		return false
	}
}

// encodeHead returns the request line and the header of a message.
func encodeHead(message Message) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", message.Method, message.URI, message.Host)
	_ = message.Header.Write(&head)
	if message.HasBody {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(message.Body))
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// bodyCloser is a response body that calls a function on the first Close.
type bodyCloser struct {
	io.Reader
	once  sync.Once
	close func()
}

// Close implements io.Closer.
func (b *bodyCloser) Close() error {
	b.once.Do(b.close)
	return nil
}

// newFailure returns a Failure with CodeTargetRefused if nothing was sent, and
// with CodeTargetFailed otherwise.
func newFailure(step mulberrybeam.Step, target mulberrybeam.InstanceID, message string, notRun bool, cause error) error {
	code := mulberrybeam.CodeTargetFailed
	if notRun {
		code = mulberrybeam.CodeTargetRefused
	}
	return &mulberrybeam.Failure{Code: code, Step: step, Peer: string(target), Message: message, NotRun: notRun, Cause: cause}
}

// RefusesConnections reports whether an address refuses connections, which means that no
// process listens there.
func (c *Requester) RefusesConnections(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// AcceptsConnections reports whether a process listens at an address.
func (c *Requester) AcceptsConnections(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
