package chooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// refusalMargin is the part of the refusals that a fragile target bears which shares
	// may cause. The rest is for hosts that count different numbers of hosts, and for
	// requests that a target runs on although their host gave them up.
	refusalMargin = 0.5
	// borrowTime is the time in which another process may lend a share.
	borrowTime = 25 * time.Millisecond
	// noShareRetryAfter is the suggested retry delay where this process has no share of any
	// target: the time in which a caller may reach another host.
	noShareRetryAfter = time.Second
)

// Shares is the number of unfinished requests that this process may have at a fragile
// target. All processes together have as many as the target has slots, and a part of the
// refusals that it bears. When a target refuses a request, its slots run requests that hold
// a share each, so that no more than the others can be refused until one of these may be
// used again.
func Shares(hosts []mulberrybeam.ProcessID, self mulberrybeam.ProcessID, target *mulberrybeam.FleetTarget, maxRefusals int) int {
	total, count := totalShares(target, maxRefusals), len(hosts)
	if !slices.Contains(hosts, self) {
		// The others do not count this process, which adds itself.
		count++
	}
	shares := total / count
	if isAmongFirst(string(target.ID), hosts, self, total%count) {
		shares++
	}
	return shares
}

func totalShares(target *mulberrybeam.FleetTarget, maxRefusals int) int {
	return max(target.Slots, 1) + int(refusalMargin*float64(maxRefusals))
}

// isFragile reports whether the target counts as fragile.
func (c *candidate) isFragile(now time.Duration) bool { return now < c.stats.FragileUntil }

// findShare sets the shares of this process at a fragile target. It returns 0 if one of
// them is free, and else when that is expected.
func (c *candidate) findShare(now time.Duration, fleet *mulberrybeam.Fleet, query Query) (freeAt time.Duration) {
	used := c.stats.OwnLoad.Requests + c.stats.WithheldShares
	c.shares = query.Shares.get(fleet.EntryHosts, query.Self, c.target, c.stats.MaxRefusals)
	switch {
	case used < c.shares+c.stats.BorrowedShares-c.stats.LentShares:
		return 0
	case c.mayBorrow(fleet):
		return now + borrowTime
	case used == 0 && len(fleet.EntryHosts) > 1:
		// Another process gives its share back when one of the slots becomes free.
		return now + max(c.stats.Latency/time.Duration(max(c.target.Slots, 1)), borrowTime)
	}
	return c.nextShareAt(now, used)
}

// mayBorrow reports whether another process may have a free share of the target.
func (c *candidate) mayBorrow(fleet *mulberrybeam.Fleet) bool {
	return len(fleet.EntryHosts) > 1 && c.load.Requests < max(c.target.Slots, 1)
}

// Lender returns the fragile target of a service that has the most room, and a process that
// has a share of it and may lend it. The process is empty if no target has room.
func Lender(now time.Duration, random *rand.Rand, fleet *mulberrybeam.Fleet, view View, self mulberrybeam.ProcessID, service mulberrybeam.ServiceName) (*mulberrybeam.FleetTarget, mulberrybeam.ProcessID) {
	var best candidate
	lowestLoad := 1.0
	targets := fleet.Targets[service]
	for i := range targets {
		stats := view.TargetStats(targets[i].ID)
		c := candidate{target: &targets[i], stats: stats, load: stats.Load()}
		usable := c.isFragile(now) && now >= stats.PausedUntil && now >= stats.AvoidUntil && !c.isCold(now) && stats.LeavingRun != c.target.Incarnation()
		if load := float64(c.load.Requests) / float64(max(c.target.Slots, 1)); usable && c.mayBorrow(fleet) && (load < lowestLoad || load == lowestLoad && random.IntN(2) == 0) {
			best, lowestLoad = c, load
		}
	}
	if best.target == nil {
		return nil, ""
	}
	return best.target, pickHolder(random, fleet.EntryHosts, self, best.target, best.stats.MaxRefusals)
}

// pickHolder returns a random one of the other processes that have shares of a target, or an
// empty one.
func pickHolder(random *rand.Rand, hosts []mulberrybeam.ProcessID, self mulberrybeam.ProcessID, target *mulberrybeam.FleetTarget, maxRefusals int) mulberrybeam.ProcessID {
	start := random.IntN(len(hosts))
	for i := range hosts {
		if host := hosts[(start+i)%len(hosts)]; host != self && Shares(hosts, host, target, maxRefusals) > 0 {
			return host
		}
	}
	return ""
}

// nextShareAt returns when the first of the shares in use is expected to be free: at the end
// of a request, whose usual time is divided among those that run, or when one is withheld no
// longer.
func (c *candidate) nextShareAt(now time.Duration, used int) time.Duration {
	next := now + noShareRetryAfter
	if c.stats.WithheldShares > 0 {
		next = min(next, c.stats.NextShareAt)
	}
	if running := used - c.stats.WithheldShares; running > 0 {
		if end := now + max(c.stats.Latency, defaultLatency)/time.Duration(running); end < next {
			next = end
		}
	}
	return next
}

// sharesOf reports whether an eligible target is fragile, and how many shares of it this
// process has itself.
func (b *buffers) sharesOf(now time.Duration, id mulberrybeam.InstanceID) (fragile bool, shares int) {
	for i := range b.eligible {
		if c := &b.eligible[i]; c.target.ID == id {
			return c.isFragile(now), c.shares
		}
	}
	return false, 0
}
