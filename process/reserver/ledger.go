// Package reserver limits the bytes that a process holds for callers and targets. The
// Ledger decides; the Reserver lets requests wait for room and interrupts the callers
// that have to give way.
package reserver

import (
	"cmp"
	"slices"
	"time"

	"mulberrybeam"
)

// Limits configure a Ledger.
type Limits struct {
	// Total is the largest number of bytes that all holders may have together.
	Total int64
	// SmallReserve is the part of Total that only holders of at most SmallSize bytes may
	// use, so that large requests do not keep out ordinary ones.
	SmallReserve int64
	SmallSize    int64
	// WorkspaceShare is the fraction of Total, and of what large holders may use of it,
	// that the holders of one workspace may have together.
	WorkspaceShare float64
	// While bytes are short, a caller gives way to others if it has sent nothing for
	// StallAfter, or less than MinRate bytes a second over twice that time or longer.
	StallAfter time.Duration
	MinRate    float64
}

// HolderID identifies a holder.
type HolderID uint64

// Verdict is the decision on a request for bytes.
type Verdict struct {
	Granted bool
	// Evict lists holders to interrupt. Their bytes make room for the request once they
	// are released.
	Evict []HolderID
	// RetryAfter is when a refused request may find room.
	RetryAfter time.Duration
	// Reason says which limit refused the request.
	Reason string
}

// Reasons of refusals.
const (
	ReasonTotal     = "memory of this host"
	ReasonWorkspace = "share of the workspace"
)

const (
	// minRetryAfter and maxRetryAfter bound Verdict.RetryAfter. The minimum applies when
	// no holder is about to stall, so that room is expected from requests that end.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// holder has bytes, for a connection or a request.
type holder struct {
	id        HolderID
	workspace mulberrybeam.WorkspaceName
	bytes     int64
	openedAt  time.Duration
	// progressAt is when the caller last sent something, and received how much it has
	// sent.
	progressAt time.Duration
	received   int64
	// receiving is true until the caller has sent all, and evicted once the holder has
	// been asked to give way.
	receiving bool
	evicted   bool
}

// Ledger accounts for the bytes of all holders. It reads no clock and is not safe for
// concurrent use.
type Ledger struct {
	limits      Limits
	held        int64
	byWorkspace map[mulberrybeam.WorkspaceName]int64
	holders     map[HolderID]*holder
	lastID      HolderID
}

// NewLedger returns a Ledger without holders.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, byWorkspace: map[mulberrybeam.WorkspaceName]int64{}, holders: map[HolderID]*holder{}}
}

// Held returns the bytes of all holders, and Holders their number.
func (l *Ledger) Held() int64 { return l.held }

// Holders returns the number of holders.
func (l *Ledger) Holders() int { return len(l.holders) }

// Open adds a holder without bytes whose caller has yet to send something. The
// workspace is empty while it is not known.
func (l *Ledger) Open(now time.Duration, workspace mulberrybeam.WorkspaceName) HolderID {
	l.lastID++
	l.holders[l.lastID] = &holder{id: l.lastID, workspace: workspace, openedAt: now, progressAt: now, receiving: true}
	return l.lastID
}

// Grow decides whether a holder gets more bytes.
func (l *Ledger) Grow(now time.Duration, id HolderID, bytes int64) Verdict {
	h := l.holders[id]
	if h == nil {
		return Verdict{Reason: ReasonTotal, RetryAfter: minRetryAfter}
	}
	excess, reason := l.excess(h, bytes)
	if excess <= 0 {
		l.add(h, bytes)
		return Verdict{Granted: true}
	}
	competes := func(other *holder) bool {
		return other != h && (reason == ReasonTotal || other.workspace == h.workspace)
	}
	if victims := l.victims(now, excess, competes); victims != nil {
		return Verdict{Evict: victims, Reason: reason, RetryAfter: minRetryAfter}
	}
	return Verdict{Reason: reason, RetryAfter: l.expectRoom(now, competes)}
}

