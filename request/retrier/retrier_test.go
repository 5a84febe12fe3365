package retrier_test

import (
	"errors"
	"math/rand/v2"
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

// Guards against a second run of what must not run twice, and against retries
// without use or without budget.
func TestDecide(t *testing.T) {
	failure := func(code mulberrybeam.Code, notRun bool) error {
		return &mulberrybeam.Failure{Code: code, NotRun: notRun, RetryAfter: 100 * time.Millisecond}
	}
	sent := []retrier.Attempt{{Target: "a", Sent: true}}
	unsent := []retrier.Attempt{{Target: "a"}}
	full, empty := retrier.NewBudget(0), retrier.Budget{}
	cases := []struct {
		name       string
		repeatable bool
		history    retrier.History
		err        error
		budget     retrier.Budget
		want       bool
		charged    bool
	}{
		{"repeatable that may have run", true, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeTargetFailed, false), full, true, true},
		{"not repeatable that may have run", false, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeTargetFailed, false), full, false, false},
		{"not repeatable that did not run", false, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeOverloaded, true), full, true, true},
		{"not repeatable with a part of the answer", false, retrier.History{Attempts: sent, LastSequence: 1}, failure(mulberrybeam.CodeStreamBroken, true), full, false, false},
		{"broken stream", true, retrier.History{Attempts: sent, LastSequence: 7}, failure(mulberrybeam.CodeStreamBroken, false), full, true, true},
		{"broken after the end", true, retrier.History{Attempts: sent, Ended: true}, failure(mulberrybeam.CodeStreamBroken, false), full, false, false},
		{"no budget", true, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeOverloaded, true), empty, false, false},
		{"no permit costs no budget", true, retrier.History{Attempts: unsent}, failure(mulberrybeam.CodeNoPermit, true), empty, true, false},
		{"no target at first", true, retrier.History{}, failure(mulberrybeam.CodeNoTarget, true), full, true, true},
		{"no target left", true, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeNoTarget, true), full, false, false},
		{"cancelled", true, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeCancelled, true), full, false, false},
		{"crashes targets", true, retrier.History{Attempts: sent}, failure(mulberrybeam.CodeCrashesTargets, true), full, false, false},
		{"tried often", true, retrier.History{Attempts: make([]retrier.Attempt, retrier.MaxReroutes)}, failure(mulberrybeam.CodeNoPermit, true), full, false, false},
		{"unknown error", true, retrier.History{Attempts: sent}, errors.New("other"), full, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request := &mulberrybeam.Request{Repeatable: c.repeatable, Deadline: time.Second}
			decision, budget := retrier.Decide(turn(0), request, c.history, c.err, c.budget)
			is.Equal(decision.Retry, c.want)
			is.Equal(decision.Charged, c.charged)
			is.Equal(budget.Tokens < c.budget.Tokens, c.charged)
			if c.want {
				is.Equal(decision.After, c.history.LastSequence)
				is.Equal(len(decision.Tried), len(c.history.Attempts))
			}
			decision, _ = retrier.Decide(turn(time.Second), request, c.history, c.err, c.budget)
			is.True(!decision.Retry) // the deadline has passed
		})
	}
}

// Guards against retries that multiply an overload: whatever the arrivals, the
// retries of a process stay below the share of its requests and the floor.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := retrier.NewBudget(0), time.Duration(0)
		requests, retries, peak := 0.0, 0.0, 0.0
		request := &mulberrybeam.Request{Repeatable: true, Deadline: time.Hour}
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			gap := time.Duration(rapid.IntRange(1, 500).Draw(t, "gap in ms")) * time.Millisecond
			tries := rapid.IntRange(0, 3).Draw(t, "failures of each request")
			for range rapid.IntRange(1, 100).Draw(t, "requests") {
				now += gap
				budget = budget.Count(now)
				requests++
				peak = max(peak, budget.PerSecond())
				for range tries {
					var decision retrier.Decision
					decision, budget = retrier.Decide(turn(now), request, retrier.History{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded}, budget)
					if decision.Retry {
						retries++
					}
				}
			}
		}
		if limit := retrier.BudgetFloor*now.Seconds() + retrier.BudgetShare*requests + peak; retries > limit {
			t.Fatalf("%.0f retries of %.0f requests in %v, at most %.1f", retries, requests, now, limit)
		}
	})
}

// Guards against a floor that a process without traffic does not get.
func TestThreeRetriesASecondAreAlwaysAllowed(t *testing.T) {
	is := is.New(t)
	budget := retrier.NewBudget(0)
	request := &mulberrybeam.Request{Repeatable: true, Deadline: time.Hour}
	for i := range 30 {
		var decision retrier.Decision
		decision, budget = retrier.Decide(turn(time.Duration(i)*time.Second/3), request, retrier.History{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded}, budget)
		is.True(decision.Retry)
	}
}

func BenchmarkDecide(b *testing.B) {
	request := &mulberrybeam.Request{Repeatable: true, Deadline: 1 << 62}
	history := retrier.History{Attempts: []retrier.Attempt{{Target: "a", Sent: true}}}
	err := &mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded}
	budget, turn := retrier.NewBudget(0), turn(0)
	b.ReportAllocs()
	for b.Loop() {
		turn.Now += time.Second
		_, budget = retrier.Decide(turn, request, history, err, budget)
	}
}
