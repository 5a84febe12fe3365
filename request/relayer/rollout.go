package relayer

import (
	"net/http"

	"mulberrybeam"
	"mulberrybeam/process/tallier"
	"mulberrybeam/request/fetcher"
	"mulberrybeam/request/sampler"
)

// sample is the part of a rollout that a request takes.
type sample struct {
	rollout *mulberrybeam.FleetRollout
	side    sampler.Side
	// decided is set once the request was in the sample or not. It is so once only.
	decided bool
}

// partial reports whether the old version still serves most requests.
func (s sample) partial() bool { return s.rollout.Stage < mulberrybeam.StageFull }

// decideSide decides which version's targets the next attempt may use. A standby
// is not in the sample.
func (e *exchange) decideSide(sampled bool) {
	rollout := e.fleet.Rollouts[e.service]
	if rollout == nil {
		e.sample.rollout, e.sample.side = nil, sampler.Any
		return
	}
	query := sampler.Query{
		Now: e.Now(), Rollout: rollout, Request: e.inbound.ID, Fingerprint: e.requestInfo.Fingerprint,
		First: sampled && !e.sample.decided,
	}
	side := sampler.Decide(query, func() bool { return e.Tallier.Reserve(e.service, rollout) })
	e.sample = sample{rollout, e.continueSide(query, side), true}
}

// leaveSample moves a sampled request, for which the new version has no target,
// to the old version. It returns false if the request was not sampled.
func (e *exchange) leaveSample() bool {
	if e.sample.side != sampler.New || !e.sample.partial() || e.origin.bound {
		return false
	}
	e.sample.side = sampler.Old
	return true
}

// usable returns the function that reports which targets the request may use, or
// nil if it may use all.
func (e *exchange) usable() func(*mulberrybeam.FleetTarget) bool {
	allows := e.allowsSoftware()
	if e.sample.side == sampler.Any {
		return allows
	}
	now, part := e.Now(), e.sample
	return func(target *mulberrybeam.FleetTarget) bool {
		if allows != nil && !allows(target) {
			return false
		}
		if part.side == sampler.New && part.partial() && now < target.ColdUntil {
			return false
		}
		return sampler.Allows(part.side, part.rollout, target)
	}
}

// sideSoftware returns the software version whose stored context the request may
// use, before its target is known.
func (e *exchange) sideSoftware() mulberrybeam.SoftwareVersion {
	if e.Tallier == nil {
		return ""
	}
	usable := e.usable()
	targets := e.fleet.Targets[e.service]
	for i := range targets {
		if usable == nil || usable(&targets[i]) {
			return targets[i].Software
		}
	}
	return ""
}

// salt returns the salt of context that a software version computes with a weight
// version for the request. It depends on the software where rollouts are in use.
func (e *exchange) salt(version int, software mulberrybeam.SoftwareVersion) string {
	salt := fetcher.Salt(version, e.match.Workspace, e.fleet.SharingGroup)
	if e.Tallier == nil {
		return salt
	}
	return fetcher.WithSoftware(salt, software)
}

// beginTally counts the attempt as running. It returns false if its target may
// not be used any more.
func (a *attempt) beginTally() bool {
	if a.Tallier == nil {
		return true
	}
	tallied, allowed := a.Tallier.Begin(tallier.Start{
		Service: a.service, Route: a.match.Rule.Name, Streaming: a.match.Rule.Streaming,
		Target: a.target.ID, Software: a.target.Software, Rollout: a.sample.rollout,
	})
	a.tallied = tallied
	return allowed
}

// oldTargetFailure is the failure of an attempt that chose an old target just
// before all requests moved to the new version.
func oldTargetFailure(id mulberrybeam.InstanceID) error {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(id),
		Message: "the target's version is not used any more", NotRun: true,
	}
}

// recordStatus records the head of the response. Targets may send the head of a
// stream at once, so that only its first event counts as the first response.
func (a *attempt) recordStatus(status int) {
	a.status = status
	if !a.match.Rule.Streaming {
		a.recordFirstResponse()
	}
}

func (a *attempt) recordFirstResponse() {
	if a.firstResponse == 0 {
		a.firstResponse = a.Now() - a.sentAt
	}
}

// outcome returns how the attempt ended, as rollouts count it. Refusals and
// requests that the caller gave up count for nothing.
func (a *attempt) outcome(err error) tallier.Outcome {
	switch {
	case isRefusal(err):
		return tallier.Outcome{}
	case a.status >= http.StatusInternalServerError:
		return tallier.Outcome{Failed: true}
	case err != nil && a.request.Context().Err() == nil:
		return tallier.Outcome{Failed: true}
	}
	return tallier.Outcome{FirstResponse: a.firstResponse}
}
