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

// limit is the timeout of the whole demo.
const limit = 28 * time.Second

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

// act is one scenario of the demo. play returns an error if a check of the scenario
// fails.
type act struct {
	title string
	play  func(context.Context, *show) error
}

// show is the state shared by the scenarios of one run.
type show struct {
	// mutex guards out, which scenarios write to concurrently.
	mutex sync.Mutex
	out   io.Writer
	fleet *fleet.Fleet
}

// say prints one indented line.
func (s *show) say(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = fmt.Fprintf(s.out, "  "+format+"\n", values...)
}

func demo(o *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	begin := time.Now()
	_, _ = fmt.Fprintln(o.out, "starting 3 zones, each with 2 entry processes, 2 engines and 1 service, plus 2 context stores and the platform")
	running, stop, err := fleet.Start(layout())
	if err != nil {
		return err
	}
	defer stop()
	if err := running.WaitReady(ctx); err != nil {
		return err
	}
	s := &show{out: o.out, fleet: running}
	s.say("ready after %s", time.Since(begin).Round(time.Millisecond))
	var broken error
	for _, act := range []act{
		{"follow-up prompts, before and after all engines restart", returns},
		{"one order, sent twice with the same idempotency key", orders},
		{"a zone is taken out and brought back", moveZone},
	} {
		_, _ = fmt.Fprintln(o.out, act.title)
		if err := act.play(ctx, s); err != nil {
			s.say("FAILED: %v", err)
			broken = errors.Join(broken, fmt.Errorf("%s: %w", act.title, err))
		}
	}
	_, _ = fmt.Fprintf(o.out, "done in %s\n", time.Since(begin).Round(time.Millisecond))
	return broken
}

func layout() fleet.Layout {
	layout := fleet.DefaultLayout()
	layout.Engine = func(s *engine.Settings) {
		s.PrefillRate = 8000
		s.TokenTime = 5 * time.Millisecond
	}
	return layout
}

// sum returns the total token counts of all prompts that completed since a time in
// Unix milliseconds.
func (s *show) sum(since int64) mulberrybeam.Measure {
	var total mulberrybeam.Measure
	for _, entry := range s.fleet.Entries {
		for _, event := range entry.TimeLine.Entries() {
			if event.Kind != mulberrybeam.EntryCompletion || event.Measure == nil || event.Stamp.Wall < since {
				continue
			}
			total.CachedTokens += event.Measure.CachedTokens
			total.ImportedTokens += event.Measure.ImportedTokens
			total.RecomputedTokens += event.Measure.RecomputedTokens
		}
	}
	return total
}
