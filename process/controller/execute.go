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
		c.work(machine, func() mulberrybeam.Event { return c.call(turn.Now, action) })
	case mulberrybeam.CallObject:
		c.work(machine, func() mulberrybeam.Event { return c.callObject(turn.Now, action) })
	case mulberrybeam.WatchObject:
		c.work(machine, func() mulberrybeam.Event { return c.watch(machine, action) })
	case mulberrybeam.Observe:
		c.work(allMachines, func() mulberrybeam.Event { return c.poll(action) })
	case mulberrybeam.SendOrder:
		c.work(machine, func() mulberrybeam.Event { return c.order(turn.Now, action) })
	case mulberrybeam.Reply:
		c.reply(action)
	case mulberrybeam.Publish:
		c.dirty = true
	case mulberrybeam.Note:
		c.note(action.Entry)
	}
}

func (c *Controller) work(machine int, job func() mulberrybeam.Event) {
	c.workers.Go(func() {
		c.deliver(result{machine, job()})
	})
}

func (c *Controller) deliver(outcome result) {
	select {
	case c.results <- outcome:
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
	answer := mulberrybeam.ReplyReceived{From: call.To, Ticket: call.Ticket, SentAt: sentAt}
	answer.Message, answer.Err = c.peers.Call(ctx, call.Address, call.Message)
	return answer
}

func (c *Controller) callObject(sentAt time.Duration, call mulberrybeam.CallObject) mulberrybeam.Event {
	ctx, cancel := context.WithTimeout(c.ctx, objectTimeout)
	defer cancel()
	answer := mulberrybeam.ObjectReplied{Ticket: call.Ticket, SentAt: sentAt}
	switch call.Op {
	case mulberrybeam.OpGet:
		answer.Object, answer.Err = c.objects.Get(ctx, call.Object.Kind, call.Object.Name)
	case mulberrybeam.OpList:
		answer.Items, answer.Err = c.objects.List(ctx, call.Object.Kind)
	case mulberrybeam.OpCreate:
		answer.Object, answer.Err = c.objects.Create(ctx, call.Object)
	case mulberrybeam.OpUpdate:
		answer.Object, answer.Err = c.objects.Update(ctx, call.Object)
	case mulberrybeam.OpDelete:
		answer.Err = c.objects.Delete(ctx, call.Object)
	default:
		answer.Err = &mulberrybeam.Failure{
			Code:    mulberrybeam.CodeInternal,
			Step:    mulberrybeam.StepPlatform,
			Message: "operation " + string(call.Op) + " is not supported by CallObject",
			NotRun:  true,
		}
	}
	return answer
}

func (c *Controller) watch(machine int, watch mulberrybeam.WatchObject) mulberrybeam.Event {
	changed := func(change mulberrybeam.ObjectChanged) {
		c.deliver(result{machine, change})
	}
	err := c.objects.Watch(c.ctx, watch.Kind, watch.Name, watch.Version, changed)
	return mulberrybeam.WatchEnded{Kind: watch.Kind, Name: watch.Name, Err: err}
}

func (c *Controller) poll(observe mulberrybeam.Observe) mulberrybeam.Event {
	ctx, cancel := context.WithTimeout(c.ctx, observeTimeout)
	defer cancel()
	return c.observe(ctx, observe.Target, observe.After)
}

func (c *Controller) order(sentAt time.Duration, send mulberrybeam.SendOrder) mulberrybeam.Event {
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

func (c *Controller) reply(reply mulberrybeam.Reply) {
	question, waiting := c.unanswered[reply.Ticket]
	if !waiting {
		return
	}
	delete(c.unanswered, reply.Ticket)
	delete(c.askedBefore, reply.Ticket)
	question.reply <- reply.Message
}

func (c *Controller) note(entry mulberrybeam.Entry) {
	if c.recorder == nil {
		return
	}
	if entry.Process == "" {
		entry.Process = c.self
	}
	c.recorder.Record(entry)
}
