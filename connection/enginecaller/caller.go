// Package enginecaller is the HTTP client for model engines. A Caller owns a
// connection pool and is used for the lifetime of the process.
package enginecaller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
)

// Settings are the timeouts of a Caller.
type Settings struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// CallTimeout limits calls for load reports, cache events and
	// cancellations.
	CallTimeout time.Duration
	// TransferTimeout limits imports and exports of context.
	TransferTimeout time.Duration
	// OrderTimeout limits orders.
	OrderTimeout time.Duration
	// IdleTimeout limits the wait for the response header and for each event
	// of a stream.
	IdleTimeout time.Duration
}

// Caller implements mulberrybeam.EngineClient.
type Caller struct {
	settings Settings
	client   *http.Client
}

// Option changes the settings of a Caller.
type Option func(*Settings)

// WithCallTimeout sets the timeout of load reports, cache events and
// cancellations.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.CallTimeout = timeout }
}

// WithTransferTimeout sets the timeout of imports and exports.
func WithTransferTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.TransferTimeout = timeout }
}

// WithOrderTimeout sets the timeout of orders.
func WithOrderTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.OrderTimeout = timeout }
}

// WithIdleTimeout sets the timeout for the response header and for each event of
// a stream.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.IdleTimeout = timeout }
}

// New returns a Caller and a function that closes its idle connections.
func New(options ...Option) (*Caller, func()) {
	settings := Settings{
		DialTimeout:     time.Second,
		CallTimeout:     time.Second,
		TransferTimeout: 10 * time.Second,
		OrderTimeout:    30 * time.Second,
		IdleTimeout:     60 * time.Second,
	}
	for _, option := range options {
		option(&settings)
	}
	client, closeClient := encoder.NewTargetClient(settings.DialTimeout)
	return &Caller{settings: settings, client: client}, closeClient
}

// Generate sends a chat completion request and returns its response stream.
func (c *Caller) Generate(ctx context.Context, call mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) {
	request := newCall(call.Target, http.MethodPost, "/v1/chat/completions", mulberrybeam.StepSend)
	body, err := RequestBody(call)
	if err != nil {
		return nil, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeBadRequest, Step: mulberrybeam.StepSend, Peer: request.Peer,
			Message: "cannot create the request body for the engine", NotRun: true, Cause: err,
		}
	}
	request.Body = body
	request.Instance = call.Instance
	request.Header = http.Header{
		"Content-Type": {"application/json"},
		"Accept":       {"text/event-stream"},
		"X-Request-Id": {string(call.Request.ID)},
		"X-Attempt":    {strconv.Itoa(call.Attempt)},
	}
	if call.After > 0 {
		request.Header["Last-Event-Id"] = []string{strconv.FormatUint(call.After, 10)}
	}
	return c.openStream(ctx, request)
}

// openStream sends the call and waits for the header of the response.
func (c *Caller) openStream(ctx context.Context, call encoder.Call) (mulberrybeam.EngineStream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	idle := newIdleTimer(c.settings.IdleTimeout, cancel)
	response, err := encoder.Send(streamCtx, c.client, call)
	if err == nil {
		err = encoder.CheckRequestID(response, call)
		if err == nil && response.StatusCode != http.StatusOK {
			err = encoder.ReadRefusal(response, call)
		}
		if err != nil {
			_ = response.Body.Close()
		}
	}
	if err != nil {
		err = idle.markTimeout(ctx, err)
		idle.stop()
		cancel()
		return nil, err
	}
	return newStream(ctx, cancel, idle, response, call.Peer), nil
}

// Cancel ends the run of a request. It is not an error if the engine does not
// know the run, since it may already have ended.
func (c *Caller) Cancel(ctx context.Context, target mulberrybeam.Target, request mulberrybeam.RequestID) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	call := newCall(target, http.MethodDelete,
		"/v1/chat/completions/"+url.PathEscape(string(request)), mulberrybeam.StepSend)
	response, err := encoder.Send(ctx, c.client, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices && response.StatusCode != http.StatusNotFound {
		return encoder.ReadRefusal(response, call)
	}
	return nil
}

