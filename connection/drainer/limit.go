package drainer

import (
	"net"
	"time"

	"mulberrybeam/process/reserver"
)

// minQuiet is how long a connection must have been without a request, or with an
// unfinished head, before it is closed to make room for another one.
const minQuiet = time.Second

// Option configures a Drainer.
type Option func(*Drainer)

// WithMaxConnections limits the number of connections. When it is reached, the one that
// has waited longest for a request is closed, or else a new one.
func WithMaxConnections(limit int) Option {
	return func(d *Drainer) { d.maxConnections = limit }
}

// WithMemory reserves the memory of the heads of requests.
func WithMemory(memory *reserver.Reserver) Option {
	return func(d *Drainer) { d.memory = memory }
}

// Refused returns the numbers of connections that were closed for others, and of new
// connections that were closed at once, because of the limit.
func (d *Drainer) Refused() (replaced, rejected int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.replaced, d.rejected
}

// makeRoom closes a connection if their number has reached the limit. It returns false
// if none can be closed.
func (d *Drainer) makeRoom() bool {
	d.mutex.Lock()
	full := d.maxConnections > 0 && len(d.conns) >= d.maxConnections
	var conns []*Conn
	if full && !d.stopping {
		conns = d.list()
	}
	d.mutex.Unlock()
	if !full {
		return true
	}
	victim := longestWaiting(conns)
	if victim == nil || !victim.retireForOther() {
		// A caller that stalls within a request gives way with some delay. The next
		// connection finds the room.
		d.memory.EvictStalled()
		d.count(&d.rejected)
		return false
	}
	_ = victim.Close()
	d.count(&d.replaced)
	return true
}

func (d *Drainer) count(counter *int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	*counter++
}

// longestWaiting returns the connection that has waited longest for a request or for the
// rest of its head, preferring those of which nothing has arrived, or nil if none has
// waited for minQuiet.
func longestWaiting(conns []*Conn) *Conn {
	var longest *Conn
	var longestSince time.Time
	longestArriving := false
	for _, c := range conns {
		since, arriving, waiting := c.waitingSince()
		if !waiting || time.Since(since) < minQuiet {
			continue
		}
		if longest == nil || longestArriving && !arriving || longestArriving == arriving && since.Before(longestSince) {
			longest, longestSince, longestArriving = c, since, arriving
		}
	}
	return longest
}

// waitingSince returns since when the connection waits for a request or for the rest of
// its head, and whether a part of it has arrived.
func (c *Conn) waitingSince() (since time.Time, arriving, waiting bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.quietSince, c.arriving, !c.closed && !c.handling.Load()
}

// retireForOther marks the connection as closed unless a request has been read on it.
func (c *Conn) retireForOther() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.handling.Load() {
		return false
	}
	c.markClosed()
	return true
}

// acceptWithin accepts the next connection that the limit leaves room for.
func (d *Drainer) acceptWithin() (*net.TCPConn, error) {
	for {
		conn, err := d.AcceptTCP()
		if err != nil || d.makeRoom() {
			return conn, err
		}
		_ = conn.Close()
	}
}
