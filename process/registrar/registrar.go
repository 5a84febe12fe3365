// Package registrar is the control state machine that publishes records of this
// process through the platform's object API: its registration as an entry host,
// the requests that crashed a target, and the prompt parts that did not.
package registrar

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// retryDelay is the delay after a failed write.
	retryDelay = time.Second
	// crashRetention is how long a crash record is kept.
	crashRetention = 2 * time.Minute
	// rewriteSpread is the time over which hosts write again what a restored store lacks.
	rewriteSpread = time.Second
	// maxPending limits the records that wait to be written. A target that
	// crashes with many requests in flight causes a record for each.
	maxPending = 64
)

// Registrar writes the records. Only the control goroutine may use it.
type Registrar struct {
	host    mulberrybeam.EntryHost
	encoder mulberrybeam.RecordEncoder
	// pending holds the objects to create, in order.
	pending []mulberrybeam.Object
	// writtenCrashes holds the crash records to delete after the retention.
	writtenCrashes []writtenCrash
	// replace is true if the first pending object already exists.
	replace bool
	// ticket identifies the write in flight, 0 if there is none. inFlight
	// is the object that it writes.
	ticket   mulberrybeam.Ticket
	inFlight mulberrybeam.Object
	// retryAt is when the next write is allowed after a failed one.
	retryAt time.Duration
	// registeredAt is when the registration was last written, or 0 while it is not.
	registeredAt time.Duration
}

type writtenCrash struct {
	object    mulberrybeam.Object
	writtenAt time.Duration
	deleteAt  time.Duration
}

var _ mulberrybeam.StateMachine = (*Registrar)(nil)

// New returns the state machine for an entry host.
func New(host mulberrybeam.EntryHost, encoder mulberrybeam.RecordEncoder) *Registrar {
	return &Registrar{host: host, encoder: encoder, pending: []mulberrybeam.Object{encoder.Host(host)}}
}

// FillSnapshot adds nothing to the snapshot.
func (*Registrar) FillSnapshot(*mulberrybeam.Snapshot) {}

// Step handles one event.
func (r *Registrar) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.TargetCrashed:
		if len(r.pending) < maxPending {
			r.pending = append(r.pending, r.encoder.Crash(event.Crash))
		}
		return append(r.sendNext(turn), addEntry(mulberrybeam.EntryCrash, string(event.Crash.Target), fmt.Sprintf(
			"target crashed while running request %x, which shares the prompt parts %v", event.Crash.Fingerprint, event.Crash.Parts)))
	case mulberrybeam.PartCleared:
		if len(r.pending) < maxPending {
			r.pending = append(r.pending, r.encoder.Clearance(event.Clearance))
		}
	case mulberrybeam.RecordsListed:
		return append(r.rewriteLost(turn, event), r.sendNext(turn)...)
	case mulberrybeam.ObjectReplied:
		if event.Ticket != r.ticket || r.ticket == 0 {
			return nil
		}
		return append(r.handleReply(turn, event), r.sendNext(turn)...)
	case mulberrybeam.Tick:
	default:
		return nil
	}
	return r.sendNext(turn)
}

// sendNext starts the next write, unless one is in flight or it is too early
// for a retry.
func (r *Registrar) sendNext(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if r.ticket != 0 || turn.Now < r.retryAt {
		return nil
	}
	op := mulberrybeam.OpCreate
	switch {
	case r.replace:
		// The object of an earlier run may hold an old address.
		op = mulberrybeam.OpUpdate
		r.inFlight = r.pending[0]
	case len(r.pending) > 0:
		r.inFlight = r.pending[0]
	case len(r.writtenCrashes) > 0 && turn.Now >= r.writtenCrashes[0].deleteAt:
		op = mulberrybeam.OpDelete
		r.inFlight = r.writtenCrashes[0].object
		r.writtenCrashes = r.writtenCrashes[1:]
	default:
		return nil
	}
	r.ticket = mulberrybeam.Ticket(turn.Rand.Uint64() | 1)
	return []mulberrybeam.Action{mulberrybeam.CallObject{Op: op, Object: r.inFlight, Ticket: r.ticket}}
}

// handleReply handles the reply to a write. An object that already exists was
// written by an earlier call whose reply was lost, or by an earlier run.
func (r *Registrar) handleReply(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	r.ticket = 0
	if len(r.pending) == 0 || r.pending[0].Name != r.inFlight.Name {
		return nil
	}
	exists := mulberrybeam.CodeOf(reply.Err) == mulberrybeam.CodeExists
	switch {
	case exists && r.inFlight.Kind == mulberrybeam.ObjectHost:
		r.replace = true
		return nil
	case reply.Err != nil && !exists:
		r.replace = false
		r.retryAt = turn.Now + retryDelay
		return []mulberrybeam.Action{addEntry(mulberrybeam.EntryPlatform, r.inFlight.Name, "failed to write record: "+reply.Err.Error())}
	}
	r.replace = false
	r.pending = r.pending[1:]
	if r.inFlight.Kind == mulberrybeam.ObjectHost {
		r.registeredAt = turn.Now
	}
	if r.inFlight.Kind != mulberrybeam.ObjectCrash {
		return nil
	}
	r.writtenCrashes = append(r.writtenCrashes, writtenCrash{r.inFlight, turn.Now, turn.Now + crashRetention})
	return nil
}

// rewriteLost writes what this process has written and a list lacks, because the store has
// come back from a copy. All hosts find that at about the same time.
func (r *Registrar) rewriteLost(turn mulberrybeam.Turn, list mulberrybeam.RecordsListed) []mulberrybeam.Action {
	var lost []mulberrybeam.Object
	switch list.Kind {
	case mulberrybeam.ObjectHost:
		lost = r.takeLostRegistration(list)
	case mulberrybeam.ObjectCrash:
		lost = r.takeLostCrashes(list)
	}
	if len(lost) == 0 {
		return nil
	}
	r.pending = append(r.pending, lost...)
	r.retryAt = max(r.retryAt, turn.Now+time.Duration(turn.Rand.Int64N(int64(rewriteSpread))))
	return []mulberrybeam.Action{addEntry(mulberrybeam.EntryPlatform, string(list.Kind), fmt.Sprintf("the store lacks %d records of this host, writing them again", len(lost)))}
}

// takeLostRegistration returns the registration of this host if a list lacks it.
func (r *Registrar) takeLostRegistration(list mulberrybeam.RecordsListed) []mulberrybeam.Object {
	if r.registeredAt == 0 || list.SentAt <= r.registeredAt {
		return nil
	}
	if record, listed := list.Records[string(r.host.ID)]; listed && record.Host != nil && *record.Host == r.host {
		return nil
	}
	r.registeredAt = 0
	return []mulberrybeam.Object{r.encoder.Host(r.host)}
}

// takeLostCrashes returns the records of crashes that a list lacks, which then count as not
// written.
func (r *Registrar) takeLostCrashes(list mulberrybeam.RecordsListed) []mulberrybeam.Object {
	var lost []mulberrybeam.Object
	r.writtenCrashes = slices.DeleteFunc(r.writtenCrashes, func(crash writtenCrash) bool {
		_, listed := list.Records[crash.object.Name]
		if listed || list.SentAt <= crash.writtenAt || len(lost) >= maxPending {
			return false
		}
		lost = append(lost, crash.object)
		return true
	})
	return lost
}

// addEntry returns the action that adds an entry to the timeline.
func addEntry(kind mulberrybeam.EntryKind, subject, text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: kind, Subject: subject, Text: text}}
}