// ImportContext has the engine import a context from a store, and returns the
// number of imported tokens. Keys beyond the manifest's blocks are left out.
func (c *Caller) ImportContext(
	ctx context.Context, target mulberrybeam.Target, store mulberrybeam.Store,
	manifest mulberrybeam.Manifest, keys []mulberrybeam.BlockKey,
) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.TransferTimeout)
	defer cancel()
	keys = keys[:min(len(keys), manifest.Blocks)]
	call := newCall(target, http.MethodPost, "/v1/context/import", mulberrybeam.StepImport)
	imported, err := encoder.Exchange[encoder.Import, encoder.ImportResult](ctx, c.client, call, encoder.Import{
		Key:          encoder.FormatKey(manifest.Key),
		Keys:         encoder.FormatKeys(keys),
		StoreAddress: store.Address,
		Generation:   manifest.Generation,
		Checksum:     encoder.FormatChecksum(manifest.Checksum),
		Bytes:        manifest.Bytes,
		Salt:         contextSalt(keys),
	})
	return imported.Tokens, err
}

// ExportContext has the engine write a context to a store, and returns its
// manifest.
func (c *Caller) ExportContext(
	ctx context.Context, target mulberrybeam.Target, store mulberrybeam.Store,
	keys []mulberrybeam.BlockKey, generation uint64,
) (mulberrybeam.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.TransferTimeout)
	defer cancel()
	call := newCall(target, http.MethodPost, "/v1/context/export", mulberrybeam.StepExport)
	response, err := encoder.Exchange[encoder.Export, encoder.Manifest](ctx, c.client, call, encoder.Export{
		Keys:         encoder.FormatKeys(keys),
		StoreAddress: store.Address,
		Generation:   generation,
		Salt:         contextSalt(keys),
	})
	if err != nil {
		return mulberrybeam.Manifest{}, err
	}
	manifest, err := response.Decode(store.ID)
	if err != nil {
		return mulberrybeam.Manifest{}, invalidResponse(call, err)
	}
	return manifest, nil
}

// Load returns the engine's load report.
func (c *Caller) Load(ctx context.Context, target mulberrybeam.Target) (mulberrybeam.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	load, err := encoder.Fetch[encoder.LoadReport](ctx, c.client,
		newCall(target, http.MethodGet, "/v1/load", mulberrybeam.StepAnswer))
	if err != nil {
		return mulberrybeam.LoadReport{}, err
	}
	return load.Decode(target.ID), nil
}

// CacheEvents returns the cache events after a sequence number.
func (c *Caller) CacheEvents(ctx context.Context, target mulberrybeam.Target, after uint64) ([]mulberrybeam.CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	call := newCall(target, http.MethodGet,
		fmt.Sprintf("/v1/cache-events?after=%d", after), mulberrybeam.StepAnswer)
	response, err := encoder.Fetch[encoder.CacheEvents](ctx, c.client, call)
	if err != nil {
		return nil, err
	}
	events := make([]mulberrybeam.CacheEvent, len(response.Events))
	for i, event := range response.Events {
		stored, err := encoder.ParseKeys(event.Stored)
		if err != nil {
			return nil, invalidResponse(call, err)
		}
		removed, err := encoder.ParseKeys(event.Removed)
		if err != nil {
			return nil, invalidResponse(call, err)
		}
		events[i] = mulberrybeam.CacheEvent{
			Target: target.ID, Instance: mulberrybeam.InstanceID(response.Instance),
			Sequence: event.Sequence, Stored: stored, Removed: removed,
		}
	}
	return events, nil
}

// Order sends an order to the engine and waits until it is carried out.
func (c *Caller) Order(ctx context.Context, target mulberrybeam.Target, order mulberrybeam.Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	_, err := encoder.Exchange[encoder.Order, struct{}](ctx, c.client,
		newCall(target, http.MethodPost, "/v1/orders", mulberrybeam.StepSend), encoder.Order{
			Kind: string(order.Kind), Model: string(order.Model), Version: string(order.Version),
			Adapter: order.Adapter, Role: order.Role, Fencing: uint64(order.Fencing),
		})
	return err
}

func newCall(target mulberrybeam.Target, method, path string, step mulberrybeam.Step) encoder.Call {
	return encoder.Call{
		Method: method, URL: "http://" + target.Address + path,
		Peer: string(target.ID), Step: step,
	}
}

// invalidResponse returns the failure for a response that is valid JSON but
// contains an invalid key or checksum.
func invalidResponse(call encoder.Call, cause error) error {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeTargetFailed, Step: call.Step, Peer: call.Peer,
		Message: "response contains invalid data", Cause: cause,
	}
}
