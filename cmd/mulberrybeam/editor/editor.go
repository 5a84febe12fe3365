// Package editor reads, compares and edits the configuration document of an
// environment. Writes fail if the document has changed in the meantime.
package editor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/tailscale/hujson"

	"mulberrybeam"
	"mulberrybeam/version/decoder"
	"mulberrybeam/version/parser"
)

// CurrentDocument is the document in force, as stored in the object API and as parsed.
type CurrentDocument struct {
	Object      mulberrybeam.Object
	Environment *mulberrybeam.Environment
}

// ConflictError is the error for an edit that is based on a revision other than the one
// in force.
type ConflictError struct {
	BaseRevision    mulberrybeam.Revision
	CurrentRevision mulberrybeam.Revision
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("the edit is based on revision %d, but revision %d is in force; "+
		"run \"mulberrybeam environment diff\" to see what changed", c.BaseRevision, c.CurrentRevision)
}

// Load returns the document in force. If there is none, the error is a Failure with
// CodeNotFound.
func Load(ctx context.Context, objects mulberrybeam.ObjectClient, name mulberrybeam.EnvironmentName) (*CurrentDocument, error) {
	object, err := objects.Get(ctx, mulberrybeam.ObjectEnvironment, string(name))
	if err != nil {
		return nil, err
	}
	environment, err := parser.Parse(object.Data)
	if err != nil {
		return nil, fmt.Errorf("parse document of environment %q: %w", name, err)
	}
	return &CurrentDocument{Object: object, Environment: environment}, nil
}

// Replace writes a document that is based on current and returns its revision,
// which is one above current's. If current is nil, it creates the document with
// revision 1. It returns a ConflictError if the document was changed concurrently.
func Replace(ctx context.Context, objects mulberrybeam.ObjectClient, current *CurrentDocument, document []byte) (mulberrybeam.Revision, error) {
	revision := mulberrybeam.Revision(1)
	if current != nil {
		revision = current.Environment.Revision + 1
	}
	document, err := Set(document, "/revision", fmt.Sprint(revision))
	if err != nil {
		return 0, err
	}
	environment, err := parser.Parse(document)
	if err != nil {
		return 0, err
	}
	object := mulberrybeam.Object{Kind: mulberrybeam.ObjectEnvironment, Name: string(environment.Name), Data: document}
	if current == nil {
		_, err = objects.Create(ctx, object)
	} else {
		object.Version = current.Object.Version
		_, err = objects.Update(ctx, object)
	}
	if err == nil {
		return revision, nil
	}
	return checkWrite(ctx, objects, environment, document, err)
}

// checkWrite reads the document back after a failed write to find out whether the
// write took effect: the response may have been lost after the update.
func checkWrite(ctx context.Context, objects mulberrybeam.ObjectClient, environment *mulberrybeam.Environment, document []byte, writeErr error) (mulberrybeam.Revision, error) {
	current, err := Load(ctx, objects, environment.Name)
	if err != nil {
		return 0, errors.Join(writeErr, err)
	}
	if bytes.Equal(current.Object.Data, document) {
		return environment.Revision, nil
	}
	if current.Environment.Revision >= environment.Revision {
		return 0, &ConflictError{BaseRevision: environment.Revision - 1, CurrentRevision: current.Environment.Revision}
	}
	return 0, writeErr
}

// Set replaces or adds the value at a JSON pointer. The comments of the document
// are kept.
func Set(document []byte, pointer, value string) ([]byte, error) {
	tree, err := hujson.Parse(document)
	if err != nil {
		return nil, err
	}
	operation := "replace"
	if tree.Find(pointer) == nil {
		operation = "add"
	}
	patch := fmt.Sprintf(`[{"op": %q, "path": %q, "value": %s}]`, operation, pointer, value)
	if err := tree.Patch([]byte(patch)); err != nil {
		return nil, fmt.Errorf("set %s: %w", pointer, err)
	}
	return tree.Pack(), nil
}

// Change is a value that differs between two documents. Before is empty for an
// added value, After for a removed one.
type Change struct {
	Path   string
	Before string
	After  string
}

// Diff returns the scalar values that differ, sorted by path. It ignores comments
// and white space.
func Diff(before, after []byte) ([]Change, error) {
	previous, err := scalarValues(before)
	if err != nil {
		return nil, err
	}
	current, err := scalarValues(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(previous)
	maps.Copy(paths, current)
	changes := []Change{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if previous[path] != current[path] {
			changes = append(changes, Change{Path: path, Before: previous[path], After: current[path]})
		}
	}
	return changes, nil
}

// scalarValues returns the scalar values of a document by path, as JSON text.
func scalarValues(document []byte) (map[string]string, error) {
	if len(document) == 0 {
		return map[string]string{}, nil
	}
	decoded, err := decoder.Decode(document, mulberrybeam.Environment{})
	if err != nil {
		return nil, err
	}
	values := map[string]string{}
	for path, place := range decoded.Positions {
		composite := place.Text != "" && (place.Text[0] == '{' || place.Text[0] == '[')
		if !composite {
			values[path] = place.Text
		}
	}
	return values, nil
}
