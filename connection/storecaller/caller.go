// Package storecaller is the HTTP client for context stores. It lists manifests
// and deletes contexts; engines transfer the data. A Caller owns a connection
// pool and is used for the lifetime of the process.
package storecaller

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
)

// Settings are the timeouts of a Caller.
type Settings struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// CallTimeout limits a call. A prompt is delayed by the call, so waiting
	// for a slow store must take less time than recomputing the context.
	CallTimeout time.Duration
}

// Caller implements mulberrybeam.StoreClient.
type Caller struct {
	settings Settings
	client   *http.Client
}

// Option changes the settings of a Caller.
type Option func(*Settings)

// WithCallTimeout sets the timeout of a call.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.CallTimeout = timeout }
}

// New returns a Caller and a function that closes its idle connections.
func New(options ...Option) (*Caller, func()) {
	settings := Settings{DialTimeout: 100 * time.Millisecond, CallTimeout: 200 * time.Millisecond}
	for _, option := range options {
		option(&settings)
	}
	client, closeClient := encoder.NewClient(settings.DialTimeout)
	return &Caller{settings: settings, client: client}, closeClient
}

// Manifests returns the manifests of the complete contexts that the store has
// for the keys, longest first. Manifests that are invalid or were not asked for
// are left out.
func (c *Caller) Manifests(
	ctx context.Context, store mulberrybeam.Store, keys []mulberrybeam.BlockKey,
) ([]mulberrybeam.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	response, err := encoder.Exchange[encoder.Keys, encoder.Manifests](ctx, c.client,
		newCall(store, http.MethodPost, "/v1/manifests"), encoder.Keys{Keys: encoder.FormatKeys(keys)})
	if err != nil {
		return nil, err
	}
	manifests := make([]mulberrybeam.Manifest, 0, len(response.Manifests))
	for _, encoded := range response.Manifests {
		manifest, err := encoded.Decode(store.ID)
		// The block count must match the position of the key in the chain.
		// Otherwise the engine would import a context of another length.
		if err != nil || manifest.Blocks < 1 || manifest.Blocks > len(keys) ||
			keys[manifest.Blocks-1] != manifest.Key {
			continue
		}
		manifests = append(manifests, manifest)
	}
	slices.SortStableFunc(manifests, func(a, b mulberrybeam.Manifest) int {
		return cmp.Compare(b.Blocks, a.Blocks)
	})
	return manifests, nil
}

// Delete removes a context. It is not an error if the store does not have the
// context.
func (c *Caller) Delete(ctx context.Context, store mulberrybeam.Store, key mulberrybeam.BlockKey) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	_, err := encoder.Fetch[struct{}](ctx, c.client,
		newCall(store, http.MethodDelete, "/v1/contexts/"+encoder.FormatKey(key)))
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) && failure.Code == mulberrybeam.CodeNotFound {
		return nil
	}
	return err
}

func newCall(store mulberrybeam.Store, method, path string) encoder.Call {
	return encoder.Call{
		Method: method, URL: "http://" + store.Address + path,
		Peer: string(store.ID), Step: mulberrybeam.StepImport,
	}
}
