// Package promote puts the exact document of one environment in force in
// another one.
package promote

import (
	"context"
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Options are the dependencies and arguments of the command.
type Options struct {
	From         mulberrybeam.EnvironmentName `arg:"" help:"Environment in which the revision was proved."`
	To           mulberrybeam.EnvironmentName `arg:"" help:"Environment that takes it over."`
	Revision     mulberrybeam.Revision        `help:"Revision of the first environment that was proved." required:""`
	OntoRevision mulberrybeam.Revision        `help:"Revision of the second environment that it replaces." required:""`
	Platform     string                       `help:"URL of the object API." env:"MULBERRYBEAM_PLATFORM"`
	Yes          bool                         `help:"Do not ask."`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. A nil run stands for the real one.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = promote
	}
	return Options{factory: f, run: run}
}

// Run runs the command.
func (o *Options) Run() error { return o.run(o) }

func promote(o *Options) error {
	ctx := context.Background()
	source, _, cleanup, err := o.load(ctx, o.From, o.Revision)
	cleanup()
	if err != nil {
		return err
	}
	current, objects, cleanup, err := o.load(ctx, o.To, o.OntoRevision)
	defer cleanup()
	if err != nil {
		return err
	}
	document, err := editor.Set(source.Object.Data, "/name", fmt.Sprintf("%q", o.To))
	if err != nil {
		return err
	}
	changes, err := editor.Diff(current.Object.Data, document)
	if err != nil {
		return err
	}
	editor.PrintChanges(o.factory.Streams.Out, changes)
	if err := o.factory.Streams.Confirm(o.Yes, fmt.Sprintf("Promote revision %d of %s to %s?", o.Revision, o.From, o.To)); err != nil {
		return err
	}
	revision, err := editor.Replace(ctx, objects, current, document)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.factory.Streams.Out, "revision %d of %s is accepted as revision %d of %s\n", o.Revision, o.From, revision, o.To)
	return nil
}

// load returns an environment's document, or a Conflict when its revision is
// not the one that the operator named.
func (o *Options) load(ctx context.Context, name mulberrybeam.EnvironmentName, revision mulberrybeam.Revision) (*editor.Current, mulberrybeam.ObjectClient, func(), error) {
	current, objects, cleanup, err := editor.Open(ctx, o.factory, o.Platform, name)
	if err == nil && current.Environment.Revision != revision {
		err = fmt.Errorf("environment %s: %w", name, &editor.Conflict{Based: revision, Current: current.Environment.Revision})
	}
	return current, objects, cleanup, err
}
