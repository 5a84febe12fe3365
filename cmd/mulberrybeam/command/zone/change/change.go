// Package change implements the commands that take an availability zone out of
// service and bring it back.
package change

import (
	"context"
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/cmd/mulberrybeam/waiter"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Environment mulberrybeam.EnvironmentName `arg:"" help:"Name of the environment."`
	Zone        mulberrybeam.ZoneName        `arg:"" help:"Name of the availability zone."`
	Platform    string                       `help:"URL of the platform's object API." env:"MULBERRYBEAM_PLATFORM"`
	Yes         bool                         `help:"Skip the confirmation prompt."`

	waiter.Flags

	state   mulberrybeam.ZoneState
	factory *factory.Factory
	run     func(*Options) error
}

// New returns a command that sets a zone to the given state. If run is nil, the
// command runs its default implementation; tests pass their own.
func New(f *factory.Factory, state mulberrybeam.ZoneState, run func(*Options) error) Options {
	if run == nil {
		run = change
	}
	return Options{factory: f, state: state, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func change(o *Options) error {
	ctx := context.Background()
	current, objects, cleanup, err := editor.Open(ctx, o.factory, o.Platform, o.Environment)
	defer cleanup()
	if err != nil {
		return err
	}
	pointer, err := editor.ZonePointer(current.Environment, o.Zone)
	if err != nil {
		return err
	}
	document, err := editor.Set(current.Object.Data, pointer, fmt.Sprintf("%q", o.state))
	if err != nil {
		return err
	}
	question := fmt.Sprintf("Set zone %s of environment %s to state %q?", o.Zone, o.Environment, o.state)
	if err := o.factory.Streams.Confirm(o.Yes, question); err != nil {
		return err
	}
	revision, err := editor.Replace(ctx, objects, current, document)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.factory.Streams.Out, "zone %s set to %q in revision %d\n", o.Zone, o.state, revision)
	return o.Await(ctx, o.factory, revision)
}
