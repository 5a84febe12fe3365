// Package registrar is the control state machine that writes what this process
// has to tell the others into the platform's store: that it exists, and which
// requests crashed a target.
package registrar

import (
	"time"

	"mulberrybeam"
)

const (
	// retryPause is the wait after a write that failed.
	retryPause = time.Second
	// retention is how long the record of a crash is kept.
	retention = 2 * time.Minute
	// maxCrashes bounds the records that wait to be written. A target that
	// crashes with many requests in flight names each of them.
	maxCrashes = 64
)

// Registrar writes records. Only the control goroutine may use it.
type Registrar struct {
	host    mulberrybeam.EntryHost
	encoder mulberrybeam.RecordEncoder
	// pending are objects to be created, in order.
	pending []mulberrybeam.Object
	// written are crash records to be deleted later.
	written []writtenCrash
	// replace says that the first pending object exists already.
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

// New returns the machine of an entry host.
func New(host mulberrybeam.EntryHost, encoder mulberrybeam.RecordEncoder) *Registrar {
	return &Registrar{host: host, encoder: encoder, pending: []mulberrybeam.Object{encoder.Host(host)}}
}

// Fill writes nothing.
func (*Registrar) Fill(*mulberrybeam.Snapshot) {}

// Step takes one event.
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

func (r *Registrar) send(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if r.ticket != 0 || turn.Now < r.nextAt {
		return nil
	}
	op := mulberrybeam.OpCreate
	switch {
	case r.replace:
		// An object of an earlier run may have an old address.
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

// replied takes the answer to a write. An object that exists already was
// written by an earlier call whose answer was lost, or by an earlier run.
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
		return []mulberrybeam.Action{note(mulberrybeam.EntryPlatform, r.sending.Name, "record not written: "+reply.Err.Error())}
	}
	r.replace = false
	r.pending = r.pending[1:]
	if r.sending.Kind != mulberrybeam.ObjectCrash {
		return nil
	}
	r.written = append(r.written, writtenCrash{r.sending, turn.Now + retention})
	return []mulberrybeam.Action{note(mulberrybeam.EntryCrash, r.sending.Name, "a target crashed while it ran a request")}
}

func note(kind mulberrybeam.EntryKind, subject, text string) mulberrybeam.Action {
	return mulberrybeam.Note{Entry: mulberrybeam.Entry{Kind: kind, Subject: subject, Text: text}}
}
