package propagator

import (
	"context"
	"net"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
)

// asker is a connection on which a peer asks this host.
type asker struct {
	conn net.Conn
	// done is closed when no answer is in work and none will be.
	done chan struct{}

	// The mutex of the propagator protects the fields below.
	key askerKey
	// added is set by the first ask, and removed at the end of the connection.
	added, removed bool
	// admittedAt is when the last ask was admitted.
	admittedAt time.Duration
}

// askerKey identifies a peer. The ID alone is what the peer says of itself.
type askerKey struct {
	address string
	id      mulberrybeam.ProcessID
}

// admit waits until an ask of a peer may be answered. Its first ask on a connection
// ends the connection that it had before, so that it gets one answer at a time. The
// result is false if the connection is to be closed.
func (p *Propagator) admit(ctx context.Context, a *asker, from mulberrybeam.ProcessID) bool {
	if !p.addAsker(ctx, a, from) {
		return false
	}
	p.mutex.Lock()
	next := a.admittedAt + minAskInterval
	p.mutex.Unlock()
	if !pauser.Pause(ctx, next-p.Now()) {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a.admittedAt = p.Now()
	return true
}

// addAsker makes the connection the only one of the peer. The result is false if it
// has ended, was replaced or belongs to another peer.
func (p *Propagator) addAsker(ctx context.Context, a *asker, from mulberrybeam.ProcessID) bool {
	p.mutex.Lock()
	key := askerKey{a.key.address, from}
	previous := p.askers[key]
	if a.removed || a.added {
		current := !a.removed && previous == a
		p.mutex.Unlock()
		return current
	}
	a.key, a.added, a.admittedAt = key, true, p.Now()
	p.askers[key] = a
	p.mutex.Unlock()
	if previous == nil {
		return true
	}
	_ = previous.conn.Close()
	select {
	case <-previous.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// removeAsker records that a connection has ended.
func (p *Propagator) removeAsker(a *asker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a.removed = true
	if p.askers[a.key] == a {
		delete(p.askers, a.key)
	}
	close(a.done)
}
