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

// Limits of a single wait for a permit when no other target is left.
const (
	minPermitWait = 50 * time.Millisecond
	maxPermitWait = 500 * time.Millisecond
)

// attempt is one attempt to run a request on one target.
type attempt struct {
	number     int
	route      mulberrybeam.Route
	target     mulberrybeam.Target
	instance   mulberrybeam.InstanceID
	permit     permit
	sentAt     time.Duration
	firstToken time.Duration
	inFlight   int
	// importedTokens is the number of context tokens that the engine imported
	// for this attempt, and usage the token counts that it reported at the
	// end.
	importedTokens int
	usage          *mulberrybeam.Usage
	// skipSignal is set when the attempt failed because of its tokens, its
	// weight version or the caller. The connection was intact, so no signal
	// about the target is posted.
	skipSignal bool
}

// permit allows one request to be sent to a target that is cold, or to any
// target if the request is suspected of causing crashes.
type permit struct {
	needed       bool
	number       uint64
	epoch        mulberrybeam.Epoch
	sendDeadline time.Duration
}

// tryTargets tries targets until an attempt succeeds or no retry is allowed.
// send runs one attempt to its end.
func (f *Forwarder) tryTargets(ctx context.Context, r *run, send func(*attempt) *mulberrybeam.Failure) *mulberrybeam.Failure {
	var last, permitDenied *mulberrybeam.Failure
	for waitStart := f.Clock(); ; {
		a, failure := f.prepare(ctx, r)
		if failure == nil {
			failure = send(a)
			if r.history.Attempts[len(r.history.Attempts)-1].Sent {
				// Time in which the request ran does not count as waiting
				// for a permit.
				waitStart = f.Clock()
			}
		}
		if failure == nil {
			return nil
		}
		if failure.Code == mulberrybeam.CodeNoTarget && last != nil {
			// The failures of the earlier targets are more specific.
			if permitDenied == nil || !f.waitForPermit(ctx, r, permitDenied, f.permitWaitDeadline(r, waitStart)) {
				return f.failRequest(ctx, r, last)
			}
			permitDenied = nil
			continue
		}
		last = failure
		if failure.Step == mulberrybeam.StepPermit {
			permitDenied = failure
			if r.isolated {
				// Don't move on to another target, which could run a copy of
				// the request at the same time.
				if !f.waitForPermit(ctx, r, failure, f.permitWaitDeadline(r, waitStart)) {
					return f.failRequest(ctx, r, failure)
				}
				continue
			}
		}
		if retry, cause := f.shouldRetry(ctx, r, failure); !retry {
			return f.failRequest(ctx, r, cause)
		}
	}
}

// permitWaitDeadline returns the time until which the request may wait for a
// permit. A request interrupted by a crash waits until its deadline: the
// caller may have a part of the response, and all requests interrupted by the
// same crash run one at a time on each target.
func (f *Forwarder) permitWaitDeadline(r *run, start time.Duration) time.Duration {
	if r.brokenConnections > 0 {
		return r.request.Deadline
	}
	return start + f.Snapshot().Tables.Environment.Limits.QueueTimeout
}

// prepare picks a target, obtains a permit if one is needed, and has the engine
// import the stored context.
func (f *Forwarder) prepare(ctx context.Context, r *run) (*attempt, *mulberrybeam.Failure) {
	snapshot := f.Snapshot()
	route, err := f.pickRoute(snapshot, r)
	if err != nil {
		failure := *failureOf(err)
		failure.NotRun = true
		return nil, &failure
	}
	r.history.Attempts = append(r.history.Attempts, retrier.Attempt{Target: route.Target})
	r.attemptCount++
	a := &attempt{
		number: r.attemptCount, route: route, target: snapshot.Tables.Targets[route.Target],
		instance: snapshot.Targets[route.Target].Instance,
	}
	f.recordEvent(mulberrybeam.EntryRoute, r.request, string(route.Target), describeRoute(route))
	if failure := f.askPermit(ctx, snapshot, r, a); failure != nil {
		return nil, failure
	}
	if route.Source == mulberrybeam.SourceImport {
		f.importContext(ctx, snapshot, r, a)
	}
	return a, nil
}

