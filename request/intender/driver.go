package intender

import (
	"context"
	"time"

	"mulberrybeam"
)

// recordTimeout bounds the write of an outcome and the deletion of a record, so
// that a slow platform does not delay the answer of a call that has run.
const recordTimeout = 2 * time.Second

// Codec encodes records as object data and decodes them.
type Codec struct {
	Encode func(Record) ([]byte, error)
	Decode func([]byte) (Record, error)
}

// Sender sends the call at most once, and not after notAfter in local monotonic
// time. Its error is a *Failure whose NotRun is set only if the call certainly
// did not run.
type Sender func(ctx context.Context, notAfter time.Duration) (mulberrybeam.ServiceAnswer, error)

// Driver executes the actions of attempts with the object API and a Sender.
type Driver struct {
	Objects mulberrybeam.ObjectClient
	Codec   Codec
	// Clock returns local monotonic time, Wall returns wall time.
	Clock func() time.Duration
	Wall  func() time.Time
	// Live reports whether an entry process is known to be alive.
	Live func(mulberrybeam.ProcessID) bool
}

// Run runs one attempt to its end. Errors are part of the result.
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

// Remove deletes the record of an attempt that never sent its call. It keeps
// records of other attempts and records that are no longer open. It returns nil
// if there is nothing to delete.
func (d Driver) Remove(ctx context.Context, orphan OrphanedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	object, err := d.Objects.Get(ctx, mulberrybeam.ObjectIntent, orphan.Name)
	if codeOf(err) == mulberrybeam.CodeNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	record, err := d.Codec.Decode(object.Data)
	if err != nil || record.Attempt != orphan.Attempt || record.Progress != Open {
		return nil
	}
	err = d.Objects.Delete(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: orphan.Name, Version: object.Version})
	if code := codeOf(err); code == mulberrybeam.CodeNotFound || code == mulberrybeam.CodeConflict {
		return nil
	}
	return err
}

// ServiceSender returns a Sender that sends the request through the client.
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

// send checks the send window immediately before the call, because the process
// may have been paused since the decision to send.
func (d Driver) send(ctx context.Context, action SendCall, send Sender) Event {
	if d.Clock() >= action.NotAfter {
		return Answered{Err: refuse(mulberrybeam.CodeTimeout, "the call was not sent within "+SendWindow.String())}
	}
	answer, err := send(ctx, action.NotAfter)
	return Answered{Answer: answer, Err: err}
}

// write stores the outcome even if the caller has disconnected.
func (d Driver) write(ctx context.Context, action WriteRecord) Event {
	data, err := d.Codec.Encode(action.Record)
	if err != nil {
		return Written{Err: err}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	_, err = d.Objects.Update(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: action.Name, Version: action.Version, Data: data})
	return Written{Err: err}
}

func (d Driver) delete(ctx context.Context, action DeleteRecord) Event {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	err := d.Objects.Delete(ctx, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent, Name: action.Name, Version: action.Version})
	return Written{Err: err}
}
