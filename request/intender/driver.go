package intender

import (
	"context"
	"time"

	"mulberrybeam"
)

// storeTimeout bounds the write of an outcome, so that a slow platform does
// not hold back the answer of a call that has run.
const storeTimeout = 2 * time.Second

// Codec turns records into object data and back.
type Codec struct {
	Encode func(Record) ([]byte, error)
	Decode func([]byte) (Record, error)
}

// Sender sends the call once at most. It must not send after notAfter in local
// monotonic time. Its error is a Failure whose NotRun is true only when the
// call surely did not run.
type Sender func(ctx context.Context, notAfter time.Duration) (mulberrybeam.ServiceAnswer, error)

// Driver runs attempts over the object API.
type Driver struct {
	Objects mulberrybeam.ObjectClient
	Codec   Codec
	// Clock is local monotonic time, Wall is wall time.
	Clock func() time.Duration
	Wall  func() time.Time
	// Live says whether an entry process is known to be alive.
	Live func(mulberrybeam.ProcessID) bool
}

// Run runs one attempt to its end. An error to send is part of the result.
func (d Driver) Run(ctx context.Context, call Call, send Sender) Finish {
	state, action := Begin(d.turn(), call)
	for {
		var event Event
		switch a := action.(type) {
		case CreateRecord:
			event = d.create(ctx, a)
		case ReadRecord:
			event = d.read(ctx, a)
		case SendCall:
			event = d.send(ctx, a, send)
		case WriteRecord:
			event = d.write(ctx, a)
		case DeleteRecord:
			event = d.delete(ctx, a)
		case Finish:
			return a
		}
		action = Step(d.turn(), &state, event)
	}
}

// Remove deletes the record of an attempt that never sent. It leaves records of
// other attempts and finished ones alone. It returns nil when there is nothing
// left to do.
func (d Driver) Remove(ctx context.Context, leftover Leftover) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := d.Objects.Get(ctx, mulberrybeam.ObjectIntent, leftover.Name)
	if codeOf(err) == mulberrybeam.CodeNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	record, err := d.Codec.Decode(object.Data)
	if err != nil || record.Attempt != leftover.Attempt || record.Progress != Open {
		return nil
	}
	err = d.Objects.Delete(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: leftover.Name, Version: object.Version})
	if code := codeOf(err); code == mulberrybeam.CodeNotFound || code == mulberrybeam.CodeConflict {
		return nil
	}
	return err
}

// ServiceSender returns a Sender that calls one target.
func ServiceSender(client mulberrybeam.ServiceClient, request mulberrybeam.ServiceRequest) Sender {
	return func(ctx context.Context, _ time.Duration) (mulberrybeam.ServiceAnswer, error) {
		return client.Call(ctx, request)
	}
}

func (d Driver) turn() mulberrybeam.Turn {
	return mulberrybeam.Turn{Now: d.Clock(), Wall: d.Wall()}
}

func (d Driver) create(ctx context.Context, action CreateRecord) Event {
	data, err := d.Codec.Encode(action.Record)
	if err != nil {
		return Created{Err: &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepIntent, Cause: err}}
	}
	object, err := d.Objects.Create(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: action.Name, Data: data})
	return Created{Version: object.Version, Err: err}
}

func (d Driver) read(ctx context.Context, action ReadRecord) Event {
	object, err := d.Objects.Get(ctx, mulberrybeam.ObjectIntent, action.Name)
	if err != nil {
		return Read{Err: err}
	}
	record, err := d.Codec.Decode(object.Data)
	if err != nil {
		return Read{Err: &mulberrybeam.Failure{Code: mulberrybeam.CodeInternal, Step: mulberrybeam.StepIntent, Peer: "platform", Cause: err}}
	}
	return Read{Record: record, Version: object.Version, HostLive: d.Live(record.Process)}
}

// send checks the window on the clock right before the call, since the process
// may have been paused after the decision.
func (d Driver) send(ctx context.Context, action SendCall, send Sender) Event {
	if d.Clock() >= action.NotAfter {
		return Answered{Err: refuse(mulberrybeam.CodeTimeout, "the call was not sent within "+SendWindow.String())}
	}
	answer, err := send(ctx, action.NotAfter)
	return Answered{Answer: answer, Err: err}
}

// write stores the outcome also when the caller has left.
func (d Driver) write(ctx context.Context, action WriteRecord) Event {
	data, err := d.Codec.Encode(action.Record)
	if err != nil {
		return Written{Err: err}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	_, err = d.Objects.Update(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: action.Name, Version: action.Version, Data: data})
	return Written{Err: err}
}

func (d Driver) delete(ctx context.Context, action DeleteRecord) Event {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	err := d.Objects.Delete(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: action.Name, Version: action.Version})
	return Written{Err: err}
}
