package reserver

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// memoryFraction is the fraction of a host's memory that is held for callers and
	// targets. It is below the runtime's memory limit by what the process needs for its
	// state, connections and garbage.
	memoryFraction = 0.25
	// defaultTotal applies if the settings do not limit the memory.
	defaultTotal = 64 << 20
	// smallReserveFraction is the part of the bytes that only small requests use.
	smallReserveFraction = 0.25
	// smallSize covers the buffers of a request and a body of the usual size.
	smallSize = 256 << 10
	// workspaceShare leaves room for other workspaces, and lets one with most of the
	// traffic have most of the bytes.
	workspaceShare = 0.6
	// stallAfter and minRate apply only while bytes are short. A body of 64 KB at minRate
	// takes 4 s.
	stallAfter = time.Second
	minRate    = 16 << 10
	// roomWait is how long a request waits for room before it is refused.
	roomWait = 250 * time.Millisecond
	// calmAfter is how long nothing must have been refused until bytes no longer count as
	// short.
	calmAfter = 5 * time.Second
)

// DefaultLimits returns the limits of a process on a host with this much memory in
// bytes, or 0 if it is not known.
func DefaultLimits(memory int64) Limits {
	total := int64(memoryFraction * float64(memory))
	if memory <= 0 {
		total = defaultTotal
	}
	return Limits{
		Total: total, SmallReserve: int64(smallReserveFraction * float64(total)), SmallSize: smallSize,
		WorkspaceShare: workspaceShare, StallAfter: stallAfter, MinRate: minRate,
	}
}

// Stats are the counts of a Reserver.
type Stats struct {
	// HeldBytes and Holders describe the present.
	HeldBytes, Holders int64
	// Refused and Evicted count since the start.
	Refused, Evicted int64
}

// Reserver shares a Ledger among request goroutines. It is safe for concurrent use; the
// control goroutine never takes its lock.
type Reserver struct {
	now func() time.Duration
	// notify is called when bytes become short and when they no longer are.
	notify func(text string)

	mutex      sync.Mutex
	ledger     *Ledger
	interrupts map[HolderID]func()
	// freed is closed when bytes become free.
	freed chan struct{}
	stats Stats
	// shortAt is when a request was last refused or had to wait, or 0 if bytes are not
	// short.
	shortAt time.Duration
}

// New returns a Reserver. It calls notify with a line for the log when bytes become
// short and when they no longer are.
func New(limits Limits, now func() time.Duration, notify func(text string)) *Reserver {
	return &Reserver{
		now: now, notify: notify, ledger: NewLedger(limits), interrupts: map[HolderID]func(){}, freed: make(chan struct{}),
	}
}

// Stats returns the current counts.
func (r *Reserver) Stats() Stats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stats := r.stats
	stats.HeldBytes, stats.Holders = r.ledger.Held(), int64(r.ledger.Holders())
	return stats
}

// Reservation is a holder of bytes. Its methods do nothing on a nil Reservation, which
// stands for one without limit.
type Reservation struct {
	reserver *Reserver
	id       HolderID
}

// Open returns a Reservation without bytes. Until it is settled, interrupt is called if
// it has to give way; interrupt must not block and must not call the Reserver. A nil
// Reserver limits nothing.
func (r *Reserver) Open(workspace mulberrybeam.WorkspaceName, interrupt func()) *Reservation {
	if r == nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	id := r.ledger.Open(r.now(), workspace)
	r.interrupts[id] = interrupt
	return &Reservation{r, id}
}

// EvictStalled interrupts the stalled caller that holds most. It reports whether there
// was one.
func (r *Reserver) EvictStalled() bool {
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	id, found := r.ledger.EvictStalled(r.now())
	if found {
		r.interrupt(id)
	}
	return found
}

// interrupt interrupts a caller. The lock is held, so that the caller cannot complete
// its request in between.
func (r *Reserver) interrupt(id HolderID) {
	r.stats.Evicted++
	r.interrupts[id]()
}

