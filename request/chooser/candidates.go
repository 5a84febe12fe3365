package chooser

import (
	"slices"
	"sync"
	"time"

	"mulberrybeam"
)

// candidate is a target with its load and health. The target is that of the fleet,
// which is immutable.
type candidate struct {
	target *mulberrybeam.FleetTarget
	stats  mulberrybeam.TargetStats
	load   mulberrybeam.TargetLoad
	kept   bool
	// shares is the number of shares that this process has itself if the target is fragile.
	shares int
}

// buffers hold the candidates of one choice. A choice among thousands of targets would
// otherwise allocate megabytes, of which a host with little memory collects the
// garbage all the time.
type buffers struct {
	eligible  []candidate
	warm      []*candidate
	latencies []time.Duration
	// fragile is set if a target that the request may be sent to is fragile.
	fragile bool
}

var bufferPool = sync.Pool{New: func() any { return new(buffers) }}

// release returns the buffers to the pool without what they refer to, so that they keep
// no fleet of the past.
func (b *buffers) release() {
	clear(b.eligible)
	clear(b.warm)
	bufferPool.Put(b)
}

// findCandidates finds the targets that the request may be sent to. It returns when
// the first pause ends that keeps others out, or when the first share of a fragile one is
// expected to be free, or 0 if a target is kept out for another reason.
func (b *buffers) findCandidates(now time.Duration, fleet *mulberrybeam.Fleet, view View, query Query) (pauseEnd time.Duration) {
	b.eligible, b.fragile = b.eligible[:0], false
	otherReason := false
	waitUntil := func(end time.Duration) {
		if pauseEnd == 0 || end < pauseEnd {
			pauseEnd = end
		}
	}
	targets := fleet.Targets[query.Service]
	for i := range targets {
		target := &targets[i]
		if !regionAllowed(fleet, query.Rule, target.Zone) {
			continue
		}
		if hasWeightsBefore(query.MinVersion, query.Model, target) || query.Usable != nil && !query.Usable(target) {
			continue
		}
		stats := view.TargetStats(target.ID)
		switch {
		case stats.LeavingRun != "" && stats.LeavingRun == target.Incarnation():
		case now < stats.PausedUntil:
			waitUntil(stats.PausedUntil)
		case now < stats.AvoidUntil, slices.Contains(query.Tried, target.ID):
			otherReason = true
		default:
			c := candidate{target: target, stats: stats, load: stats.Load()}
			if c.isFragile(now) {
				b.fragile = true
				if freeAt := c.findShare(now, fleet, query); freeAt > 0 {
					waitUntil(freeAt)
					continue
				}
			}
			b.eligible = append(b.eligible, c)
		}
	}
	if otherReason {
		return 0
	}
	return pauseEnd
}
