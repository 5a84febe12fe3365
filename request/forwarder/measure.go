package forwarder

import (
	"time"

	"mulberrybeam"
)

// times are when the tokens of a request came, over all its attempts.
type times struct {
	first time.Duration
	last  time.Duration
	gap   time.Duration
}

func (t *times) token(now time.Duration) {
	if t.first == 0 {
		t.first = now
	} else {
		t.gap = max(t.gap, now-t.last)
	}
	t.last = now
}

// promptMeasure splits the prompt's tokens by where their context came from.
// Without a report of the engine it takes what the route expected.
func promptMeasure(r *run, a *attempt, generated int) mulberrybeam.Measure {
	measure := mulberrybeam.Measure{
		Model:            r.request.Model,
		FirstToken:       r.times.first - r.request.Arrived,
		TokenGap:         r.times.gap,
		CachedTokens:     a.route.CachedTokens,
		ImportedTokens:   a.imported,
		RecomputedTokens: a.route.RecomputedTokens + a.route.ImportedTokens - a.imported,
		GeneratedTokens:  generated,
	}
	if a.usage != nil {
		measure.ImportedTokens = min(a.imported, a.usage.CachedTokens)
		measure.CachedTokens = a.usage.CachedTokens - measure.ImportedTokens
		measure.RecomputedTokens = a.usage.PromptTokens - a.usage.CachedTokens
	}
	return measure
}

// completed records the end of a whole answer with its figures.
func (f *Forwarder) completed(r *run, a *attempt, text string, measure mulberrybeam.Measure) {
	measure.Workspace = r.request.Workspace
	measure.Service = r.request.Service
	measure.Duration = f.Clock() - r.request.Arrived
	measure.Attempts = len(r.history.Attempts)
	f.record(mulberrybeam.Entry{
		Kind:    mulberrybeam.EntryCompletion,
		Request: r.request.ID,
		Subject: string(a.target.ID),
		Text:    text,
		Measure: &measure,
	})
}
