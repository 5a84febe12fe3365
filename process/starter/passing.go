package starter

import (
	"context"
	"net"
	"net/http"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/dialer"
	"mulberrybeam/connection/requester"
	"mulberrybeam/platform"
	"mulberrybeam/process/helperchooser"
	"mulberrybeam/process/meter"
	"mulberrybeam/process/reserver"
	"mulberrybeam/request/relayer"
)

// helpDrainTime is the part of a stop that is left for the connections of callers once
// the requests of other hosts were waited for.
const helpDrainTime = 200 * time.Millisecond

// newPassing creates what it takes to pass requests on through other hosts. Their
// connections are kept apart from those to targets.
func (p *Process) newPassing() {
	settings := p.settings.Load()
	p.helpers = helperchooser.New(helperchooser.Config{
		Self: settings.ID, Zone: settings.Zone, Now: p.now, Fleet: p.fleet,
		Memory: reserver.DefaultLimits(settings.MemoryBytes).Total,
	})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.New(0).DialContext(ctx, network, address)
	}
	sender, closeIdle := requester.New(platform.Codec{}, dial, p.now)
	p.passing = &relayer.Passing{Codec: platform.Codec{}, Helpers: p.helpers, Sender: sender}
	p.cleanups = append(p.cleanups, closeIdle)
}

// serveHelp takes requests of other hosts that reach no target. A host without an address
// for that passes on its own requests nevertheless.
func (p *Process) serveHelp(settings mulberrybeam.HostSettings) {
	if settings.HelperAddress == "" {
		return
	}
	listener, err := net.Listen("tcp", settings.HelperAddress)
	if err != nil {
		p.recordEvent("passing", "takes no requests of other hosts: "+err.Error())
		return
	}
	p.helpServer = &http.Server{
		Handler: http.HandlerFunc(p.handlePassed), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	p.serveOn(listener, p.helpServer)
}

// handlePassed runs a request that another host passes on, within the bounds on these.
func (p *Process) handlePassed(writer http.ResponseWriter, request *http.Request) {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil || !p.isPeer(host) {
		// This host may not know all hosts yet.
		writer.Header().Set("Connection", "close")
		p.relayer.RefusePassed(writer, request, mulberrybeam.PassedBusy)
		return
	}
	switch {
	case p.isolation.Phase() == mulberrybeam.PhaseIsolated:
		p.relayer.RefusePassed(writer, request, mulberrybeam.PassedIsolated)
	case p.shutdown.Load() != nil || !p.helpers.Accept(request.ContentLength):
		p.relayer.RefusePassed(writer, request, mulberrybeam.PassedBusy)
	default:
		defer p.helpers.Release(request.ContentLength)
		p.relayer.ServePassed(writer, request)
	}
}

// endHelp ends the listener for other hosts and waits for their requests until ctx ends.
// The returned channel is closed then.
func (p *Process) endHelp(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.helpServer == nil {
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if deadline, limited := ctx.Deadline(); limited {
			timer := time.AfterFunc(time.Until(deadline)-helpDrainTime, cancel)
			defer timer.Stop()
		}
		if err := p.helpServer.Shutdown(ctx); err != nil {
			p.recordEvent("stop", "requests of other hosts were lost: "+err.Error())
		}
	}()
	return done
}

// passingGauges returns the metrics of requests between hosts.
func (p *Process) passingGauges() []meter.Gauge {
	stat := func(name, description string, read func(helperchooser.Stats) int64) meter.Gauge {
		return meter.Gauge{Name: name, Description: description, Read: func() int64 {
			if p.helpers == nil {
				return 0
			}
			return read(p.helpers.Stats())
		}}
	}
	gauges := []meter.Gauge{
		stat("mulberrybeam.help-accepted", "Requests of other hosts accepted since the start.", func(s helperchooser.Stats) int64 { return s.Accepted }),
		stat("mulberrybeam.help-refused", "Requests of other hosts refused because of the bounds on them since the start.", func(s helperchooser.Stats) int64 { return s.Refused }),
		stat("mulberrybeam.help-running", "Requests of other hosts that run.", func(s helperchooser.Stats) int64 { return s.Running }),
	}
	for _, outcome := range []mulberrybeam.HelperOutcome{
		mulberrybeam.HelperAnswered, mulberrybeam.HelperRefused, mulberrybeam.HelperIsolated,
		mulberrybeam.HelperUnreachable, mulberrybeam.HelperFailed, mulberrybeam.HelperUnneeded,
	} {
		gauges = append(gauges, stat("mulberrybeam.passed-"+string(outcome), "Requests passed on with this outcome at the helper since the start.",
			func(s helperchooser.Stats) int64 { return s.Passed[outcome] }))
	}
	return gauges
}
