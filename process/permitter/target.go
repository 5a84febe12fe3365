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
	// previousInstance is the instance before the current one. Its reports
	// arrive late and are ignored.
	previousInstance mulberrybeam.InstanceID
	// instanceSince is when the current instance was first seen.
	instanceSince time.Duration
	report        mulberrybeam.LoadReport
	reportedAt    time.Duration
	// phaseFact is the phase fact with the highest epoch.
	phaseFact mulberrybeam.PhaseFact
	// distrusted is set after a broken connection or a crash, which a warm
	// target should not show, until a load report measured later arrives.
	// silent is set while no load reports arrive.
	distrusted   bool
	distrustedAt time.Duration
	silent       bool
	leaving      bool
	// reassignmentEnd is the time by which the holder of the target's slot
	// in an earlier revision has stopped issuing permits for it.
	reassignmentEnd time.Duration
	// ownerState is set when this process first holds the slot, and is only
	// valid while it does.
	ownerState *ownerState
}

// observeInstance records an instance ID seen by this process and reports
// whether the target has restarted.
func (t *target) observeInstance(now time.Duration, instance mulberrybeam.InstanceID) bool {
	if instance == t.previousInstance {
		return false
	}
	return t.setInstance(now, instance)
}

// setInstance switches to an instance and reports whether it is a new one.
func (t *target) setInstance(now time.Duration, instance mulberrybeam.InstanceID) bool {
	if instance == "" || instance == t.instance {
		return false
	}
	t.previousInstance, t.instance, t.instanceSince = t.instance, instance, now
	return true
}

func (t *target) distrust(now time.Duration) { t.distrusted, t.distrustedAt = true, now }

// owns reports whether this process is the owner of a target.
func (p *Permitter) owns(now time.Duration, t *target) bool {
	return t.ownerState != nil && t.slot.heldBySelf(now) && t.ownerState.epoch == t.slot.ownership.Epoch
}

// phase returns the phase that this process's traffic may rely on.
func (p *Permitter) phase(now time.Duration, t *target) mulberrybeam.Phase {
	switch {
	case t.leaving:
		return mulberrybeam.PhaseLeaving
	case p.owns(now, t):
		return t.ownerState.phase
	}
	return t.phaseFromFact()
}

// phaseFromFact derives the phase of a target from the owner's phase fact. A
// target counts as warm only if the fact is current and nothing contradicts it.
func (t *target) phaseFromFact() mulberrybeam.Phase {
	current := t.phaseFact.Epoch == t.slot.highestEpoch && t.phaseFact.Instance == t.instance && t.instance != ""
	switch {
	case t.leaving, current && t.phaseFact.Phase == mulberrybeam.PhaseLeaving:
		return mulberrybeam.PhaseLeaving
	case current && t.phaseFact.Phase == mulberrybeam.PhaseWarm && !t.distrusted && !t.silent && t.reportedAt > 0:
		return mulberrybeam.PhaseWarm
	}
	return mulberrybeam.PhaseCold
}

// handleReport handles a load report that this process fetched itself.
func (p *Permitter) handleReport(turn mulberrybeam.Turn, event observer.ReportPolled) []mulberrybeam.Action {
	t := p.targets[event.Target]
	if t == nil {
		return nil
	}
	if t.distrusted && event.MeasuredAfter > t.distrustedAt {
		t.distrusted = false
	}
	actions := p.storeReport(turn, t, event.Report, event.MeasuredAfter > t.instanceSince)
	if p.owns(turn.Now, t) && event.Report.Instance == t.instance {
		actions = append(actions, p.reconcileReport(turn, t, event.MeasuredAfter)...)
	}
	return actions
}

// storeReport stores a load report. A recent one also corrects the instance, in
// case late news of an old instance was mistaken for a restart.
func (p *Permitter) storeReport(turn mulberrybeam.Turn, t *target, report mulberrybeam.LoadReport, recent bool) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if t.observeInstance(turn.Now, report.Instance) || recent && t.setInstance(turn.Now, report.Instance) {
		actions = p.resetPhase(turn, t, "new instance")
	}
	if report.Instance != t.instance {
		return actions
	}
	t.report, t.reportedAt = report, turn.Now
	t.silent = false
	p.dirty = true
	return actions
}

