package permitter

import (
	"time"

	"mulberrybeam"
)

// Reasons of refusals.
const (
	ReasonUnknownTarget = "target is not in the configuration"
	ReasonNotOwner      = "process does not hold the target's slot"
	ReasonLeaving       = "target is leaving"
	ReasonUnproved      = "no load report yet since the target became doubtful"
	ReasonInstance      = "target's instance is not the one asked for"
	ReasonColdLimit     = "target in cold start has its limit of requests"
	ReasonIsolation     = "target may run another suspected request"
)

// ask answers an AskPermit.
func (p *Permitter) ask(turn mulberrybeam.Turn, ask mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, []mulberrybeam.Action) {
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
	if t.meet(turn.Now, ask.Instance) {
		return p.refuse(ReasonUnproved), p.distrust(turn, t, "asker saw a new instance")
	}
	valid := p.timing.shorter(min(p.timing.Valid, t.slot.right.Until-turn.Now))
	switch o := t.owned; {
	case !o.proved:
		return p.refuse(ReasonUnproved), nil
	case ask.Instance != t.instance:
		// The permit holds for one instance only: one that was issued
		// before a restart must not add to the load of the next instance,
		// whose limit starts anew.
		return p.refuse(ReasonInstance), nil
	case o.phase == mulberrybeam.PhaseWarm:
		return p.askWarm(turn, t, ask, valid), nil
	case len(o.permits)+o.unaccounted >= t.declared.ColdLimit:
		return p.refuse(ReasonColdLimit), nil
	case ask.Isolated && !o.mayIsolate(turn.Now):
		return p.refuse(ReasonIsolation), nil
	}
	return p.grant(turn, t, ask, valid), nil
}

// askWarm answers for a warm target.
func (p *Permitter) askWarm(turn mulberrybeam.Turn, t *target, ask mulberrybeam.AskPermit, valid time.Duration) mulberrybeam.AskPermitReply {
	o := t.owned
	if !ask.Isolated {
		return mulberrybeam.AskPermitReply{Warm: true, Epoch: o.epoch, Valid: valid}
	}
	o.loseReleases(turn.Now)
	if !o.mayIsolate(turn.Now) {
		return p.refuse(ReasonIsolation)
	}
	return p.grant(turn, t, ask, valid)
}

func (o *owned) mayIsolate(now time.Duration) bool {
	return o.isolated == 0 && now >= o.isolationAfter
}

func (p *Permitter) grant(turn mulberrybeam.Turn, t *target, ask mulberrybeam.AskPermit, valid time.Duration) mulberrybeam.AskPermitReply {
	p.permits++
	sentBy := turn.Now + p.timing.longer(valid) + p.timing.Transit
	t.owned.permits[p.permits] = permit{
		instance: t.instance, epoch: t.owned.epoch,
		sentBy: sentBy, endsBy: sentBy + p.timing.longer(ask.RunLimit),
	}
	if ask.Isolated {
		t.owned.isolated = p.permits
	}
	return mulberrybeam.AskPermitReply{
		Granted: true, Permit: p.permits, Epoch: t.owned.epoch, Valid: valid,
		Warm: t.owned.phase == mulberrybeam.PhaseWarm,
	}
}

func (p *Permitter) refuse(reason string) mulberrybeam.AskPermitReply {
	return mulberrybeam.AskPermitReply{Reason: reason, RetryAfter: p.timing.Retry}
}

// slowFactor is how much later than expected a first token may come before it
// counts as a sign of a cold target.
const slowFactor = 2

// release takes a permit back. It counts even while the right has lapsed,
// since the right may come back in the same epoch.
func (p *Permitter) release(turn mulberrybeam.Turn, release mulberrybeam.ReleasePermit) []mulberrybeam.Action {
	t := p.targets[release.Target]
	if t == nil || t.owned == nil {
		return nil
	}
	o := t.owned
	if out, ok := o.permits[release.Permit]; !ok || out.epoch != release.Epoch {
		return nil
	}
	o.drop(release.Permit)
	switch {
	case release.Crashed:
		t.doubt(turn.Now)
		return p.distrust(turn, t, "crashed under a permit")
	case o.phase == mulberrybeam.PhaseWarm:
		return nil
	case !release.Completed:
		o.completions, o.warmSince = 0, turn.Now
		return nil
	case p.slow(release):
		// Slow completions show no warmth, but no failure either.
		return nil
	}
	o.completions++
	if !p.owns(turn.Now, t) {
		return nil
	}
	return p.rise(turn, t)
}

// slow says whether a first token came late for its prompt. A long prompt may
// take more than the environment's target on a warm engine too.
func (p *Permitter) slow(release mulberrybeam.ReleasePermit) bool {
	if p.limits.FirstTokenTarget == 0 {
		return false
	}
	return release.FirstToken > max(p.limits.FirstTokenTarget, slowFactor*release.Expected)
}
