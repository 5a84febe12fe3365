// Package demo implements the demo command. It starts entry processes and stand-in
// backends in one process, runs a few scenarios against them and fails if a
// check of a scenario fails.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/fleet"
)

// timeout bounds the run of the whole demo.
const timeout = 28 * time.Second

// Options holds the arguments and dependencies of the command.
type Options struct {
	out io.Writer
	run func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = demo
	}
	return Options{out: f.Streams.Out, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

// scenario is one part of the demo. run returns an error if a check of the scenario
// fails.
type scenario struct {
	title string
	run   func(context.Context, *runner) error
}

// runner holds the state that the scenarios of one run share.
type runner struct {
	// mutex guards out, which scenarios write to concurrently.
	mutex sync.Mutex
	out   io.Writer
	fleet *fleet.Fleet
}

// printf prints one indented line.
func (r *runner) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.out, "  "+format+"\n", values...)
}

func demo(o *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	_, _ = fmt.Fprintln(o.out, "starting 3 zones, each with 2 entry processes, 2 engines and 1 service, plus 2 context stores and the platform")
	running, stop, err := fleet.Start(demoLayout())
	if err != nil {
		return err
	}
	defer stop()
	if err := running.WaitReady(ctx); err != nil {
		return err
	}
	r := &runner{out: o.out, fleet: running}
	r.printf("ready after %s", time.Since(start).Round(time.Millisecond))
	var failures error
	for _, scenario := range []scenario{
		{"follow-up prompts, before and after all engines restart", sendFollowUps},
		{"one order, sent twice with the same idempotency key", sendOrderTwice},
		{"a zone is taken out and brought back", takeZoneOutAndBack},
	} {
		_, _ = fmt.Fprintln(o.out, scenario.title)
		if err := scenario.run(ctx, r); err != nil {
			r.printf("FAILED: %v", err)
			failures = errors.Join(failures, fmt.Errorf("%s: %w", scenario.title, err))
		}
	}
	_, _ = fmt.Fprintf(o.out, "done in %s\n", time.Since(start).Round(time.Millisecond))
	return failures
}

// demoLayout returns the default layout with the engine timing of the demo.
func demoLayout() fleet.Layout {
	layout := fleet.DefaultLayout()
	layout.Engine = func(settings *engine.Settings) {
		settings.PrefillRate = 8000
		settings.TokenTime = 5 * time.Millisecond
	}
	return layout
}

// sumTokens returns the total token counts of all prompts that completed since a
// time in Unix milliseconds.
func (r *runner) sumTokens(since int64) mulberrybeam.RequestStats {
	var total mulberrybeam.RequestStats
	for _, entry := range r.fleet.Entries {
		for _, event := range entry.Timeline.Entries() {
			if event.Kind != mulberrybeam.EntryCompletion || event.Stats == nil || event.Stamp.Wall < since {
				continue
			}
			total.CachedTokens += event.Stats.CachedTokens
			total.ImportedTokens += event.Stats.ImportedTokens
			total.RecomputedTokens += event.Stats.RecomputedTokens
		}
	}
	return total
}
