package aggregator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/process/aggregator"
)

// Guards against outcomes that are counted wrongly, and against percentiles that
// exclude the slowest answers.
func TestResults(t *testing.T) {
	is := is.New(t)
	s := aggregator.New()
	for n := range 100 {
		s.Add(aggregator.Outcome{
			Prompt: true, Complete: true, Correct: true, Returning: n%2 == 0,
			FirstToken: time.Duration(n+1) * 10 * time.Millisecond, TokenGaps: []time.Duration{time.Millisecond},
		})
	}
	s.Add(aggregator.Outcome{Prompt: true, Complete: true})
	s.Add(aggregator.Outcome{Prompt: true, Code: "overloaded", NotRun: true})
	s.Add(aggregator.Outcome{Complete: true, Correct: true, Runs: 2, Total: time.Hour})
	results := s.Results()
	is.Equal(results.Prompts, aggregator.RequestCounts{Sent: 102, Whole: 101, Correct: 100, Wrong: 1, Failed: 1, NotRun: 1})
	is.Equal(results.Calls, aggregator.RequestCounts{Sent: 1, Whole: 1, Correct: 1})
	is.Equal(results.Failures, map[string]int{"overloaded": 1})
	is.Equal(results.DoubleRuns, 1)
	is.Equal(results.FirstTokenMs.Count, int64(100))
	is.Equal(results.FirstTokenNewMs.Count+results.FirstTokenReturnMs.Count, int64(100))
	near := func(got, want float64) bool { return got > want*0.998 && got < want*1.002 }
	is.True(near(results.FirstTokenMs.P50, 500) && near(results.FirstTokenMs.P95, 950) && near(results.FirstTokenMs.Max, 1000))
	is.True(near(results.CallMs.Max, 600000)) // the highest value of the histogram
	is.Equal(results.BetweenTokensMs.Count, int64(100))
}
