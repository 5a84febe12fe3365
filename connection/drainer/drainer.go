// Package drainer tracks which connections of an HTTP server have a request
// arriving, so that a planned stop closes only the others.
package drainer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberrybeam/process/reserver"
)

// Stats counts what a stop did to connections.
type Stats struct {
	// Closed counts the connections closed while they waited for a request, and
	// Arriving those of them on which a request had begun to arrive.
	Closed, Arriving int
	// Accepted counts the connections taken from the accept queue when the
	// listener was closed.
	Accepted int
	// Interrupted counts the requests that had not ended when the stop ran out of
	// time.
	Interrupted int
}

// String returns the counts as text for the log.
func (s Stats) String() string {
	return fmt.Sprintf("%d waiting connections closed, %d of them with bytes of a request, %d taken from the accept queue, %d requests interrupted",
		s.Closed, s.Arriving, s.Accepted, s.Interrupted)
}

// Drainer is a listener that tracks its connections.
type Drainer struct {
	*net.TCPListener

	mutex sync.Mutex
	conns map[*Conn]struct{}
	// acceptedAt is when the last connection was accepted.
	acceptedAt time.Time
	stopping   bool
	// queue holds the connections of the accept queue of the closed listener.
	queue []*net.TCPConn
	// acceptEnded is true once Accept has returned the last connection.
	acceptEnded bool
	stats       Stats

	// maxConnections limits the connections, 0 for no limit. replaced and rejected count
	// those that were closed because of it.
	maxConnections     int
	replaced, rejected int
	// memory may be nil.
	memory *reserver.Reserver
}

// New returns a Drainer for the connections of listener.
func New(listener *net.TCPListener, options ...Option) *Drainer {
	d := &Drainer{TCPListener: listener, conns: map[*Conn]struct{}{}}
	for _, option := range options {
		option(d)
	}
	return d
}

// Attach makes the server report the states of its connections. The contexts of
// its requests end when their connection is closed.
func (d *Drainer) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c := tracked(conn); c != nil {
			return c.withCancel(withConn(ctx, c))
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := tracked(conn); c != nil {
			c.observe(state)
		}
	}
}

// tracked returns the tracked connection below a connection of the server.
func tracked(conn net.Conn) *Conn {
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// Accept waits for the next connection. After the listener was closed it returns
// the connections of the accept queue first.
func (d *Drainer) Accept() (net.Conn, error) {
	conn, err := d.acceptWithin()
	if errors.Is(err, net.ErrClosed) {
		return d.nextQueued(err)
	}
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.track(conn)
}

// track starts the tracking of a connection. The caller holds the mutex.
func (d *Drainer) track(conn *net.TCPConn) (net.Conn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	d.acceptedAt = time.Now()
	c := &Conn{TCPConn: conn, drainer: d, raw: raw, quietSince: d.acceptedAt}
	d.conns[c] = struct{}{}
	return c, nil
}

// forget ends the tracking of a connection that is about to be closed.
func (d *Drainer) forget(c *Conn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, found := d.conns[c]; !found {
		return
	}
	delete(d.conns, c)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !d.stopping || c.ended || c.state == http.StateActive {
		return
	}
	d.stats.Closed++
	if c.arriving || c.hasUnread() {
		d.stats.Arriving++
	}
}
