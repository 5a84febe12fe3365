package starter

import (
	"context"
	"maps"
	"slices"
	"time"

	"mulberrybeam"
)

// rolloutReportInterval is the time between two reports of this process's own
// counts to its control goroutine.
const rolloutReportInterval = 100 * time.Millisecond

// rolloutReports returns this process's reports on the rollouts in progress.
func (p *Process) rolloutReports() (uint64, []mulberrybeam.RolloutReport) {
	fleet := p.fleet()
	if fleet == nil || len(fleet.Rollouts) == 0 {
		return p.incarnation, nil
	}
	reports := make([]mulberrybeam.RolloutReport, 0, len(fleet.Rollouts))
	for _, service := range slices.Sorted(maps.Keys(fleet.Rollouts)) {
		reports = append(reports, p.tallier.Report(service, fleet.Rollouts[service], p.now()))
	}
	return p.incarnation, reports
}

// reportRollouts passes the reports of this process to its control goroutine while
// rollouts are in progress.
func (p *Process) reportRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if incarnation, reports := p.rolloutReports(); len(reports) > 0 {
			p.control.Post(mulberrybeam.RolloutReported{From: p.settings.Load().ID, Incarnation: incarnation, Reports: reports})
		}
	}
}

// receiveUpdate handles a datagram of a peer.
func (p *Process) receiveUpdate(update mulberrybeam.LoadUpdate) {
	p.monitor.ReceiveUpdate(update)
	p.helpers.Hear(update.From, update.Isolated)
	p.receiveFragile(update)
	p.streams.Receive(update.From, update.Streams)
	if len(update.Rollouts) > 0 {
		p.control.Post(mulberrybeam.RolloutReported{From: update.From, Incarnation: update.Incarnation, Reports: update.Rollouts})
	}
}

// exportRollouts exports the counts of rollouts as metrics.
func (p *Process) exportRollouts() error {
	if p.tallier == nil {
		return nil
	}
	return p.meter.WatchRollouts(func() []mulberrybeam.RolloutReport {
		_, reports := p.rolloutReports()
		return reports
	})
}
