// Package carrier sends HTTP requests to targets over pooled connections. It
// matches responses to requests by their IDs, and does not reuse a connection on
// which unexpected data arrived.
package carrier

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
	"mulberrybeam/connection/dialer"
)

const (
	// dialTimeout limits the time to open a connection. A round trip takes a
	// few milliseconds, so after this time the target is considered down.
	dialTimeout = 300 * time.Millisecond
	// idleLimit is the idle timeout of a connection if the target does not
	// state its own. If it does, only the fraction keepShare of it is used, so
	// that no request is in transit while the target closes the connection.
	idleLimit = 8 * time.Second
	keepShare = 0.6
	// maxIdle limits the idle connections to one target.
	maxIdle = 16
	// readBuffer is large enough for the head of most responses. It also
	// limits the request bodies that are written before the response is read.
	readBuffer = 4 << 10
	// maxForeign limits the number of responses to other requests that are
	// skipped before a request fails.
	maxForeign = 2
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
	body   io.ReadCloser
	link   *link
	whole  bool
}

// Carrier has a connection pool for each target. Its methods are safe for
// concurrent use.
type Carrier struct {
	codec mulberrybeam.CallCodec
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	now   func() time.Duration

	mutex sync.Mutex
	pools map[mulberrybeam.InstanceID]*pool
}

// pool has the connections to one instance of a target.
type pool struct {
	idle []*link
	open int
}

// link is one connection to a target.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	target mulberrybeam.InstanceID
	// until is the time after which the connection is not reused, because the
	// target may close it.
	until time.Duration
	// written receives the result of writing the request. The connection can
	// be reused only once the request was written completely.
	written chan error
}

// New returns a Carrier and a function that closes its idle connections.
func New(codec mulberrybeam.CallCodec, dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Duration) (*Carrier, func()) {
	c := &Carrier{codec: codec, dial: dial, now: now, pools: map[mulberrybeam.InstanceID]*pool{}}
	return c, c.closeIdle
}

// Send sends a request and returns once the head of the response was read. It
// fails if the target already has limit connections, none of them idle; a limit
// of 0 means no limit. If ctx ends before Answer.Close, the connection is closed.
// Errors are Failures; NotRun means that nothing was sent.
func (c *Carrier) Send(ctx context.Context, target mulberrybeam.FleetTarget, limit int, message Message) (*Answer, error) {
	l, err := c.connect(ctx, target, limit)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	answer, err := c.exchange(l, message)
	if err != nil {
		stop()
		c.discard(l)
		return nil, err
	}
	answer.link = l
	answer.body = &bodyCloser{Reader: answer.body, close: func() {
		if stop() && answer.whole && c.reusable(answer) {
			c.keep(l)
			return
		}
		c.discard(l)
	}}
	return answer, nil
}

// connect returns an idle connection that can be reused, or a new one.
func (c *Carrier) connect(ctx context.Context, target mulberrybeam.FleetTarget, limit int) (*link, error) {
	for {
		l, full := c.take(target.ID, limit)
		if full {
			return nil, failure(mulberrybeam.StepConnect, target.ID, "connection limit reached", true, nil)
		}
		if l == nil {
			return c.open(ctx, target)
		}
		if c.now() < l.until && l.reader.Buffered() == 0 && dialer.Quiet(l.conn) {
			return l, nil
		}
		c.discard(l)
	}
}

// take returns an idle connection, or nil after reserving a place for a new one.
// The second result reports that the limit is reached.
func (c *Carrier) take(id mulberrybeam.InstanceID, limit int) (*link, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[id]
	if p == nil {
		p = &pool{}
		c.pools[id] = p
	}
	if last := len(p.idle) - 1; last >= 0 {
		l := p.idle[last]
		p.idle = p.idle[:last]
		return l, false
	}
	if limit > 0 && p.open >= limit {
		return nil, true
	}
	p.open++
	return nil, false
}

func (c *Carrier) open(ctx context.Context, target mulberrybeam.FleetTarget) (*link, error) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialing, "tcp", target.Address)
	if err != nil {
		c.closed(target.ID)
		return nil, failure(mulberrybeam.StepConnect, target.ID, "cannot connect", true, err)
	}
	return &link{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), target: target.ID, until: c.now() + time.Hour}, nil
}