// handleFact handles a fact stated by another process.
func (p *Permitter) handleFact(turn mulberrybeam.Turn, event mulberrybeam.FactChanged) []mulberrybeam.Action {
	if event.Local {
		return nil
	}
	fact := event.Fact
	switch {
	case fact.Load != nil:
		if t := p.targets[fact.Load.Target]; t != nil {
			if t.distrusted && turn.Now-t.distrustedAt >= p.timing.DistrustTime {
				t.distrusted = false
			}
			return p.storeReport(turn, t, *fact.Load, turn.Now-t.instanceSince >= p.timing.DistrustTime)
		}
	case fact.Slot != nil:
		p.handleSlotFact(turn, fact)
		return []mulberrybeam.Action{mulberrybeam.PublishSnapshot{}}
	case fact.Phase != nil:
		t := p.targets[fact.Phase.Target]
		if t == nil || fact.Phase.Epoch < t.phaseFact.Epoch {
			return nil
		}
		t.phaseFact = *fact.Phase
		t.slot.highestEpoch = max(t.slot.highestEpoch, t.phaseFact.Epoch)
		// The owner may notice a restart before this process does.
		t.observeInstance(turn.Now, t.phaseFact.Instance)
		return []mulberrybeam.Action{mulberrybeam.PublishSnapshot{}}
	}
	return nil
}

func (p *Permitter) handleSlotFact(turn mulberrybeam.Turn, fact mulberrybeam.Fact) {
	s := p.slot(mulberrybeam.Slot{Zone: fact.Slot.Zone, Number: fact.Slot.Slot})
	if fact.Slot.Epoch < s.highestEpoch {
		return
	}
	s.highestEpoch = fact.Slot.Epoch
	s.fact = *fact.Slot
	s.factExpiresAt = turn.Now + fact.TTL
}

// handleSignal handles what traffic or the observer noticed about a target.
func (p *Permitter) handleSignal(turn mulberrybeam.Turn, signal mulberrybeam.TargetSignal) []mulberrybeam.Action {
	t := p.targets[signal.Target]
	if t == nil {
		return nil
	}
	switch signal.Kind {
	case mulberrybeam.SignalBroken:
		t.distrust(turn.Now)
		return p.resetPhase(turn, t, "broken connection")
	case mulberrybeam.SignalNewInstance:
		if t.observeInstance(turn.Now, signal.Instance) {
			return p.resetPhase(turn, t, "new instance")
		}
	case observer.SignalSilent:
		t.silent = true
		return p.resetPhase(turn, t, "no load reports")
	case observer.SignalLeaving:
		t.leaving = true
		return p.publishPhase(turn, t, "leaving")
	case observer.SignalReturned:
		t.leaving = false
		return p.resetPhase(turn, t, "returned")
	}
	return nil
}

// resetPhase makes the target cold for this process, and for all processes if
// this one owns the target. It also resets the owner state while the slot is
// lost, since the slot may be regained in the same epoch.
func (p *Permitter) resetPhase(turn mulberrybeam.Turn, t *target, reason string) []mulberrybeam.Action {
	if t.ownerState != nil {
		t.ownerState.resetToCold(turn.Now, p.timing, t.instance)
	}
	return p.publishPhase(turn, t, reason)
}

// publishPhase publishes a snapshot after a change of phase. If this process
// owns the target, it also raises the phase fact and notes the reason in the
// timeline.
func (p *Permitter) publishPhase(turn mulberrybeam.Turn, t *target, reason string) []mulberrybeam.Action {
	actions := []mulberrybeam.Action{mulberrybeam.PublishSnapshot{}}
	if !p.owns(turn.Now, t) {
		return actions
	}
	return append(actions, p.raisePhaseFact(t), mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{
		Kind: mulberrybeam.EntryPhase, Subject: string(t.declared.ID),
		Text: string(p.phase(turn.Now, t)) + ": " + reason,
	}})
}

// raisePhaseFact raises the owner's phase fact of a target.
func (p *Permitter) raisePhaseFact(t *target) mulberrybeam.Action {
	phase := t.ownerState.phase
	if t.leaving {
		phase = mulberrybeam.PhaseLeaving
	}
	t.phaseFact = mulberrybeam.PhaseFact{
		Target: t.declared.ID, Instance: t.instance, Phase: phase, Epoch: t.ownerState.epoch,
	}
	phaseFact := t.phaseFact
	return mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
		Kind: mulberrybeam.FactPhase, Key: string(t.declared.ID), TTL: p.timing.FactTTL, Phase: &phaseFact,
	}}}
}
