// Package apply implements the environment apply command, which replaces the
// configuration document in force.
package apply

import (
	"context"
	"errors"
	"fmt"
	"os"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/cmd/mulberrybeam/waiter"
	"mulberrybeam/version/parser"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	File     string `arg:"" help:"Document to apply (JSON with comments). Its revision must be the one in force, if there is one."`
	Platform string `help:"URL of the platform's object API." env:"MULBERRYBEAM_PLATFORM"`
	Yes      bool   `help:"Skip the confirmation prompt."`

	waiter.Flags

	factory *factory.Factory
	run     func(*Options) error
}

// New returns the command. If run is nil, the command runs its default
// implementation; tests pass their own.
func New(f *factory.Factory, run func(*Options) error) Options {
	if run == nil {
		run = apply
	}
	return Options{factory: f, run: run}
}

// Run is called by kong when the command is selected.
func (o *Options) Run() error { return o.run(o) }

func apply(o *Options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	environment, err := parser.Parse(data)
	if err != nil {
		return err
	}
	objects, cleanup, err := o.factory.Objects(o.Platform, environment.Name)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx := context.Background()
	current, err := loadCurrent(ctx, objects, environment)
	if err != nil {
		return err
	}
	if err := o.confirm(current, data); err != nil {
		return err
	}
	revision, err := editor.Replace(ctx, objects, current, data)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.factory.Streams.Out, "applied as revision %d of environment %s\n", revision, environment.Name)
	return o.Await(ctx, o.factory, revision)
}

// loadCurrent returns the document in force, or nil if the environment has none. It
// returns a ConflictError if the edit is based on another revision.
func loadCurrent(ctx context.Context, objects mulberrybeam.ObjectClient, environment *mulberrybeam.Environment) (*editor.CurrentDocument, error) {
	current, err := editor.Load(ctx, objects, environment.Name)
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) && failure.Code == mulberrybeam.CodeNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if current.Environment.Revision != environment.Revision {
		return nil, &editor.ConflictError{BaseRevision: environment.Revision, CurrentRevision: current.Environment.Revision}
	}
	return current, nil
}

// confirm prints the changes to an existing document and asks the user to confirm.
func (o *Options) confirm(current *editor.CurrentDocument, data []byte) error {
	var currentData []byte
	if current != nil {
		currentData = current.Object.Data
	}
	changes, err := editor.Diff(currentData, data)
	if err != nil {
		return err
	}
	if current != nil {
		editor.PrintChanges(o.factory.Streams.Out, changes)
	}
	return o.factory.Streams.Confirm(o.Yes, fmt.Sprintf("Apply %d changes?", len(changes)))
}
