package leaser

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
)

// slot is what a process knows of one slot object and of its own right.
type slot struct {
	id   mulberrybeam.Slot
	self mulberrybeam.ProcessID
	// retired says that the configuration no longer has the slot.
	retired bool

	// read says that the object was read at least once; it is absent when
	// version is empty.
	read    bool
	version string
	lease   mulberrybeam.SlotLease
	// firstSeen is when the version was first seen. seenSince restarts
	// after a failed read, so that after an outage of the object API the
	// holder has time to renew before others contend.
	firstSeen time.Duration
	seenSince time.Duration
	stale     bool
	// highest is the highest epoch known, also of a deleted object.
	highest mulberrybeam.Epoch

	// writes were sent on the present version and may still take effect.
	writes []write
	call   call
	next   time.Duration
	// verify says that the outcome of a write is unknown and the object
	// has to be read before the next write.
	verify bool

	// epoch is that of the own right, which holds while active is set.
	epoch     mulberrybeam.Epoch
	active    bool
	since     time.Duration
	until     time.Duration
	confirmed time.Duration
	fresh     bool
	// fenced says that an elector refuses to extend the present epoch, so
	// that the next renewal starts another one.
	fenced     bool
	extendNext time.Duration
	restateAt  time.Duration

	// releasing says that the right was given up and that the release is
	// not yet known to be written.
	releasing bool
	// balanced says that the slot was last released for balance.
	balanced bool
	contest  contest
}

// write is a write whose outcome is unknown.
type write struct {
	lease  mulberrybeam.SlotLease
	sentAt time.Duration
	ticket mulberrybeam.Ticket
}

// call is the object call without an answer, if any.
type call struct {
	ticket mulberrybeam.Ticket
	sentAt time.Duration
	open   bool
}

// objectCall is what an answer of the object API belongs to.
type objectCall struct {
	slot   *slot
	op     mulberrybeam.ObjectOp
	sentAt time.Duration
}

// mine says that the object names this process as holder, which alone gives
// no right.
func (s *slot) mine() bool { return s.lease.Holder == s.self }

func (s *slot) right() mulberrybeam.SlotRight {
	return mulberrybeam.SlotRight{Slot: s.id, Epoch: s.epoch, Since: s.since, Until: s.until, Fresh: s.fresh}
}

func (s *slot) name() string { return Name(s.id) }

// Name is the name of a slot's object, and the key of its fact.
func Name(id mulberrybeam.Slot) string { return fmt.Sprintf("%s-%d", id.Zone, id.Number) }

// expire ends the right when its time is over.
func (s *slot) expire(now time.Duration) []mulberrybeam.Action {
	if !s.active || now < s.until {
		return nil
	}
	return s.end(now, "expired")
}

func (s *slot) end(now time.Duration, reason string) []mulberrybeam.Action {
	if !s.active {
		return nil
	}
	s.active = false
	s.until = min(s.until, now)
	return []mulberrybeam.Action{
		mulberrybeam.Raise{Event: mulberrybeam.RightChanged{Right: s.right()}},
		s.note(fmt.Sprintf("right to epoch %d ended: %s", s.epoch, reason)),
		mulberrybeam.Publish{},
	}
}

func (s *slot) note(text string) mulberrybeam.Action {
	return mulberrybeam.Note{Entry: mulberrybeam.Entry{
		Kind: mulberrybeam.EntrySlot, Subject: s.name(), Text: text,
	}}
}

// startRelease ends the right, and has keep write the release.
func (s *slot) startRelease(now time.Duration) []mulberrybeam.Action {
	if s.releasing {
		return nil
	}
	s.releasing = true
	s.next = now
	return s.end(now, "released")
}

// observe takes the record of a read.
func (s *slot) observe(now time.Duration, version string, lease mulberrybeam.SlotLease) {
	if s.read && version == s.version {
		return
	}
	s.read = true
	s.version, s.lease = version, lease
	s.firstSeen, s.seenSince = now, now
	s.highest = max(s.highest, lease.Epoch)
	s.writes = nil
	s.stale = false
}

// ownElectors are the electors in every record that may be in force. A
// process that takes over fences the electors of the record that it finds,
// so that only a grant by an elector of all of them is safe.
func (s *slot) ownElectors() []mulberrybeam.ProcessID {
	electors := slices.Clone(s.lease.Electors)
	for _, w := range s.writes {
		electors = slices.DeleteFunc(electors, func(id mulberrybeam.ProcessID) bool {
			return !slices.Contains(w.lease.Electors, id)
		})
	}
	return electors
}
