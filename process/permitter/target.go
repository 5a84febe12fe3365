package permitter

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/process/observer"
)

// target is what the process knows about one target.
type target struct {
	declared mulberrybeam.Target
	slot     *slot
	instance mulberrybeam.InstanceID
	// replaced is the instance before the current one. Its reports arrive
	// late and are ignored.
	replaced mulberrybeam.InstanceID
	// metAt is when the current instance was first seen.
	metAt      time.Duration
	report     mulberrybeam.LoadReport
	reportedAt time.Duration
	// word is the phase fact with the highest epoch.
	word mulberrybeam.PhaseFact
	// doubtful is set after a broken connection or a crash, which a warm
	// target should not show, until a load report measured later arrives.
	// silent is set while no load reports arrive.
	doubtful  bool
	doubtedAt time.Duration
	silent    bool
	leaving   bool
	// notBefore is the time by which the holder of the target's slot in an
	// earlier revision has stopped issuing permits for it.
	notBefore time.Duration
	// owned is set when this process first holds the slot, and is only
	// valid while it does.
	owned *owned
}

// meet records an instance ID seen by this process and reports whether the
// target has restarted.
func (t *target) meet(now time.Duration, instance mulberrybeam.InstanceID) bool {
	if instance == t.replaced {
		return false
	}
	return t.become(now, instance)
}

// become switches to an instance and reports whether it is a new one.
func (t *target) become(now time.Duration, instance mulberrybeam.InstanceID) bool {
	if instance == "" || instance == t.instance {
		return false
	}
	t.replaced, t.instance, t.metAt = t.instance, instance, now
	return true
}

func (t *target) doubt(now time.Duration) { t.doubtful, t.doubtedAt = true, now }

// owns reports whether this process is the owner of a target.
func (p *Permitter) owns(now time.Duration, t *target) bool {
	return t.owned != nil && t.slot.held(now) && t.owned.epoch == t.slot.right.Epoch
}

// phase returns the phase that this process's traffic may rely on.
func (p *Permitter) phase(now time.Duration, t *target) mulberrybeam.Phase {
	switch {
	case t.leaving:
		return mulberrybeam.PhaseLeaving
	case p.owns(now, t):
		return t.owned.phase
	}
	return t.believed()
}

// believed derives the phase of a target from the owner's phase fact. A target
// counts as warm only if the fact is current and nothing contradicts it.
func (t *target) believed() mulberrybeam.Phase {
	current := t.word.Epoch == t.slot.highest && t.word.Instance == t.instance && t.instance != ""
	switch {
	case t.leaving, current && t.word.Phase == mulberrybeam.PhaseLeaving:
		return mulberrybeam.PhaseLeaving
	case current && t.word.Phase == mulberrybeam.PhaseWarm && !t.doubtful && !t.silent && t.reportedAt > 0:
		return mulberrybeam.PhaseWarm
	}
	return mulberrybeam.PhaseCold
}

// measured handles a load report that this process fetched itself.
func (p *Permitter) measured(turn mulberrybeam.Turn, event observer.Measured) []mulberrybeam.Action {
	t := p.targets[event.Target]
	if t == nil {
		return nil
	}
	if t.doubtful && event.Since > t.doubtedAt {
		t.doubtful = false
	}
	actions := p.take(turn, t, event.Report, event.Since > t.metAt)
	if p.owns(turn.Now, t) && event.Report.Instance == t.instance {
		actions = append(actions, p.evidence(turn, t, event.Since)...)
	}
	return actions
}

// take stores a load report. A recent one also corrects the instance, in case
// late news of an old instance was mistaken for a restart.
func (p *Permitter) take(turn mulberrybeam.Turn, t *target, report mulberrybeam.LoadReport, recent bool) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if t.meet(turn.Now, report.Instance) || recent && t.become(turn.Now, report.Instance) {
		actions = p.distrust(turn, t, "new instance")
	}
	if report.Instance != t.instance {
		return actions
	}
	t.report, t.reportedAt = report, turn.Now
	t.silent = false
	p.dirty = true
	return actions
}

