// Package get prints the configuration document in force.
package get

import (
	"context"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Options are the dependencies and arguments of the command.
type Options struct {
	Environment mulberrybeam.EnvironmentName `arg:"" help:"Name of the environment."`
	Platform    string                       `help:"URL of the object API." env:"MULBERRYBEAM_PLATFORM"`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = get
	}
	return Options{factory: f, run: run}
}

// Run runs the command.
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
