// Package diff shows how a document differs from the one in force.
package diff

import (
	"context"
	"fmt"
	"os"

	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/version/parser"
)

// Options are the dependencies and arguments of the command.
type Options struct {
	File     string `arg:"" help:"The document, JSON with comments."`
	Platform string `help:"URL of the object API." env:"MULBERRYBEAM_PLATFORM"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = diff
	}
	return Options{factory: f, run: run}
}

// Run runs the command.
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
	_, _ = fmt.Fprintf(o.factory.Streams.Out, "revision %d in force, %d values differ in %s\n", current.Environment.Revision, len(changes), o.File)
	editor.PrintChanges(o.factory.Streams.Out, changes)
	return nil
}
