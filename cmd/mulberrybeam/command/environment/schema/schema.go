// Package schema prints the JSON schema of the configuration document.
package schema

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/schemer"
)

// Options are the dependencies and arguments of the command.
type Options struct {
	streams factory.Streams
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = schema
	}
	return Options{streams: f.Streams, run: run}
}

// Run runs the command.
func (o *Options) Run() error { return o.run(o) }

func schema(o *Options) error {
	text, err := schemer.Schema[mulberrybeam.Environment]()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.streams.Out, string(text))
	return err
}