// pickRoute asks the routing policy for a target. If this process has reached
// its adaptive limit for that target, it asks once more without the target.
func (f *Forwarder) pickRoute(snapshot *mulberrybeam.Snapshot, r *run) (mulberrybeam.Route, error) {
	turn := mulberrybeam.Turn{Now: f.Clock(), Wall: f.Wall(), Rand: r.random}
	view := routeView{now: turn.Now, index: f.Index, snapshot: snapshot, inFlight: &f.inFlight}
	query := mulberrybeam.RouteQuery{Request: r.request, Zone: snapshot.Zone, Tried: r.tried, StoredContexts: r.storedContexts, Isolated: r.isolated}
	if r.isolated {
		// All hosts exclude the target that crashed, not only the host that
		// sent the request to it.
		query.Tried = append(slices.Clone(r.tried), snapshot.Crashes[r.request.Fingerprint].Target)
	}
	first, err := f.Picker.Pick(turn, view, query)
	if err != nil || !f.gate.Full(snapshot.Tables.Targets[first.Target], f.InFlight(first.Target)) {
		return first, err
	}
	query.Tried = append(slices.Clone(r.tried), first.Target)
	if second, err := f.Picker.Pick(turn, view, query); err == nil {
		return second, nil
	}
	return first, nil
}

// askPermit asks the target's owner for a permit if the target is cold or the
// request suspected. The permit's validity counts from before the call.
func (f *Forwarder) askPermit(ctx context.Context, snapshot *mulberrybeam.Snapshot, r *run, a *attempt) *mulberrybeam.Failure {
	if !a.route.NeedsPermit && !r.isolated && snapshot.Targets[a.target.ID].Phase == mulberrybeam.PhaseWarm {
		return nil
	}
	askedAt := f.Clock()
	reply, err := f.Permits.Ask(ctx, a.target.ID, mulberrybeam.AskPermit{
		From: snapshot.Self, Target: a.target.ID, Instance: a.instance, Request: r.request.ID,
		Isolated: r.isolated, RunLimit: r.request.Deadline - askedAt,
	})
	switch {
	case err != nil:
		return permitFailure(a.target, "could not ask the target's owner for a permit", 0, err)
	case reply.Granted:
		a.permit = permit{needed: true, number: reply.Permit, epoch: reply.Epoch, sendDeadline: askedAt + reply.Valid}
		f.recordEvent(mulberrybeam.EntryPermit, r.request, string(a.target.ID), "granted")
		return nil
	case reply.Warm && !r.isolated:
		return nil
	}
	return permitFailure(a.target, "target's owner denied a permit: "+reply.Reason, reply.RetryAfter, nil)
}

func permitFailure(target mulberrybeam.Target, message string, retryAfter time.Duration, cause error) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNoPermit, Step: mulberrybeam.StepPermit, Peer: string(target.ID),
		Message: message, NotRun: true, RetryAfter: retryAfter, Cause: cause,
	}
}

