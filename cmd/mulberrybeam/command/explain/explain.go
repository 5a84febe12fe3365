// Package explain implements the explain command, which shows the decisions made
// for one request and their reasons.
package explain

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/command/timeline"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Request mulberrybeam.RequestID `arg:"" help:"Request ID, from the X-Request-Id header of the response."`
	Entry   []string               `help:"Operator listener address of an entry host. Repeat for each host." required:""`
	JSON    bool                   `help:"Print one JSON object per line." name:"json"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = explain
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func explain(o *Options) error {
	entries, errs := timeline.Collect(o.factory, o.Entry, o.Request)
	for _, entry := range entries {
		if err := timeline.Print(o.factory.Streams.Out, entry, o.JSON); err != nil {
			return err
		}
	}
	if len(entries) == 0 && errs == nil {
		return fmt.Errorf("no events found for request %q; entry hosts keep only the last few minutes of events; "+
			"use --entry to query more hosts", o.Request)
	}
	return errs
}
