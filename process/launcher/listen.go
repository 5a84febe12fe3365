package launcher

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/peercaller"
	"mulberrybeam/process/operator"
)

const (
	// budgetInterval is how often the process's share of the platform's rate
	// limits is adjusted to the number of live hosts.
	budgetInterval = 5 * time.Second
	// operatorHeaderTimeout limits the time to read the headers of a request
	// to the operator listener.
	operatorHeaderTimeout = 5 * time.Second
)

// listenForCallers opens the caller listener. This is the first step of the
// start, because the port is advertised to the peers. Connections wait until
// serveCallers accepts them.
func (p *Process) listenForCallers() error {
	listener, err := listen(p.settings.Caller)
	if err != nil {
		return err
	}
	p.onClose(func() { _ = listener.Close() })
	p.callerListener = listener
	p.CallerAddress = listener.Addr().String()
	return nil
}

func (p *Process) serveCallers() error {
	go func() { _ = p.server.Serve(p.callerListener) }()
	ctx, cancel := context.WithCancel(context.Background())
	p.onClose(cancel)
	go p.updateBudget(ctx)
	return nil
}

// startOperator opens and serves the operator listener.
func (p *Process) startOperator() error {
	handler, err := operator.New(operator.Sources{
		Snapshot: p.Controller.Snapshot,
		Entries:  p.Timeline.Entries,
		Metrics:  p.metrics,
	})
	if err != nil {
		return err
	}
	listener, err := listen(p.settings.Operator)
	if err != nil {
		return err
	}
	p.OperatorAddress = listener.Addr().String()
	operatorServer := &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout}
	go func() { _ = operatorServer.Serve(listener) }()
	p.onClose(func() { _ = operatorServer.Close() })
	return nil
}

// updateBudget keeps the rate limits of the object API client at the process's
// share of the platform's rate limits, until the context ends.
func (p *Process) updateBudget(ctx context.Context) {
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	for {
		if snapshot := p.Controller.Snapshot(); snapshot.Tables != nil {
			limits := snapshot.Tables.Environment.Limits
			p.Objects.SetBudget(limits.PlatformReadRate, limits.PlatformWriteRate, EstimateLiveHosts(snapshot))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// EstimateLiveHosts estimates the number of live entry hosts in the environment. A
// process knows only the members of its own zone and assumes that each other
// zone has as many.
func EstimateLiveHosts(snapshot *mulberrybeam.Snapshot) int {
	hostsInZone := 1
	for _, member := range snapshot.Members {
		if member.ID != snapshot.Self && member.State == mulberrybeam.MemberAlive {
			hostsInZone++
		}
	}
	return hostsInZone * max(len(snapshot.Tables.Zones), 1)
}

// observe polls the load report of a target. The cache events of an engine are
// applied to the prefix index directly.
func (p *Process) observe(ctx context.Context, target mulberrybeam.Target, _ uint64) mulberrybeam.TargetObserved {
	observed := mulberrybeam.TargetObserved{Target: target.ID}
	if target.Kind == mulberrybeam.KindService {
		observed.Report, observed.Err = p.services.Load(ctx, target)
		return observed
	}
	observed.Report, observed.Err = p.engines.Load(ctx, target)
	if observed.Err != nil {
		return observed
	}
	events, err := p.engines.CacheEvents(ctx, target, p.index.LastSequence(target.ID))
	if err != nil {
		return observed
	}
	for _, event := range events {
		p.index.Apply(p.now(), event)
	}
	return observed
}

// callerAddressOf returns the address at which a live process of the zone
// serves callers.
func (p *Process) callerAddressOf(process mulberrybeam.ProcessID) (string, bool) {
	for _, member := range p.Controller.Snapshot().Members {
		if member.ID == process && member.State != mulberrybeam.MemberDead && member.State != mulberrybeam.MemberLeft {
			return member.CallerAddress, member.CallerAddress != ""
		}
	}
	return "", false
}

func (p *Process) callerScheme() string {
	if p.settings.Caller.CertificateFile != "" {
		return "https"
	}
	return "http"
}

// listen opens a listener, with TLS if the settings name a certificate file.
func listen(settings ListenerSettings) (net.Listener, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil || settings.CertificateFile == "" {
		return listener, err
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}), nil
}

func peerOptions(settings ListenerSettings) ([]peercaller.Option, error) {
	if settings.CertificateFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(settings.AuthorityFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("authority file %s contains no valid certificate", settings.AuthorityFile)
	}
	return []peercaller.Option{peercaller.WithMutualTLS(certificate, pool)}, nil
}
