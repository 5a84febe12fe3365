package permitter

import (
	"time"

	"mulberrybeam"
)

// Reasons for refusing a permit, sent in AskPermitReply.
const (
	ReasonUnknownTarget = "target is not in the configuration"
	ReasonNotOwner      = "process does not hold the target's slot"
	ReasonLeaving       = "target is leaving"
	ReasonNoLoadReport  = "no load report yet since the target became doubtful"
	ReasonWrongInstance = "target's instance is not the one asked for"
	ReasonColdLimit     = "target in cold start has its limit of requests"
	ReasonIsolation     = "target may run another suspected request"
)

// handleAsk handles an AskPermit message.
func (p *Permitter) handleAsk(turn mulberrybeam.Turn, ask mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, []mulberrybeam.Action) {
	t := p.targets[ask.Target]
	if t == nil {
		return p.refuse(ReasonUnknownTarget), nil
	}
	if !p.owns(turn.Now, t) {
		return p.refuse(ReasonNotOwner), nil
	}
	if t.leaving {
		return p.refuse(ReasonLeaving), nil
	}
	if t.observeInstance(turn.Now, ask.Instance) {
		return p.refuse(ReasonNoLoadReport), p.resetPhase(turn, t, "caller saw a new instance")
	}
	valid := p.timing.shorter(min(p.timing.PermitValidity, t.slot.ownership.Until-turn.Now))
	switch o := t.ownerState; {
	case !o.loadKnown:
		return p.refuse(ReasonNoLoadReport), nil
	case ask.Instance != t.instance:
		// A permit is valid for one instance only. A permit issued before
		// a restart must not add load to the next instance, which starts
		// with its full cold limit.
		return p.refuse(ReasonWrongInstance), nil
	case o.phase == mulberrybeam.PhaseWarm:
		return p.handleAskWarm(turn, t, ask, valid), nil
	case len(o.permits)+o.untracked >= t.declared.ColdLimit:
		return p.refuse(ReasonColdLimit), nil
	case ask.Isolated && !o.mayIsolate(turn.Now):
		return p.refuse(ReasonIsolation), nil
	}
	return p.grant(turn, t, ask, valid), nil
}

// handleAskWarm handles an AskPermit for a warm target. Only suspected requests
// need a permit there.
func (p *Permitter) handleAskWarm(turn mulberrybeam.Turn, t *target, ask mulberrybeam.AskPermit, valid time.Duration) mulberrybeam.AskPermitReply {
	o := t.ownerState
	if !ask.Isolated {
		return mulberrybeam.AskPermitReply{Warm: true, Epoch: o.epoch, Valid: valid}
	}
	o.reclaimExpired(turn.Now)
	if !o.mayIsolate(turn.Now) {
		return p.refuse(ReasonIsolation)
	}
	return p.grant(turn, t, ask, valid)
}

// mayIsolate reports whether no other suspected request can be in flight.
func (o *ownerState) mayIsolate(now time.Duration) bool {
	return o.isolatedPermit == 0 && now >= o.isolationAllowedAt
}

// grant issues a permit and records it.
func (p *Permitter) grant(turn mulberrybeam.Turn, t *target, ask mulberrybeam.AskPermit, valid time.Duration) mulberrybeam.AskPermitReply {
	p.permitsIssued++
	arrivesBy := turn.Now + p.timing.longer(valid) + p.timing.MaxTransit
	t.ownerState.permits[p.permitsIssued] = permit{
		instance: t.instance, epoch: t.ownerState.epoch,
		arrivesBy: arrivesBy, endsBy: arrivesBy + p.timing.longer(ask.RunLimit),
	}
	if ask.Isolated {
		t.ownerState.isolatedPermit = p.permitsIssued
	}
	return mulberrybeam.AskPermitReply{
		Granted: true, Permit: p.permitsIssued, Epoch: t.ownerState.epoch, Valid: valid,
		Warm: t.ownerState.phase == mulberrybeam.PhaseWarm,
	}
}

func (p *Permitter) refuse(reason string) mulberrybeam.AskPermitReply {
	return mulberrybeam.AskPermitReply{Reason: reason, RetryAfter: p.timing.RetryDelay}
}

// slowFirstTokenFactor is the multiple of the expected time to first token
// above which a completion does not count towards the warm-up.
const slowFirstTokenFactor = 2

// handleRelease handles a ReleasePermit message. It takes effect even while
// this process has lost the slot, since it may regain the slot in the same
// epoch.
func (p *Permitter) handleRelease(turn mulberrybeam.Turn, release mulberrybeam.ReleasePermit) []mulberrybeam.Action {
	t := p.targets[release.Target]
	if t == nil || t.ownerState == nil {
		return nil
	}
	o := t.ownerState
	if issued, ok := o.permits[release.Permit]; !ok || issued.epoch != release.Epoch {
		return nil
	}
	o.removePermit(release.Permit)
	switch {
	case release.Crashed:
		t.distrust(turn.Now)
		return p.resetPhase(turn, t, "request with a permit crashed")
	case o.phase == mulberrybeam.PhaseWarm:
		return nil
	case !release.Completed:
		o.completions, o.warmUpStart = 0, turn.Now
		return nil
	case p.slowFirstToken(release):
		// A slow completion neither advances nor resets the warm-up.
		return nil
	}
	o.completions++
	if !p.owns(turn.Now, t) {
		return nil
	}
	return p.promoteToWarm(turn, t)
}

// slowFirstToken reports whether the time to first token was too long for the
// prompt. It allows for long prompts, which exceed the environment's target on
// a warm engine too.
func (p *Permitter) slowFirstToken(release mulberrybeam.ReleasePermit) bool {
	if p.limits.FirstTokenTarget == 0 {
		return false
	}
	return release.FirstToken > max(p.limits.FirstTokenTarget, slowFirstTokenFactor*release.Expected)
}
