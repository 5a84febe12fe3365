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
	// requestTTL is how long a message waits for a machine's Reply before it
	// is dropped.
	requestTTL = 5 * time.Second
	// postBacklog is the buffer size for events passed to Post. When the
	// buffer is full, further events are dropped and counted, so that
	// request handling never waits for the control goroutine.
	postBacklog = 4096
	// deliveryBacklog is the buffer size for results of actions and for events
	// passed to Deliver, in each lane.
	deliveryBacklog = 256
)

// Controller owns the control goroutine. Its exported methods are safe for
// concurrent use.
type Controller struct {
	dependencies
	machines []mulberrybeam.StateMachine

	snapshot   atomic.Pointer[mulberrybeam.Snapshot]
	dropped    atomic.Uint64
	urgent     chan delivery
	targets    chan delivery
	posted     chan delivery
	requests   chan pendingRequest
	deliveries chan delivery
	ctx        context.Context
	workers    sync.WaitGroup

	// Only the control goroutine uses the fields below. dirty is set when
	// the published snapshot is out of date.
	dirty       bool
	draining    bool
	publishedAt time.Duration
	lastTicket  mulberrybeam.Ticket
	pending     map[mulberrybeam.Ticket]pendingRequest
	expiresAt   map[mulberrybeam.Ticket]time.Duration
}

// pendingRequest is a message that waits for a Reply from a machine.
type pendingRequest struct {
	from    mulberrybeam.ProcessID
	message mulberrybeam.Message
	reply   chan mulberrybeam.Message
}

// allMachines addresses an event to every machine.
const allMachines = -1

// New starts the control goroutine with the given machines. The returned
// function stops it, cancels running actions and waits for them to return.
func New(machines []mulberrybeam.StateMachine, options ...Option) (*Controller, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		dependencies: defaultDependencies(),
		machines:     machines,
		urgent:       make(chan delivery, deliveryBacklog),
		targets:      make(chan delivery, deliveryBacklog),
		posted:       make(chan delivery, postBacklog),
		requests:     make(chan pendingRequest),
		deliveries:   make(chan delivery, deliveryBacklog),
		ctx:          ctx,
		pending:      map[mulberrybeam.Ticket]pendingRequest{},
		expiresAt:    map[mulberrybeam.Ticket]time.Duration{},
	}
	for _, option := range options {
		option(&c.dependencies)
	}
	c.publish(c.newTurn())
	c.workers.Go(c.run)
	return c, func() {
		cancel()
		c.workers.Wait()
	}
}

// Snapshot returns the most recently published snapshot.
func (c *Controller) Snapshot() *mulberrybeam.Snapshot { return c.snapshot.Load() }

// DroppedEvents returns the number of events that Post dropped because the buffer was
// full.
func (c *Controller) DroppedEvents() uint64 { return c.dropped.Load() }

// Post queues an event for all machines. It never blocks: when the buffer is
// full, the event is dropped and counted.
func (c *Controller) Post(event mulberrybeam.Event) {
	select {
	case c.posted <- delivery{recipient: allMachines, event: event, queuedAt: c.now()}:
	default:
		c.dropped.Add(1)
	}
}

// Deliver queues an event for all machines. It blocks while the buffer is full,
// until the controller stops. Use it for events that must not be lost.
func (c *Controller) Deliver(event mulberrybeam.Event) {
	c.deliver(allMachines, event)
}

// Ask passes a message from a peer, or from this process's own request
// handling, to the machines and returns their reply. It returns a Failure with
// CodeTimeout when ctx ends or the controller stops first.
func (c *Controller) Ask(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	request := pendingRequest{from: from, message: message, reply: make(chan mulberrybeam.Message, 1)}
	select {
	case c.requests <- request:
	case <-ctx.Done():
		return nil, noReplyFailure(ctx.Err())
	case <-c.ctx.Done():
		return nil, noReplyFailure(c.ctx.Err())
	}
	select {
	case reply := <-request.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, noReplyFailure(ctx.Err())
	case <-c.ctx.Done():
		return nil, noReplyFailure(c.ctx.Err())
	}
}

func noReplyFailure(cause error) error {
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
	for c.ctx.Err() == nil {
		if c.processFirst(c.urgent, LaneUrgent) || c.processFirst(c.targets, LaneTargets) {
			continue
		}
		select {
		case <-c.ctx.Done():
		case <-ticker.C:
			c.expireRequests()
			c.processTurn(delivery{recipient: allMachines, event: mulberrybeam.Tick{}})
		case next := <-c.urgent:
			c.processWaiting(next, LaneUrgent)
		case next := <-c.targets:
			c.processWaiting(next, LaneTargets)
		case next := <-c.posted:
			c.processWaiting(next, LanePosted)
		case request := <-c.requests:
			c.processTurn(delivery{recipient: allMachines, event: c.addRequest(request)})
		case next := <-c.deliveries:
			c.processWaiting(next, LaneDelivered)
		}
	}
}

// processFirst processes the first event of a lane. It returns false if none waits.
func (c *Controller) processFirst(queue <-chan delivery, lane Lane) bool {
	select {
	case next := <-queue:
		c.processWaiting(next, lane)
		return true
	default:
		return false
	}
}

func (c *Controller) processWaiting(next delivery, lane Lane) {
	c.observeWait(lane, c.now()-next.queuedAt)
	c.processTurn(next)
}

// processTurn runs one turn: it passes the event, and the events that machines
// emit in response, to the machines and publishes a snapshot if one is due.
func (c *Controller) processTurn(first delivery) {
	turn := c.newTurn()
	queue := []delivery{first}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		queue = append(queue, c.stepMachines(turn, next)...)
	}
	if c.dirty && turn.Now-c.publishedAt >= publishInterval {
		c.publish(turn)
	}
}

func (c *Controller) stepMachines(turn mulberrybeam.Turn, next delivery) []delivery {
	if _, shutdown := next.event.(mulberrybeam.ShutdownRequested); shutdown {
		c.draining = true
		c.dirty = true
	}
	var emitted []delivery
	for i, machine := range c.machines {
		if next.recipient != allMachines && next.recipient != i {
			continue
		}
		for _, action := range machine.Step(turn, next.event) {
			if emit, ok := action.(mulberrybeam.EmitEvent); ok {
				emitted = append(emitted, delivery{recipient: allMachines, event: emit.Event})
				continue
			}
			c.execute(i, turn, action)
		}
	}
	return emitted
}

func (c *Controller) newTurn() mulberrybeam.Turn {
	return mulberrybeam.Turn{Now: c.now(), Wall: c.wallTime(), Rand: c.rand}
}

func (c *Controller) publish(turn mulberrybeam.Turn) {
	snapshot := &mulberrybeam.Snapshot{
		At:       turn.Now,
		Self:     c.self,
		Zone:     c.zone,
		Draining: c.draining,
	}
	for _, machine := range c.machines {
		machine.FillSnapshot(snapshot)
	}
	c.snapshot.Store(snapshot)
	c.dirty = false
	c.publishedAt = turn.Now
}

func (c *Controller) addRequest(request pendingRequest) mulberrybeam.Event {
	c.lastTicket++
	c.pending[c.lastTicket] = request
	c.expiresAt[c.lastTicket] = c.now() + requestTTL
	return mulberrybeam.MessageReceived{From: request.from, Message: request.message, Ticket: c.lastTicket}
}

func (c *Controller) expireRequests() {
	now := c.now()
	for ticket, expiry := range c.expiresAt {
		if now >= expiry {
			delete(c.pending, ticket)
			delete(c.expiresAt, ticket)
		}
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
