// Package relayer runs one caller's request by driving the decisions of the
// packages beside it: it matches the request, chooses a target, sends it, sends
// it again where that is allowed, and passes the answer on.
package relayer

import (
	"context"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/carrier"
	"mulberrybeam/process/gauger"
	"mulberrybeam/request/fetcher"
)

// Sender sends a request to a target.
type Sender interface {
	Send(ctx context.Context, target mulberrybeam.FleetTarget, limit int, message carrier.Message) (*carrier.Answer, error)
	// Crashed says whether a target refuses connections.
	Crashed(ctx context.Context, address string) bool
}

// Relayer holds what requests share. It lives as long as the process.
type Relayer struct {
	// Settings returns the settings in force.
	Settings func() *mulberrybeam.HostSettings
	Codec    mulberrybeam.CallCodec
	Sender   Sender
	Gauger   *gauger.Gauger
	Budgets  *gauger.Budgets
	Catalog  fetcher.Catalog
	Recorder mulberrybeam.Recorder
	// Fleet returns the latest fleet.
	Fleet func() *mulberrybeam.Fleet
	// Post hands an event to control without blocking.
	Post func(mulberrybeam.Event)
	// Now is local monotonic time that counts suspension of the host.
	Now func() time.Duration
	// Draining says that the process is shutting down.
	Draining func() bool
}

// ServeHTTP answers one caller's request.
func (r *Relayer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if r.Draining() {
		writer.Header().Set("Connection", "close")
	}
	x := &exchange{Relayer: r, writer: writer, request: request, arrived: r.Now(), fleet: r.Fleet(), settings: r.Settings()}
	x.run()
}
