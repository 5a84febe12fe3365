package placer

import (
	"time"

	"mulberrybeam"
)

// Parts of a link's rate that transfers of a priority may fill, all processes
// together. The rest is room for prompts that begin to wait before the use of
// the link has spread.
const (
	promptPart   = 1.0
	prefetchPart = 0.7
	exportPart   = 0.4
)

// Backlog that a transfer of a priority accepts before it, counted in the time
// the link needs for it. A prompt rather recomputes than waits longer.
const (
	promptBacklog   = 200 * time.Millisecond
	prefetchBacklog = 20 * time.Millisecond
)

// Link is what this process has put on one store's link. The zero value is an
// idle link.
type Link struct {
	// Debt is the bytes of transfers that the link is assumed to be busy
	// with.
	Debt float64
	// At is when Debt was reckoned.
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
	part, backlog := limits(transfer.Priority)
	ceiling := part * use.Rate
	waiting := transfer.Priority >= mulberrybeam.PriorityPrefetch
	switch {
	case use.Rate <= 0:
		return link, Verdict{Wait: recheck, Reason: "the link has no rate"}
	case waiting && use.WaitingPrompts > 0:
		return link, Verdict{Wait: recheck, Reason: "prompts wait for the link"}
	case waiting && use.Others+use.Own >= ceiling:
		return link, Verdict{Wait: recheck, Reason: "the link is used up to the limit of the priority"}
	}
	rate := allowance(use, use.Rate)
	link.Debt = max(0, link.Debt-rate*max(0, now-link.At).Seconds())
	link.At = now
	behind := time.Duration(link.Debt / allowance(use, ceiling) * float64(time.Second))
	if behind > backlog {
		return link, Verdict{Wait: behind - backlog, Reason: "earlier transfers of this process use its part of the link"}
	}
	link.Debt += float64(transfer.Bytes)
	return link, Verdict{Go: true}
}

// allowance is the bytes per second this process may put on a link that all
// together may fill up to a ceiling.
func allowance(use Use, ceiling float64) float64 {
	members := float64(max(1, use.Members))
	return max(ceiling/members, use.Own+(ceiling-use.Others-use.Own)/members)
}

func limits(priority mulberrybeam.Priority) (part float64, backlog time.Duration) {
	switch priority {
	case mulberrybeam.PriorityPrefetch:
		return prefetchPart, prefetchBacklog
	case mulberrybeam.PriorityExport:
		return exportPart, 0
	}
	return promptPart, promptBacklog
}
