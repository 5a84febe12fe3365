package starter

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/drainer"
	"mulberrybeam/process/meter"
	"mulberrybeam/request/relayer"
)

const (
	// headerTimeout and idleTimeout are longer than any timeout that a
	// deployment sets, so that a connection never closes earlier than callers
	// were told.
	headerTimeout = 15 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is larger than any limit that a deployment sets.
	maxHeaderBytes = 64 << 10
	// drainDelay is how long new connections are still accepted after a shutdown
	// has begun. The platform probes readiness every second and removes a host
	// after two failed probes.
	drainDelay = 2800 * time.Millisecond
	// quietTime is how long no connection may have been accepted before the listener
	// is closed, and maxQuietWait the longest wait for that.
	quietTime    = 200 * time.Millisecond
	maxQuietWait = 1500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit
	// before the process is killed.
	exitMargin = 700 * time.Millisecond
	// defaultGrace replaces a grace period that the settings do not set.
	defaultGrace = 8 * time.Second
)

// newMetrics returns the handler of the metrics endpoint and the meter.
func (p *Process) newMetrics(settings mulberrybeam.HostSettings) (http.Handler, *meter.Meter, error) {
	metrics, handler, stop, err := meter.New("", settings.Zone)
	if err != nil {
		return nil, nil, err
	}
	p.cleanups = append(p.cleanups, stop)
	p.meter = metrics
	p.observeFeed = metrics.ObserveFeed
	gauges := slices.Concat(p.limitGauges(), p.isolationGauges(), p.fragileGauges())
	return handler, metrics, metrics.AddGauges(gauges...)
}

// listen opens the addresses for callers, for the platform's readiness probe and,
// unless metricsPort is 0, for metrics.
func (p *Process) listen(settings mulberrybeam.HostSettings, metricsPort int, metrics http.Handler) error {
	p.newRequester()
	p.relayer = p.newRelayer(settings)
	callers := &http.Server{
		Handler:           p.relayer,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if err := p.serveCallers(settings, callers); err != nil {
		return err
	}
	if err := p.serve(settings.ReadyAddress, &http.Server{Handler: http.HandlerFunc(p.handleReady)}); err != nil {
		return err
	}
	if metricsPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(settings.CallerAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	return p.serve(net.JoinHostPort(host, strconv.Itoa(metricsPort)), &http.Server{Handler: mux})
}

// serveCallers serves callers on connections that the stop can tell apart.
func (p *Process) serveCallers(settings mulberrybeam.HostSettings, server *http.Server) error {
	listener, err := listenForCallers(settings.CallerAddress)
	if err != nil {
		return err
	}
	p.drainer = drainer.New(listener.(*net.TCPListener),
		drainer.WithMaxConnections(MaxCallerConnections(settings.FileDescriptors)), drainer.WithMemory(p.memory))
	p.drainer.Attach(server)
	server.Handler = p.drainer.Handler(server.Handler)
	p.serveOn(p.drainer, server)
	return nil
}

func (p *Process) serve(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.serveOn(listener, server)
	return nil
}

func (p *Process) serveOn(listener net.Listener, server *http.Server) {
	server.ErrorLog = log.New(errorLogWriter{p}, "", 0)
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed && !errors.Is(err, net.ErrClosed) {
			p.recordEvent("listener", err.Error())
		}
	}()
}

// errorLogWriter records the log lines of an HTTP server on the timeline.
type errorLogWriter struct{ process *Process }

// Write records one log line.
func (w errorLogWriter) Write(line []byte) (int, error) {
	w.process.recordEvent("server", string(line))
	return len(line), nil
}

// handleReady answers the platform's readiness probe. The platform sends callers
// only to ready hosts.
func (p *Process) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the process can serve requests: it is not draining, the
// state of the fleet is complete, and API keys are not refused because the
// platform has not confirmed them for too long.
func (p *Process) isReady() bool {
	fleet := p.fleet()
	if p.shutdown.Load() != nil || fleet == nil || !fleet.Complete {
		return false
	}
	bounds := p.settings.Load().Bounds
	return !bounds.FailClosed || p.now()-fleet.ConfirmedAt < bounds.RevokeWithin
}

// awaitQuiet waits until callers have stopped opening connections.
func (p *Process) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	p.drainer.AwaitQuiet(ctx, quietTime)
}

// Shutdown stops the process without interrupting requests. The process reports
// that it is not ready, accepts connections until the platform has noticed, and
// waits for the requests that run or are arriving. After that it refuses requests
// on kept connections that it might have to cut at the end of the grace period.
func (p *Process) Shutdown() {
	startedAt := p.now()
	grace := p.settings.Load().Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	shutdown := &relayer.Shutdown{NewUntil: startedAt + drainDelay, CutAt: startedAt + grace - exitMargin}
	p.shutdown.Store(shutdown)
	p.recordEvent("stop", "draining")
	time.Sleep(drainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), shutdown.CutAt-p.now())
	defer cancel()
	p.awaitQuiet(ctx)
	helped := p.endHelp(ctx)
	stats, err := p.drainer.Drain(ctx)
	<-helped
	if err != nil {
		p.recordEvent("stop", "connections were lost: "+err.Error())
	}
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.recordEvent("stop", "stopped: "+stats.String())
	p.runCleanups()
}
