// Package explain shows what was decided about one request and why.
package explain

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/command/timeline"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Options are the dependencies and arguments of the command.
type Options struct {
	Request mulberrybeam.RequestID `arg:"" help:"Request id, as in the X-Request-Id header of the answer."`
	Entry   []string               `help:"Operators' address of an entry host, once for each host." required:""`
	JSON    bool                   `help:"Print one JSON object a line." name:"json"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = explain
	}
	return Options{factory: f, run: run}
}

// Run runs the command.
func (o *Options) Run() error { return o.run(o) }

func explain(o *Options) error {
	entries, failures := timeline.Collect(o.factory, o.Entry, o.Request)
	for _, entry := range entries {
		if err := timeline.Print(o.factory.Streams.Out, entry, o.JSON); err != nil {
			return err
		}
	}
	if len(entries) == 0 && failures == nil {
		return fmt.Errorf("no entry host asked has events of request %q; they keep the last few minutes; "+
			"name more hosts with --entry", o.Request)
	}
	return failures
}
