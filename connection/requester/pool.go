package requester

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/dialer"
)

// pool has the connections to one instance of a target.
type pool struct {
	idle      []*pooledConn
	openCount int
}

// pooledConn is one connection to a target.
type pooledConn struct {
	conn   net.Conn
	source *boundedReader
	reader *bufio.Reader
	target mulberrybeam.InstanceID
	// requests are the last requests sent on the connection. A late copy of the
	// response to one of them would be taken for the response to its retry.
	requests []mulberrybeam.RequestID
	// reuseUntil is the time after which the connection is not reused, because
	// the target may close it.
	reuseUntil time.Duration
	// writeResult receives the result of writing the request. The connection
	// can be reused only once the request was written completely.
	writeResult chan error
}

// acquireConn returns an idle connection that can be reused for a request, or a
// new one.
func (c *Requester) acquireConn(ctx context.Context, target mulberrybeam.FleetTarget, limit int, request mulberrybeam.RequestID) (*pooledConn, error) {
	for {
		pc, limitReached := c.takeIdleOrReserve(target.ID, limit)
		if limitReached {
			return nil, newFailure(mulberrybeam.StepConnect, target.ID, "connection limit reached", true, nil)
		}
		if pc == nil {
			return c.openConn(ctx, target)
		}
		usable := c.now() < pc.reuseUntil && pc.reader.Buffered() == 0 && dialer.CanReuse(pc.conn)
		if usable && !slices.Contains(pc.requests, request) {
			return pc, nil
		}
		c.closeConn(pc)
	}
}

// takeIdleOrReserve returns an idle connection, or nil after reserving a place
// for a new one. The second result reports that the limit is reached.
func (c *Requester) takeIdleOrReserve(id mulberrybeam.InstanceID, limit int) (*pooledConn, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[id]
	if p == nil {
		p = &pool{}
		c.pools[id] = p
	}
	if last := len(p.idle) - 1; last >= 0 {
		pc := p.idle[last]
		p.idle = p.idle[:last]
		return pc, false
	}
	if limit > 0 && p.openCount >= limit {
		return nil, true
	}
	p.openCount++
	return nil, false
}

// openConn opens a connection for which a place was reserved.
func (c *Requester) openConn(ctx context.Context, target mulberrybeam.FleetTarget) (*pooledConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialCtx, "tcp", target.Address)
	if err != nil {
		c.freePlace(target.ID)
		return nil, newFailure(mulberrybeam.StepConnect, target.ID, "cannot connect", true, err)
	}
	source := &boundedReader{source: conn}
	return &pooledConn{conn: conn, source: source, reader: bufio.NewReaderSize(source, bufferBytes), target: target.ID, reuseUntil: c.now() + time.Hour}, nil
}

// remember records that a request was sent on the connection.
func (pc *pooledConn) remember(request mulberrybeam.RequestID) {
	if len(pc.requests) == rememberedRequests {
		pc.requests = pc.requests[1:]
	}
	pc.requests = append(pc.requests, request)
}

// answers reports whether a response with the given request ID, or with none, is
// the response to the last request on the connection. One without an ID may be an
// extra response to an earlier request.
func (pc *pooledConn) answers(received, request mulberrybeam.RequestID) bool {
	return received == request || received == "" && len(pc.requests) == 1
}

// putIdle returns a connection to its pool, or closes it if the pool has enough.
func (c *Requester) putIdle(pc *pooledConn) {
	c.mutex.Lock()
	p := c.pools[pc.target]
	if len(p.idle) < maxIdlePerTarget {
		p.idle = append(p.idle, pc)
		c.mutex.Unlock()
		return
	}
	c.mutex.Unlock()
	c.closeConn(pc)
}

// closeConn closes a connection that is not in the pool.
func (c *Requester) closeConn(pc *pooledConn) {
	_ = pc.conn.Close()
	c.freePlace(pc.target)
}

// freePlace frees the place of a connection that was closed or could not be
// opened.
func (c *Requester) freePlace(id mulberrybeam.InstanceID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[id]
	p.openCount--
	if p.openCount == 0 {
		delete(c.pools, id)
	}
}

// CloseUnused closes the idle connections to targets that are not in use any more,
// and those that were idle for too long.
func (c *Requester) CloseUnused(inUse func(id mulberrybeam.InstanceID) bool) {
	now := c.now()
	var expired []*pooledConn
	c.mutex.Lock()
	for id, p := range c.pools {
		kept := p.idle[:0]
		for _, pc := range p.idle {
			if inUse(id) && now < pc.reuseUntil {
				kept = append(kept, pc)
			} else {
				expired = append(expired, pc)
			}
		}
		p.idle = kept
	}
	c.mutex.Unlock()
	for _, pc := range expired {
		c.closeConn(pc)
	}
}

func (c *Requester) closeIdle() {
	c.CloseUnused(func(mulberrybeam.InstanceID) bool { return false })
}
