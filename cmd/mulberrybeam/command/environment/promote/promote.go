// Package promote implements the environment promote command, which applies the
// document of one environment to another. Only the environment name changes.
package promote

import (
	"context"
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	From         mulberrybeam.EnvironmentName `arg:"" help:"Environment to promote from."`
	To           mulberrybeam.EnvironmentName `arg:"" help:"Environment to promote to."`
	Revision     mulberrybeam.Revision        `help:"Revision to promote. Must be in force in the environment to promote from." required:""`
	OntoRevision mulberrybeam.Revision        `help:"Revision to replace. Must be in force in the environment to promote to." required:""`
	Platform     string                       `help:"URL of the platform's object API." env:"MULBERRYBEAM_PLATFORM"`
	Yes          bool                         `help:"Skip the confirmation prompt."`

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = promote
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func promote(o *Options) error {
	ctx := context.Background()
	source, _, cleanup, err := o.loadRevision(ctx, o.From, o.Revision)
	cleanup()
	if err != nil {
		return err
	}
	current, objects, cleanup, err := o.loadRevision(ctx, o.To, o.OntoRevision)
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
	_, _ = fmt.Fprintf(o.factory.Streams.Out, "promoted revision %d of %s as revision %d of %s\n", o.Revision, o.From, revision, o.To)
	return nil
}

// loadRevision returns the document in force of an environment, or a Conflict if its
// revision is not the given one.
func (o *Options) loadRevision(ctx context.Context, name mulberrybeam.EnvironmentName, revision mulberrybeam.Revision) (*editor.CurrentDocument, mulberrybeam.ObjectClient, func(), error) {
	current, objects, cleanup, err := editor.Open(ctx, o.factory, o.Platform, name)
	if err == nil && current.Environment.Revision != revision {
		err = fmt.Errorf("environment %s: %w", name, &editor.ConflictError{BaseRevision: revision, CurrentRevision: current.Environment.Revision})
	}
	return current, objects, cleanup, err
}
