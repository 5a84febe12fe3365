package forwarder

import (
	"context"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/request/admitter"
	"mulberrybeam/request/retrier"
)

// Bounds of the wait for a permit when no other target is left.
const (
	minPermitWait = 50 * time.Millisecond
	maxPermitWait = 500 * time.Millisecond
)

// attempt is one try of a request at one target.
type attempt struct {
	number     int
	route      mulberrybeam.Route
	target     mulberrybeam.Target
	instance   mulberrybeam.InstanceID
	permit     permit
	sentAt     time.Duration
	firstToken time.Duration
	inFlight   int
	// imported are the tokens of context that the engine loaded for this
	// attempt, and usage what it reported at the end.
	imported int
	usage    *mulberrybeam.Usage
	// misdelivered says that the tokens were wrong, not the connection.
	misdelivered bool
}

// permit is a right to send to a cold target.
type permit struct {
	needed     bool
	number     uint64
	epoch      mulberrybeam.Epoch
	sendBefore time.Duration
}

// attempts tries targets until one answers. send runs one attempt to its end.
func (f *Forwarder) attempts(ctx context.Context, r *run, send func(*attempt) *mulberrybeam.Failure) *mulberrybeam.Failure {
	var last, noPermit *mulberrybeam.Failure
	for waitFrom := f.Clock(); ; {
		a, failure := f.prepare(ctx, r)
		if failure == nil {
			failure = send(a)
			if r.history.Attempts[len(r.history.Attempts)-1].Sent {
				// The time of a run is no wait for a permit.
				waitFrom = f.Clock()
			}
		}
		if failure == nil {
			return nil
		}
		if failure.Code == mulberrybeam.CodeNoTarget && last != nil {
			// The reason why the earlier targets failed says more.
			if noPermit == nil || !f.awaitPermit(ctx, r, noPermit, f.waitLimit(r, waitFrom)) {
				return f.ended(ctx, r, last)
			}
			noPermit = nil
			continue
		}
		last = failure
		if failure.Step == mulberrybeam.StepPermit {
			noPermit = failure
			if r.isolated {
				// Another target could run a copy of the request at once.
				if !f.awaitPermit(ctx, r, failure, f.waitLimit(r, waitFrom)) {
					return f.ended(ctx, r, failure)
				}
				continue
			}
		}
		if more, end := f.again(ctx, r, failure); !more {
			return f.ended(ctx, r, end)
		}
	}
}

// waitLimit ends the wait for a permit. A request that a crash interrupted
// waits until its deadline: the caller may have a part of the answer, and the
// requests interrupted with it run one after another at each target.
func (f *Forwarder) waitLimit(r *run, from time.Duration) time.Duration {
	if r.broken > 0 {
		return r.request.Deadline
	}
	return from + f.Snapshot().Tables.Environment.Limits.QueueTimeout
}

// prepare picks a target, gets a permit if it needs one, and has the kept
// context imported.
func (f *Forwarder) prepare(ctx context.Context, r *run) (*attempt, *mulberrybeam.Failure) {
	snapshot := f.Snapshot()
	route, err := f.pick(snapshot, r)
	if err != nil {
		failure := *failureOf(err)
		failure.NotRun = true
		return nil, &failure
	}
	r.history.Attempts = append(r.history.Attempts, retrier.Attempt{Target: route.Target})
	r.number++
	a := &attempt{
		number: r.number, route: route, target: snapshot.Tables.Targets[route.Target],
		instance: snapshot.Targets[route.Target].Instance,
	}
	f.note(mulberrybeam.EntryRoute, r.request, string(route.Target), routeText(route))
	if failure := f.askPermit(ctx, snapshot, r, a); failure != nil {
		return nil, failure
	}
	if route.Source == mulberrybeam.SourceImport {
		f.importContext(ctx, snapshot, r, a)
	}
	return a, nil
}

