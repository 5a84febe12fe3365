package starter

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/dialer"
	"mulberrybeam/process/isolationdetector"
	"mulberrybeam/process/meter"
)

// maxLoggedFailures limits the targets that a log line names.
const maxLoggedFailures = 4

// isolationCounts are read as metrics.
type isolationCounts struct {
	suspicions, isolations, failedTargets atomic.Int64
}

// startIsolationDetector creates the detector, through which connections to targets are
// opened.
func (p *Process) startIsolationDetector() {
	dial := p.dialTarget
	if dial == nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.New(0).DialContext(ctx, network, address)
		}
	}
	detector, stop := isolationdetector.New(isolationdetector.Config{
		Now: p.now, Zone: p.settings.Load().Zone, Fleet: p.fleet, Dial: dial, OnChange: p.recordIsolation,
	})
	p.isolation = detector
	p.cleanups = append(p.cleanups, stop)
}

// recordIsolation records on the timeline what this host believes about its paths to
// targets, and on what evidence.
func (p *Process) recordIsolation(evidence mulberrybeam.IsolationEvidence) {
	p.isolationCounts.failedTargets.Store(int64(len(evidence.Failures)))
	switch {
	case evidence.Phase == mulberrybeam.PhaseIsolated:
		p.isolationCounts.isolations.Add(1)
	case evidence.Before == mulberrybeam.PhaseSuspecting:
		p.isolationCounts.suspicions.Add(1)
	}
	p.recordPlatform("isolation", fmt.Sprintf("%s after %s for %s: %s; nothing from %d targets for %s; %s",
		evidence.Phase, evidence.Before, evidence.Lasted.Round(time.Millisecond), p.describeFailures(evidence.Failures),
		evidence.Silent, evidence.SilentFor.Round(time.Millisecond), p.describePeers(evidence.Failures)))
}

// describeFailures names the targets to which no connection could be opened.
func (p *Process) describeFailures(failures []mulberrybeam.TargetFailure) string {
	if len(failures) == 0 {
		return "no connection failed"
	}
	reasons := make([]string, 0, maxLoggedFailures)
	for _, failure := range failures[:min(len(failures), maxLoggedFailures)] {
		reasons = append(reasons, fmt.Sprintf("%s %s %s ago", failure.Address, failure.Reason, (p.now()-failure.At).Round(time.Millisecond)))
	}
	return fmt.Sprintf("no connection to %d targets (%s)", len(failures), strings.Join(reasons, ", "))
}

// describePeers tells what other hosts report of the same targets, and how old that is.
func (p *Process) describePeers(failures []mulberrybeam.TargetFailure) string {
	peers, age := p.monitor.PeerReports()
	if peers == 0 {
		return "no other host reports load"
	}
	used, requests := 0, 0
	for _, id := range p.targetsAt(failures) {
		if load := p.monitor.TargetStats(id).PeerLoad; load.Requests > 0 {
			used++
			requests += load.Requests
		}
	}
	_, isolated := p.helpers.Reports()
	return fmt.Sprintf("%d other hosts report load, the last one %s ago, %d requests at %d of these targets, and %d hosts that they reach none",
		peers, age.Round(time.Millisecond), requests, used, isolated)
}

// targetsAt returns the targets at the addresses of failures.
func (p *Process) targetsAt(failures []mulberrybeam.TargetFailure) []mulberrybeam.InstanceID {
	failed := map[string]bool{}
	for _, failure := range failures {
		failed[failure.Address] = true
	}
	var ids []mulberrybeam.InstanceID
	if fleet := p.fleet(); fleet != nil {
		for _, targets := range fleet.Targets {
			for i := range targets {
				if failed[targets[i].Address] {
					ids = append(ids, targets[i].ID)
				}
			}
		}
	}
	return ids
}

// isolationGauges returns the metrics of this host's paths to targets.
func (p *Process) isolationGauges() []meter.Gauge {
	return append(p.passingGauges(), []meter.Gauge{
		{Name: "mulberrybeam.isolated", Description: "1 while this host reaches no target.", Read: func() int64 {
			if p.isolation != nil && p.isolation.Phase() == mulberrybeam.PhaseIsolated {
				return 1
			}
			return 0
		}},
		{Name: "mulberrybeam.isolations", Description: "Times that this host reached no target since the start.", Read: p.isolationCounts.isolations.Load},
		{Name: "mulberrybeam.isolation-suspicions", Description: "Suspicions of that which proved wrong since the start.", Read: p.isolationCounts.suspicions.Load},
		{Name: "mulberrybeam.unreachable-targets", Description: "Targets without connection at the last such decision.", Read: p.isolationCounts.failedTargets.Load},
	}...)
}
