// Package aggregator aggregates the outcomes of requests into the results of a run.
package aggregator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTime is the highest value of the histograms.
	maxTime = 10 * time.Minute
	// significantDigits is the number of significant digits of the histograms,
	// which gives a precision of 0.1%.
	significantDigits = 3
)

// Outcome is the outcome of one request.
type Outcome struct {
	// Prompt is true for prompts and false for service calls. Returning is
	// true for prompts that continue a conversation.
	Prompt    bool
	Returning bool
	// Complete reports whether the answer had its end marker or its full length,
	// and Correct whether it is the expected answer to this request.
	Complete bool
	Correct  bool
	// Code is the failure code, empty if the request succeeded.
	Code   string
	NotRun bool
	// FirstToken and Total are measured from the intended arrival.
	FirstToken time.Duration
	Total      time.Duration
	// TokenGaps lists the times between consecutive tokens.
	TokenGaps []time.Duration
	// Runs is how often the service reports to have run a non-repeatable
	// call. It is 0 for all other requests.
	Runs int
	// Lateness is the delay between the intended arrival and the time at which
	// the load generator sent the request.
	Lateness time.Duration
}

// Times summarizes a histogram. The percentiles and the maximum are in
// milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// RequestCounts counts requests by outcome.
type RequestCounts struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Correct int `json:"correct"`
	// Wrong counts answers that were whole but not the expected ones.
	Wrong  int `json:"wrong"`
	Failed int `json:"failed"`
	NotRun int `json:"not-run"`
}

// Results is the summary of a run.
type Results struct {
	Prompts             RequestCounts  `json:"prompts"`
	Calls               RequestCounts  `json:"calls"`
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

// Aggregator aggregates outcomes. It is safe for concurrent use.
type Aggregator struct {
	mu                  sync.Mutex
	results             Results
	firstToken          *hdrhistogram.Histogram
	firstTokenNew       *hdrhistogram.Histogram
	firstTokenReturning *hdrhistogram.Histogram
	betweenTokens       *hdrhistogram.Histogram
	prompt              *hdrhistogram.Histogram
	call                *hdrhistogram.Histogram
	lateness            *hdrhistogram.Histogram
}

// New returns an empty Aggregator.
func New() *Aggregator {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxTime.Microseconds(), significantDigits)
	}
	return &Aggregator{
		results:    Results{Failures: map[string]int{}},
		firstToken: histogram(), firstTokenNew: histogram(), firstTokenReturning: histogram(),
		betweenTokens: histogram(), prompt: histogram(), call: histogram(), lateness: histogram(),
	}
}

// Add records one outcome.
func (s *Aggregator) Add(outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.lateness, outcome.Lateness)
	if outcome.Code != "" {
		s.results.Failures[outcome.Code]++
	}
	if outcome.Runs > 1 {
		s.results.DoubleRuns++
	}
	if !outcome.Prompt {
		countOutcome(&s.results.Calls, outcome)
		record(s.call, outcome.Total)
		return
	}
	countOutcome(&s.results.Prompts, outcome)
	for _, gap := range outcome.TokenGaps {
		record(s.betweenTokens, gap)
	}
	if outcome.FirstToken > 0 {
		record(s.firstToken, outcome.FirstToken)
		if outcome.Returning {
			record(s.firstTokenReturning, outcome.FirstToken)
		} else {
			record(s.firstTokenNew, outcome.FirstToken)
		}
	}
	if outcome.Complete {
		record(s.prompt, outcome.Total)
	}
}

func countOutcome(tally *RequestCounts, outcome Outcome) {
	tally.Sent++
	switch {
	case outcome.Code != "":
		tally.Failed++
		if outcome.NotRun {
			tally.NotRun++
		}
	case outcome.Complete && outcome.Correct:
		tally.Whole++
		tally.Correct++
	case outcome.Complete:
		tally.Whole++
		tally.Wrong++
	}
}

// record adds a time to a histogram. Times above the range of the histogram are
// recorded as its highest value.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d, 0), maxTime).Microseconds())
}

// Results returns the results for all outcomes added so far.
func (s *Aggregator) Results() Results {
	s.mu.Lock()
	defer s.mu.Unlock()
	results := s.results
	results.Failures = map[string]int{}
	for code, n := range s.results.Failures {
		results.Failures[code] = n
	}
	results.FirstTokenMs = summarize(s.firstToken)
	results.FirstTokenNewMs = summarize(s.firstTokenNew)
	results.FirstTokenReturnMs = summarize(s.firstTokenReturning)
	results.BetweenTokensMs = summarize(s.betweenTokens)
	results.PromptMs = summarize(s.prompt)
	results.CallMs = summarize(s.call)
	results.GeneratorLatenessMs = summarize(s.lateness)
	return results
}

func summarize(histogram *hdrhistogram.Histogram) Times {
	milliseconds := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Times{
		Count: histogram.TotalCount(), P50: milliseconds(50), P95: milliseconds(95),
		P99: milliseconds(99), Max: float64(histogram.Max()) / 1000,
	}
}
