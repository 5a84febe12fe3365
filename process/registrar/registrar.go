// Package registrar is the control state machine that publishes records of this
// process through the platform's object API: its registration as an entry host,
// and the requests that crashed a target.
package registrar

import (
	"time"

	"mulberrybeam"
)

const (
	// retryPause is the delay after a failed write.
	retryPause = time.Second
	// retention is how long a crash record is kept.
	retention = 2 * time.Minute
	// maxCrashes limits the records that wait to be written. A target that
	// crashes with many requests in flight causes a record for each.
	maxCrashes = 64
)

// Registrar writes the records. Only the control goroutine may use it.
type Registrar struct {
	host    mulberrybeam.EntryHost
	encoder mulberrybeam.RecordEncoder
	// pending holds the objects to create, in order.
	pending []mulberrybeam.Object
	// written holds the crash records to delete after the retention.
	written []writtenCrash
	// replace is true if the first pending object already exists.
	replace bool
	ticket  mulberrybeam.Ticket
	sending mulberrybeam.Object
	nextAt  time.Duration
}

type writtenCrash struct {
	object   mulberrybeam.Object
	deleteAt time.Duration
}

var _ mulberrybeam.Machine = (*Registrar)(nil)

// New returns the state machine for an entry host.
func New(host mulberrybeam.EntryHost, encoder mulberrybeam.RecordEncoder) *Registrar {
	return &Registrar{host: host, encoder: encoder, pending: []mulberrybeam.Object{encoder.Host(host)}}
}

// Fill adds nothing to the snapshot.
func (*Registrar) Fill(*mulberrybeam.Snapshot) {}

// Step handles one event.
func (r *Registrar) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.TargetCrashed:
		if len(r.pending) < maxCrashes {
			r.pending = append(r.pending, r.encoder.Crash(event.Crash))
		}
	case mulberrybeam.ObjectReplied:
		if event.Ticket != r.ticket || r.ticket == 0 {
			return nil
		}
		return append(r.replied(turn, event), r.send(turn)...)
	case mulberrybeam.Tick:
	default:
		return nil
	}
	return r.send(turn)
}

// send starts the next write, unless one is in flight or it is too early for a
// retry.
func (r *Registrar) send(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if r.ticket != 0 || turn.Now < r.nextAt {
		return nil
	}
	op := mulberrybeam.OpCreate
	switch {
	case r.replace:
		// The object of an earlier run may hold an old address.
		op = mulberrybeam.OpUpdate
		r.sending = r.pending[0]
	case len(r.pending) > 0:
		r.sending = r.pending[0]
	case len(r.written) > 0 && turn.Now >= r.written[0].deleteAt:
		op = mulberrybeam.OpDelete
		r.sending = r.written[0].object
		r.written = r.written[1:]
	default:
		return nil
	}
	r.ticket = mulberrybeam.Ticket(turn.Rand.Uint64() | 1)
	return []mulberrybeam.Action{mulberrybeam.CallObject{Op: op, Object: r.sending, Ticket: r.ticket}}
}

// replied handles the reply to a write. An object that already exists was
// written by an earlier call whose reply was lost, or by an earlier run.
func (r *Registrar) replied(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	r.ticket = 0
	if len(r.pending) == 0 || r.pending[0].Name != r.sending.Name {
		return nil
	}
	exists := mulberrybeam.CodeOf(reply.Err) == mulberrybeam.CodeExists
	switch {
	case exists && r.sending.Kind == mulberrybeam.ObjectHost:
		r.replace = true
		return nil
	case reply.Err != nil && !exists:
		r.replace = false
		r.nextAt = turn.Now + retryPause
		return []mulberrybeam.Action{note(mulberrybeam.EntryPlatform, r.sending.Name, "failed to write record: "+reply.Err.Error())}
	}
	r.replace = false
	r.pending = r.pending[1:]
	if r.sending.Kind != mulberrybeam.ObjectCrash {
		return nil
	}
	r.written = append(r.written, writtenCrash{r.sending, turn.Now + retention})
	return []mulberrybeam.Action{note(mulberrybeam.EntryCrash, r.sending.Name, "target crashed while running a request")}
}

// note returns the action that adds an entry to the timeline.
func note(kind mulberrybeam.EntryKind, subject, text string) mulberrybeam.Action {
	return mulberrybeam.Note{Entry: mulberrybeam.Entry{Kind: kind, Subject: subject, Text: text}}
}
