package permitter

import (
	"time"

	"mulberrybeam"
)

// owned is the owner's account of one target.
type owned struct {
	epoch mulberrybeam.Epoch
	phase mulberrybeam.Phase
	// proved says that a report measured after provedBy accounts for the
	// requests that this process knows nothing of. Without it no permit
	// is issued.
	proved   bool
	provedBy time.Duration

	// completions and warmSince measure the warm-up.
	completions int
	warmSince   time.Duration

	permits map[uint64]permit
	// unaccounted bounds the requests at the target for which no release
	// is expected: those of an earlier holder and those whose release was
	// lost. All of them were sent before unaccountedBy, so that a report
	// measured later counts those that still run.
	unaccounted   int
	unaccountedBy time.Duration

	// isolated is the permit of the suspected request, 0 when there is
	// none. isolationAfter is when suspects of an earlier holder have
	// surely ended.
	isolated       uint64
	isolationAfter time.Duration
}

// permit is a permit without a release. Its request is only sent to the
// instance that the asker named.
type permit struct {
	instance mulberrybeam.InstanceID
	epoch    mulberrybeam.Epoch
	// sentBy is when the request has reached the target or never will,
	// endsBy when its run limit is over.
	sentBy time.Duration
	endsBy time.Duration
}

// own starts the account of a target in a new epoch. A target that this
// process already believes to be warm stays so: its traffic was allowed to
// use it without a permit before.
func (p *Permitter) own(turn mulberrybeam.Turn, t *target, fresh bool) []mulberrybeam.Action {
	phase := t.believed()
	permits := map[uint64]permit{}
	if t.owned != nil {
		// The process may have begun a new epoch itself, with permits of
		// the last one still unused.
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

// restart makes the target cold. Permits for the present instance stay
// counted, since their requests may still be on their way.
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

// warmedUp says whether the target's declared warm-up has ended.
func (p *Permitter) warmedUp(turn mulberrybeam.Turn, t *target) bool {
	requests, length := t.declared.WarmRequests, t.declared.WarmTime
	if requests == 0 {
		requests, length = p.timing.WarmAfter, p.timing.WarmTime
	}
	return t.owned.completions >= requests && turn.Now-t.owned.warmSince >= length
}

// evidence takes a report of the present instance measured at or after since.
func (p *Permitter) evidence(turn mulberrybeam.Turn, t *target, since time.Duration) []mulberrybeam.Action {
	o := t.owned
	inFlight := t.report.Running + t.report.Waiting
	o.loseReleases(turn.Now)
	if !o.proved {
		if since < o.provedBy {
			return nil
		}
		// Requests under permits are counted twice here, until a report
		// shows fewer in flight. The report does not tell which are which.
		o.proved = true
		o.warmSince = turn.Now
		o.unaccounted, o.unaccountedBy = inFlight, o.provedBy
		o.isolationAfter = 0
		if inFlight > 0 {
			o.isolationAfter = turn.Now + p.timing.longer(p.limits.RequestTimeout)
		}
		return p.tell(turn, t, "load report after doubt")
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

func (o *owned) drop(id uint64) {
	delete(o.permits, id)
	if o.isolated == id {
		o.isolated = 0
	}
}

// loseReleases gives up on releases that should have come. A release that
// comes later is ignored, since a report may have accounted for it already.
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

// loseEnded gives up on releases before the run limit when a report shows fewer
// requests in flight than there are permits whose requests arrived before a
// time: a process that died or is paused would keep a cold target's permits for
// the run limit, which is minutes. A report does not tell which requests have
// ended, so all these permits become unaccounted requests, which the report
// bounds, and a release that comes later is ignored. The permit of an isolated
// request stays, since a second suspect must not run beside it.
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

// rise makes a target warm whose warm-up has ended.
func (p *Permitter) rise(turn mulberrybeam.Turn, t *target) []mulberrybeam.Action {
	o := t.owned
	if !o.proved || o.phase == mulberrybeam.PhaseWarm || !p.warmedUp(turn, t) {
		return nil
	}
	o.phase = mulberrybeam.PhaseWarm
	o.unaccounted = 0
	return p.tell(turn, t, "warm-up completed")
}