// exchange writes the request and reads the head of the response. A target may
// respond before it has read the complete request, so a large body is written
// while the response is read.
func (c *Carrier) exchange(l *link, message Message) (*Answer, error) {
	l.written = make(chan error, 1)
	head := encode(message)
	if len(message.Body) <= readBuffer {
		_, err := l.conn.Write(append(head, message.Body...))
		l.written <- err
		if err != nil {
			return nil, failure(mulberrybeam.StepSend, l.target, "cannot write the request", false, err)
		}
	} else {
		go func() {
			buffers := net.Buffers{head, message.Body}
			_, err := buffers.WriteTo(l.conn)
			l.written <- err
		}()
	}
	return c.readAnswer(l, message)
}

// readAnswer reads the head of the response to a message and skips responses to
// other requests.
func (c *Carrier) readAnswer(l *link, message Message) (*Answer, error) {
	for range maxForeign + 1 {
		response, err := readFinal(l.reader, message.Method)
		if err != nil {
			return nil, failure(mulberrybeam.StepAnswer, l.target, "no response received", false, err)
		}
		head := c.codec.Answer(response.StatusCode, response.Header)
		if head.Request == message.ID || head.Request == "" {
			answer := &Answer{Status: response.StatusCode, Header: response.Header, Head: head, body: response.Body}
			l.until = c.now() + idleTime(response)
			if response.Close {
				l.until = 0
			}
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			break
		}
	}
	return nil, failure(mulberrybeam.StepAnswer, l.target, "response belongs to another request", false, nil)
}

// readFinal reads a response and skips the interim ones (status 1xx) before it.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// idleTime returns how long the connection may stay idle after a response.
func idleTime(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return time.Duration(keepShare * float64(seconds) * float64(time.Second))
		}
	}
	return idleLimit
}

// Read reads the response body. It returns io.EOF only at the end of a complete
// body.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close releases the connection. It is reused if the response was read
// completely.
func (a *Answer) Close() { _ = a.body.Close() }

// reusable reports whether the request was written completely, no unread data is
// buffered and the target keeps the connection open.
func (c *Carrier) reusable(answer *Answer) bool {
	l := answer.link
	select {
	case err := <-l.written:
		return err == nil && l.until > 0 && l.reader.Buffered() == 0
	default:
		return false
	}
}

// keep returns a connection to its pool, or closes it if the pool has enough.
func (c *Carrier) keep(l *link) {
	c.mutex.Lock()
	p := c.pools[l.target]
	if len(p.idle) < maxIdle {
		p.idle = append(p.idle, l)
		c.mutex.Unlock()
		return
	}
	c.mutex.Unlock()
	c.discard(l)
}

// discard closes a connection that is not in the pool.
func (c *Carrier) discard(l *link) {
	_ = l.conn.Close()
	c.closed(l.target)
}

// closed frees the place of a connection that was closed or not opened.
func (c *Carrier) closed(id mulberrybeam.InstanceID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[id]
	p.open--
	if p.open == 0 {
		delete(c.pools, id)
	}
}

// Retain closes the idle connections to targets that are not in use any more,
// and those that were idle for too long.
func (c *Carrier) Retain(used func(id mulberrybeam.InstanceID) bool) {
	now := c.now()
	var old []*link
	c.mutex.Lock()
	for id, p := range c.pools {
		kept := p.idle[:0]
		for _, l := range p.idle {
			if used(id) && now < l.until {
				kept = append(kept, l)
			} else {
				old = append(old, l)
			}
		}
		p.idle = kept
	}
	c.mutex.Unlock()
	for _, l := range old {
		c.discard(l)
	}
}

func (c *Carrier) closeIdle() {
	c.Retain(func(mulberrybeam.InstanceID) bool { return false })
}

// encode returns the request line and the header of a message.
func encode(message Message) []byte {
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

func failure(step mulberrybeam.Step, target mulberrybeam.InstanceID, message string, notRun bool, cause error) error {
	code := mulberrybeam.CodeTargetFailed
	if notRun {
		code = mulberrybeam.CodeTargetRefused
	}
	return &mulberrybeam.Failure{Code: code, Step: step, Peer: string(target), Message: message, NotRun: notRun, Cause: cause}
}

// Crashed reports whether an address refuses connections, which means that no
// process listens there.
func (c *Carrier) Crashed(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