// waitForPermit waits until cold targets may have free permits, and reports
// whether to try them again. Targets that only denied a permit are no longer
// excluded.
func (f *Forwarder) waitForPermit(ctx context.Context, r *run, last *mulberrybeam.Failure, until time.Duration) bool {
	wait := min(max(last.RetryAfter, minPermitWait), maxPermitWait)
	if f.Clock()+wait > min(until, r.request.Deadline, r.sendDeadline) {
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

// beginSend checks that the permit and the time to send have not expired,
// directly before the send, and counts the request as in flight. If it returns
// a failure, nothing was sent.
func (f *Forwarder) beginSend(ctx context.Context, r *run, a *attempt) *mulberrybeam.Failure {
	now := f.Clock()
	var failure *mulberrybeam.Failure
	if a.permit.needed && now >= a.permit.sendDeadline {
		failure = permitFailure(a.target, "permit expired before the request was sent", 0, nil)
	}
	if now >= r.sendDeadline {
		failure = &mulberrybeam.Failure{
			Code: mulberrybeam.CodeTimeout, Step: mulberrybeam.StepSend, Peer: string(a.target.ID),
			Message: "deadline for sending the request has passed", NotRun: true,
		}
	}
	if failure != nil {
		f.releasePermit(ctx, a, false, false)
		return failure
	}
	r.history.Attempts[len(r.history.Attempts)-1].Sent = true
	a.sentAt = now
	requests := f.inFlight.forTarget(a.target.ID)
	requests.add(r.request)
	a.inFlight = int(requests.count.Load())
	return nil
}

// endSend ends an attempt that was sent: it releases the permit and reports the
// outcome to the control loop and the adaptive limit.
func (f *Forwarder) endSend(ctx context.Context, r *run, a *attempt, failure *mulberrybeam.Failure) {
	requests := f.inFlight.forTarget(a.target.ID)
	signal := mulberrybeam.TargetSignal{Target: a.target.ID, Instance: a.instance, FirstToken: a.firstToken}
	outcome := admitter.Outcome{FirstToken: a.firstToken, ExpectedFirstToken: expectedFirstToken(r, a), InFlight: a.inFlight}
	crashed := false
	switch {
	case failure == nil:
		signal.Kind = mulberrybeam.SignalCompleted
		if r.isolated {
			signal.Cleared = &r.request.Fingerprint
		}
	case ctx.Err() != nil || a.skipSignal:
		// No signal: the caller disconnected, the deadline passed, or the
		// attempt failed although the connection was intact.
	case failure.Step == mulberrybeam.StepPermit:
		// The target restarted after it was picked, and nothing was sent.
		signal.Kind = mulberrybeam.SignalBroken
		r.history.Attempts[len(r.history.Attempts)-1].Sent = false
	case failure.Step == mulberrybeam.StepConnect:
		// No connection was made, so the other requests in flight at the
		// target are not suspected of a crash.
		signal.Kind = mulberrybeam.SignalBroken
	case failure.NotRun:
		signal.Kind = mulberrybeam.SignalRefused
		outcome.Refused = failure.Code == mulberrybeam.CodeOverloaded
	case isConnectionFailure(failure):
		signal.Kind = mulberrybeam.SignalBroken
		signal.InFlight = requests.allFingerprints()
		crashed = true
		r.brokenConnections++
	case failure.Code == mulberrybeam.CodeTimeout && r.request.Model != "":
		// An engine that sends nothing is assumed to hang. A service call
		// may just be slow.
		signal.Kind = mulberrybeam.SignalBroken
	}
	requests.remove(r.request)
	f.releasePermit(ctx, a, failure == nil, crashed)
	f.gate.Observe(a.target, outcome)
	if signal.Kind != "" {
		f.Post(signal)
	}
}

// expectedFirstToken returns the time to first token that an idle target would
// need. It is unknown for a service call; the measured time is returned, so
// that the adaptive limit depends on refusals alone.
func expectedFirstToken(r *run, a *attempt) time.Duration {
	if r.request.Model == "" {
		return a.firstToken
	}
	if a.target.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(a.route.RecomputedTokens) / a.target.PrefillRate * float64(time.Second))
}

// isConnectionFailure reports whether the connection failed, as opposed to a
// complete response that reports an error.
func isConnectionFailure(failure *mulberrybeam.Failure) bool {
	return failure.Code == mulberrybeam.CodeStreamBroken ||
		failure.Code == mulberrybeam.CodeTargetFailed && failure.Cause != nil
}

func (f *Forwarder) releasePermit(ctx context.Context, a *attempt, completed, crashed bool) {
	if !a.permit.needed {
		return
	}
	release := mulberrybeam.ReleasePermit{
		From: f.Snapshot().Self, Target: a.target.ID, Permit: a.permit.number, Epoch: a.permit.epoch,
		Completed: completed, Crashed: crashed, FirstToken: a.firstToken,
		Expected: a.route.FirstToken,
	}
	f.runDetached(ctx, func(ctx context.Context) { f.Permits.Release(ctx, a.target.ID, release) })
}

// reportInstance reports a new instance of the target, which has restarted, to
// the control loop.
func (f *Forwarder) reportInstance(a *attempt, instance mulberrybeam.InstanceID) {
	if instance == "" || instance == a.instance {
		return
	}
	a.instance = instance
	f.Post(mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalNewInstance, Target: a.target.ID, Instance: instance})
}
