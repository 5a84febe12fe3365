package starter

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/process/meter"
	"mulberrybeam/process/monitor"
)

// fragileGauges returns the metrics of fragile targets.
func (p *Process) fragileGauges() []meter.Gauge {
	gauge := func(name, description string, read func(monitor.FragileCounts) int) meter.Gauge {
		return meter.Gauge{Name: name, Description: description, Read: func() int64 { return int64(read(p.monitor.FragileCounts())) }}
	}
	return []meter.Gauge{
		gauge("mulberrybeam.fragile-targets", "Targets that say that they are fragile.", func(c monitor.FragileCounts) int { return c.Targets }),
		gauge("mulberrybeam.withheld-shares", "Shares of fragile targets withheld after refusals.", func(c monitor.FragileCounts) int { return c.Withheld }),
		gauge("mulberrybeam.lent-shares", "Shares of fragile targets lent to other hosts.", func(c monitor.FragileCounts) int { return c.Lent }),
		gauge("mulberrybeam.borrowed-shares", "Shares of fragile targets borrowed from other hosts.", func(c monitor.FragileCounts) int { return c.Borrowed }),
	}
}

// receiveFragile handles the fragile targets and the messages on shares in a datagram of a
// peer.
func (p *Process) receiveFragile(update mulberrybeam.LoadUpdate) {
	for _, fragile := range p.monitor.ReceiveFragile(update.Fragile) {
		p.recorder.Record(mulberrybeam.Entry{Kind: mulberrybeam.EntryMember, Subject: string(fragile.Target), Text: fmt.Sprintf(
			"target is fragile and bears %d refusals per second of all hosts, as it said to host %s %s ago",
			fragile.MaxRefusals, update.From, fragile.Age)})
	}
	if settings := p.settings.Load(); settings != nil {
		p.monitor.ReceiveShares(update.From, settings.ID, p.fleet(), update.Shares)
	}
}
