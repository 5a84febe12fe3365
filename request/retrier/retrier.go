// Package retrier decides whether a failed request is retried.
package retrier

import (
	"errors"
	"time"

	"mulberrybeam"
)

const (
	// MaxAttempts limits the attempts sent for one request, so that a single
	// request cannot exhaust the retry budget.
	MaxAttempts = 4
	// MaxReroutes limits the routes that were abandoned before anything was
	// sent, for example because the owner of a cold target denied a permit.
	MaxReroutes = 8
)

// Attempt is an earlier attempt to run a request on a target.
type Attempt struct {
	// Target is empty for a route that found no target.
	Target mulberrybeam.TargetID
	// Sent is true if the request may have reached the target.
	Sent bool
	// Refused is true if the target did not run the request.
	Refused bool
}

// History is the state of a request's attempts so far.
type History struct {
	// Attempts are all attempts in order, ending with the failed one.
	Attempts []Attempt
	// LastSequence is the last sequence number of a stream that was delivered
	// to the caller, 0 before the first token.
	LastSequence uint64
	// MaxRuns limits the targets that may run the request. With 0, only
	// MaxAttempts applies.
	MaxRuns int
	// Complete is true if the caller already has the complete response.
	Complete bool
}

// Decision says whether and how to retry after a failure.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next route is picked.
	Delay time.Duration
	// Tried are the targets that the next route must exclude.
	Tried []mulberrybeam.TargetID
	// ResumeAfter is the sequence number after which a stream resumes.
	ResumeAfter uint64
	// Charged is true if the retry was charged to the budget.
	Charged bool
	// Reason explains the decision to operators.
	Reason string
}

// retryable has the failures that may not recur on another target or at a later
// time. All others would recur, or end the request on purpose.
var retryable = map[mulberrybeam.Code]bool{
	mulberrybeam.CodeOverloaded:         true,
	mulberrybeam.CodeNoTarget:           true,
	mulberrybeam.CodeNoPermit:           true,
	mulberrybeam.CodeTargetFailed:       true,
	mulberrybeam.CodeTargetRefused:      true,
	mulberrybeam.CodeStreamBroken:       true,
	mulberrybeam.CodeTimeout:            true,
	mulberrybeam.CodePeerUnreachable:    true,
	mulberrybeam.CodeContextUnavailable: true,
}

// Decide decides whether to retry a request after a failure, and returns the
// updated budget.
//
// A request that may have run is retried only if it is repeatable. If the
// target crashed, the caller must consult the quarantiner before the next
// attempt.
func Decide(turn mulberrybeam.Turn, request *mulberrybeam.Request, history History, err error, budget Budget) (Decision, Budget) {
	var failure *mulberrybeam.Failure
	if !errors.As(err, &failure) {
		return noRetry("error has no code"), budget
	}
	sent := len(history.Attempts) > 0 && history.Attempts[len(history.Attempts)-1].Sent
	switch {
	case history.Complete:
		return noRetry("response is already complete"), budget
	case !retryable[failure.Code]:
		return noRetry("error is not retryable"), budget
	case !request.Repeatable && (!failure.NotRun || history.LastSequence > 0):
		return noRetry("request may have run and is not repeatable"), budget
	}
	decision := Decision{Retry: true, ResumeAfter: history.LastSequence, Reason: "trying another target"}
	if failure.Code == mulberrybeam.CodeNoTarget {
		decision.Delay = jitter(turn, failure.RetryAfter)
		decision.Reason = "waiting for an available target"
	}
	attempts, runs := 0, 0
	for _, attempt := range history.Attempts {
		if attempt.Sent {
			attempts++
		}
		if attempt.Sent && !attempt.Refused {
			runs++
		}
		// After a wait, a target whose owner only denied a permit may be
		// tried again.
		if attempt.Target != "" && (attempt.Sent || decision.Delay == 0) {
			decision.Tried = append(decision.Tried, attempt.Target)
		}
	}
	if attempts >= MaxAttempts || len(history.Attempts)-attempts >= MaxReroutes {
		return noRetry("attempt limit reached"), budget
	}
	if history.MaxRuns > 0 && runs >= history.MaxRuns {
		return noRetry("limit of targets that may run the request reached"), budget
	}
	if turn.Now+decision.Delay >= request.Deadline {
		return noRetry("no time left before the deadline"), budget
	}
	// A route that ended before the send put no load on a target, so only the
	// number of such routes is limited. Charging them would refuse requests
	// while the cold engines of a returning zone have no permits to give.
	unsent := failure.Code == mulberrybeam.CodeNoPermit || failure.Code == mulberrybeam.CodeTargetRefused
	if !sent && failure.NotRun && unsent {
		return decision, budget
	}
	next, granted := budget.takeToken(turn.Now)
	if !granted {
		return noRetry("retry budget is exhausted"), budget
	}
	decision.Charged = true
	return decision, next
}

func noRetry(reason string) Decision {
	return Decision{Reason: reason}
}

// jitter returns a random wait, uniformly distributed between after and twice
// after.
func jitter(turn mulberrybeam.Turn, after time.Duration) time.Duration {
	if after <= 0 {
		return 0
	}
	return after + time.Duration(turn.Rand.Int64N(int64(after)))
}
