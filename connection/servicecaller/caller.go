// Package servicecaller is the HTTP client for services that are not model
// engines. A Caller owns a connection pool and is used for the lifetime of the
// process.
package servicecaller

import (
	"context"
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
	// LoadTimeout limits a call for a load report.
	LoadTimeout time.Duration
}

// Caller implements mulberrybeam.ServiceClient. Calls have no timeout other than
// that of their context.
type Caller struct {
	settings Settings
	client   *http.Client
}

// Option changes the settings of a Caller.
type Option func(*Settings)

// WithLoadTimeout sets the timeout of calls for a load report.
func WithLoadTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.LoadTimeout = timeout }
}

// New returns a Caller and a function that closes its idle connections.
func New(options ...Option) (*Caller, func()) {
	settings := Settings{DialTimeout: time.Second, LoadTimeout: time.Second}
	for _, option := range options {
		option(&settings)
	}
	client, closeClient := encoder.NewTargetClient(settings.DialTimeout)
	return &Caller{settings: settings, client: client}, closeClient
}

// Call sends a service call once. It returns every response of the service,
// whatever its status, apart from responses with status 429 or 503 that say
// not-run: these are returned as a Failure.
func (c *Caller) Call(ctx context.Context, request mulberrybeam.ServiceRequest) (mulberrybeam.ServiceAnswer, error) {
	call := newCall(request)
	response, err := encoder.Send(ctx, c.client, call)
	if err != nil {
		return mulberrybeam.ServiceAnswer{}, err
	}
	defer response.Body.Close()
	if err := encoder.CheckRequestID(response, call); err != nil {
		return mulberrybeam.ServiceAnswer{}, err
	}
	body, err := encoder.ReadLimited(response.Body)
	if err != nil {
		return mulberrybeam.ServiceAnswer{}, encoder.TransportFailure(ctx, mulberrybeam.StepAnswer, call.Peer, "cannot read the response body", err)
	}
	if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
		if refusal := encoder.ParseRefusal(response.StatusCode, body, call); refusal.NotRun {
			return mulberrybeam.ServiceAnswer{}, refusal
		}
	}
	return mulberrybeam.ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Instance:    mulberrybeam.InstanceID(response.Header.Get("X-Instance-Id")),
	}, nil
}

func newCall(request mulberrybeam.ServiceRequest) encoder.Call {
	header := http.Header{
		"Content-Type": {contentType(request.Request)},
		"X-Request-Id": {string(request.Request.ID)},
		"X-Attempt":    {strconv.Itoa(request.Attempt)},
	}
	if key := request.Request.IdempotencyKey; key != "" {
		// If the connection breaks, net/http resends a request that has the
		// header Idempotency-Key. It looks only for the canonical form of
		// the name, so the lower-case form prevents that.
		header["idempotency-key"] = []string{key}
	}
	return encoder.Call{
		Method: http.MethodPost,
		URL: "http://" + request.Target.Address + "/v1/" +
			url.PathEscape(string(request.Request.Service)) + "/" + url.PathEscape(request.Request.Call),
		Header: header, Body: request.Request.Body, Instance: request.Instance,
		Peer: string(request.Target.ID), Step: mulberrybeam.StepSend,
	}
}

// Load returns the load report of a service instance.
func (c *Caller) Load(ctx context.Context, target mulberrybeam.Target) (mulberrybeam.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	load, err := encoder.Fetch[encoder.LoadReport](ctx, c.client, encoder.Call{
		Method: http.MethodGet, URL: "http://" + target.Address + "/v1/load",
		Peer: string(target.ID), Step: mulberrybeam.StepAnswer,
	})
	if err != nil {
		return mulberrybeam.LoadReport{}, err
	}
	return load.Decode(target.ID), nil
}

// contentType returns the caller's content type, or JSON if there is none.
func contentType(request *mulberrybeam.Request) string {
	if request.ContentType == "" {
		return "application/json"
	}
	return request.ContentType
}