// excess returns by how many bytes a request exceeds a limit, and which.
func (l *Ledger) excess(h *holder, bytes int64) (int64, string) {
	total := l.limits.Total
	if h.bytes+bytes > l.limits.SmallSize {
		total -= l.limits.SmallReserve
	}
	if excess := l.held + bytes - total; excess > 0 {
		return excess, ReasonTotal
	}
	share := int64(l.limits.WorkspaceShare * float64(total))
	if excess := l.byWorkspace[h.workspace] + bytes - share; h.workspace != "" && excess > 0 {
		return excess, ReasonWorkspace
	}
	return 0, ""
}

func (l *Ledger) add(h *holder, bytes int64) {
	h.bytes += bytes
	l.held += bytes
	if l.byWorkspace[h.workspace] += bytes; l.byWorkspace[h.workspace] == 0 {
		delete(l.byWorkspace, h.workspace)
	}
}

// victims returns the fewest stalled holders whose bytes cover the excess, counting
// those that have already been asked to give way, or nil if these are not enough.
func (l *Ledger) victims(now time.Duration, excess int64, competes func(*holder) bool) []HolderID {
	var stalled []*holder
	for _, h := range l.holders {
		switch {
		case !competes(h) || h.bytes == 0:
		case h.evicted:
			excess -= h.bytes
		case l.stalls(now, h):
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(a, b *holder) int { return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.id, b.id)) })
	evicted := []HolderID{}
	for _, h := range stalled {
		if excess <= 0 {
			break
		}
		excess -= h.bytes
		evicted = append(evicted, h.id)
	}
	if excess > 0 {
		return nil
	}
	for _, id := range evicted {
		l.holders[id].evicted = true
	}
	return evicted
}

// EvictStalled returns the stalled holder with the most bytes, which gives way to
// another caller, or false if there is none.
func (l *Ledger) EvictStalled(now time.Duration) (HolderID, bool) {
	victims := l.victims(now, 1, func(other *holder) bool { return !other.evicted })
	if len(victims) == 0 {
		return 0, false
	}
	return victims[0], true
}

// stalls reports whether the caller sends so little that it gives way to others.
func (l *Ledger) stalls(now time.Duration, h *holder) bool {
	if !h.receiving {
		return false
	}
	age := now - h.openedAt
	return now-h.progressAt >= l.limits.StallAfter ||
		age >= 2*l.limits.StallAfter && float64(h.received) < l.limits.MinRate*age.Seconds()
}

// expectRoom returns the time until the next holder counts as stalled and gives way.
func (l *Ledger) expectRoom(now time.Duration, competes func(*holder) bool) time.Duration {
	expected := maxRetryAfter
	for _, h := range l.holders {
		if h.receiving && !h.evicted && competes(h) {
			expected = min(expected, h.progressAt+l.limits.StallAfter-now)
		}
	}
	if expected == maxRetryAfter {
		return minRetryAfter
	}
	return max(expected, minRetryAfter)
}

// Shrink takes bytes from a holder.
func (l *Ledger) Shrink(id HolderID, bytes int64) {
	if h := l.holders[id]; h != nil {
		l.add(h, -min(bytes, h.bytes))
	}
}

// Progress records that a caller has sent bytes.
func (l *Ledger) Progress(now time.Duration, id HolderID, bytes int64) {
	if h := l.holders[id]; h != nil {
		h.progressAt = now
		h.received += bytes
	}
}

// Settle records that a caller has sent all. It returns false if the holder has been
// asked to give way before.
func (l *Ledger) Settle(id HolderID) bool {
	h := l.holders[id]
	if h == nil || h.evicted {
		return false
	}
	h.receiving = false
	return true
}

// Close removes a holder and its bytes.
func (l *Ledger) Close(id HolderID) {
	if h := l.holders[id]; h != nil {
		l.add(h, -h.bytes)
		delete(l.holders, id)
	}
}
