// Package quarantiner decides on requests that were in flight when a target
// crashed, so that a request that crashes every target it reaches is stopped
// and the requests beside it are not.
//
// Each crash is a fact of its own for each request that was in flight. A
// request with one such fact runs once more in isolation: no other suspect
// runs at its target. With two it is refused. An innocent request gets its
// second fact only if another, unsuspected request crashes the target of its
// isolated run.
//
// Until the facts of a crash have spread, a process knows only its own. A
// crasher that is sent again to other hosts within that time may run at each of
// them, and copies in flight at once may each run; each process stops it after
// two crashes of its own, and all do once the facts have met.
package quarantiner

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"mulberrybeam"
)

const (
	// RefusedFrom is the number of crashes from which a request is refused.
	RefusedFrom = 2
	// FactTTL is how long a crash counts. A caller's automatic retries end
	// far earlier.
	FactTTL = time.Hour
	// clearTTL makes a cleared fact outlast copies of the crash fact that
	// are still under way between processes.
	clearTTL = 2 * FactTTL
	// copyRetryAfter is when to ask again while a copy of the same request
	// runs in isolation.
	copyRetryAfter = time.Second
)

// Verdict says how a request may run.
type Verdict string

// Verdicts.
const (
	// RunNormally is for requests without a crash.
	RunNormally Verdict = "normally"
	// RunIsolated is for suspects. They need an isolation permit.
	RunIsolated Verdict = "isolated"
	// Wait is for a suspect of which a copy runs in isolation.
	Wait Verdict = "wait"
	// Refuse is for requests that crash targets.
	Refuse Verdict = "refuse"
)

// Suspicion is what is known against a request.
type Suspicion struct {
	// Spread has the crashes that hold for the fingerprint according to the
	// snapshot, as single facts or summed up.
	Spread []mulberrybeam.CrashFact
	// Before and Broken count the crashes of this very request, which the
	// snapshot may not have yet: those known before its first attempt, and
	// its attempts that ended with a broken connection.
	Before int
	Broken int
	// Copies is the number of isolated runs of the same fingerprint in this
	// process.
	Copies int
}

// Decide returns the verdict on a request and its number of crashes.
func Decide(suspicion Suspicion) (Verdict, int) {
	spread := 0
	for _, crash := range suspicion.Spread {
		spread += crash.Count
	}
	crashes := max(spread, suspicion.Before+suspicion.Broken)
	switch {
	case crashes >= RefusedFrom:
		return Refuse, crashes
	case crashes == 0:
		return RunNormally, crashes
	case suspicion.Copies > 0:
		return Wait, crashes
	}
	return RunIsolated, crashes
}

// Refusal returns the failure for the verdicts Refuse and Wait, and nil for
// the others. It says that the request did not run only when none of its own
// attempts was sent to a target that broke off.
func Refusal(verdict Verdict, crashes int, suspicion Suspicion) error {
	failure := &mulberrybeam.Failure{Step: mulberrybeam.StepAdmit, NotRun: suspicion.Broken == 0}
	switch verdict {
	case Refuse:
		failure.Code = mulberrybeam.CodeCrashesTargets
		failure.Message = fmt.Sprintf("%d targets crashed while the request was in flight", crashes)
	case Wait:
		failure.Code = mulberrybeam.CodeOverloaded
		failure.Message = "a copy of the request runs in isolation after a crash"
		failure.RetryAfter = copyRetryAfter
	default:
		return nil
	}
	return failure
}

// Crashed returns the facts to state when the connection to a target broke
// with requests of this process in flight. The instance is the one that ran
// them. The stamps are the gossiper's to set.
func Crashed(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, inFlight []mulberrybeam.Fingerprint) []mulberrybeam.Fact {
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

// Completed returns the facts that clear a request after its isolated run
// completed, from the facts that hold.
func Completed(fingerprint mulberrybeam.Fingerprint, facts []mulberrybeam.Fact) []mulberrybeam.Fact {
	return cleared(facts, func(fact mulberrybeam.Fact) bool { return fact.Crash.Fingerprint == fingerprint })
}

// Survived returns the facts that clear the requests that were in flight when
// a connection broke, after the same instance answered again: it did not
// crash. Without this a broken network path would make every stream over it a
// suspect.
func Survived(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, facts []mulberrybeam.Fact) []mulberrybeam.Fact {
	suffix := keySuffix(target, instance)
	return cleared(facts, func(fact mulberrybeam.Fact) bool { return instance != "" && strings.HasSuffix(fact.Key, suffix) })
}

func cleared(facts []mulberrybeam.Fact, concerned func(mulberrybeam.Fact) bool) []mulberrybeam.Fact {
	var clearing []mulberrybeam.Fact
	for _, fact := range facts {
		if fact.Kind != mulberrybeam.FactCrash || fact.Crash == nil || fact.Crash.Count == 0 || !concerned(fact) {
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
