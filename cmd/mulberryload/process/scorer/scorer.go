// Package scorer collects the outcomes of a run and sums them up.
package scorer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the highest time that the histograms record.
	longest = 10 * time.Minute
	// digits is the precision of the histograms, 0.1%.
	digits = 3
)

// Outcome is how one request ended.
type Outcome struct {
	// Prompt tells prompts from service calls, Returning prompts that
	// continue a conversation from new ones.
	Prompt    bool
	Returning bool
	// Whole says that the answer had its end marker, or its full length;
	// Correct that it is the answer to this request.
	Whole   bool
	Correct bool
	// Code is the failure, empty when there was none.
	Code   string
	NotRun bool
	// FirstToken and Total count from the intended arrival.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Runs is how often the service says that it ran a non-repeatable
	// call, 0 for all else.
	Runs int
	// Lateness is how late the load generator itself sent the request.
	Lateness time.Duration
}

// Times are percentiles in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Tally counts answers.
type Tally struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Correct int `json:"correct"`
	// Wrong answers were whole but not the answer to the request.
	Wrong  int `json:"wrong"`
	Failed int `json:"failed"`
	NotRun int `json:"not-run"`
}

// Results is the summary of a run.
type Results struct {
	Prompts             Tally          `json:"prompts"`
	Calls               Tally          `json:"calls"`
	Failures            map[string]int `json:"failures"`
	DoubleRuns          int            `json:"double-runs"`
	FirstTokenMs        Times          `json:"time-to-first-token-ms"`
	FirstTokenNewMs     Times          `json:"time-to-first-token-new-ms"`
	FirstTokenReturnMs  Times          `json:"time-to-first-token-returning-ms"`
	BetweenTokensMs     Times          `json:"time-between-tokens-ms"`
	PromptMs            Times          `json:"prompt-ms"`
	CallMs              Times          `json:"call-ms"`
	GeneratorLatenessMs Times          `json:"generator-lateness-ms"`
}

// Scorer collects outcomes. It is safe for concurrent use.
type Scorer struct {
	mu         sync.Mutex
	results    Results
	first      *hdrhistogram.Histogram
	firstNew   *hdrhistogram.Histogram
	firstAgain *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	prompt     *hdrhistogram.Histogram
	call       *hdrhistogram.Histogram
	late       *hdrhistogram.Histogram
}

// New returns an empty Scorer.
func New() *Scorer {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longest.Microseconds(), digits)
	}
	return &Scorer{
		results: Results{Failures: map[string]int{}},
		first:   histogram(), firstNew: histogram(), firstAgain: histogram(),
		between: histogram(), prompt: histogram(), call: histogram(), late: histogram(),
	}
}

// Add takes one outcome.
func (s *Scorer) Add(outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.late, outcome.Lateness)
	if outcome.Code != "" {
		s.results.Failures[outcome.Code]++
	}
	if outcome.Runs > 1 {
		s.results.DoubleRuns++
	}
	if !outcome.Prompt {
		count(&s.results.Calls, outcome)
		record(s.call, outcome.Total)
		return
	}
	count(&s.results.Prompts, outcome)
	for _, gap := range outcome.Gaps {
		record(s.between, gap)
	}
	if outcome.FirstToken > 0 {
		record(s.first, outcome.FirstToken)
		if outcome.Returning {
			record(s.firstAgain, outcome.FirstToken)
		} else {
			record(s.firstNew, outcome.FirstToken)
		}
	}
	if outcome.Whole {
		record(s.prompt, outcome.Total)
	}
}

func count(tally *Tally, outcome Outcome) {
	tally.Sent++
	switch {
	case outcome.Code != "":
		tally.Failed++
		if outcome.NotRun {
			tally.NotRun++
		}
	case outcome.Whole && outcome.Correct:
		tally.Whole++
		tally.Correct++
	case outcome.Whole:
		tally.Whole++
		tally.Wrong++
	}
}

// record takes a time; one beyond the histogram's range counts as the longest.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d, 0), longest).Microseconds())
}

// Results sums up what was added until now.
func (s *Scorer) Results() Results {
	s.mu.Lock()
	defer s.mu.Unlock()
	results := s.results
	results.Failures = map[string]int{}
	for code, n := range s.results.Failures {
		results.Failures[code] = n
	}
	results.FirstTokenMs = times(s.first)
	results.FirstTokenNewMs = times(s.firstNew)
	results.FirstTokenReturnMs = times(s.firstAgain)
	results.BetweenTokensMs = times(s.between)
	results.PromptMs = times(s.prompt)
	results.CallMs = times(s.call)
	results.GeneratorLatenessMs = times(s.late)
	return results
}

func times(histogram *hdrhistogram.Histogram) Times {
	milliseconds := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Times{
		Count: histogram.TotalCount(), P50: milliseconds(50), P95: milliseconds(95),
		P99: milliseconds(99), Max: float64(histogram.Max()) / 1000,
	}
}
