package editor

import (
	"context"
	"fmt"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Open returns an environment's document in force, the client of its objects
// and a clean-up function, which is not nil also after an error.
func Open(ctx context.Context, f *factory.Factory, platform string, name mulberrybeam.EnvironmentName) (*Current, mulberrybeam.ObjectClient, func(), error) {
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
