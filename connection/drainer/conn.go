package drainer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulberrybeam/process/reserver"
)

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	drainer *Drainer
	raw     syscall.RawConn

	mutex sync.Mutex
	state http.ConnState
	// arriving is true from the first byte of a request to the end of its
	// response.
	arriving bool
	// ended is true once the caller has closed the connection or it has failed.
	ended bool
	// closed is true from just before the connection is closed. No byte is read
	// after that.
	closed bool
	// quietSince is when the connection was accepted or became idle.
	quietSince time.Time
	// cancel ends the contexts of the connection's requests.
	cancel context.CancelFunc

	// handling is true while a handler runs. The bytes of a head that arrives before
	// that are reserved in head.
	handling atomic.Bool
	head     atomic.Pointer[reserver.Reservation]
	// evicted is set when the connection has to give way to others.
	evicted atomic.Bool
}

// Read reads from the connection. Reading a byte and noting that a request has
// begun to arrive are one step, so that the connection is not closed in between.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.readAvailable(int(fd), buffer)
		return readErr != unix.EAGAIN
	})
	if err == nil {
		err = readErr
	}
	if err == nil {
		err = c.reserveHead(n)
	}
	if err == nil || err == io.EOF {
		return n, err
	}
	// net/http drops a connection silently only if the failed operation is a read.
	var failure *net.OpError
	if errors.As(err, &failure) {
		failure.Op = "read"
		return n, failure
	}
	return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// readAvailable reads without waiting.
func (c *Conn) readAvailable(fd int, buffer []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	n, err := unix.Read(fd, buffer)
	for err == unix.EINTR {
		n, err = unix.Read(fd, buffer)
	}
	switch {
	case err == unix.EAGAIN:
		return 0, err
	case err != nil:
		c.ended = true
		return 0, os.NewSyscallError("read", err)
	case n == 0:
		c.ended = true
		return 0, io.EOF
	}
	c.arriving = true
	return n, nil
}

// Close closes the connection. The contexts of its requests end first, so that a
// request that was read but has not been passed on cannot run without its caller.
func (c *Conn) Close() error {
	c.drainer.forget(c)
	c.mutex.Lock()
	c.markClosed()
	c.mutex.Unlock()
	c.releaseHead()
	return c.TCPConn.Close()
}

// markClosed ends the contexts of the connection's requests. The caller holds the
// mutex and closes the connection afterwards.
func (c *Conn) markClosed() {
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *Conn) withCancel(ctx context.Context) context.Context {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	return ctx
}

// retire marks the connection as closed if it waits for a request of which nothing
// has arrived.
func (c *Conn) retire() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wait := pollInterval
	if c.state == http.StateNew {
		wait = firstByteTimeout
	}
	if c.closed || c.arriving || time.Since(c.quietSince) < wait || c.hasUnread() {
		return false
	}
	c.markClosed()
	return true
}

// interrupt marks the connection as closed. It reports whether a request is
// running on it.
func (c *Conn) interrupt() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.markClosed()
	return c.state == http.StateActive
}

// observe follows the state that the HTTP server gives the connection.
func (c *Conn) observe(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	switch state {
	case http.StateActive:
		c.arriving = true
	case http.StateIdle:
		c.arriving, c.quietSince = false, time.Now()
	}
}

// hasUnread reports whether bytes wait in the socket.
func (c *Conn) hasUnread() bool {
	unread := false
	// An error means that the connection is closed already.
	_ = c.raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
