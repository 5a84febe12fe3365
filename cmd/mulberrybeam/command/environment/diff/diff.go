// Package diff implements the environment diff command, which compares a document
// with the one in force.
package diff

import (
	"context"
	"fmt"
	"os"

	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/parser"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	File     string `arg:"" help:"Document to compare (JSON with comments)."`
	Platform string `help:"URL of the platform's object API." env:"MULBERRYBEAM_PLATFORM"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = diff
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func diff(o *Options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	environment, err := parser.Parse(data)
	if err != nil {
		return err
	}
	current, _, cleanup, err := editor.Open(context.Background(), o.factory, o.Platform, environment.Name)
	defer cleanup()
	if err != nil {
		return err
	}
	changes, err := editor.Diff(current.Object.Data, data)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.factory.Streams.Out, "revision %d is in force; %d values differ in %s\n", current.Environment.Revision, len(changes), o.File)
	editor.PrintChanges(o.factory.Streams.Out, changes)
	return nil
}
