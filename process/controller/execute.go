package controller

import (
	"context"
	"time"

	"mulberrybeam"
)

const (
	// objectTimeout bounds one call to the object API, which answers within
	// milliseconds when it is healthy.
	objectTimeout = 2 * time.Second
	// observeTimeout bounds one poll of a target.
	observeTimeout = time.Second
	// orderTimeout bounds one order to an engine. Loading weights takes less
	// than half a second, but longer when more than two or three engines
	// load at the same time.
	orderTimeout = 30 * time.Second
	// defaultCallTimeout bounds a call to a peer if the action sets no
	// timeout.
	defaultCallTimeout = time.Second
)

// ObserveFunc polls a target for its load report and for the cache events after
// a sequence number.
type ObserveFunc func(ctx context.Context, target mulberrybeam.Target, after uint64) mulberrybeam.TargetObserved

// execute runs an action of a machine. Actions that do I/O run on worker
// goroutines. Their results go to the machine that returned the action, except
// that the result of an Observe goes to all machines.
func (c *Controller) execute(machine int, turn mulberrybeam.Turn, action mulberrybeam.Action) {
	switch action := action.(type) {
	case mulberrybeam.Call:
		c.runAsync(machine, func() mulberrybeam.Event { return c.call(turn.Now, action) })
	case mulberrybeam.CallObject:
		c.runAsync(machine, func() mulberrybeam.Event { return c.callObject(turn.Now, action) })
	case mulberrybeam.WatchObject:
		c.runAsync(machine, func() mulberrybeam.Event { return c.watchObject(machine, action) })
	case mulberrybeam.Observe:
		c.runAsync(allMachines, func() mulberrybeam.Event { return c.pollTarget(action) })
	case mulberrybeam.SendOrder:
		c.runAsync(machine, func() mulberrybeam.Event { return c.sendOrder(turn.Now, action) })
	case mulberrybeam.Reply:
		c.sendReply(action)
	case mulberrybeam.PublishSnapshot:
		c.dirty = true
	case mulberrybeam.RecordEntry:
		c.recordEntry(action.Entry)
	}
}

func (c *Controller) runAsync(machine int, job func() mulberrybeam.Event) {
	c.workers.Go(func() {
		c.deliver(machine, job())
	})
}

func (c *Controller) deliver(recipient int, event mulberrybeam.Event) {
	queue := c.deliveries
	switch LaneOf(event) {
	case LaneUrgent:
		queue = c.urgent
	case LaneTargets:
		queue = c.targets
	}
	item := delivery{recipient: recipient, event: event, queuedAt: c.now()}
	select {
	case queue <- item:
	case <-c.ctx.Done():
	}
}

func (c *Controller) call(sentAt time.Duration, call mulberrybeam.Call) mulberrybeam.Event {
	timeout := call.Timeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	event := mulberrybeam.ReplyReceived{From: call.To, Ticket: call.Ticket, SentAt: sentAt}
	event.Message, event.Err = c.peers.Call(ctx, call.Address, call.Message)
	return event
}

func (c *Controller) callObject(sentAt time.Duration, call mulberrybeam.CallObject) mulberrybeam.Event {
	ctx, cancel := context.WithTimeout(c.ctx, objectTimeout)
	defer cancel()
	event := mulberrybeam.ObjectReplied{Ticket: call.Ticket, SentAt: sentAt}
	switch call.Op {
	case mulberrybeam.OpGet:
		event.Object, event.Err = c.objects.Get(ctx, call.Object.Kind, call.Object.Name)
	case mulberrybeam.OpList:
		event.Items, event.Err = c.objects.List(ctx, call.Object.Kind)
	case mulberrybeam.OpCreate:
		event.Object, event.Err = c.objects.Create(ctx, call.Object)
	case mulberrybeam.OpUpdate:
		event.Object, event.Err = c.objects.Update(ctx, call.Object)
	case mulberrybeam.OpStatus:
		event.Object, event.Err = c.statuses.UpdateStatus(ctx, call.Object)
	case mulberrybeam.OpDelete:
		event.Err = c.objects.Delete(ctx, call.Object)
	default:
		event.Err = &mulberrybeam.Failure{
			Code:    mulberrybeam.CodeInternal,
			Step:    mulberrybeam.StepPlatform,
			Message: "operation " + string(call.Op) + " is not supported by CallObject",
			NotRun:  true,
		}
	}
	return event
}

func (c *Controller) watchObject(machine int, watch mulberrybeam.WatchObject) mulberrybeam.Event {
	changed := func(change mulberrybeam.ObjectChanged) {
		c.deliver(machine, change)
	}
	err := c.objects.Watch(c.ctx, watch.Kind, watch.Name, watch.Version, changed)
	return mulberrybeam.WatchEnded{Kind: watch.Kind, Name: watch.Name, Err: err}
}

func (c *Controller) pollTarget(observe mulberrybeam.Observe) mulberrybeam.Event {
	ctx, cancel := context.WithTimeout(c.ctx, observeTimeout)
	defer cancel()
	return c.observe(ctx, observe.Target, observe.After)
}

func (c *Controller) sendOrder(sentAt time.Duration, send mulberrybeam.SendOrder) mulberrybeam.Event {
	// The process may have been suspended since the machine returned the
	// action.
	if c.now() >= send.NotAfter {
		return mulberrybeam.OrderDone{Ticket: send.Ticket, Target: send.Target.ID, SentAt: sentAt, Err: &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepSend, Peer: string(send.Target.ID),
			Message: "the lease to send orders expired before the order was sent", NotRun: true,
		}}
	}
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	err := c.engines.Order(ctx, send.Target, send.Order)
	return mulberrybeam.OrderDone{Ticket: send.Ticket, Target: send.Target.ID, Err: err, SentAt: sentAt}
}

func (c *Controller) sendReply(reply mulberrybeam.Reply) {
	request, found := c.pending[reply.Ticket]
	if !found {
		return
	}
	delete(c.pending, reply.Ticket)
	delete(c.expiresAt, reply.Ticket)
	request.reply <- reply.Message
}

func (c *Controller) recordEntry(entry mulberrybeam.Entry) {
	if c.recorder == nil {
		return
	}
	if entry.Process == "" {
		entry.Process = c.self
	}
	c.recorder.Record(entry)
}
