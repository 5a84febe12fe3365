// Package retrier decides whether a failed request gets another attempt.
package retrier

import (
	"errors"
	"time"

	"mulberrybeam"
)

const (
	// MaxAttempts bounds the attempts that were sent for one request, so
	// that a single request cannot use up the budget.
	MaxAttempts = 4
	// MaxReroutes bounds the routes that ended before anything was sent,
	// for example because a cold target's owner gave no permit.
	MaxReroutes = 8
)

// Attempt is one earlier try to run a request at a target.
type Attempt struct {
	// Target is empty for a route that found no target.
	Target mulberrybeam.TargetID
	// Sent says that the request may have reached the target.
	Sent bool
	// Refused says that the target did not run it.
	Refused bool
}

// History is what has happened to a request so far.
type History struct {
	// Attempts has all attempts, the failed one last.
	Attempts []Attempt
	// LastSequence is the last sequence number that the caller of a stream
	// got, 0 before the first token.
	LastSequence uint64
	// RunLimit bounds the targets that may run the request, 0 for
	// MaxAttempts.
	RunLimit int
	// Ended says that the caller already has the whole answer.
	Ended bool
}

// Decision says what follows a failure.
type Decision struct {
	Retry bool
	// Delay is to be waited before the next route is picked.
	Delay time.Duration
	// Tried are the targets that the next route must leave out.
	Tried []mulberrybeam.TargetID
	// After is the sequence number after which a stream goes on.
	After uint64
	// Charged says that the retry was taken from the budget.
	Charged bool
	// Reason explains the decision to operators.
	Reason string
}

// retryable are the failures that another target, or the same fleet a little
// later, may not have. All others repeat themselves or were meant.
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

// Decide says whether the request gets another attempt after a failure, and
// returns the budget after it.
//
// A request that may have run is sent again only when it is repeatable. The
// quarantiner has to be asked before the next attempt if the target crashed.
func Decide(turn mulberrybeam.Turn, request *mulberrybeam.Request, history History, err error, budget Budget) (Decision, Budget) {
	var failure *mulberrybeam.Failure
	if !errors.As(err, &failure) {
		return stop("the error has no code"), budget
	}
	sent := len(history.Attempts) > 0 && history.Attempts[len(history.Attempts)-1].Sent
	switch {
	case history.Ended:
		return stop("the answer is complete"), budget
	case !retryable[failure.Code]:
		return stop("another attempt would fail in the same way"), budget
	case !request.Repeatable && (!failure.NotRun || history.LastSequence > 0):
		return stop("the request may have run and is not repeatable"), budget
	}
	decision := Decision{Retry: true, After: history.LastSequence, Reason: "another target is tried"}
	if failure.Code == mulberrybeam.CodeNoTarget {
		decision.Delay = jitter(turn, failure.RetryAfter)
		decision.Reason = "a target may become free"
	}
	attempts, runs := 0, 0
	for _, attempt := range history.Attempts {
		if attempt.Sent {
			attempts++
		}
		if attempt.Sent && !attempt.Refused {
			runs++
		}
		// After a wait, a target that only declined a permit may be
		// routed to again.
		if attempt.Target != "" && (attempt.Sent || decision.Delay == 0) {
			decision.Tried = append(decision.Tried, attempt.Target)
		}
	}
	if attempts >= MaxAttempts || len(history.Attempts)-attempts >= MaxReroutes {
		return stop("the request was tried often enough"), budget
	}
	if history.RunLimit > 0 && runs >= history.RunLimit {
		return stop("as many targets ran the request as may"), budget
	}
	if turn.Now+decision.Delay >= request.Deadline {
		return stop("the deadline leaves no time"), budget
	}
	// A route that ended before the send has put no load on a target, so
	// only its number is bounded. Charging it would refuse requests while
	// the cold engines of a returning zone decline permits.
	unsent := failure.Code == mulberrybeam.CodeNoPermit || failure.Code == mulberrybeam.CodeTargetRefused
	if !sent && failure.NotRun && unsent {
		return decision, budget
	}
	next, granted := budget.take(turn.Now)
	if !granted {
		return stop("the retry budget is used up"), budget
	}
	decision.Charged = true
	return decision, next
}

func stop(reason string) Decision {
	return Decision{Reason: reason}
}

// jitter spreads waits evenly from the stated time to twice that.
func jitter(turn mulberrybeam.Turn, after time.Duration) time.Duration {
	if after <= 0 {
		return 0
	}
	return after + time.Duration(turn.Rand.Int64N(int64(after)))
}
