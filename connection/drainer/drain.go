package drainer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"mulberrybeam/connection/pauser"
)

const (
	// pollInterval is the time between two searches for connections that can be
	// closed. A connection is closed at the earliest that long after it became
	// idle, so that the server can take up a request it has read already.
	pollInterval = 50 * time.Millisecond
	// settleTime is a short pause before each search. A process that had no
	// processor time during pollInterval receives in it what arrived meanwhile.
	settleTime = 10 * time.Millisecond
	// firstByteTimeout is how long a new connection may stay silent. Callers send
	// a request as soon as they are connected.
	firstByteTimeout = 200 * time.Millisecond
)

// AwaitQuiet waits until no connection was accepted for a time, or ctx is done. Closing
// the listener resets a connection that is established at the same moment.
func (d *Drainer) AwaitQuiet(ctx context.Context, quiet time.Duration) {
	for {
		d.mutex.Lock()
		remaining := quiet - time.Since(d.acceptedAt)
		d.mutex.Unlock()
		if remaining <= 0 || !pauser.Pause(ctx, remaining) {
			return
		}
	}
}

// Drain closes the listener and, as soon as no request is arriving or running on
// them, its connections. When ctx is done it closes the remaining ones as well.
// It returns what it did, and an error if connections of the accept queue were
// lost.
func (d *Drainer) Drain(ctx context.Context) (Stats, error) {
	err := d.stopListening()
	for pauser.Pause(ctx, pollInterval) && pauser.Pause(ctx, settleTime) && d.closeWaiting() {
	}
	d.closeAll()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stats, err
}

// stopListening closes the listener. The connections of its accept queue are left
// for Accept to return.
func (d *Drainer) stopListening() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopping = true
	descriptors, err := d.takeQueue()
	err = errors.Join(err, d.TCPListener.Close())
	for _, fd := range descriptors {
		conn, connErr := newTCPConn(fd)
		if connErr != nil {
			err = errors.Join(err, connErr)
			continue
		}
		d.queue = append(d.queue, conn)
	}
	d.stats.Accepted = len(d.queue)
	return err
}

// takeQueue accepts all connections that wait in the accept queue.
func (d *Drainer) takeQueue() (descriptors []int, err error) {
	raw, err := d.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(listener uintptr) {
		for {
			fd, _, acceptErr := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch acceptErr {
			case nil:
				descriptors = append(descriptors, fd)
			case unix.EINTR, unix.ECONNABORTED:
			case unix.EAGAIN:
				return
			default:
				err = os.NewSyscallError("accept4", acceptErr)
				return
			}
		}
	})
	return descriptors, errors.Join(err, controlErr)
}

// newTCPConn returns the connection of a descriptor, which it closes.
func newTCPConn(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// nextQueued returns a connection of the accept queue after the listener was
// closed, or err if there is none left.
func (d *Drainer) nextQueued(err error) (net.Conn, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.queue) == 0 {
		d.acceptEnded = d.stopping
		return nil, err
	}
	conn := d.queue[0]
	d.queue = d.queue[1:]
	return d.track(conn)
}

// closeWaiting closes the connections on which no request is arriving or running.
// It reports whether connections are left.
func (d *Drainer) closeWaiting() bool {
	d.mutex.Lock()
	ended, conns := d.acceptEnded, d.list()
	d.mutex.Unlock()
	left := 0
	for _, c := range conns {
		if !c.retire() {
			left++
			continue
		}
		// The connection is gone either way.
		_ = c.Close()
	}
	return !ended || left > 0
}

// closeAll closes all connections and the requests that run on them.
func (d *Drainer) closeAll() {
	d.mutex.Lock()
	conns := d.list()
	d.mutex.Unlock()
	for _, c := range conns {
		if c.interrupt() {
			d.mutex.Lock()
			d.stats.Interrupted++
			d.mutex.Unlock()
		}
		_ = c.Close()
	}
}

func (d *Drainer) list() []*Conn {
	conns := make([]*Conn, 0, len(d.conns))
	for c := range d.conns {
		conns = append(conns, c)
	}
	return conns
}
