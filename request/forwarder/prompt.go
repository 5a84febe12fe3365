package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"

	"mulberrybeam"
	"mulberrybeam/request/assembler"
)

// Generate runs a prompt and calls deliver once for each token, in order. The last
// token has End set. Generate returns a Failure if the response is incomplete. An
// error returned by deliver cancels the run.
func (f *Forwarder) Generate(ctx context.Context, request *mulberrybeam.Request, deliver func(mulberrybeam.Token) error) error {
	ctx, cancel := f.bounded(ctx, request)
	defer cancel()
	r, release, err := f.begin(ctx, request)
	if err != nil {
		return err
	}
	defer release()
	r.kept = f.keptContexts(ctx, request)
	state := assembler.State{Request: request.ID}
	failure := f.attempts(ctx, r, func(a *attempt) *mulberrybeam.Failure {
		return f.prompt(ctx, r, a, &state, deliver)
	})
	if failure != nil {
		return failure
	}
	return nil
}

// prompt runs one attempt of a prompt.
func (f *Forwarder) prompt(ctx context.Context, r *run, a *attempt, state *assembler.State, deliver func(mulberrybeam.Token) error) (failure *mulberrybeam.Failure) {
	if failure := f.enter(ctx, r, a); failure != nil {
		return failure
	}
	defer func() { f.leave(ctx, r, a, failure) }()
	stream, err := f.Engines.Generate(ctx, mulberrybeam.EngineCall{
		Request: r.request, Target: a.target, Instance: a.instance, Attempt: a.number, Priority: r.request.Priority,
		After: state.Last, Generated: state.Generated,
	})
	if err != nil {
		if mayRun(err) {
			f.cancelRun(ctx, r, a)
		}
		return failureOf(err)
	}
	defer stream.Close()
	f.sawInstance(a, stream.Instance())
	failure = f.versionOf(r, a, stream)
	if failure == nil {
		f.Index.Sent(f.Clock(), a.target.ID, stream.Instance(), r.request.Keys)
		failure = f.receive(r, a, state, stream, deliver)
		r.history.LastSequence, r.history.Ended = state.Last, state.Complete
	}
	if failure != nil {
		f.cancelRun(ctx, r, a)
		return failure
	}
	f.completed(r, a, fmt.Sprintf("attempt %d, first token after %v, %d tokens", a.number, a.firstToken, len(state.Generated)),
		promptMeasure(r, a, len(state.Generated)))
	f.exportLater(r, a)
	return nil
}

// versionOf rejects a response computed with another weight version than the
// request's, because contexts of different versions must not be mixed.
func (f *Forwarder) versionOf(r *run, a *attempt, stream mulberrybeam.EngineStream) *mulberrybeam.Failure {
	if r.request.Version == "" || stream.WeightVersion() == r.request.Version {
		return nil
	}
	a.misdelivered = true
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetRefused, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: fmt.Sprintf("engine runs weight version %q instead of %q", stream.WeightVersion(), r.request.Version),
	}
}

// receive delivers tokens until the end of the response or a fault.
func (f *Forwarder) receive(r *run, a *attempt, state *assembler.State, stream mulberrybeam.EngineStream, deliver func(mulberrybeam.Token) error) *mulberrybeam.Failure {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			err = wrongStream(a, "connection closed before the end of the response")
		}
		if err != nil {
			return failureOf(err)
		}
		verdict := assembler.Take(state, token)
		switch verdict {
		case assembler.Duplicate:
			continue
		case assembler.Foreign, assembler.Lost:
			a.misdelivered = true
			return wrongStream(a, fmt.Sprintf("unexpected token %d of request %s after token %d: %s", token.Sequence, token.Request, state.Last, verdict))
		}
		now := f.Clock()
		if a.firstToken == 0 {
			a.firstToken = max(1, now-a.sentAt)
		}
		r.times.token(now)
		a.usage = token.Usage
		if err := deliver(token); err != nil {
			a.misdelivered = true
			return &mulberrybeam.Failure{
				Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAnswer, Message: "response could not be delivered to the caller", Cause: err,
			}
		}
		if verdict == assembler.Finished {
			return nil
		}
	}
}

func wrongStream(a *attempt, text string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeStreamBroken, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID), Message: text,
	}
}

// cancelRun tells the engine to stop a run whose response is no longer read.
func (f *Forwarder) cancelRun(ctx context.Context, r *run, a *attempt) {
	f.later(ctx, func(ctx context.Context) { _ = f.Engines.Cancel(ctx, a.target, r.request.ID) })
}
