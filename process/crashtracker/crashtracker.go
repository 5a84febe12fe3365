// Package crashtracker is the control state machine that publishes which requests
// were in flight when a target crashed, and clears those that prove harmless.
package crashtracker

import (
	"math"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/observer"
	"mulberrybeam/request/quarantiner"
)

// removalInterval is the minimum time between two removals of expired facts.
const removalInterval = time.Minute

// Tracker is the state machine. Only the control goroutine may use it.
type Tracker struct {
	facts       map[string]heldFact
	nextRemoval time.Duration
}

// heldFact is a crash fact and the local time at which it last changed.
type heldFact struct {
	fact      mulberrybeam.Fact
	changedAt time.Duration
}

// New returns a state machine with no facts.
func New() *Tracker { return &Tracker{facts: map[string]heldFact{}} }

// Step implements mulberrybeam.StateMachine.
func (t *Tracker) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.TargetSignal:
		return t.handleSignal(event)
	case observer.ReportPolled:
		// A report that was taken before the crash may arrive after it.
		return publish(quarantiner.ClearSurvived(event.Target, event.Report.Instance, t.factsBefore(event.MeasuredAfter)))
	case mulberrybeam.FactChanged:
		t.keep(turn, event.Fact)
	case mulberrybeam.Tick:
		t.removeExpired(turn)
	}
	return nil
}

// FillSnapshot implements mulberrybeam.StateMachine. The gossiper adds the crashes to the
// snapshot.
func (*Tracker) FillSnapshot(*mulberrybeam.Snapshot) {}

func (t *Tracker) handleSignal(signal mulberrybeam.TargetSignal) []mulberrybeam.Action {
	if signal.Cleared != nil {
		return publish(quarantiner.ClearCompleted(*signal.Cleared, t.allFacts()))
	}
	if signal.Kind != mulberrybeam.SignalBroken || len(signal.InFlight) == 0 {
		return nil
	}
	return publish(t.withoutKnown(quarantiner.CrashFacts(signal.Target, signal.Instance, signal.InFlight)))
}

// withoutKnown filters out facts that are already known. Each request in flight
// reports the same broken connection, and a report that arrives after the request
// was cleared must not make it a suspect again.
func (t *Tracker) withoutKnown(facts []mulberrybeam.Fact) []mulberrybeam.Fact {
	fresh := facts[:0]
	for _, fact := range facts {
		if _, known := t.facts[fact.Key]; !known {
			fresh = append(fresh, fact)
		}
	}
	return fresh
}

func publish(facts []mulberrybeam.Fact) []mulberrybeam.Action {
	actions := make([]mulberrybeam.Action, 0, len(facts))
	for _, fact := range facts {
		actions = append(actions,
			mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Fact: fact, Local: true}},
			mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{
				Kind:    mulberrybeam.EntryCrash,
				Subject: string(fact.Crash.Target),
				Text:    describeCrash(fact.Crash),
			}},
		)
	}
	return actions
}

func describeCrash(crash *mulberrybeam.CrashFact) string {
	if crash.Count == 0 {
		return "request is no longer suspected of the crash"
	}
	return "connection broke while the request was in flight"
}

func (t *Tracker) keep(turn mulberrybeam.Turn, fact mulberrybeam.Fact) {
	if fact.Kind == mulberrybeam.FactCrash && fact.Crash != nil {
		t.facts[fact.Key] = heldFact{fact: fact, changedAt: turn.Now}
	}
}

func (t *Tracker) allFacts() []mulberrybeam.Fact { return t.factsBefore(math.MaxInt64) }

// factsBefore returns the facts that last changed before a time.
func (t *Tracker) factsBefore(end time.Duration) []mulberrybeam.Fact {
	facts := make([]mulberrybeam.Fact, 0, len(t.facts))
	for _, held := range t.facts {
		if held.changedAt < end {
			facts = append(facts, held.fact)
		}
	}
	return facts
}

func (t *Tracker) removeExpired(turn mulberrybeam.Turn) {
	if turn.Now < t.nextRemoval {
		return
	}
	t.nextRemoval = turn.Now + removalInterval
	for key, held := range t.facts {
		if turn.Now-held.changedAt > held.fact.TTL {
			delete(t.facts, key)
		}
	}
}
