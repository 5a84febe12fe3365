package propagator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/propagationencoder"
)

const (
	// idleTimeout closes connections on which no ask comes. Askers ask at least
	// every second.
	idleTimeout = 10 * time.Second
	// maxConnections limits the connections of askers.
	maxConnections = 256
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve answers the asks of other hosts. The returned function stops it and closes
// the listener.
func (p *Propagator) Serve(listener net.Listener) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { p.serve(ctx, listener, &workers) })
	return func() {
		cancel()
		_ = listener.Close()
		workers.Wait()
	}
}

// serve accepts connections of peers until ctx ends.
func (p *Propagator) serve(ctx context.Context, listener net.Listener, workers *sync.WaitGroup) {
	slots := make(chan struct{}, maxConnections)
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			pauser.Pause(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		workers.Go(func() {
			defer func() { <-slots }()
			defer func() { _ = conn.Close() }()
			if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil && p.IsPeer(host) {
				p.answer(ctx, conn)
			}
		})
	}
}

// readAsk is an ask with the time at which it was read.
type readAsk struct {
	mulberrybeam.PropagationAsk
	at time.Duration
}

// answer answers the asks of a connection.
func (p *Propagator) answer(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asks := make(chan readAsk)
	go func() {
		defer cancel()
		p.readAsks(ctx, conn, asks)
	}()
	// The connection is closed on return, which ends the goroutine.
	hold := time.NewTimer(0)
	<-hold.C
	first := true
	var pending *readAsk
	for {
		changed := p.nextChange()
		var states []mulberrybeam.PropagationState
		due := false
		if pending != nil {
			states, due = p.states(*pending)
			due = due || first
		}
		if !due {
			select {
			case <-ctx.Done():
				return
			case ask := <-asks:
				if pending == nil {
					hold.Reset(holdTime)
				}
				pending = &ask
				continue
			case <-changed:
				if states, due = p.changedStates(pending, states); !due {
					continue
				}
			case <-hold.C:
				if pending == nil {
					continue
				}
				states, _ = p.states(*pending)
			}
		}
		hold.Stop()
		if err := p.write(conn, mulberrybeam.PropagationAnswer{ID: pending.ID, States: states}); err != nil {
			return
		}
		first, pending = false, nil
	}
}

// changedStates returns the states after a history changed, and whether the asker
// must learn of them at once: there are changes, or the store was lost.
func (p *Propagator) changedStates(pending *readAsk, earlier []mulberrybeam.PropagationState) ([]mulberrybeam.PropagationState, bool) {
	if pending == nil {
		return nil, false
	}
	states, due := p.states(*pending)
	for i := range states {
		due = due || states[i].Status == mulberrybeam.StatusLost && earlier[i].Status != mulberrybeam.StatusLost
	}
	return states, due
}

// states returns the states for an ask, and whether there are changes.
func (p *Propagator) states(ask readAsk) ([]mulberrybeam.PropagationState, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	states := make([]mulberrybeam.PropagationState, len(ask.Cursors))
	due := false
	for i, cursor := range ask.Cursors {
		states[i] = mulberrybeam.PropagationState{Kind: cursor.Kind, Since: cursor.Version}
		if state := p.kinds[cursor.Kind]; state != nil {
			states[i] = state.history.Answer(cursor, ask.at)
		}
		due = due || len(states[i].Changes) > 0
	}
	return states, due
}

// nextChange returns a channel that is closed when a history changes.
func (p *Propagator) nextChange() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

func (*Propagator) write(conn net.Conn, answer mulberrybeam.PropagationAnswer) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return propagationencoder.WriteAnswer(conn, answer)
}

// readAsks passes the asks of a connection on until it fails.
func (p *Propagator) readAsks(ctx context.Context, conn net.Conn, asks chan<- readAsk) {
	for {
		if conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		ask, err := propagationencoder.ReadAsk(conn)
		if err != nil {
			return
		}
		at := p.Now()
		p.demand(ask.From, at)
		select {
		case asks <- readAsk{ask, at}:
		case <-ctx.Done():
			return
		}
	}
}

// demand makes this host follow the store because it was asked.
func (p *Propagator) demand(from mulberrybeam.ProcessID, now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.follows(now) {
		p.OnEvent(string(p.Self), fmt.Sprintf("follows the store for other hosts, asked by %s", from))
		for _, state := range p.kinds {
			state.doubt()
		}
	}
	p.demandedUntil = now + demandTime
}
