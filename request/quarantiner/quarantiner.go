// Package quarantiner decides whether and how a request may run that was in
// flight when a target crashed. It stops a request that crashes every target that
// runs it, but not the other requests that were in flight at these targets.
//
// A crash is recorded as one fact for each request that was in flight. A request
// with one such fact is a suspect and runs once more in isolation: its target
// runs no other suspect. A request with two facts is refused. An innocent request
// gets its second fact only if another, unsuspected request crashes the target of
// its isolated run.
//
// Until crash facts have spread, a process knows only its own. A request that
// crashes targets and is sent again to other hosts within that time may run at
// each of them, and concurrent copies of it may each run. Each process stops it
// after two crashes of its own, and all processes do once the facts have spread.
//
// Different requests may crash targets because they share a part of their prompts.
// DecideParts refuses requests with such a part, other than a few trials.
package quarantiner

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"mulberrybeam"
)

const (
	// RefusalThreshold is the number of crashes at which a request is refused.
	RefusalThreshold = 2
	// FactTTL is how long a crash counts. Automatic retries of callers end
	// much earlier.
	FactTTL = time.Hour
	// clearTTL is longer than FactTTL, so that a cleared fact outlasts copies
	// of the crash fact that processes are still exchanging.
	clearTTL = 2 * FactTTL
	// copyRetryAfter is the time after which to retry while a copy of the
	// same request runs in isolation.
	copyRetryAfter = time.Second
)

// Verdict is the decision on whether and how a request may run.
type Verdict string

// Values of Verdict.
const (
	// RunNormally is for requests without crashes.
	RunNormally Verdict = "normally"
	// RunIsolated is for suspects. They need an isolation permit.
	RunIsolated Verdict = "isolated"
	// Wait is for suspects while a copy of the request runs in isolation.
	Wait Verdict = "wait"
	// Refuse is for requests with at least RefusalThreshold crashes.
	Refuse Verdict = "refuse"
)

// Suspicion holds the crashes that are known for a request.
type Suspicion struct {
	// Facts are the crash facts of the fingerprint in the snapshot, one by
	// one or added up.
	Facts []mulberrybeam.CrashFact
	// CrashesBefore and BrokenAttempts count crashes of this request, some of
	// which may not be in the snapshot yet: the crashes known before its first attempt, and
	// its attempts that ended with a broken connection.
	CrashesBefore  int
	BrokenAttempts int
	// Copies is the number of isolated runs of the same fingerprint that are
	// in progress in this process.
	Copies int
}

// Decide returns the verdict on a request and the number of its crashes.
func Decide(suspicion Suspicion) (Verdict, int) {
	spreadCrashes := 0
	for _, crash := range suspicion.Facts {
		spreadCrashes += crash.Count
	}
	crashes := max(spreadCrashes, suspicion.CrashesBefore+suspicion.BrokenAttempts)
	switch {
	case crashes >= RefusalThreshold:
		return Refuse, crashes
	case crashes == 0:
		return RunNormally, crashes
	case suspicion.Copies > 0:
		return Wait, crashes
	}
	return RunIsolated, crashes
}

// Refusal returns the failure for the verdicts Refuse and Wait, and nil for the
// others. NotRun is set only if none of the request's attempts ended with a
// broken connection.
func Refusal(verdict Verdict, crashes int, suspicion Suspicion) error {
	failure := &mulberrybeam.Failure{Step: mulberrybeam.StepAdmit, NotRun: suspicion.BrokenAttempts == 0}
	switch verdict {
	case Refuse:
		failure.Code = mulberrybeam.CodeCrashesTargets
		failure.Message = fmt.Sprintf("%d targets crashed while the request was in flight", crashes)
	case Wait:
		failure.Code = mulberrybeam.CodeOverloaded
		failure.Message = "a copy of the request is running in isolation after a crash"
		failure.RetryAfter = copyRetryAfter
	default:
		return nil
	}
	return failure
}

// CrashFacts returns the facts to publish after the connection to a target broke
// with requests of this process in flight. The instance is the one that ran them.
// The gossiper sets the stamps of the facts.
func CrashFacts(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, inFlight []mulberrybeam.Fingerprint) []mulberrybeam.Fact {
	facts := make([]mulberrybeam.Fact, 0, len(inFlight))
	seen := make(map[mulberrybeam.Fingerprint]bool, len(inFlight))
	for _, fingerprint := range inFlight {
		if seen[fingerprint] {
			continue
		}
		seen[fingerprint] = true
		facts = append(facts, mulberrybeam.Fact{
			Kind:  mulberrybeam.FactCrash,
			Key:   hex.EncodeToString(fingerprint[:]) + keySuffix(target, instance),
			TTL:   FactTTL,
			Crash: &mulberrybeam.CrashFact{Fingerprint: fingerprint, Count: 1, Target: target},
		})
	}
	return facts
}

// ClearCompleted returns the facts that clear a request after its isolated run has
// completed, given the known facts.
func ClearCompleted(fingerprint mulberrybeam.Fingerprint, facts []mulberrybeam.Fact) []mulberrybeam.Fact {
	return clearingFacts(facts, func(fact mulberrybeam.Fact) bool { return fact.Crash.Fingerprint == fingerprint })
}

// ClearSurvived returns the facts that clear the requests that were in flight when a
// connection broke, once the same instance answers again and thus has not
// crashed. Without this, a broken network path would make a suspect of every
// request with a stream over it.
func ClearSurvived(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, facts []mulberrybeam.Fact) []mulberrybeam.Fact {
	suffix := keySuffix(target, instance)
	return clearingFacts(facts, func(fact mulberrybeam.Fact) bool { return instance != "" && strings.HasSuffix(fact.Key, suffix) })
}

func clearingFacts(facts []mulberrybeam.Fact, matches func(mulberrybeam.Fact) bool) []mulberrybeam.Fact {
	var clearing []mulberrybeam.Fact
	for _, fact := range facts {
		if fact.Kind != mulberrybeam.FactCrash || fact.Crash == nil || fact.Crash.Count == 0 || !matches(fact) {
			continue
		}
		crash := *fact.Crash
		crash.Count = 0
		clearing = append(clearing, mulberrybeam.Fact{Kind: fact.Kind, Key: fact.Key, TTL: clearTTL, Crash: &crash})
	}
	return clearing
}

func keySuffix(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID) string {
	return "/" + string(target) + "/" + string(instance)
}
