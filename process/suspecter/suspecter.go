// Package suspecter is the control state machine that publishes which requests
// were in flight when a target crashed, and clears those that prove harmless.
package suspecter

import (
	"math"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/observer"
	"mulberrybeam/request/quarantiner"
)

// removalInterval is the minimum time between two removals of expired facts.
const removalInterval = time.Minute

// Suspecter is the state machine. Only the control goroutine may use it.
type Suspecter struct {
	facts       map[string]heldFact
	nextRemoval time.Duration
}

// heldFact is a crash fact and the local time at which it last changed.
type heldFact struct {
	fact      mulberrybeam.Fact
	changedAt time.Duration
}

// New returns a state machine with no facts.
func New() *Suspecter { return &Suspecter{facts: map[string]heldFact{}} }

// Step implements mulberrybeam.StateMachine.
func (s *Suspecter) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.TargetSignal:
		return s.handleSignal(event)
	case observer.ReportPolled:
		// A report that was measured before the crash may arrive after it.
		return publish(quarantiner.ClearSurvived(event.Target, event.Report.Instance, s.factsBefore(event.MeasuredAfter)))
	case mulberrybeam.FactChanged:
		s.keep(turn, event.Fact)
	case mulberrybeam.Tick:
		s.removeExpired(turn)
	}
	return nil
}

// FillSnapshot implements mulberrybeam.StateMachine. The gossiper adds the crashes to the
// snapshot.
func (*Suspecter) FillSnapshot(*mulberrybeam.Snapshot) {}

func (s *Suspecter) handleSignal(signal mulberrybeam.TargetSignal) []mulberrybeam.Action {
	if signal.Cleared != nil {
		return publish(quarantiner.ClearCompleted(*signal.Cleared, s.allFacts()))
	}
	if signal.Kind != mulberrybeam.SignalBroken || len(signal.InFlight) == 0 {
		return nil
	}
	return publish(s.withoutKnown(quarantiner.CrashFacts(signal.Target, signal.Instance, signal.InFlight)))
}

// withoutKnown filters out facts that are already known. Each request in flight
// reports the same broken connection, and a report that arrives after the request
// was cleared must not make it a suspect again.
func (s *Suspecter) withoutKnown(facts []mulberrybeam.Fact) []mulberrybeam.Fact {
	fresh := facts[:0]
	for _, fact := range facts {
		if _, known := s.facts[fact.Key]; !known {
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

func (s *Suspecter) keep(turn mulberrybeam.Turn, fact mulberrybeam.Fact) {
	if fact.Kind == mulberrybeam.FactCrash && fact.Crash != nil {
		s.facts[fact.Key] = heldFact{fact: fact, changedAt: turn.Now}
	}
}

func (s *Suspecter) allFacts() []mulberrybeam.Fact { return s.factsBefore(math.MaxInt64) }

// factsBefore returns the facts that last changed before a time.
func (s *Suspecter) factsBefore(end time.Duration) []mulberrybeam.Fact {
	facts := make([]mulberrybeam.Fact, 0, len(s.facts))
	for _, held := range s.facts {
		if held.changedAt < end {
			facts = append(facts, held.fact)
		}
	}
	return facts
}

func (s *Suspecter) removeExpired(turn mulberrybeam.Turn) {
	if turn.Now < s.nextRemoval {
		return
	}
	s.nextRemoval = turn.Now + removalInterval
	for key, held := range s.facts {
		if turn.Now-held.changedAt > held.fact.TTL {
			delete(s.facts, key)
		}
	}
}
