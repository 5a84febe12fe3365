package propagator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/historykeeper"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/propagationencoder"
)

const (
	// idleTimeout closes connections on which no ask comes. Askers ask at least
	// every second.
	idleTimeout = 10 * time.Second
	// maxConnections limits the connections of askers.
	maxConnections = 256
	// maxAnswerBytes limits the changes in an answer. All that is kept of one kind fits.
	maxAnswerBytes = historykeeper.MaxBytes
	// smallAnswerBytes is the size of changes from which on an answer is large, and
	// maxLargeAnswers the number of large answers that are written at once. They limit
	// the memory for answers on a small host to about 8 MB, while a few hosts that read
	// slowly do not delay the small answers, which are nearly all. Of kinds with a
	// deadline nothing larger is sent: a follower with a link of 10 Mbit/s would need
	// seconds to send a large configuration to all its askers.
	smallAnswerBytes = 16 << 10
	maxLargeAnswers  = 4
	// minAskInterval is the time between two asks of a peer. Askers pause for askPause.
	minAskInterval = 10 * time.Millisecond
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
				p.answer(ctx, conn, host)
			}
		})
	}
}

// readAsk is an ask with the time at which it was read.
type readAsk struct {
	mulberrybeam.PropagationAsk
	at time.Duration
}

// answer answers the asks of a connection from an address.
func (p *Propagator) answer(ctx context.Context, conn net.Conn, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &asker{conn: conn, key: askerKey{address: address}, done: make(chan struct{})}
	defer p.removeAsker(a)
	asks := make(chan readAsk)
	go func() {
		defer cancel()
		p.readAsks(ctx, a, asks)
	}()
	// The connection is closed on return, which ends the goroutine.
	hold := time.NewTimer(holdTime)
	hold.Stop()
	first := true
	var pending *readAsk
	for {
		changed := p.nextChange()
		var states []mulberrybeam.PropagationState
		due := false
		if pending != nil {
			states, due, _ = p.states(*pending, smallAnswerBytes)
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
				if !p.changedStates(pending, states) {
					continue
				}
			case <-hold.C:
				if pending == nil {
					continue
				}
			}
		}
		hold.Stop()
		if p.write(ctx, conn, *pending) != nil {
			return
		}
		first, pending = false, nil
	}
}

// changedStates reports whether the asker must learn at once that a history changed:
// there are changes, or the store was lost.
func (p *Propagator) changedStates(pending *readAsk, earlier []mulberrybeam.PropagationState) bool {
	if pending == nil {
		return false
	}
	states, due, _ := p.states(*pending, smallAnswerBytes)
	for i := range states {
		due = due || states[i].Status == mulberrybeam.StatusLost && earlier[i].Status != mulberrybeam.StatusLost
	}
	return due
}

// states returns the states for an ask with at most maxBytes of changes, whether the
// asker must learn of any at once, and whether all of them fit. A kind whose changes do
// not fit has StatusUnknown, so that the asker asks for it again, or StatusAskStore if
// a deadline depends on it.
func (p *Propagator) states(ask readAsk, maxBytes int) (states []mulberrybeam.PropagationState, due, complete bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	states = make([]mulberrybeam.PropagationState, len(ask.Cursors))
	complete = true
	for i, cursor := range ask.Cursors {
		states[i] = mulberrybeam.PropagationState{Kind: cursor.Kind, Since: cursor.Version}
		state := p.kinds[cursor.Kind]
		if state == nil {
			continue
		}
		size := state.history.PendingBytes(cursor)
		switch {
		case state.policy.Bounded && size > min(maxBytes, smallAnswerBytes):
			states[i].Status = mulberrybeam.StatusAskStore
			due = true
			continue
		case size > maxBytes:
			due, complete = true, false
			continue
		}
		maxBytes -= size
		states[i] = state.history.Answer(cursor, ask.at)
		due = due || len(states[i].Changes) > 0 || !cursor.Probe && states[i].Status == mulberrybeam.StatusAskStore
	}
	return states, due, complete
}

// validate rejects an ask that has a kind twice or one that this host does not
// follow.
func (p *Propagator) validate(ask mulberrybeam.PropagationAsk) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	asked := map[mulberrybeam.ObjectKind]bool{}
	for _, cursor := range ask.Cursors {
		_, passedOn := p.Policies[cursor.Kind]
		if !passedOn && p.kinds[cursor.Kind] == nil {
			return fmt.Errorf("unknown kind %q", cursor.Kind)
		}
		if asked[cursor.Kind] {
			return fmt.Errorf("kind %s is asked for twice", cursor.Kind)
		}
		asked[cursor.Kind] = true
	}
	return nil
}

// nextChange returns a channel that is closed when a history changes.
func (p *Propagator) nextChange() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// write answers an ask. A large answer is built only when few others are being
// written. If that takes too long, the changes that fit a small answer are sent.
func (p *Propagator) write(ctx context.Context, conn net.Conn, ask readAsk) error {
	states, _, complete := p.states(ask, smallAnswerBytes)
	if !complete {
		timer := time.NewTimer(holdTime)
		defer timer.Stop()
		select {
		case p.largeAnswers <- struct{}{}:
			defer func() { <-p.largeAnswers }()
			states, _, _ = p.states(ask, maxAnswerBytes)
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return propagationencoder.WriteAnswer(conn, mulberrybeam.PropagationAnswer{ID: ask.ID, States: states})
}

// readAsks passes the asks of a connection on until it fails. Asks that come too fast
// wait.
func (p *Propagator) readAsks(ctx context.Context, a *asker, asks chan<- readAsk) {
	for {
		if a.conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		ask, err := propagationencoder.ReadAsk(a.conn)
		if err != nil {
			return
		}
		at := p.Now()
		if !p.admit(ctx, a, ask.From) {
			return
		}
		if err := p.validate(ask); err != nil {
			p.OnEvent(string(ask.From), "ask rejected: "+err.Error())
			return
		}
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
			state.invalidate("this host was asked to follow it")
		}
	}
	p.demandedUntil = now + demandTime
}
