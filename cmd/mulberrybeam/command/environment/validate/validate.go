// Package validate checks a configuration document without applying it.
package validate

import (
	"errors"
	"fmt"
	"os"

	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/decoder"
	"mulberrybeam/version/parser"
)

// Options are the dependencies and arguments of the command.
type Options struct {
	File string `arg:"" help:"The document, JSON with comments."`

	streams factory.Streams
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = validate
	}
	return Options{streams: f.Streams, run: run}
}

// Run runs the command.
func (o *Options) Run() error { return o.run(o) }

func validate(o *Options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	environment, err := parser.Parse(data)
	var problems decoder.Problems
	if errors.As(err, &problems) {
		for _, problem := range problems {
			_, _ = fmt.Fprintf(o.streams.Err, "%s: %s\n", o.File, problem)
		}
		return &factory.SilentError{Code: 1}
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.streams.Out, "%s is valid: environment %s, revision %d\n", o.File, environment.Name, environment.Revision)
	return nil
}
