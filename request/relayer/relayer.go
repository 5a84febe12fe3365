// Package relayer proxies callers' requests to targets. It matches each request
// to a rule, chooses a target, sends the request, retries it where that is
// allowed, and forwards the response. The decisions are made by the neighboring
// request packages.
package relayer

import (
	"context"
	"io"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
	"mulberrybeam/process/monitor"
	"mulberrybeam/process/reserver"
	"mulberrybeam/process/tallier"
	"mulberrybeam/request/chooser"
	"mulberrybeam/request/fetcher"
)

// Sender sends a request to a target.
type Sender interface {
	Send(ctx context.Context, target mulberrybeam.FleetTarget, limit int, message requester.Message) (*requester.Answer, error)
	// RefusesConnections reports whether a target refuses connections.
	RefusesConnections(ctx context.Context, address string) bool
	// AcceptsConnections reports whether a target accepts connections.
	AcceptsConnections(ctx context.Context, address string) bool
}

// Relayer is the HTTP handler for callers. It holds the state and dependencies
// that all requests share, and lives as long as the process.
type Relayer struct {
	// Settings returns the current host settings.
	Settings func() *mulberrybeam.HostSettings
	Codec    mulberrybeam.CallCodec
	Sender   Sender
	Monitor  *monitor.Monitor
	// Tallier counts what rollouts are judged by. It is nil where rollouts are not
	// in use.
	Tallier *tallier.Tallier
	Budgets *monitor.Budgets
	// Streams may be nil. A stream then goes on at its software version only within one
	// response.
	Streams  Streams
	Catalog  fetcher.Catalog
	Recorder mulberrybeam.Recorder
	// Fleet returns the latest state of the fleet.
	Fleet func() *mulberrybeam.Fleet
	// Post passes an event to the control loop without blocking.
	Post func(mulberrybeam.Event)
	// Now returns local monotonic time, which includes time in which the host
	// is suspended.
	Now func() time.Duration
	// Shutdown returns the times of the shutdown, or nil if none is under way.
	Shutdown func() *Shutdown
	// Memory limits the memory of requests. It may be nil.
	Memory *reserver.Reserver
	// Isolation knows whether this host reaches targets. It may be nil without Passing.
	Isolation mulberrybeam.Isolation
	// Passing passes requests on through other hosts. It may be nil.
	Passing *Passing

	// MaxConfigAge is how old the last confirmation of the configuration may be for
	// an unknown route or key to be answered with 404 or 401. 0 means no limit.
	MaxConfigAge time.Duration

	claims trialClaims
	shares chooser.ShareCache
}

// ServeHTTP handles one request of a caller.
func (r *Relayer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Context().Err() != nil {
		// The connection was closed while the request was read.
		panic(http.ErrAbortHandler)
	}
	e := &exchange{Relayer: r, writer: drainWriter{writer, r.Shutdown}, request: request, arrivedAt: r.Now(), fleet: r.Fleet(), settings: r.Settings()}
	e.run()
}

// drainWriter announces the end of the connection in headers that are written
// while the process is shutting down.
type drainWriter struct {
	http.ResponseWriter
	shutdown func() *Shutdown
}

// WriteHeader writes the header of the response.
func (w drainWriter) WriteHeader(status int) {
	if w.shutdown() != nil {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// ReadFrom keeps the buffers that the writer below has for io.Copy.
func (w drainWriter) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(w.ResponseWriter, source)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