// pick asks the routing policy, and once more when the process's adaptive
// limit towards the first choice is used up.
func (f *Forwarder) pick(snapshot *mulberrybeam.Snapshot, r *run) (mulberrybeam.Route, error) {
	turn := mulberrybeam.Turn{Now: f.Clock(), Wall: f.Wall(), Rand: r.random}
	sees := view{now: turn.Now, index: f.Index, snapshot: snapshot, flights: &f.flights}
	query := mulberrybeam.RouteQuery{Request: r.request, Zone: snapshot.Zone, Tried: r.tried, Kept: r.kept, Isolated: r.isolated}
	if r.isolated {
		// All hosts leave out the target of the crash, not only the one
		// that tried it.
		query.Tried = append(slices.Clone(r.tried), snapshot.Crashes[r.request.Fingerprint].Target)
	}
	first, err := f.Picker.Pick(turn, sees, query)
	if err != nil || !f.gate.Full(snapshot.Tables.Targets[first.Target], f.InFlight(first.Target)) {
		return first, err
	}
	query.Tried = append(slices.Clone(r.tried), first.Target)
	if second, err := f.Picker.Pick(turn, sees, query); err == nil {
		return second, nil
	}
	return first, nil
}

// askPermit asks the target's owner where the target is cold or the request
// suspected. The permit's validity counts from before the question.
func (f *Forwarder) askPermit(ctx context.Context, snapshot *mulberrybeam.Snapshot, r *run, a *attempt) *mulberrybeam.Failure {
	if !a.route.NeedsPermit && !r.isolated && snapshot.Targets[a.target.ID].Phase == mulberrybeam.PhaseWarm {
		return nil
	}
	asked := f.Clock()
	reply, err := f.Permits.Ask(ctx, a.target.ID, mulberrybeam.AskPermit{
		From: snapshot.Self, Target: a.target.ID, Instance: a.instance, Request: r.request.ID,
		Isolated: r.isolated, RunLimit: r.request.Deadline - asked,
	})
	switch {
	case err != nil:
		return noPermit(a.target, "the owner of the target could not be asked", 0, err)
	case reply.Granted:
		a.permit = permit{needed: true, number: reply.Permit, epoch: reply.Epoch, sendBefore: asked + reply.Valid}
		f.note(mulberrybeam.EntryPermit, r.request, string(a.target.ID), "granted")
		return nil
	case reply.Warm && !r.isolated:
		return nil
	}
	return noPermit(a.target, "the target takes no more requests: "+reply.Reason, reply.RetryAfter, nil)
}

func noPermit(target mulberrybeam.Target, text string, wait time.Duration, cause error) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNoPermit, Step: mulberrybeam.StepPermit, Peer: string(target.ID),
		Message: text, NotRun: true, RetryAfter: wait, Cause: cause,
	}
}

// awaitPermit waits until cold targets may have free permits, and says whether
// to try them again.
func (f *Forwarder) awaitPermit(ctx context.Context, r *run, last *mulberrybeam.Failure, until time.Duration) bool {
	wait := min(max(last.RetryAfter, minPermitWait), maxPermitWait)
	if f.Clock()+wait > min(until, r.request.Deadline, r.sendBefore) {
		return false
	}
	var sent []retrier.Attempt
	r.tried = nil
	for _, earlier := range r.history.Attempts {
		if earlier.Sent {
			sent = append(sent, earlier)
			r.tried = append(r.tried, earlier.Target)
		}
	}
	r.history.Attempts = sent
	return pauser.Pause(ctx, wait)
}

// enter checks the permit and the send window right before the send and counts
// the request at its target. After a failure nothing was sent.
func (f *Forwarder) enter(ctx context.Context, r *run, a *attempt) *mulberrybeam.Failure {
	now := f.Clock()
	var failure *mulberrybeam.Failure
	if a.permit.needed && now >= a.permit.sendBefore {
		failure = noPermit(a.target, "the permit ended before the request was sent", 0, nil)
	}
	if now >= r.sendBefore {
		failure = &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepSend, Peer: string(a.target.ID),
			Message: "the time for sending the request has passed", NotRun: true,
		}
	}
	if failure != nil {
		f.release(ctx, a, false, false)
		return failure
	}
	r.history.Attempts[len(r.history.Attempts)-1].Sent = true
	a.sentAt = now
	flight := f.flights.at(a.target.ID)
	flight.enter(r.request)
	a.inFlight = int(flight.number.Load())
	return nil
}

