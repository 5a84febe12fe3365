package placer

import (
	"time"

	"mulberrybeam"
)

// class is a group of priorities with common limits.
type class int

const (
	promptClass class = iota
	prefetchClass
	exportClass
	classCount
)

// linkShares are the shares of a link's rate up to which transfers of a class
// may start, for all processes together. The rest is reserved for prompts that
// start to wait before the measured use of the link has reached all processes.
var linkShares = [classCount]float64{promptClass: 1, prefetchClass: 0.7, exportClass: 0.4}

// maxBacklogs are the maximum backlogs with which a transfer of a class starts,
// in the time that the class's share of the link takes to transfer them. A prompt
// recomputes its context rather than wait longer.
var maxBacklogs = [classCount]time.Duration{promptClass: 200 * time.Millisecond, prefetchClass: 20 * time.Millisecond}

// maxDebt is the maximum debt of a class, in the time that its share of the link
// takes to pay it off. It keeps prompts from delaying exports long after they
// have ended.
const maxDebt = 2 * time.Second

// Link tracks what this process has transferred over the link of one store. The
// zero value is an idle link.
type Link struct {
	// Debts are the bytes of transfers that are not paid off yet, for
	// prompts, prefetches and exports. Each transfer is added to all three;
	// each is paid off at the rate that the class may use.
	Debts [classCount]float64
	// UpdatedAt is the time as of which Debts were computed.
	UpdatedAt time.Duration
}

// LinkUse is the current use of a link.
type LinkUse struct {
	// Rate is the link's bytes per second.
	Rate float64
	// Others and Own are the measured bytes per second of the other
	// processes and of this one.
	Others float64
	Own    float64
	// Members is the number of live processes that share the link, including
	// this one.
	Members int
	// WaitingPrompts is the number of this process's prompts that are waiting
	// for the link.
	WaitingPrompts int
}

// Transfer is one fetch, prefetch or export of a context.
type Transfer struct {
	// Priority is PriorityPrefetch, PriorityExport, or that of the prompt
	// that waits for the transfer.
	Priority mulberrybeam.Priority
	Bytes    int64
}

// Verdict is the decision on whether a transfer may start now.
type Verdict struct {
	Allowed bool
	// Wait is the time after which to ask again if Allowed is false.
	Wait time.Duration
	// Reason tells operators why the transfer has to wait.
	Reason string
}

// recheckInterval is the time after which a transfer that waits for others asks
// again. Facts about link use are renewed about that often.
const recheckInterval = 500 * time.Millisecond

// Decide decides whether a transfer may use the link now, and returns the updated
// state of the link.
//
// Each process may use an equal share of the link, or its current use plus an
// equal share of the free capacity if that is more. So the free capacity is
// given away only once, even if all processes see the same measurement, and a
// process that uses more than its share reduces its use while the link is
// overused.
func Decide(now time.Duration, link Link, use LinkUse, transfer Transfer) (Link, Verdict) {
	if use.Rate <= 0 {
		return link, Verdict{Wait: recheckInterval, Reason: "the rate of the link is not set"}
	}
	link = link.advance(now, use)
	transferClass := classOf(transfer.Priority)
	if transferClass != promptClass && use.WaitingPrompts > 0 {
		return link, Verdict{Wait: recheckInterval, Reason: "prompts are waiting for the link"}
	}
	if transferClass != promptClass && use.Others+use.Own >= linkShares[transferClass]*use.Rate {
		return link, Verdict{Wait: recheckInterval, Reason: "the link has reached the limit for this priority"}
	}
	backlog := time.Duration(link.Debts[transferClass] / use.allowance(transferClass) * float64(time.Second))
	if backlog > maxBacklogs[transferClass] {
		return link, Verdict{Wait: backlog - maxBacklogs[transferClass], Reason: "earlier transfers are using this process's share of the link"}
	}
	for i := range link.Debts {
		link.Debts[i] += float64(transfer.Bytes)
	}
	return link, Verdict{Allowed: true}
}

// advance pays off debts for the time since the last call.
func (l Link) advance(now time.Duration, use LinkUse) Link {
	for i, debt := range l.Debts {
		rate := use.allowance(class(i))
		debt -= rate * max(0, now-l.UpdatedAt).Seconds()
		l.Debts[i] = min(max(0, debt), rate*maxDebt.Seconds())
	}
	l.UpdatedAt = now
	return l
}

// allowance returns the bytes per second that this process may transfer in a
// class, given the share of the link that all processes together may use for it.
func (u LinkUse) allowance(transferClass class) float64 {
	classRate := linkShares[transferClass] * u.Rate
	members := float64(max(1, u.Members))
	return max(classRate/members, u.Own+(classRate-u.Others-u.Own)/members)
}

func classOf(priority mulberrybeam.Priority) class {
	switch priority {
	case mulberrybeam.PriorityPrefetch:
		return prefetchClass
	case mulberrybeam.PriorityExport:
		return exportClass
	}
	return promptClass
}
