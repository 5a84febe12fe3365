// Package controller runs the control goroutine of an entry process. It
// feeds events to the control state machines, runs the actions that they
// return, and publishes snapshots for traffic.
package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
)

const (
	// tickInterval is the period of mulberrybeam.Tick.
	tickInterval = 100 * time.Millisecond
	// publishInterval bounds how often snapshots are built, since building
	// one costs time in proportion to the targets and members.
	publishInterval = 50 * time.Millisecond
	// askLimit is how long an unanswered message is kept.
	askLimit = 5 * time.Second
	// signBacklog bounds the events of traffic that wait for control. More
	// are dropped and counted, so that traffic never waits for control.
	signBacklog = 4096
	// resultBacklog is the buffer for results of actions.
	resultBacklog = 256
)

// Controller owns the control goroutine. Its methods may be called from any
// goroutine.
type Controller struct {
	dependencies
	machines []mulberrybeam.Machine

	snapshot atomic.Pointer[mulberrybeam.Snapshot]
	dropped  atomic.Uint64
	signs    chan mulberrybeam.Event
	asks     chan ask
	results  chan result
	ctx      context.Context
	workers  sync.WaitGroup

	// The fields below belong to the control goroutine.
	dirty       bool
	draining    bool
	published   time.Duration
	lastTicket  mulberrybeam.Ticket
	unanswered  map[mulberrybeam.Ticket]ask
	askedBefore map[mulberrybeam.Ticket]time.Duration
}

// ask is a message that waits for a machine's Reply.
type ask struct {
	from    mulberrybeam.ProcessID
	message mulberrybeam.Message
	reply   chan mulberrybeam.Message
}

// result is an event for the machine that asked for it, or for all.
type result struct {
	machine int
	event   mulberrybeam.Event
}

// allMachines as the machine of a result delivers it to every machine.
const allMachines = -1

// New starts the control goroutine over the machines. The clean-up function
// stops it, cancels the actions that still run and waits for them.
func New(machines []mulberrybeam.Machine, options ...Option) (*Controller, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		dependencies: defaults(),
		machines:     machines,
		signs:        make(chan mulberrybeam.Event, signBacklog),
		asks:         make(chan ask),
		results:      make(chan result, resultBacklog),
		ctx:          ctx,
		unanswered:   map[mulberrybeam.Ticket]ask{},
		askedBefore:  map[mulberrybeam.Ticket]time.Duration{},
	}
	for _, option := range options {
		option(&c.dependencies)
	}
	c.publish(c.turn())
	c.workers.Go(c.run)
	return c, func() {
		cancel()
		c.workers.Wait()
	}
}

// Snapshot returns the latest published snapshot.
func (c *Controller) Snapshot() *mulberrybeam.Snapshot { return c.snapshot.Load() }

// Dropped counts the events of traffic that found the backlog full.
func (c *Controller) Dropped() uint64 { return c.dropped.Load() }

// Post hands an event of traffic to control. It never blocks; when the
// backlog is full the event is dropped and counted.
func (c *Controller) Post(event mulberrybeam.Event) {
	select {
	case c.signs <- event:
	default:
		c.dropped.Add(1)
	}
}

// Deliver hands an event to control and waits until it is taken or the
// controller stops. It is for sources whose events must not be lost.
func (c *Controller) Deliver(event mulberrybeam.Event) {
	c.deliver(result{allMachines, event})
}

// Ask gives a message of a peer, or of this process's own traffic, to the
// machines and returns their reply. It returns a Failure with CodeTimeout
// when ctx ends first.
func (c *Controller) Ask(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	question := ask{from: from, message: message, reply: make(chan mulberrybeam.Message, 1)}
	select {
	case c.asks <- question:
	case <-ctx.Done():
		return nil, askFailure(ctx.Err())
	case <-c.ctx.Done():
		return nil, askFailure(c.ctx.Err())
	}
	select {
	case reply := <-question.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, askFailure(ctx.Err())
	case <-c.ctx.Done():
		return nil, askFailure(c.ctx.Err())
	}
}

func askFailure(cause error) error {
	return &mulberrybeam.Failure{
		Code:    mulberrybeam.CodeTimeout,
		Step:    mulberrybeam.StepPeer,
		Message: "control did not answer the message",
		Cause:   cause,
	}
}

func (c *Controller) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.forgetOldAsks()
			c.take(result{allMachines, mulberrybeam.Tick{}})
		case event := <-c.signs:
			c.take(result{allMachines, event})
		case question := <-c.asks:
			c.take(result{allMachines, c.receive(question)})
		case outcome := <-c.results:
			c.take(outcome)
		}
	}
}

// take runs one turn: the event and the events that machines raise.
func (c *Controller) take(first result) {
	turn := c.turn()
	queue := []result{first}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		queue = append(queue, c.step(turn, next)...)
	}
	if c.dirty && turn.Now-c.published >= publishInterval {
		c.publish(turn)
	}
}

func (c *Controller) step(turn mulberrybeam.Turn, next result) []result {
	if _, shutdown := next.event.(mulberrybeam.ShutdownAsked); shutdown {
		c.draining = true
		c.dirty = true
	}
	var raised []result
	for i, machine := range c.machines {
		if next.machine != allMachines && next.machine != i {
			continue
		}
		for _, action := range machine.Step(turn, next.event) {
			if raise, ok := action.(mulberrybeam.Raise); ok {
				raised = append(raised, result{allMachines, raise.Event})
				continue
			}
			c.execute(i, turn, action)
		}
	}
	return raised
}

func (c *Controller) turn() mulberrybeam.Turn {
	return mulberrybeam.Turn{Now: c.now(), Wall: c.wall(), Rand: c.rand}
}

func (c *Controller) publish(turn mulberrybeam.Turn) {
	snapshot := &mulberrybeam.Snapshot{
		At:       turn.Now,
		Self:     c.self,
		Zone:     c.zone,
		Draining: c.draining,
	}
	for _, machine := range c.machines {
		machine.Fill(snapshot)
	}
	c.snapshot.Store(snapshot)
	c.dirty = false
	c.published = turn.Now
}

func (c *Controller) receive(question ask) mulberrybeam.Event {
	c.lastTicket++
	c.unanswered[c.lastTicket] = question
	c.askedBefore[c.lastTicket] = c.now() + askLimit
	return mulberrybeam.MessageReceived{From: question.from, Message: question.message, Ticket: c.lastTicket}
}

func (c *Controller) forgetOldAsks() {
	now := c.now()
	for ticket, limit := range c.askedBefore {
		if now >= limit {
			delete(c.unanswered, ticket)
			delete(c.askedBefore, ticket)
		}
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