// tryGrow asks for bytes. It returns a channel that is closed when bytes become free.
func (r *Reserver) tryGrow(id HolderID, bytes int64) (Verdict, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	verdict := r.ledger.Grow(r.now(), id, bytes)
	for _, victim := range verdict.Evict {
		r.interrupt(victim)
	}
	if !verdict.Granted {
		r.markShort(verdict)
	}
	return verdict, r.freed
}

func (r *Reserver) markShort(verdict Verdict) {
	if r.shortAt == 0 {
		r.notify(fmt.Sprintf("bytes for callers are short: %s, %d bytes held by %d holders, limit %d",
			verdict.Reason, r.ledger.Held(), r.ledger.Holders(), r.ledger.limits.Total))
	}
	r.shortAt = r.now()
}

// release frees bytes by an operation on the ledger and wakes the requests that wait.
func (r *Reserver) release(operation func(*Ledger)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	operation(r.ledger)
	if r.shortAt == 0 {
		return
	}
	close(r.freed)
	r.freed = make(chan struct{})
	if r.now()-r.shortAt >= calmAfter {
		r.shortAt = 0
		r.notify(fmt.Sprintf("bytes for callers are no longer short: %d held by %d holders, %d requests refused and %d callers interrupted since the start",
			r.ledger.Held(), r.ledger.Holders(), r.stats.Refused, r.stats.Evicted))
	}
}

// Grow reserves more bytes. It waits a short time for room, and returns a Failure with
// CodeOverloaded if there is none.
func (s *Reservation) Grow(ctx context.Context, bytes int64) error {
	if s == nil {
		return nil
	}
	verdict, freed := s.reserver.tryGrow(s.id, bytes)
	if verdict.Granted {
		return nil
	}
	timer := time.NewTimer(roomWait)
	defer timer.Stop()
	for ; !verdict.Granted; verdict, freed = s.reserver.tryGrow(s.id, bytes) {
		select {
		case <-freed:
		case <-ctx.Done():
			return s.refuse(verdict, ctx.Err())
		case <-timer.C:
			return s.refuse(verdict, nil)
		}
	}
	return nil
}

func (s *Reservation) refuse(verdict Verdict, cause error) error {
	s.reserver.mutex.Lock()
	s.reserver.stats.Refused++
	s.reserver.mutex.Unlock()
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeOverloaded, Step: mulberrybeam.StepAccept, NotRun: true,
		Message: "no room for the request: " + verdict.Reason, RetryAfter: verdict.RetryAfter, Cause: cause,
	}
}

// TryGrow reserves more bytes if there is room.
func (s *Reservation) TryGrow(bytes int64) bool {
	if s == nil {
		return true
	}
	verdict, _ := s.reserver.tryGrow(s.id, bytes)
	return verdict.Granted
}

// Shrink gives bytes back.
func (s *Reservation) Shrink(bytes int64) {
	if s != nil {
		s.reserver.release(func(ledger *Ledger) { ledger.Shrink(s.id, bytes) })
	}
}

// Progress records that the caller has sent bytes.
func (s *Reservation) Progress(bytes int) {
	if s == nil {
		return
	}
	s.reserver.mutex.Lock()
	defer s.reserver.mutex.Unlock()
	s.reserver.ledger.Progress(s.reserver.now(), s.id, int64(bytes))
}

// Settle records that the caller has sent all, so that it is no longer interrupted. It
// returns false if the caller has been interrupted.
func (s *Reservation) Settle() bool {
	if s == nil {
		return true
	}
	s.reserver.mutex.Lock()
	defer s.reserver.mutex.Unlock()
	return s.reserver.ledger.Settle(s.id)
}

// Close gives all bytes back.
func (s *Reservation) Close() {
	if s == nil {
		return
	}
	s.reserver.release(func(ledger *Ledger) {
		ledger.Close(s.id)
		delete(s.reserver.interrupts, s.id)
	})
}
