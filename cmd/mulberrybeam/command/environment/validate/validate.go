// Package validate implements the environment validate command, which checks a
// configuration document without applying it.
package validate

import (
	"errors"
	"fmt"
	"os"

	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/decoder"
	"mulberrybeam/version/parser"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	File string `arg:"" help:"Document to validate (JSON with comments)."`

	streams factory.Streams
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = validate
	}
	return Options{streams: f.Streams, run: run}
}

// Run is called by kong when the command is selected.
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
		return &factory.ExitError{Code: 1}
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.streams.Out, "%s is valid: environment %s, revision %d\n", o.File, environment.Name, environment.Revision)
	return nil
}
