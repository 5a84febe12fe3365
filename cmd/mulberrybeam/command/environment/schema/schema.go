// Package schema implements the environment schema command, which prints the JSON
// schema of the configuration document.
package schema

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/schemagenerator"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	streams factory.Streams
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = schema
	}
	return Options{streams: f.Streams, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func schema(o *Options) error {
	text, err := schemagenerator.Schema[mulberrybeam.Environment]()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.streams.Out, string(text))
	return err
}
