package permitter

import (
	"time"

	"mulberrybeam"
)

// owned is the state that the owner of a target keeps for it.
type owned struct {
	epoch mulberrybeam.Epoch
	phase mulberrybeam.Phase
	// proved is set once a load report measured at or after provedBy has
	// shown how many requests are in flight that this process did not
	// grant. No permit is issued before that.
	proved   bool
	provedBy time.Duration

	// completions counts the requests completed without a failure since
	// warmSince, the start of the warm-up.
	completions int
	warmSince   time.Duration

	permits map[uint64]permit
	// unaccounted is an upper bound of the requests in flight that have no
	// permit here: those granted by an earlier holder and those whose
	// release was lost. All of them were sent before unaccountedBy, so a
	// report measured later includes those that still run.
	unaccounted   int
	unaccountedBy time.Duration

	// isolated is the ID of the permit of a suspected request, or 0.
	// isolationAfter is the time by which suspected requests granted by an
	// earlier holder have ended.
	isolated       uint64
	isolationAfter time.Duration
}

// permit is a granted permit that has not been released. Its request is sent
// only to the instance named in the call that asked for it.
type permit struct {
	instance mulberrybeam.InstanceID
	epoch    mulberrybeam.Epoch
	// sentBy is the time by which the request has reached the target or
	// never will. endsBy adds the run limit of the request.
	sentBy time.Duration
	endsBy time.Duration
}

// own initializes the owner state of a target for a new epoch. A target that
// this process already considers warm stays warm, since its traffic has been
// using the target without permits.
func (p *Permitter) own(turn mulberrybeam.Turn, t *target, fresh bool) []mulberrybeam.Action {
	phase := t.believed()
	permits := map[uint64]permit{}
	if t.owned != nil {
		// This process may have owned the target in the previous epoch
		// too, with permits that are not yet used.
		permits = t.owned.permits
	}
	t.owned = &owned{epoch: t.slot.right.Epoch, permits: permits}
	t.owned.restart(turn.Now, p.timing, t.instance)
	if !fresh {
		t.owned.provedBy = turn.Now
	}
	t.owned.provedBy = max(t.owned.provedBy, t.notBefore)
	if phase == mulberrybeam.PhaseWarm {
		t.owned.phase = mulberrybeam.PhaseWarm
		t.owned.proved = true
		t.owned.isolationAfter = turn.Now + p.timing.longer(p.limits.RequestTimeout)
	}
	return nil
}

// restart resets the target to cold. Permits for the current instance still
// count, since their requests may be in transit.
func (o *owned) restart(now time.Duration, timing Timing, instance mulberrybeam.InstanceID) {
	for id, out := range o.permits {
		if out.instance != instance {
			o.drop(id)
		}
	}
	o.phase = mulberrybeam.PhaseCold
	o.completions = 0
	o.proved = false
	o.provedBy = now + timing.Transit
}

// warmedUp reports whether the target has completed its declared warm-up, or
// the default one.
func (p *Permitter) warmedUp(turn mulberrybeam.Turn, t *target) bool {
	requests, length := t.declared.WarmRequests, t.declared.WarmTime
	if requests == 0 {
		requests, length = p.timing.WarmAfter, p.timing.WarmTime
	}
	return t.owned.completions >= requests && turn.Now-t.owned.warmSince >= length
}

// evidence reconciles the owner state with a load report of the current
// instance that was measured at or after since.
func (p *Permitter) evidence(turn mulberrybeam.Turn, t *target, since time.Duration) []mulberrybeam.Action {
	o := t.owned
	inFlight := t.report.Running + t.report.Waiting
	o.loseReleases(turn.Now)
	if !o.proved {
		if since < o.provedBy {
			return nil
		}
		// Requests with a permit are counted twice until a report shows
		// fewer in flight, since a report does not identify them.
		o.proved = true
		o.warmSince = turn.Now
		o.unaccounted, o.unaccountedBy = inFlight, o.provedBy
		o.isolationAfter = 0
		if inFlight > 0 {
			o.isolationAfter = turn.Now + p.timing.longer(p.limits.RequestTimeout)
		}
		return p.tell(turn, t, "load report received")
	}
	o.loseEnded(since-p.timing.ReleaseGrace, inFlight)
	if since >= o.unaccountedBy {
		o.unaccounted = min(o.unaccounted, inFlight)
	}
	if o.unaccounted == 0 && o.phase == mulberrybeam.PhaseCold {
		o.isolationAfter = 0
	}
	return p.rise(turn, t)
}

// drop forgets a permit.
func (o *owned) drop(id uint64) {
	delete(o.permits, id)
	if o.isolated == id {
		o.isolated = 0
	}
}

// loseReleases reclaims the permits whose requests have passed their run limit
// without a release. A release that arrives later is ignored, since a report
// may already have accounted for its request.
func (o *owned) loseReleases(now time.Duration) {
	for id, lost := range o.permits {
		if now < lost.endsBy {
			continue
		}
		o.drop(id)
		if o.phase == mulberrybeam.PhaseCold {
			o.unaccounted++
			o.unaccountedBy = max(o.unaccountedBy, lost.sentBy)
		}
	}
}

// loseEnded reclaims permits before their run limit when a report shows fewer
// requests in flight than there are permits whose requests arrived by
// sentBefore. Otherwise a process that died or is paused would hold the permits
// of a cold target for the whole run limit, which is minutes. A report does not
// identify the requests that have ended, so all of these permits become
// unaccounted requests, which the report bounds, and their later releases are
// ignored. The permit of an isolated request is kept, since a second suspected
// request must not run at the same time.
func (o *owned) loseEnded(sentBefore time.Duration, inFlight int) {
	var arrived []uint64
	for id, out := range o.permits {
		if out.sentBy <= sentBefore && id != o.isolated {
			arrived = append(arrived, id)
		}
	}
	if o.phase != mulberrybeam.PhaseCold || len(arrived) <= inFlight {
		return
	}
	for _, id := range arrived {
		o.unaccountedBy = max(o.unaccountedBy, o.permits[id].sentBy)
		o.unaccounted++
		o.drop(id)
	}
}

// rise makes a cold target warm if it has completed its warm-up.
func (p *Permitter) rise(turn mulberrybeam.Turn, t *target) []mulberrybeam.Action {
	o := t.owned
	if !o.proved || o.phase == mulberrybeam.PhaseWarm || !p.warmedUp(turn, t) {
		return nil
	}
	o.phase = mulberrybeam.PhaseWarm
	o.unaccounted = 0
	return p.tell(turn, t, "warm-up completed")
}
