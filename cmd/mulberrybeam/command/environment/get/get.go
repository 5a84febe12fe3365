// Package get implements the environment get command, which prints the
// configuration document in force.
package get

import (
	"context"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Environment mulberrybeam.EnvironmentName `arg:"" help:"Name of the environment."`
	Platform    string                       `help:"URL of the platform's object API." env:"MULBERRYBEAM_PLATFORM"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = get
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func get(o *Options) error {
	current, _, cleanup, err := editor.Open(context.Background(), o.factory, o.Platform, o.Environment)
	defer cleanup()
	if err != nil {
		return err
	}
	_, err = o.factory.Streams.Out.Write(current.Object.Data)
	return err
}
