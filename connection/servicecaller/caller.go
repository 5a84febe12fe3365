// Package servicecaller calls plain services over HTTP. A Caller lives as long
// as its pool of connections.
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

// Settings are the time limits of a Caller.
type Settings struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// LoadTimeout bounds the call for a load report.
	LoadTimeout time.Duration
}

// Caller implements mulberrybeam.ServiceClient. The context of a call bounds
// its run.
type Caller struct {
	settings Settings
	client   *http.Client
}

// Option changes the settings of a Caller.
type Option func(*Settings)

// WithLoadTimeout sets the bound of the call for a load report.
func WithLoadTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.LoadTimeout = timeout }
}

// New returns a Caller and the function that closes its idle connections.
func New(options ...Option) (*Caller, func()) {
	settings := Settings{DialTimeout: time.Second, LoadTimeout: time.Second}
	for _, option := range options {
		option(&settings)
	}
	client, closeClient := encoder.NewTargetClient(settings.DialTimeout)
	return &Caller{settings: settings, client: client}, closeClient
}

// Call runs a service call once. Every answer of the service is returned as
// such, but for a refusal that says not-run.
func (c *Caller) Call(ctx context.Context, request mulberrybeam.ServiceRequest) (mulberrybeam.ServiceAnswer, error) {
	call := callOf(request)
	response, err := encoder.Send(ctx, c.client, call)
	if err != nil {
		return mulberrybeam.ServiceAnswer{}, err
	}
	defer response.Body.Close()
	if err := encoder.Belongs(response, call); err != nil {
		return mulberrybeam.ServiceAnswer{}, err
	}
	body, err := encoder.ReadAll(response.Body)
	if err != nil {
		return mulberrybeam.ServiceAnswer{}, encoder.Broken(ctx, mulberrybeam.StepAnswer, call.Peer, "answer broken off", err)
	}
	if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
		if refusal := encoder.RefusalOf(response.StatusCode, body, call); refusal.NotRun {
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

func callOf(request mulberrybeam.ServiceRequest) encoder.Call {
	header := http.Header{
		"Content-Type": {contentType(request.Request)},
		"X-Request-Id": {string(request.Request.ID)},
		"X-Attempt":    {strconv.Itoa(request.Attempt)},
	}
	if key := request.Request.IdempotencyKey; key != "" {
		// net/http sends a request with the canonical Idempotency-Key a
		// second time by itself when its connection breaks. It does not
		// recognize another case.
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

// Load returns the service instance's load report.
func (c *Caller) Load(ctx context.Context, target mulberrybeam.Target) (mulberrybeam.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	load, err := encoder.Fetch[encoder.Load](ctx, c.client, encoder.Call{
		Method: http.MethodGet, URL: "http://" + target.Address + "/v1/load",
		Peer: string(target.ID), Step: mulberrybeam.StepAnswer,
	})
	if err != nil {
		return mulberrybeam.LoadReport{}, err
	}
	return load.Report(target.ID), nil
}

// contentType returns the caller's content type, JSON when there is none.
func contentType(request *mulberrybeam.Request) string {
	if request.ContentType == "" {
		return "application/json"
	}
	return request.ContentType
}
