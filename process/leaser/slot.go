package leaser

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
)

// slot is what the process knows about a slot object and its own right to the
// slot.
type slot struct {
	id   mulberrybeam.Slot
	self mulberrybeam.ProcessID
	// retired is set when the configuration no longer declares the slot.
	retired bool

	// read is set once the state of the object is known. The object is
	// absent if version is empty.
	read    bool
	version string
	lease   mulberrybeam.SlotLease
	// firstSeen is when the version was first seen. seenSince is the same
	// but restarts with the first read after an interruption, which stale
	// marks, so that after an outage of the object API the holder has time
	// to renew its lease before others take over.
	firstSeen time.Duration
	seenSince time.Duration
	stale     bool
	// highest is the highest known epoch, including that of a deleted object.
	highest mulberrybeam.Epoch

	// writes were sent for the current version and may still take effect.
	writes []write
	call   call
	// next is the earliest time of the next call of the object API.
	next time.Duration
	// verify is set when the outcome of a write is unknown, so that the
	// object must be read before the next write.
	verify bool

	// epoch is the epoch of this process's own right, which is valid from
	// since to until while active is set. confirmed is when the last
	// successful write was sent, fresh says that the epoch began with a
	// takeover.
	epoch     mulberrybeam.Epoch
	active    bool
	since     time.Duration
	until     time.Duration
	confirmed time.Duration
	fresh     bool
	// fenced is set when an elector refuses to extend the current epoch. The
	// next renewal then starts a new epoch.
	fenced     bool
	extendNext time.Duration
	restateAt  time.Duration

	// releasing is set from the end of the right until the write of the
	// release is confirmed.
	releasing bool
	// balanced is set when the slot was released for balance.
	balanced bool
	contest  contest
}

// write is a write of the slot object whose outcome is not yet known.
type write struct {
	lease  mulberrybeam.SlotLease
	sentAt time.Duration
	ticket mulberrybeam.Ticket
}

// call is the last call of the object API, which awaits its answer while open
// is set.
type call struct {
	ticket mulberrybeam.Ticket
	sentAt time.Duration
	open   bool
}

// objectCall associates an answer of the object API with its call.
type objectCall struct {
	slot   *slot
	op     mulberrybeam.ObjectOp
	sentAt time.Duration
}

// mine reports whether the object names this process as holder. The process may
// use the slot only while its right is active as well.
func (s *slot) mine() bool { return s.lease.Holder == s.self }

func (s *slot) right() mulberrybeam.SlotRight {
	return mulberrybeam.SlotRight{Slot: s.id, Epoch: s.epoch, Since: s.since, Until: s.until, Fresh: s.fresh}
}

func (s *slot) name() string { return Name(s.id) }

// Name returns the name of a slot's object, which is also the key of its fact.
func Name(id mulberrybeam.Slot) string { return fmt.Sprintf("%s-%d", id.Zone, id.Number) }

// expire ends the right once its time has run out.
func (s *slot) expire(now time.Duration) []mulberrybeam.Action {
	if !s.active || now < s.until {
		return nil
	}
	return s.end(now, "expired")
}

// end ends an active right and informs the other state machines.
func (s *slot) end(now time.Duration, reason string) []mulberrybeam.Action {
	if !s.active {
		return nil
	}
	s.active = false
	s.until = min(s.until, now)
	return []mulberrybeam.Action{
		mulberrybeam.Raise{Event: mulberrybeam.RightChanged{Right: s.right()}},
		s.note(fmt.Sprintf("slot no longer held at epoch %d: %s", s.epoch, reason)),
		mulberrybeam.Publish{},
	}
}

func (s *slot) note(text string) mulberrybeam.Action {
	return mulberrybeam.Note{Entry: mulberrybeam.Entry{
		Kind: mulberrybeam.EntrySlot, Subject: s.name(), Text: text,
	}}
}

// startRelease ends the right. The next tick writes the release.
func (s *slot) startRelease(now time.Duration) []mulberrybeam.Action {
	if s.releasing {
		return nil
	}
	s.releasing = true
	s.next = now
	return s.end(now, "released")
}

// observe stores a version of the object that was read or written.
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

// ownElectors returns the electors common to all leases that the object may
// hold. A process that takes over fences only the electors of the lease that it
// reads, so an extension is safe only if an elector of all of them granted it.
func (s *slot) ownElectors() []mulberrybeam.ProcessID {
	electors := slices.Clone(s.lease.Electors)
	for _, w := range s.writes {
		electors = slices.DeleteFunc(electors, func(id mulberrybeam.ProcessID) bool {
			return !slices.Contains(w.lease.Electors, id)
		})
	}
	return electors
}
