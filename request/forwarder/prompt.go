package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"

	"mulberrybeam"
	"mulberrybeam/request/assembler"
)

// Generate runs a prompt and calls deliver once for each token, in order. The
// last token has End set. Generate returns a Failure if the response is
// incomplete. An error returned by deliver cancels the run.
func (f *Forwarder) Generate(ctx context.Context, request *mulberrybeam.Request, deliver func(mulberrybeam.Token) error) error {
	ctx, cancel := f.withDeadline(ctx, request)
	defer cancel()
	r, release, err := f.admit(ctx, request)
	if err != nil {
		return err
	}
	defer release()
	r.storedContexts = f.findStoredContexts(ctx, request)
	state := assembler.State{Request: request.ID}
	failure := f.tryTargets(ctx, r, func(a *attempt) *mulberrybeam.Failure {
		return f.runPrompt(ctx, r, a, &state, deliver)
	})
	if failure != nil {
		return failure
	}
	return nil
}

// runPrompt runs one attempt of a prompt.
func (f *Forwarder) runPrompt(ctx context.Context, r *run, a *attempt, state *assembler.State, deliver func(mulberrybeam.Token) error) (failure *mulberrybeam.Failure) {
	if failure := f.beginSend(ctx, r, a); failure != nil {
		return failure
	}
	defer func() { f.endSend(ctx, r, a, failure) }()
	stream, err := f.Engines.Generate(ctx, mulberrybeam.EngineCall{
		Request: r.request, Target: a.target, Instance: a.instance, Attempt: a.number, Priority: r.request.Priority,
		After: state.Last, Generated: state.Generated,
	})
	if err != nil {
		if mayHaveRun(err) {
			f.cancelRun(ctx, r, a)
		}
		return failureOf(err)
	}
	defer stream.Close()
	f.reportInstance(a, stream.Instance())
	failure = f.checkVersion(r, a, stream)
	if failure == nil {
		f.Index.RecordSent(f.Clock(), a.target.ID, stream.Instance(), r.request.Keys)
		failure = f.deliverTokens(r, a, state, stream, deliver)
		r.history.LastSequence, r.history.Complete = state.Last, state.Complete
	}
	if failure != nil {
		f.cancelRun(ctx, r, a)
		return failure
	}
	f.recordCompletion(r, a, fmt.Sprintf("attempt %d, first token after %v, %d tokens", a.number, a.firstToken, len(state.Generated)),
		promptMeasure(r, a, len(state.Generated)))
	f.queueExport(r, a)
	return nil
}

// checkVersion rejects a response computed with another weight version than the
// request's, because contexts of different versions must not be mixed.
func (f *Forwarder) checkVersion(r *run, a *attempt, stream mulberrybeam.EngineStream) *mulberrybeam.Failure {
	if r.request.Version == "" || stream.WeightVersion() == r.request.Version {
		return nil
	}
	a.skipSignal = true
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetRefused, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID),
		Message: fmt.Sprintf("engine runs weight version %q instead of %q", stream.WeightVersion(), r.request.Version),
	}
}

// deliverTokens delivers tokens until the end of the response or a fault.
func (f *Forwarder) deliverTokens(r *run, a *attempt, state *assembler.State, stream mulberrybeam.EngineStream, deliver func(mulberrybeam.Token) error) *mulberrybeam.Failure {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			err = streamFailure(a, "connection closed before the end of the response")
		}
		if err != nil {
			return failureOf(err)
		}
		verdict := assembler.Accept(state, token)
		switch verdict {
		case assembler.Duplicate:
			continue
		case assembler.OtherRequest, assembler.Gap:
			a.skipSignal = true
			return streamFailure(a, fmt.Sprintf("unexpected token %d of request %s after token %d: %s", token.Sequence, token.Request, state.Last, verdict))
		}
		now := f.Clock()
		if a.firstToken == 0 {
			a.firstToken = max(1, now-a.sentAt)
		}
		r.tokenTimes.record(now)
		a.usage = token.Usage
		if err := deliver(token); err != nil {
			a.skipSignal = true
			return &mulberrybeam.Failure{
				Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAnswer, Message: "response could not be delivered to the caller", Cause: err,
			}
		}
		if verdict == assembler.Finished {
			return nil
		}
	}
}

func streamFailure(a *attempt, message string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeStreamBroken, Step: mulberrybeam.StepAnswer, Peer: string(a.target.ID), Message: message,
	}
}

// cancelRun tells the engine to stop a run whose response is no longer read.
func (f *Forwarder) cancelRun(ctx context.Context, r *run, a *attempt) {
	f.runDetached(ctx, func(ctx context.Context) { _ = f.Engines.Cancel(ctx, a.target, r.request.ID) })
}
