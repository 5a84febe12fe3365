// Package controller runs the control goroutine of an entry process, which is
// the event loop of its control plane. It passes events to the control state
// machines, runs the actions that they return, and publishes snapshots for the
// goroutines that handle requests.
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
	// tickInterval is the time between two mulberrybeam.Tick events.
	tickInterval = 100 * time.Millisecond
	// publishInterval is the shortest time between two snapshots. The cost of
	// building one is proportional to the number of targets and members.
	publishInterval = 50 * time.Millisecond
	// askLimit is how long a message waits for a machine's Reply before it
	// is dropped.
	askLimit = 5 * time.Second
	// signBacklog is the buffer size for events passed to Post. When the
	// buffer is full, further events are dropped and counted, so that
	// request handling never waits for the control goroutine.
	signBacklog = 4096
	// resultBacklog is the buffer size for results of actions and for events
	// passed to Deliver.
	resultBacklog = 256
)

// Controller owns the control goroutine. Its exported methods are safe for
// concurrent use.
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

	// Only the control goroutine uses the fields below. dirty is set when
	// the published snapshot is out of date.
	dirty       bool
	draining    bool
	published   time.Duration
	lastTicket  mulberrybeam.Ticket
	unanswered  map[mulberrybeam.Ticket]ask
	askedBefore map[mulberrybeam.Ticket]time.Duration
}

// ask is a message that waits for a Reply from a machine.
type ask struct {
	from    mulberrybeam.ProcessID
	message mulberrybeam.Message
	reply   chan mulberrybeam.Message
}

// result is an event with its recipient, which is the index of one machine or
// allMachines.
type result struct {
	machine int
	event   mulberrybeam.Event
}

// allMachines addresses an event to every machine.
const allMachines = -1

// New starts the control goroutine with the given machines. The returned
// function stops it, cancels running actions and waits for them to return.
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

// Snapshot returns the most recently published snapshot.
func (c *Controller) Snapshot() *mulberrybeam.Snapshot { return c.snapshot.Load() }

// Dropped returns the number of events that Post dropped because the buffer was
// full.
func (c *Controller) Dropped() uint64 { return c.dropped.Load() }

// Post queues an event for all machines. It never blocks: when the buffer is
// full, the event is dropped and counted.
func (c *Controller) Post(event mulberrybeam.Event) {
	select {
	case c.signs <- event:
	default:
		c.dropped.Add(1)
	}
}

// Deliver queues an event for all machines. It blocks while the buffer is full,
// until the controller stops. Use it for events that must not be lost.
func (c *Controller) Deliver(event mulberrybeam.Event) {
	c.deliver(result{allMachines, event})
}

// Ask passes a message from a peer, or from this process's own request
// handling, to the machines and returns their reply. It returns a Failure with
// CodeTimeout when ctx ends or the controller stops first.
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
		Message: "the control goroutine did not reply to the message",
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

// take runs one turn: it passes the event, and the events that machines raise
// in response, to the machines and publishes a snapshot if one is due.
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