// leave ends an attempt that was sent: it frees the permit and tells control
// and the adaptive limit what traffic saw.
func (f *Forwarder) leave(ctx context.Context, r *run, a *attempt, failure *mulberrybeam.Failure) {
	flight := f.flights.at(a.target.ID)
	sign := mulberrybeam.TrafficSign{Target: a.target.ID, Instance: a.instance, FirstToken: a.firstToken}
	outcome := admitter.Outcome{FirstToken: a.firstToken, Expected: expected(r, a), InFlight: a.inFlight}
	crashed := false
	switch {
	case failure == nil:
		sign.Kind = mulberrybeam.SignCompleted
		if r.isolated {
			sign.Cleared = &r.request.Fingerprint
		}
	case ctx.Err() != nil || a.misdelivered:
		// The caller left or the deadline passed, or the connection holds
		// and its tokens were wrong.
	case failure.Step == mulberrybeam.StepPermit:
		// The target restarted after the decision and got nothing.
		sign.Kind = mulberrybeam.SignBroken
		r.history.Attempts[len(r.history.Attempts)-1].Sent = false
	case failure.Step == mulberrybeam.StepConnect:
		// Without a connection the other requests there are no suspects.
		sign.Kind = mulberrybeam.SignBroken
	case failure.NotRun:
		sign.Kind = mulberrybeam.SignRefused
		outcome.Refused = failure.Code == mulberrybeam.CodeOverloaded
	case isBroken(failure):
		sign.Kind = mulberrybeam.SignBroken
		sign.InFlight = flight.list()
		crashed = true
		r.broken++
	case failure.Code == mulberrybeam.CodeTimeout && r.request.Model != "":
		// An engine that sends nothing hangs. A slow service call may be
		// slow by itself.
		sign.Kind = mulberrybeam.SignBroken
	}
	flight.leave(r.request)
	f.release(ctx, a, failure == nil, crashed)
	f.gate.Observe(a.target, outcome)
	if sign.Kind != "" {
		f.Post(sign)
	}
}

// expected is the part of the time to first token that the request itself
// needs. For a service call it is unknown, so that only refusals count.
func expected(r *run, a *attempt) time.Duration {
	if r.request.Model == "" {
		return a.firstToken
	}
	if a.target.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(a.route.RecomputedTokens) / a.target.PrefillRate * float64(time.Second))
}

// isBroken tells a broken connection from an answer that reports a fault.
func isBroken(failure *mulberrybeam.Failure) bool {
	return failure.Code == mulberrybeam.CodeStreamBroken ||
		failure.Code == mulberrybeam.CodeTargetFailed && failure.Cause != nil
}

func (f *Forwarder) release(ctx context.Context, a *attempt, completed, crashed bool) {
	if !a.permit.needed {
		return
	}
	release := mulberrybeam.ReleasePermit{
		From: f.Snapshot().Self, Target: a.target.ID, Permit: a.permit.number, Epoch: a.permit.epoch,
		Completed: completed, Crashed: crashed, FirstToken: a.firstToken,
		Expected: a.route.FirstToken,
	}
	f.later(ctx, func(ctx context.Context) { f.Permits.Release(ctx, a.target.ID, release) })
}

// sawInstance tells control about a restarted target.
func (f *Forwarder) sawInstance(a *attempt, instance mulberrybeam.InstanceID) {
	if instance == "" || instance == a.instance {
		return
	}
	a.instance = instance
	f.Post(mulberrybeam.TrafficSign{Kind: mulberrybeam.SignInstance, Target: a.target.ID, Instance: instance})
}