// learnFact handles a fact stated by another process.
func (p *Permitter) learnFact(turn mulberrybeam.Turn, event mulberrybeam.FactChanged) []mulberrybeam.Action {
	if event.Local {
		return nil
	}
	fact := event.Fact
	switch {
	case fact.Load != nil:
		if t := p.targets[fact.Load.Target]; t != nil {
			if t.doubtful && turn.Now-t.doubtedAt >= p.timing.DoubtTime {
				t.doubtful = false
			}
			return p.take(turn, t, *fact.Load, turn.Now-t.metAt >= p.timing.DoubtTime)
		}
	case fact.Slot != nil:
		p.learnSlot(turn, fact)
		return []mulberrybeam.Action{mulberrybeam.Publish{}}
	case fact.Phase != nil:
		t := p.targets[fact.Phase.Target]
		if t == nil || fact.Phase.Epoch < t.word.Epoch {
			return nil
		}
		t.word = *fact.Phase
		t.slot.highest = max(t.slot.highest, t.word.Epoch)
		// The owner may notice a restart before this process does.
		t.meet(turn.Now, t.word.Instance)
		return []mulberrybeam.Action{mulberrybeam.Publish{}}
	}
	return nil
}

func (p *Permitter) learnSlot(turn mulberrybeam.Turn, fact mulberrybeam.Fact) {
	s := p.slot(mulberrybeam.Slot{Zone: fact.Slot.Zone, Number: fact.Slot.Slot})
	if fact.Slot.Epoch < s.highest {
		return
	}
	s.highest = fact.Slot.Epoch
	s.fact = *fact.Slot
	s.factEnd = turn.Now + fact.TTL
}

// learnSign handles what traffic or the observer noticed about a target.
func (p *Permitter) learnSign(turn mulberrybeam.Turn, sign mulberrybeam.TrafficSign) []mulberrybeam.Action {
	t := p.targets[sign.Target]
	if t == nil {
		return nil
	}
	switch sign.Kind {
	case mulberrybeam.SignBroken:
		t.doubt(turn.Now)
		return p.distrust(turn, t, "broken connection")
	case mulberrybeam.SignInstance:
		if t.meet(turn.Now, sign.Instance) {
			return p.distrust(turn, t, "new instance")
		}
	case observer.SignSilent:
		t.silent = true
		return p.distrust(turn, t, "no load reports")
	case observer.SignLeaving:
		t.leaving = true
		return p.tell(turn, t, "leaving")
	case observer.SignReturned:
		t.leaving = false
		return p.distrust(turn, t, "returned")
	}
	return nil
}

// distrust makes the target cold for this process, and for all processes if
// this one owns the target. It also resets the owner state while the slot is
// lost, since the slot may be regained in the same epoch.
func (p *Permitter) distrust(turn mulberrybeam.Turn, t *target, reason string) []mulberrybeam.Action {
	if t.owned != nil {
		t.owned.restart(turn.Now, p.timing, t.instance)
	}
	return p.tell(turn, t, reason)
}

// tell publishes a snapshot after a change of phase. If this process owns the
// target, it also raises the phase fact and notes the reason in the timeline.
func (p *Permitter) tell(turn mulberrybeam.Turn, t *target, reason string) []mulberrybeam.Action {
	actions := []mulberrybeam.Action{mulberrybeam.Publish{}}
	if !p.owns(turn.Now, t) {
		return actions
	}
	return append(actions, p.state(t), mulberrybeam.Note{Entry: mulberrybeam.Entry{
		Kind: mulberrybeam.EntryPhase, Subject: string(t.declared.ID),
		Text: string(p.phase(turn.Now, t)) + ": " + reason,
	}})
}

// state raises the owner's phase fact of a target.
func (p *Permitter) state(t *target) mulberrybeam.Action {
	phase := t.owned.phase
	if t.leaving {
		phase = mulberrybeam.PhaseLeaving
	}
	t.word = mulberrybeam.PhaseFact{
		Target: t.declared.ID, Instance: t.instance, Phase: phase, Epoch: t.owned.epoch,
	}
	word := t.word
	return mulberrybeam.Raise{Event: mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
		Kind: mulberrybeam.FactPhase, Key: string(t.declared.ID), TTL: p.timing.FactTTL, Phase: &word,
	}}}
}
