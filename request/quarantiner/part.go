package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// maxParts is the number of shared parts of one prompt that are tracked. The
	// last ones are kept, since the first ones are shared by more requests.
	maxParts = 16
	// maxPartLength is the length in bytes above which a part is identified by a
	// hash of its name.
	maxPartLength = 96
)

// SharedParts returns the parts of a prompt that other requests to the model may
// share, which are all but the last.
func SharedParts(model mulberrybeam.ModelName, parts []mulberrybeam.PromptPart) []mulberrybeam.SharedPart {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[max(len(parts)-1-maxParts, 0) : len(parts)-1]
	shared := make([]mulberrybeam.SharedPart, len(parts))
	for i, part := range parts {
		name := string(model) + "/" + part.ID
		if len(name) > maxPartLength || !utf8.ValidString(name) {
			digest := sha256.Sum256([]byte(name))
			name = hex.EncodeToString(digest[:])
		}
		shared[i] = mulberrybeam.SharedPart(name)
	}
	return shared
}

// requestPrefix begins the name of a request. Names of prompt parts have a slash, or are
// hashes.
const requestPrefix = "request:"

// RequestPart returns the part that stands for all of a request. Callers that share it
// sent the same request.
func RequestPart(fingerprint mulberrybeam.Fingerprint) mulberrybeam.SharedPart {
	return mulberrybeam.SharedPart(requestPrefix + hex.EncodeToString(fingerprint[:]))
}

// Threshold returns the number of crashed targets from which requests with a part are
// refused.
func Threshold(part mulberrybeam.SharedPart) int {
	if strings.HasPrefix(string(part), requestPrefix) {
		return RefusalThreshold
	}
	return ConvictionThreshold
}

const (
	// SuspicionThreshold is the number of crashed targets from which an
	// interrupted request with the part is not sent again at once.
	SuspicionThreshold = 2
	// ConvictionThreshold is the number of crashed targets from which requests
	// with a prompt part are refused.
	ConvictionThreshold = 3
	// ConvictionDelay is the time between the last of these crashes and the
	// refusals. In it, completed requests clear parts that many requests share
	// and that were in flight at each crash by chance.
	ConvictionDelay = 800 * time.Millisecond
	// CompletionWindow is how long before a crash a completed request with the
	// part shows that the part did not cause it.
	CompletionWindow = 2 * time.Second

	// StragglerWindow is the time from a conviction until which requests that were
	// sent before it may crash targets.
	StragglerWindow = 3 * time.Second

	// firstTrialDelay is the time from the last crash to the first trial of a
	// convicted part. It is multiplied by trialDelayFactor with each failed trial,
	// up to maxTrialDelay.
	firstTrialDelay  = 8 * time.Second
	trialDelayFactor = 3
	maxTrialDelay    = time.Minute
	// trialTurn is the length of a turn in which one host may send one request as a
	// trial. No trial begins later than trialWindow after the start of a turn, since
	// hosts learn of a crash at different times.
	trialTurn   = 3 * time.Second
	trialWindow = 1500 * time.Millisecond
)

// PartQuery describes a request before an attempt.
type PartQuery struct {
	Parts    []mulberrybeam.SharedPart
	Suspects map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion
	// Hosts are all hosts that may make a trial, including Self.
	Hosts []mulberrybeam.ProcessID
	Self  mulberrybeam.ProcessID
	Now   time.Duration
	// Interrupted reports that an earlier attempt of the request may have run.
	Interrupted bool
}

// PartDecision is the decision on a request because of its prompt parts.
type PartDecision struct {
	// Verdict is RunIsolated for a trial and Wait until the part is either
	// cleared or convicted.
	Verdict Verdict
	// Part and Crashes are the evidence, unless the verdict is RunNormally.
	Part    mulberrybeam.SharedPart
	Crashes int
	// Trials are the convicted parts that the request tries, and TrialEnd is when
	// the host's turn ends.
	Trials   []mulberrybeam.SharedPart
	TrialEnd time.Duration
	// RetryAfter is the time to the next trial.
	RetryAfter time.Duration
}

// Convicted reports whether requests with a part are refused.
func Convicted(part mulberrybeam.SharedPart, suspicion mulberrybeam.PartSuspicion, now time.Duration) bool {
	return suspicion.Crashes >= Threshold(part) && now >= suspicion.Since+ConvictionDelay
}

// DecideParts returns the strictest decision over the parts of a request.
func DecideParts(query PartQuery) PartDecision {
	strictest := PartDecision{Verdict: RunNormally}
	var trials []mulberrybeam.SharedPart
	for _, part := range query.Parts {
		suspicion, suspected := query.Suspects[part]
		if !suspected {
			continue
		}
		decision := decidePart(query, part, suspicion)
		if decision.Verdict == RunIsolated {
			trials = append(trials, part)
		}
		if strictness[decision.Verdict] > strictness[strictest.Verdict] {
			strictest = decision
		}
	}
	if strictest.Verdict == RunIsolated {
		strictest.Trials = trials
	}
	return strictest
}

var strictness = map[Verdict]int{RunNormally: 0, RunIsolated: 1, Wait: 2, Refuse: 3}

func decidePart(query PartQuery, part mulberrybeam.SharedPart, suspicion mulberrybeam.PartSuspicion) PartDecision {
	decision := PartDecision{Verdict: RunNormally, Part: part, Crashes: suspicion.Crashes}
	if !Convicted(part, suspicion, query.Now) {
		undecided := suspicion.Crashes >= Threshold(part) ||
			query.Interrupted && suspicion.Crashes >= SuspicionThreshold && query.Now < suspicion.LastCrashAt+ConvictionDelay
		if undecided {
			decision.Verdict = Wait
		}
		return decision
	}
	decision.Verdict = Refuse
	trialAt := suspicion.LastCrashAt + TrialDelay(suspicion.FailedTrials)
	decision.RetryAfter = max(trialAt-query.Now, trialTurn)
	if query.Now < trialAt || query.Interrupted || len(query.Hosts) == 0 {
		return decision
	}
	inTurn := (query.Now - trialAt) % trialTurn
	if inTurn < trialWindow && hasTurn(query, part, int((query.Now-trialAt)/trialTurn)) {
		decision.Verdict = RunIsolated
		decision.TrialEnd = query.Now - inTurn + trialTurn
	}
	return decision
}

// hasTurn reports whether a turn is that of the host.
func hasTurn(query PartQuery, part mulberrybeam.SharedPart, turn int) bool {
	count := len(query.Hosts)
	return ranker.Top(string(part), query.Hosts, count)[turn%count] == query.Self
}

// TrialDelay returns the time from the last crash of a convicted part to the next
// trial.
func TrialDelay(failedTrials int) time.Duration {
	delay := firstTrialDelay
	for range failedTrials {
		delay = min(trialDelayFactor*delay, maxTrialDelay)
	}
	return delay
}

// PartRefusal returns the failure for a request that is refused because of a part.
func PartRefusal(decision PartDecision, notRun bool) error {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeCrashesTargets, Step: mulberrybeam.StepAdmit, NotRun: notRun, RetryAfter: decision.RetryAfter,
		Message: fmt.Sprintf("%d targets crashed while requests with part %s were in flight", decision.Crashes, decision.Part),
	}
}
