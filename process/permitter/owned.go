package permitter

import (
	"time"

	"mulberrybeam"
)

// ownerState is the state that the owner of a target keeps for it.
type ownerState struct {
	epoch mulberrybeam.Epoch
	phase mulberrybeam.Phase
	// loadKnown is set once a load report measured at or after
	// loadKnownFrom has shown how many requests are in flight that this
	// process did not grant. No permit is issued before that.
	loadKnown     bool
	loadKnownFrom time.Duration

	// completions counts the requests completed without a failure since
	// warmUpStart.
	completions int
	warmUpStart time.Duration

	permits map[uint64]permit
	// untracked is an upper bound of the requests in flight that have no
	// permit here: those granted by an earlier holder and those whose
	// release was lost. All of them arrive before untrackedUntil, so a
	// report measured later includes those that still run.
	untracked      int
	untrackedUntil time.Duration

	// isolatedPermit is the ID of the permit of a suspected request, or 0.
	// isolationAllowedAt is the time by which suspected requests granted by
	// an earlier holder have ended.
	isolatedPermit     uint64
	isolationAllowedAt time.Duration
}

// permit is a granted permit that has not been released. Its request is sent
// only to the instance named in the call that asked for it.
type permit struct {
	instance mulberrybeam.InstanceID
	epoch    mulberrybeam.Epoch
	// arrivesBy is the time by which the request has reached the target or
	// never will. endsBy adds the run limit of the request.
	arrivesBy time.Duration
	endsBy    time.Duration
}

// takeOwnership initializes the owner state of a target for a new epoch. A
// target that this process already considers warm stays warm, since its traffic
// has been using the target without permits.
func (p *Permitter) takeOwnership(turn mulberrybeam.Turn, t *target, fromOtherHolder bool) []mulberrybeam.Action {
	phase := t.phaseFromFact()
	permits := map[uint64]permit{}
	if t.ownerState != nil {
		// This process may have owned the target in the previous epoch
		// too, with permits that are not yet used.
		permits = t.ownerState.permits
	}
	t.ownerState = &ownerState{epoch: t.slot.ownership.Epoch, permits: permits}
	t.ownerState.resetToCold(turn.Now, p.timing, t.instance)
	if !fromOtherHolder {
		t.ownerState.loadKnownFrom = turn.Now
	}
	t.ownerState.loadKnownFrom = max(t.ownerState.loadKnownFrom, t.reassignmentEnd)
	if phase == mulberrybeam.PhaseWarm {
		t.ownerState.phase = mulberrybeam.PhaseWarm
		t.ownerState.loadKnown = true
		t.ownerState.isolationAllowedAt = turn.Now + p.timing.longer(p.limits.RequestTimeout)
	}
	return nil
}

// resetToCold resets the target to cold. Permits for the current instance still
// count, since their requests may be in transit.
func (o *ownerState) resetToCold(now time.Duration, timing Timing, instance mulberrybeam.InstanceID) {
	for id, issued := range o.permits {
		if issued.instance != instance {
			o.removePermit(id)
		}
	}
	o.phase = mulberrybeam.PhaseCold
	o.completions = 0
	o.loadKnown = false
	o.loadKnownFrom = now + timing.MaxTransit
}

// warmUpCompleted reports whether the target has completed its declared
// warm-up, or the default one.
func (p *Permitter) warmUpCompleted(turn mulberrybeam.Turn, t *target) bool {
	requests, duration := t.declared.WarmRequests, t.declared.WarmTime
	if requests == 0 {
		requests, duration = p.timing.WarmRequests, p.timing.WarmTime
	}
	return t.ownerState.completions >= requests && turn.Now-t.ownerState.warmUpStart >= duration
}

// reconcileReport reconciles the owner state with a load report of the current
// instance that was taken at or after since.
func (p *Permitter) reconcileReport(turn mulberrybeam.Turn, t *target, since time.Duration) []mulberrybeam.Action {
	o := t.ownerState
	inFlight := t.report.Running + t.report.Waiting
	o.reclaimExpired(turn.Now)
	if !o.loadKnown {
		if since < o.loadKnownFrom {
			return nil
		}
		// Requests with a permit are counted twice until a report shows
		// fewer in flight, since a report does not identify them.
		o.loadKnown = true
		o.warmUpStart = turn.Now
		o.untracked, o.untrackedUntil = inFlight, o.loadKnownFrom
		o.isolationAllowedAt = 0
		if inFlight > 0 {
			o.isolationAllowedAt = turn.Now + p.timing.longer(p.limits.RequestTimeout)
		}
		return p.publishPhase(turn, t, "load report received")
	}
	o.reclaimByReport(since-p.timing.ReleaseGrace, inFlight)
	if since >= o.untrackedUntil {
		o.untracked = min(o.untracked, inFlight)
	}
	if o.untracked == 0 && o.phase == mulberrybeam.PhaseCold {
		o.isolationAllowedAt = 0
	}
	return p.promoteToWarm(turn, t)
}

// removePermit forgets a permit.
func (o *ownerState) removePermit(id uint64) {
	delete(o.permits, id)
	if o.isolatedPermit == id {
		o.isolatedPermit = 0
	}
}

// reclaimExpired reclaims the permits whose requests have passed their run
// limit without a release. A release that arrives later is ignored, since a
// report may already have accounted for its request.
func (o *ownerState) reclaimExpired(now time.Duration) {
	for id, expired := range o.permits {
		if now < expired.endsBy {
			continue
		}
		o.removePermit(id)
		if o.phase == mulberrybeam.PhaseCold {
			o.untracked++
			o.untrackedUntil = max(o.untrackedUntil, expired.arrivesBy)
		}
	}
}

// reclaimByReport reclaims permits before their run limit when a report shows
// fewer requests in flight than there are permits whose requests arrived by
// arrivedBy. Otherwise a process that died or is paused would hold the permits
// of a cold target for the whole run limit, which is minutes. A report does not
// identify the requests that have ended, so all of these permits become
// untracked requests, which the report bounds, and their later releases are
// ignored. The permit of an isolated request is kept, since a second suspected
// request must not run at the same time.
func (o *ownerState) reclaimByReport(arrivedBy time.Duration, inFlight int) {
	var arrived []uint64
	for id, issued := range o.permits {
		if issued.arrivesBy <= arrivedBy && id != o.isolatedPermit {
			arrived = append(arrived, id)
		}
	}
	if o.phase != mulberrybeam.PhaseCold || len(arrived) <= inFlight {
		return
	}
	for _, id := range arrived {
		o.untrackedUntil = max(o.untrackedUntil, o.permits[id].arrivesBy)
		o.untracked++
		o.removePermit(id)
	}
}

// promoteToWarm makes a cold target warm if it has completed its warm-up.
func (p *Permitter) promoteToWarm(turn mulberrybeam.Turn, t *target) []mulberrybeam.Action {
	o := t.ownerState
	if !o.loadKnown || o.phase == mulberrybeam.PhaseWarm || !p.warmUpCompleted(turn, t) {
		return nil
	}
	o.phase = mulberrybeam.PhaseWarm
	o.untracked = 0
	return p.publishPhase(turn, t, "warm-up completed")
}
