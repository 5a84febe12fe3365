package editor

import (
	"context"
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Open returns the document in force of an environment, a client for its objects
// and a cleanup function. The cleanup function is never nil, even if Open fails.
func Open(ctx context.Context, f *factory.Factory, platform string, name mulberrybeam.EnvironmentName) (*CurrentDocument, mulberrybeam.ObjectClient, func(), error) {
	objects, cleanup, err := f.Objects(platform, name)
	if err != nil {
		return nil, nil, func() {}, err
	}
	current, err := Load(ctx, objects, name)
	if err != nil {
		return nil, objects, cleanup, fmt.Errorf("environment %s: %w", name, err)
	}
	return current, objects, cleanup, nil
}
