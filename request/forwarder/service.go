package forwarder

import (
	"context"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/request/intender"
)

const (
	// leftoverQueueSize is the capacity of the queue of intent records to
	// remove.
	leftoverQueueSize = 256
	removeInterval    = time.Second
	maxRemovalTries   = 60
)

// Result is the result of a service call.
type Result struct {
	Answer mulberrybeam.ServiceAnswer
	// Replayed is true if Answer is the stored response to an earlier call
	// with the same idempotency key. BodyOmitted is true if its body, of
	// BodyBytes, was too large to be stored.
	Replayed    bool
	BodyOmitted bool
	BodyBytes   int
}

// Call runs a service call. A non-repeatable call runs at most once per
// idempotency key. Errors are Failures.
func (f *Forwarder) Call(ctx context.Context, request *mulberrybeam.Request) (Result, error) {
	ctx, cancel := f.withDeadline(ctx, request)
	defer cancel()
	r, release, err := f.admit(ctx, request)
	if err != nil {
		return Result{}, err
	}
	defer release()
	snapshot := f.Snapshot()
	call := snapshot.Tables.Calls[request.Service][request.Call]
	if !request.Repeatable {
		return f.callOnce(ctx, snapshot, r, call)
	}
	answer, failure := f.callService(ctx, r, call)
	if failure != nil {
		return Result{}, failure
	}
	return Result{Answer: answer}, nil
}

// callOnce runs a non-repeatable call, protected by an intent record. It
// continues after the caller disconnects, so that the outcome is stored.
func (f *Forwarder) callOnce(ctx context.Context, snapshot *mulberrybeam.Snapshot, r *run, call mulberrybeam.ServiceCall) (Result, error) {
	ctx, cancel := f.withDeadline(context.WithoutCancel(ctx), r.request)
	defer cancel()
	attempt, err := uuid.NewV7()
	if err != nil {
		return Result{}, f.recordRefusal(r.request, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepIntent, Message: "cannot generate an attempt ID", NotRun: true, Cause: err,
		})
	}
	outcome := f.intentDriver().Run(ctx, intender.Call{
		Workspace: r.request.Workspace, Service: r.request.Service, Name: r.request.Call,
		Key: r.request.IdempotencyKey, BodyHash: bodyHash(r.request), Attempt: attempt.String(),
		Process: snapshot.Self, Timeout: call.Timeout, Retention: snapshot.Tables.Environment.Limits.IdempotencyRetention,
	}, func(ctx context.Context, notAfter time.Duration) (mulberrybeam.ServiceAnswer, error) {
		r.sendDeadline = min(r.sendDeadline, notAfter)
		answer, failure := f.callService(ctx, r, call)
		if failure != nil {
			return answer, failure
		}
		return answer, nil
	})
	if outcome.Orphaned != nil {
		f.queueRemoval(leftover{record: *outcome.Orphaned})
	}
	switch {
	case outcome.Answer != nil:
		return Result{Answer: *outcome.Answer}, nil
	case outcome.Replayed != nil:
		stored := outcome.Replayed
		f.recordEvent(mulberrybeam.EntryIntent, r.request, string(r.request.Service), "stored outcome returned")
		return Result{
			Answer:   mulberrybeam.ServiceAnswer{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body},
			Replayed: true, BodyOmitted: stored.BodyOmitted, BodyBytes: stored.BodyBytes,
		}, nil
	}
	f.recordEvent(mulberrybeam.EntryIntent, r.request, string(r.request.Service), outcome.Failure.Error())
	return Result{}, outcome.Failure
}

func (f *Forwarder) intentDriver() intender.Driver {
	return intender.Driver{Objects: f.Objects, Codec: f.Codec, Clock: f.Clock, Wall: f.Wall, Live: f.isLive}
}

// leftover is an intent record to remove, with the number of removals tried.
type leftover struct {
	record intender.OrphanedRecord
	tries  int
}

// queueRemoval queues an intent record for removal. If the queue is full, the
// record stays and its idempotency key remains blocked, which is safe.
func (f *Forwarder) queueRemoval(item leftover) {
	select {
	case f.leftovers <- item:
	default:
	}
}

// removalLoop removes leftover records, at most one per second, so that the
// end of a platform outage does not cause a burst of calls.
func (f *Forwarder) removalLoop(ctx context.Context) {
	for {
		select {
		case item := <-f.leftovers:
			if !pauser.Pause(ctx, removeInterval) {
				return
			}
			if item.tries++; f.intentDriver().Remove(ctx, item.record) != nil && item.tries < maxRemovalTries {
				f.queueRemoval(item)
			}
		case <-ctx.Done():
			return
		}
	}
}

// callService tries targets until one responds or no retry is allowed.
func (f *Forwarder) callService(ctx context.Context, r *run, call mulberrybeam.ServiceCall) (mulberrybeam.ServiceAnswer, *mulberrybeam.Failure) {
	var answer mulberrybeam.ServiceAnswer
	failure := f.tryTargets(ctx, r, func(a *attempt) (failure *mulberrybeam.Failure) {
		if failure := f.beginSend(ctx, r, a); failure != nil {
			return failure
		}
		defer func() { f.endSend(ctx, r, a, failure) }()
		callCtx, cancel := ctx, context.CancelFunc(func() {})
		if call.Timeout > 0 {
			callCtx, cancel = context.WithTimeout(ctx, call.Timeout)
		}
		defer cancel()
		response, err := f.Services.Call(callCtx, mulberrybeam.ServiceRequest{Request: r.request, Target: a.target, Instance: a.instance, Attempt: a.number})
		if err != nil {
			return failureOf(err)
		}
		a.firstToken = max(1, f.Clock()-a.sentAt)
		f.reportInstance(a, response.Instance)
		f.recordCompletion(r, a, "service call completed", mulberrybeam.RequestStats{})
		answer = response
		return nil
	})
	return answer, failure
}

// isLive reports whether an entry process is known to be alive.
func (f *Forwarder) isLive(process mulberrybeam.ProcessID) bool {
	snapshot := f.Snapshot()
	if process == snapshot.Self {
		return true
	}
	for _, members := range [][]mulberrybeam.Member{snapshot.Members, snapshot.Relays} {
		for _, member := range members {
			if member.ID == process {
				return member.State == mulberrybeam.MemberAlive || member.State == mulberrybeam.MemberLeaving
			}
		}
	}
	return false
}
