package retrier_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/retrier"
)

func turn(now time.Duration) mulberrybeam.Turn {
	return mulberrybeam.Turn{Now: now, Rand: rand.New(rand.NewPCG(1, 1))}
}

// Guards against retries of non-repeatable requests that may have run, of
// failures that would recur, and beyond the retry budget.
func TestDecide(t *testing.T) {
	sent, unsent := []retrier.Attempt{{Target: "a", Sent: true}}, []retrier.Attempt{{Target: "b"}}
	cases := []struct {
		name       string
		code       mulberrybeam.Code
		notRun     bool
		repeatable bool
		history    retrier.History
		tokens     float64
		want       bool
		charged    bool
	}{
		{"repeatable, may have run", mulberrybeam.CodeTargetFailed, false, true, retrier.History{Attempts: sent}, 1, true, true},
		{"not repeatable, may have run", mulberrybeam.CodeTargetFailed, false, false, retrier.History{Attempts: sent}, 1, false, false},
		{"not repeatable, did not run", mulberrybeam.CodeOverloaded, true, false, retrier.History{Attempts: sent}, 1, true, true},
		{"not repeatable, response partly delivered", mulberrybeam.CodeStreamBroken, true, false, retrier.History{Attempts: sent, LastSequence: 1}, 1, false, false},
		{"interrupted stream", mulberrybeam.CodeStreamBroken, false, true, retrier.History{Attempts: sent, LastSequence: 7}, 1, true, true},
		{"interrupted after the end", mulberrybeam.CodeStreamBroken, false, true, retrier.History{Attempts: sent, Complete: true}, 1, false, false},
		{"budget exhausted", mulberrybeam.CodeOverloaded, true, true, retrier.History{Attempts: sent}, 0.9, false, false},
		{"no permit costs no budget", mulberrybeam.CodeNoPermit, true, true, retrier.History{Attempts: slices.Concat(sent, unsent)}, 0, true, false},
		{"no target on the first route", mulberrybeam.CodeNoTarget, true, true, retrier.History{}, 1, true, true},
		{"no further target", mulberrybeam.CodeNoTarget, true, true, retrier.History{Attempts: slices.Concat(sent, unsent, []retrier.Attempt{{}})}, 1, true, true},
		{"cancelled", mulberrybeam.CodeCancelled, true, true, retrier.History{Attempts: sent}, 1, false, false},
		{"request crashes targets", mulberrybeam.CodeCrashesTargets, true, true, retrier.History{Attempts: sent}, 1, false, false},
		{"attempt limit", mulberrybeam.CodeOverloaded, true, true, retrier.History{Attempts: slices.Repeat(sent, retrier.MaxAttempts)}, 1, false, false},
		{"reroute limit", mulberrybeam.CodeNoPermit, true, true, retrier.History{Attempts: slices.Repeat(unsent, retrier.MaxReroutes)}, 1, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request := &mulberrybeam.Request{Repeatable: c.repeatable, Deadline: time.Second}
			failure := &mulberrybeam.Failure{Code: c.code, NotRun: c.notRun, RetryAfter: 100 * time.Millisecond}
			decision, budget := retrier.Decide(turn(0), request, c.history, failure, retrier.Budget{Tokens: c.tokens})
			is.Equal(decision.Retry, c.want)
			is.Equal(decision.Charged, c.charged)
			is.Equal(budget.Tokens < c.tokens, c.charged)
			if c.want {
				waits := c.code == mulberrybeam.CodeNoTarget
				is.Equal(decision.Delay > 0, waits)
				is.Equal(decision.ResumeAfter, c.history.LastSequence)
				is.Equal(slices.Contains(decision.Tried, "a"), len(c.history.Attempts) > 0)
				// After a wait, a target that denied a permit may be tried
				// again.
				is.Equal(slices.Contains(decision.Tried, "b"), !waits && len(c.history.Attempts) > 1)
			}
			decision, _ = retrier.Decide(turn(time.Second), request, c.history, failure, retrier.Budget{Tokens: c.tokens})
			is.True(!decision.Retry) // the deadline has passed
			decision, _ = retrier.Decide(turn(0), request, c.history, errors.New("unknown"), retrier.Budget{Tokens: c.tokens})
			is.True(!decision.Retry)
		})
	}
}

// simulateFailures simulates requests at a constant rate, each of which fails
// a number of times, and returns the granted retries and the resulting budget.
func simulateFailures(budget retrier.Budget, from time.Duration, requests int, gap time.Duration, failures int) (retries float64, after retrier.Budget) {
	request := &mulberrybeam.Request{Repeatable: true, Deadline: time.Hour}
	for i := range requests {
		now := from + time.Duration(i)*gap
		budget = budget.CountRequest(now)
		for range failures {
			var decision retrier.Decision
			decision, budget = retrier.Decide(turn(now), request, retrier.History{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded}, budget)
			if decision.Retry {
				retries++
			}
		}
	}
	return retries, budget
}

// Guards against retries that amplify an overload. For any pattern of arrivals,
// the retries of a process stay within its share of requests plus the floor.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := retrier.NewBudget(0), time.Duration(0)
		total, retries, peak := 0, 0.0, 0.0
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			requests, gap := rapid.IntRange(1, 100).Draw(t, "requests"), time.Duration(rapid.IntRange(1, 500).Draw(t, "gap in ms"))*time.Millisecond
			granted, after := simulateFailures(budget, now, requests, gap, rapid.IntRange(0, 3).Draw(t, "failures of each"))
			now += time.Duration(requests) * gap
			budget, retries, total, peak = after, retries+granted, total+requests, max(peak, after.PerSecond())
		}
		if limit := retrier.DefaultBudgetFloor*now.Seconds() + retrier.DefaultBudgetShare*float64(total) + peak; retries > limit {
			t.Fatalf("%.0f retries of %d requests in %v, at most %.1f", retries, total, now, limit)
		}
	})
}

// Guards against an effective share or floor other than the declared ones. The
// tokens of up to one second may accumulate.
func TestBudgetGrantsShareOrFloor(t *testing.T) {
	is := is.New(t)
	retries, _ := simulateFailures(retrier.NewBudget(0), 0, 60*100, time.Second/100, 2) // for a minute
	is.True(retries <= 600+10)
	is.True(retries >= 600-2*100) // the average rate converges within about 20 s
	retries, _ = simulateFailures(retrier.NewBudget(0), 0, 60, time.Second, 5)
	is.Equal(retries, 3.0*60)
}

func BenchmarkDecide(b *testing.B) {
	request, history := &mulberrybeam.Request{Repeatable: true, Deadline: 1 << 62}, retrier.History{Attempts: []retrier.Attempt{{Target: "a", Sent: true}}}
	budget, turn := retrier.NewBudget(0), turn(0)
	b.ReportAllocs()
	for b.Loop() {
		turn.Now += time.Second
		_, budget = retrier.Decide(turn, request, history, &mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded}, budget)
	}
}
