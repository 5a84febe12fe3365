// Package factorytest provides in-memory dependencies of commands for tests.
package factorytest

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
)

// Objects is an in-memory object API. Exported fields must be set before the first
// call.
type Objects struct {
	// LoseResponses makes each write take effect and then return an error, as if
	// the response was lost.
	LoseResponses bool
	// BeforeWrite is called before each write, for example to simulate a concurrent
	// edit.
	BeforeWrite func(*Objects, mulberrybeam.Object)

	mutex   sync.Mutex
	version int
	objects map[string]mulberrybeam.Object
}

var _ mulberrybeam.ObjectClient = (*Objects)(nil)

// Put stores an object under a new version, without a conflict check.
func (o *Objects) Put(object mulberrybeam.Object) mulberrybeam.Object {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.objects == nil {
		o.objects = map[string]mulberrybeam.Object{}
	}
	o.version++
	object.Version = fmt.Sprint(o.version)
	o.objects[object.Name] = object
	return object
}

// Get implements mulberrybeam.ObjectClient.
func (o *Objects) Get(_ context.Context, _ mulberrybeam.ObjectKind, name string) (mulberrybeam.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	object, found := o.objects[name]
	if !found {
		return object, newFailure(mulberrybeam.CodeNotFound)
	}
	return object, nil
}

// List implements mulberrybeam.ObjectClient.
func (o *Objects) List(context.Context, mulberrybeam.ObjectKind) ([]mulberrybeam.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	items := []mulberrybeam.Object{}
	for _, object := range o.objects {
		items = append(items, object)
	}
	return items, nil
}

// Create implements mulberrybeam.ObjectClient.
func (o *Objects) Create(ctx context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	return o.write(ctx, object, func(_ mulberrybeam.Object, found bool) error {
		if found {
			return newFailure(mulberrybeam.CodeExists)
		}
		return nil
	})
}

// Update implements mulberrybeam.ObjectClient.
func (o *Objects) Update(ctx context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	return o.write(ctx, object, func(current mulberrybeam.Object, found bool) error {
		if !found || current.Version != object.Version {
			return newFailure(mulberrybeam.CodeConflict)
		}
		return nil
	})
}

func (o *Objects) write(ctx context.Context, object mulberrybeam.Object, check func(mulberrybeam.Object, bool) error) (mulberrybeam.Object, error) {
	if o.BeforeWrite != nil {
		o.BeforeWrite(o, object)
	}
	current, err := o.Get(ctx, object.Kind, object.Name)
	if err := check(current, err == nil); err != nil {
		return current, err
	}
	written := o.Put(object)
	if o.LoseResponses {
		return mulberrybeam.Object{}, newFailure(mulberrybeam.CodePlatformDown)
	}
	return written, nil
}

// Delete implements mulberrybeam.ObjectClient.
func (o *Objects) Delete(_ context.Context, object mulberrybeam.Object) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.objects, object.Name)
	return nil
}

// Watch implements mulberrybeam.ObjectClient. It reports no changes and blocks
// until the context ends.
func (o *Objects) Watch(ctx context.Context, _ mulberrybeam.ObjectKind, _, _ string, _ func(mulberrybeam.ObjectChanged)) error {
	<-ctx.Done()
	return ctx.Err()
}

func newFailure(code mulberrybeam.Code) error {
	return &mulberrybeam.Failure{Code: code, Step: mulberrybeam.StepPlatform, Peer: "platform"}
}

// New returns a factory with one in-memory object API for each environment, and
// the buffers that capture the output and error streams.
func New(objects map[mulberrybeam.EnvironmentName]*Objects) (f *factory.Factory, stdout, stderr *bytes.Buffer) {
	stdout, stderr = &bytes.Buffer{}, &bytes.Buffer{}
	return &factory.Factory{
		Streams: factory.Streams{In: &bytes.Buffer{}, Out: stdout, Err: stderr},
		Objects: func(_ string, environment mulberrybeam.EnvironmentName) (mulberrybeam.ObjectClient, func(), error) {
			client, found := objects[environment]
			if !found {
				return nil, nil, fmt.Errorf("no object API for environment %q", environment)
			}
			return client, func() {}, nil
		},
		HTTP: http.DefaultClient,
	}, stdout, stderr
}
