package forwarder

import (
	"time"

	"mulberrybeam"
)

// tokenTimes are the arrival times of a request's tokens over all its attempts.
type tokenTimes struct {
	first  time.Duration
	last   time.Duration
	maxGap time.Duration
}

func (t *tokenTimes) record(now time.Duration) {
	if t.first == 0 {
		t.first = now
	} else {
		t.maxGap = max(t.maxGap, now-t.last)
	}
	t.last = now
}

// promptMeasure returns the figures of a prompt, with its tokens split by the
// source of their context. Without a usage report of the engine, the split is
// the one that the route expected.
func promptMeasure(r *run, a *attempt, generated int) mulberrybeam.RequestStats {
	measure := mulberrybeam.RequestStats{
		Model:            r.request.Model,
		FirstToken:       r.tokenTimes.first - r.request.Arrived,
		TokenGap:         r.tokenTimes.maxGap,
		CachedTokens:     a.route.CachedTokens,
		ImportedTokens:   a.importedTokens,
		RecomputedTokens: a.route.RecomputedTokens + a.route.ImportedTokens - a.importedTokens,
		GeneratedTokens:  generated,
	}
	if a.usage != nil {
		measure.ImportedTokens = min(a.importedTokens, a.usage.CachedTokens)
		measure.CachedTokens = a.usage.CachedTokens - measure.ImportedTokens
		measure.RecomputedTokens = a.usage.PromptTokens - a.usage.CachedTokens
	}
	return measure
}

// recordCompletion records the end of a complete response with its figures.
func (f *Forwarder) recordCompletion(r *run, a *attempt, text string, measure mulberrybeam.RequestStats) {
	measure.Workspace = r.request.Workspace
	measure.Service = r.request.Service
	measure.Duration = f.Clock() - r.request.Arrived
	measure.Attempts = len(r.history.Attempts)
	f.record(mulberrybeam.Entry{
		Kind:    mulberrybeam.EntryCompletion,
		Request: r.request.ID,
		Subject: string(a.target.ID),
		Text:    text,
		Stats:   &measure,
	})
}
