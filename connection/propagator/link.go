package propagator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/propagationencoder"
)

const (
	// connectTimeout limits the time in which a connection to a follower opens, and
	// writeTimeout the time in which a message is written.
	connectTimeout = 500 * time.Millisecond
	writeTimeout   = 2 * time.Second
	// askPause is the pause between an answer and the next ask, in which the feeds
	// that took changes come back.
	askPause = 20 * time.Millisecond
	// uselessTime is how long a follower may confirm nothing before another one is
	// asked. A host that was not a follower needs its calls in progress to end.
	uselessTime = 6 * time.Second
	// stableTime is how long a link must last for the next one to open at once.
	stableTime = 10 * time.Second
	// minLinkDelay and maxLinkDelay limit the pause before the next link.
	minLinkDelay = 100 * time.Millisecond
	maxLinkDelay = 5 * time.Second
	// spareLinkTime is how long a host other than the first choice is asked before that
	// is tried again.
	spareLinkTime = 30 * time.Second
	// planInterval is how long a plan is used before Config.Plan is called again, and
	// the pause of Run while there is no host to ask.
	planInterval = time.Second
)

var (
	errSilent      = errors.New("no answer in time")
	errUseless     = errors.New("no confirmation in time")
	errPlanChanged = errors.New("another host is to be asked")
)

// Run keeps a link to a follower until ctx ends.
func (p *Propagator) Run(ctx context.Context) {
	delay := minLinkDelay
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sources := p.sources()
		if len(sources) == 0 {
			attempt = -1
			pauser.Pause(ctx, planInterval)
			continue
		}
		index := attempt % len(sources)
		startedAt := p.Now()
		err := p.ask(ctx, sources[index], index)
		p.invalidateAll(err)
		if ctx.Err() == nil {
			p.OnEvent(string(sources[index].ID), fmt.Sprintf("stopped asking the host for the store's changes after %v: %v", p.Now()-startedAt, err))
		}
		if p.Now()-startedAt >= stableTime {
			attempt, delay = -1, minLinkDelay
		}
		pauser.Pause(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxLinkDelay)
	}
}

// sources returns the hosts to ask, or none if this host follows the store.
func (p *Propagator) sources() []mulberrybeam.EntryHost {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.Now()
	if plan := p.currentPlan(now); plan.Active && !p.follows(now) {
		return plan.Sources
	}
	return nil
}

// invalidateAll makes all kinds that rely on followers ask the store.
func (p *Propagator) invalidateAll(reason error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, state := range p.kinds {
		state.invalidate(reason.Error())
	}
}

// link is a connection to a follower. Only the goroutine of Run uses it.
type link struct {
	conn net.Conn
	// asks are the asks since the last answer by ID.
	asks map[uint64]sentAsk
	last sentAsk
	id   uint64
	// acceptedAt is when a state was accepted last.
	acceptedAt time.Duration
	announced  bool
}

// sentAsk is an ask that was sent at the time at.
type sentAsk struct {
	at     time.Duration
	probes map[mulberrybeam.ObjectKind]bool
}

// ask asks one host until it fails or another one is to be asked. It returns the
// reason.
func (p *Propagator) ask(ctx context.Context, source mulberrybeam.EntryHost, index int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, connectTimeout)
	conn, err := p.Dial(dialCtx, source.Address)
	cancelDial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	answers, failed := make(chan mulberrybeam.PropagationAnswer), make(chan error, 1)
	go readAnswers(ctx, conn, answers, failed)
	l := &link{conn: conn, asks: map[uint64]sentAsk{}, acceptedAt: p.Now()}
	openedAt := p.Now()
	silence := time.NewTimer(silenceTime)
	defer silence.Stop()
	for {
		if err := p.sendAsk(l); err != nil {
			return err
		}
		err := p.awaitAnswer(ctx, l, source, answers, failed, silence)
		switch {
		case err != nil:
			return err
		case p.Now()-l.acceptedAt > uselessTime:
			return errUseless
		case !p.stillAsks(source) || index > 0 && p.Now()-openedAt > spareLinkTime:
			return errPlanChanged
		}
	}
}

// awaitAnswer waits until the next ask is due: after an answer, or when a kind must
// be asked for that the last ask did not have.
func (p *Propagator) awaitAnswer(ctx context.Context, l *link, source mulberrybeam.EntryHost, answers <-chan mulberrybeam.PropagationAnswer, failed <-chan error, silence *time.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-silence.C:
			return errSilent
		case <-p.askNow:
			if !p.lacksKind(l) {
				continue
			}
			pauser.Pause(ctx, askPause)
			return nil
		case answer := <-answers:
			pause := askPause
			if !p.applyAnswer(l, source, answer) {
				pause = holdTime
			}
			pauser.Pause(ctx, pause)
			silence.Reset(silenceTime)
			return nil
		}
	}
}

// sendAsk asks for all kinds that have been listed.
func (p *Propagator) sendAsk(l *link) error {
	l.id++
	ask := mulberrybeam.PropagationAsk{ID: l.id, From: p.Self}
	l.last = sentAsk{probes: map[mulberrybeam.ObjectKind]bool{}}
	p.mutex.Lock()
	for kind, state := range p.kinds {
		if state.policy.MaxAge == 0 || state.version == "" {
			continue
		}
		probe := state.waiter == nil
		l.last.probes[kind] = probe
		ask.Cursors = append(ask.Cursors, mulberrybeam.PropagationCursor{Kind: kind, Version: state.version, Probe: probe})
	}
	p.mutex.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	l.last.at = p.Now()
	l.asks[l.id] = l.last
	return propagationencoder.WriteAsk(l.conn, ask)
}

// lacksKind reports whether a call waits for a kind that the last ask did not ask
// changes of.
func (p *Propagator) lacksKind(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for kind, state := range p.kinds {
		if probe, asked := l.last.probes[kind]; state.waiter != nil && (!asked || probe) {
			return true
		}
	}
	return false
}

// applyAnswer passes an answer to the kinds. It reports false if it has changes
// that cannot be used.
func (p *Propagator) applyAnswer(l *link, source mulberrybeam.EntryHost, answer mulberrybeam.PropagationAnswer) bool {
	sent, known := l.asks[answer.ID]
	if !known {
		return false
	}
	for id := range l.asks {
		if id <= answer.ID {
			delete(l.asks, id)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	used := true
	now := p.Now()
	for _, told := range answer.States {
		state, known := p.kinds[told.Kind]
		probe, asked := sent.probes[told.Kind]
		if !known || !asked {
			continue
		}
		used = p.accept(state, told, probe, sent.at) && used
		if state.policy.Bounded && state.check.Usable(now) {
			l.acceptedAt = now
			if !l.announced {
				l.announced = true
				p.OnEvent(string(source.ID), "asks the host for the store's changes, at "+source.Address)
			}
		}
	}
	return used
}

// stillAsks reports whether the host is to be asked by the current plan.
func (p *Propagator) stillAsks(host mulberrybeam.EntryHost) bool {
	return slices.Contains(p.sources(), host)
}

// readAnswers passes the answers of a connection on until it fails.
func readAnswers(ctx context.Context, conn net.Conn, answers chan<- mulberrybeam.PropagationAnswer, failed chan<- error) {
	for {
		answer, err := propagationencoder.ReadAnswer(conn)
		if err != nil {
			failed <- err
			return
		}
		select {
		case answers <- answer:
		case <-ctx.Done():
			return
		}
	}
}
