// Package storecaller asks context stores for manifests over HTTP. A Caller
// lives as long as its pool of connections.
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

// Settings are the time limits of a Caller.
type Settings struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// CallTimeout bounds a call. A prompt waits for it, so a slow store
	// must cost less than computing the context again.
	CallTimeout time.Duration
}

// Caller implements mulberrybeam.StoreClient.
type Caller struct {
	settings Settings
	client   *http.Client
}

// Option changes the settings of a Caller.
type Option func(*Settings)

// WithCallTimeout sets the bound of a call.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.CallTimeout = timeout }
}

// New returns a Caller and the function that closes its idle connections.
func New(options ...Option) (*Caller, func()) {
	settings := Settings{DialTimeout: 100 * time.Millisecond, CallTimeout: 200 * time.Millisecond}
	for _, option := range options {
		option(&settings)
	}
	client, closeClient := encoder.NewClient(settings.DialTimeout)
	return &Caller{settings: settings, client: client}, closeClient
}

// Manifests returns the whole contexts among the keys, longest first.
// Manifests that are invalid or that nobody asked for are left out.
func (c *Caller) Manifests(
	ctx context.Context, store mulberrybeam.Store, keys []mulberrybeam.BlockKey,
) ([]mulberrybeam.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	answer, err := encoder.Exchange[encoder.Keys, encoder.Manifests](ctx, c.client,
		callOf(store, http.MethodPost, "/v1/manifests"), encoder.Keys{Keys: encoder.KeyTexts(keys)})
	if err != nil {
		return nil, err
	}
	manifests := make([]mulberrybeam.Manifest, 0, len(answer.Manifests))
	for _, wire := range answer.Manifests {
		manifest, err := wire.Plain(store.ID)
		// The block count must fit the key's place in the chain, or the
		// engine would be given another context's length.
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

// Delete removes a context. A context that the store does not have is no
// error.
func (c *Caller) Delete(ctx context.Context, store mulberrybeam.Store, key mulberrybeam.BlockKey) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	_, err := encoder.Fetch[struct{}](ctx, c.client,
		callOf(store, http.MethodDelete, "/v1/contexts/"+encoder.KeyText(key)))
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) && failure.Code == mulberrybeam.CodeNotFound {
		return nil
	}
	return err
}

func callOf(store mulberrybeam.Store, method, path string) encoder.Call {
	return encoder.Call{
		Method: method, URL: "http://" + store.Address + path,
		Peer: string(store.ID), Step: mulberrybeam.StepImport,
	}
}
