package placer

import (
	"time"

	"mulberrybeam"
)

// class groups the priorities that share a limit.
type class int

const (
	prompts class = iota
	prefetches
	exports
	classes
)

// parts are the shares of a link's rate up to which transfers of a class may
// begin, all processes together. The rest is room for prompts that begin to
// wait before the use of the link has spread.
var parts = [classes]float64{prompts: 1, prefetches: 0.7, exports: 0.4}

// backlogs are what a transfer accepts before it, counted in the time that the
// class's part of the link needs for it. A prompt rather recomputes than waits
// longer.
var backlogs = [classes]time.Duration{prompts: 200 * time.Millisecond, prefetches: 20 * time.Millisecond}

// maxDebt bounds the debt of a class in the time its part of the link needs to
// pay it, so that prompts do not hold exports back long after they have ended.
const maxDebt = 2 * time.Second

// Link is what this process has put on one store's link. The zero value is an
// idle link.
type Link struct {
	// Debts are the bytes of transfers that are not paid off yet, for
	// prompts, prefetches and exports. Each transfer counts for all three;
	// they are paid at the rate that the class may fill.
	Debts [classes]float64
	// At is when Debts were reckoned.
	At time.Duration
}

// Use describes the present use of a link.
type Use struct {
	// Rate is the link's bytes per second.
	Rate float64
	// Others and Own are the measured bytes per second of the other
	// processes and of this one.
	Others float64
	Own    float64
	// Members is the number of live processes that share the link, this one
	// among them.
	Members int
	// WaitingPrompts is the number of prompts of this process that wait for
	// the link.
	WaitingPrompts int
}

// Transfer is one fetch, prefetch or export.
type Transfer struct {
	// Priority is PriorityPrefetch, PriorityExport, or that of the prompt
	// that waits for the transfer.
	Priority mulberrybeam.Priority
	Bytes    int64
}

// Verdict says whether a transfer may begin now.
type Verdict struct {
	Go bool
	// Wait is when to ask again otherwise.
	Wait time.Duration
	// Reason explains a wait to operators.
	Reason string
}

// recheck is when a transfer that waits for others asks again. Link use facts
// are renewed about that often.
const recheck = 500 * time.Millisecond

// Decide says whether a transfer may use the link now, and returns the link's
// state after it.
//
// Each process may fill an equal part of the link, or its present use and an
// equal part of what is free, if that is more. The free room is thus given
// away once, also when all processes see the same measurement, and a process
// that uses more than its part gives way while the link is overused.
func Decide(now time.Duration, link Link, use Use, transfer Transfer) (Link, Verdict) {
	if use.Rate <= 0 {
		return link, Verdict{Wait: recheck, Reason: "the link has no rate"}
	}
	link = link.advance(now, use)
	of := classOf(transfer.Priority)
	if of != prompts && use.WaitingPrompts > 0 {
		return link, Verdict{Wait: recheck, Reason: "prompts wait for the link"}
	}
	if of != prompts && use.Others+use.Own >= parts[of]*use.Rate {
		return link, Verdict{Wait: recheck, Reason: "the link is used up to the limit of the priority"}
	}
	behind := time.Duration(link.Debts[of] / use.allowance(of) * float64(time.Second))
	if behind > backlogs[of] {
		return link, Verdict{Wait: behind - backlogs[of], Reason: "earlier transfers use this process's part of the link"}
	}
	for i := range link.Debts {
		link.Debts[i] += float64(transfer.Bytes)
	}
	return link, Verdict{Go: true}
}

// advance pays debts off.
func (l Link) advance(now time.Duration, use Use) Link {
	for i, debt := range l.Debts {
		rate := use.allowance(class(i))
		debt -= rate * max(0, now-l.At).Seconds()
		l.Debts[i] = min(max(0, debt), rate*maxDebt.Seconds())
	}
	l.At = now
	return l
}

// allowance is the bytes per second that this process may put on a link which
// all together may fill up to the part of a class.
func (u Use) allowance(of class) float64 {
	ceiling := parts[of] * u.Rate
	members := float64(max(1, u.Members))
	return max(ceiling/members, u.Own+(ceiling-u.Others-u.Own)/members)
}

func classOf(priority mulberrybeam.Priority) class {
	switch priority {
	case mulberrybeam.PriorityPrefetch:
		return prefetches
	case mulberrybeam.PriorityExport:
		return exports
	}
	return prompts
}
