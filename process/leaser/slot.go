package leaser

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
)

// slot is what the process knows about a slot object and its own ownership of
// the slot.
type slot struct {
	id   mulberrybeam.Slot
	self mulberrybeam.ProcessID
	// retired is set when the configuration no longer declares the slot.
	retired bool

	// known is set once the state of the object is known. The object is
	// absent if version is empty.
	known   bool
	version string
	lease   mulberrybeam.SlotLease
	// firstSeen is when the version was first seen. observedSince is the
	// same but restarts with the first read after an interruption, which
	// readsInterrupted marks, so that after an outage of the object API the
	// holder has time to renew its lease before others take over.
	firstSeen        time.Duration
	observedSince    time.Duration
	readsInterrupted bool
	// highestEpoch is the highest known epoch, including that of a deleted
	// object.
	highestEpoch mulberrybeam.Epoch

	// pendingWrites were sent for the current version and may still take
	// effect.
	pendingWrites []pendingWrite
	call          call
	// nextCallAt is the earliest time of the next call of the object API.
	nextCallAt time.Duration
	// outcomeUnknown is set when the outcome of a write is unknown, so that
	// the object must be read before the next write.
	outcomeUnknown bool

	// epoch is the epoch of this process's ownership, which is valid from
	// since to until while active is set. confirmedAt is when the last
	// successful write was sent, takenOver reports whether the epoch
	// began with a takeover.
	epoch       mulberrybeam.Epoch
	active      bool
	since       time.Duration
	until       time.Duration
	confirmedAt time.Duration
	takenOver   bool
	// extensionRefused is set when an elector refuses to extend the current
	// epoch. The next renewal then starts a new epoch.
	extensionRefused bool
	nextExtendAt     time.Duration
	refreshFactAt    time.Duration

	// releasing is set from the end of ownership until the write of the
	// release is confirmed.
	releasing bool
	// releasedForBalance is set when the slot was released for balance.
	releasedForBalance bool
	takeover           takeover
}

// pendingWrite is a write of the slot object whose outcome is not yet known.
type pendingWrite struct {
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

// namesSelf reports whether the object names this process as holder. The
// process may use the slot only while its ownership is active as well.
func (s *slot) namesSelf() bool { return s.lease.Holder == s.self }

func (s *slot) ownership() mulberrybeam.SlotOwnership {
	return mulberrybeam.SlotOwnership{Slot: s.id, Epoch: s.epoch, Since: s.since, Until: s.until, TakenOver: s.takenOver}
}

func (s *slot) name() string { return ObjectName(s.id) }

// ObjectName returns the name of a slot's object, which is also the key of its fact.
func ObjectName(id mulberrybeam.Slot) string { return fmt.Sprintf("%s-%d", id.Zone, id.Number) }

// expire ends ownership once its time has run out.
func (s *slot) expire(now time.Duration) []mulberrybeam.Action {
	if !s.active || now < s.until {
		return nil
	}
	return s.endOwnership(now, "expired")
}

// endOwnership ends active ownership and informs the other state machines.
func (s *slot) endOwnership(now time.Duration, reason string) []mulberrybeam.Action {
	if !s.active {
		return nil
	}
	s.active = false
	s.until = min(s.until, now)
	return []mulberrybeam.Action{
		mulberrybeam.EmitEvent{Event: mulberrybeam.SlotOwnershipChanged{Ownership: s.ownership()}},
		s.note(fmt.Sprintf("slot no longer held at epoch %d: %s", s.epoch, reason)),
		mulberrybeam.PublishSnapshot{},
	}
}

func (s *slot) note(text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{
		Kind: mulberrybeam.EntrySlot, Subject: s.name(), Text: text,
	}}
}

// startRelease ends ownership. The next tick writes the release.
func (s *slot) startRelease(now time.Duration) []mulberrybeam.Action {
	if s.releasing {
		return nil
	}
	s.releasing = true
	s.nextCallAt = now
	return s.endOwnership(now, "released")
}

// storeVersion stores a version of the object that was read or written.
func (s *slot) storeVersion(now time.Duration, version string, lease mulberrybeam.SlotLease) {
	if s.known && version == s.version {
		return
	}
	s.known = true
	s.version, s.lease = version, lease
	s.firstSeen, s.observedSince = now, now
	s.highestEpoch = max(s.highestEpoch, lease.Epoch)
	s.pendingWrites = nil
	s.readsInterrupted = false
}

// commonElectors returns the electors common to all leases that the object may
// hold. A process that takes over fences only the electors of the lease that it
// reads, so an extension is safe only if an elector of all of them granted it.
func (s *slot) commonElectors() []mulberrybeam.ProcessID {
	electors := slices.Clone(s.lease.Electors)
	for _, w := range s.pendingWrites {
		electors = slices.DeleteFunc(electors, func(id mulberrybeam.ProcessID) bool {
			return !slices.Contains(w.lease.Electors, id)
		})
	}
	return electors
}
