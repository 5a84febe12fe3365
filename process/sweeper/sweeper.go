// Package sweeper is the control state machine that deletes the records of
// non-repeatable calls whose retention has ended.
package sweeper

import (
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/intender"
)

const (
	// listInterval is the time between two lists of all records. Each list is
	// one large read of the platform.
	listInterval = 10 * time.Minute
	// deleteInterval is the time between two deletions. Ten deletions per
	// second keep up with ten orders per second and leave the rest of the
	// platform's write rate to leases and orders.
	deleteInterval = 100 * time.Millisecond
	// answerTimeout is the time after which a call without an answer counts as
	// lost.
	answerTimeout = 10 * time.Second
)

// Decode decodes the data of a record. The caller chooses the encoding.
type Decode func(data []byte) (intender.Record, error)

// Sweeper is the state machine. It deletes records only while the process holds
// slot 0 of the first zone by name, so that at most one process does. Only the
// control goroutine may use it.
type Sweeper struct {
	decode    Decode
	retention time.Duration
	zone      mulberrybeam.ZoneName
	ownership mulberrybeam.SlotOwnership

	ticket  mulberrybeam.Ticket
	waiting bool
	sentAt  time.Duration
	nextAt  time.Duration
	pending []mulberrybeam.Object
}

// New returns a state machine that decodes records with decode.
func New(decode Decode) *Sweeper { return &Sweeper{decode: decode} }

// FillSnapshot implements mulberrybeam.StateMachine. The sweeper adds nothing to the snapshot.
func (*Sweeper) FillSnapshot(*mulberrybeam.Snapshot) {}

// Step implements mulberrybeam.StateMachine.
func (s *Sweeper) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.ConfigurationChanged:
		s.retention = event.Environment.Limits.IdempotencyRetention
		s.zone = firstZone(event.Environment)
	case mulberrybeam.SlotOwnershipChanged:
		if event.Ownership.Slot == (mulberrybeam.Slot{Zone: s.zone}) {
			s.ownership = event.Ownership
		}
	case mulberrybeam.ObjectReplied:
		s.handleReply(turn, event)
	case mulberrybeam.Tick:
		return s.tick(turn)
	}
	return nil
}

func firstZone(environment *mulberrybeam.Environment) mulberrybeam.ZoneName {
	var names []mulberrybeam.ZoneName
	for _, region := range environment.Regions {
		for _, zone := range region.Zones {
			names = append(names, zone.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.Min(names)
}

func (s *Sweeper) tick(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if s.waiting && turn.Now-s.sentAt > answerTimeout {
		s.waiting = false
	}
	holdsSlot := s.zone != "" && s.ownership.Slot.Zone == s.zone && turn.Now < s.ownership.Until
	if s.waiting || !holdsSlot || turn.Now < s.nextAt {
		return nil
	}
	if len(s.pending) == 0 {
		s.nextAt = turn.Now + listInterval
		return s.call(turn, mulberrybeam.OpList, mulberrybeam.Object{Kind: mulberrybeam.ObjectIntent})
	}
	next := s.pending[0]
	s.pending = s.pending[1:]
	if len(s.pending) > 0 {
		s.nextAt = turn.Now + deleteInterval
	} else {
		s.nextAt = turn.Now + listInterval
	}
	return s.call(turn, mulberrybeam.OpDelete, next)
}

func (s *Sweeper) call(turn mulberrybeam.Turn, op mulberrybeam.ObjectOp, object mulberrybeam.Object) []mulberrybeam.Action {
	s.ticket++
	s.waiting, s.sentAt = true, turn.Now
	return []mulberrybeam.Action{mulberrybeam.CallObject{Op: op, Object: object, Ticket: s.ticket}}
}

// handleReply collects the records to delete from the answer to a list. It keeps
// records that cannot be decoded, because deleting one could let its call run
// twice.
func (s *Sweeper) handleReply(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) {
	if reply.Ticket != s.ticket || !s.waiting {
		return
	}
	s.waiting = false
	if reply.Err != nil {
		return
	}
	for _, item := range reply.Items {
		record, err := s.decode(item.Data)
		if err != nil || !intender.Deletable(record.Key, s.retention, turn.Wall) {
			continue
		}
		s.pending = append(s.pending, mulberrybeam.Object{Kind: item.Kind, Name: item.Name, Version: item.Version})
	}
	if len(s.pending) > 0 {
		s.nextAt = turn.Now
	}
}
