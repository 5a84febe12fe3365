// Package historykeeper keeps the recent changes of one kind of objects that a
// follower received from the store, and decides what the follower may answer to
// another host.
package historykeeper

import (
	"time"

	"mulberrybeam"
)

const (
	// MaxBytes and maxChanges limit the changes that are kept of a kind. A host that
	// is further behind asks the store.
	MaxBytes   = 1 << 20
	maxChanges = 2000
	// objectOverhead is the assumed size of a change without its name and content in
	// bytes. It is more than the size of its encoding.
	objectOverhead = 128
)

// History has the changes after the version floor up to the version top. It is
// not safe for concurrent use.
type History struct {
	known       bool
	lost        bool
	era         mulberrybeam.StoreEra
	floor       uint64
	top         uint64
	confirmedAt time.Duration
	batches     []batch
	changes     int
	bytes       int
}

// batch has the changes that one call returned. They were made after the version
// from, up to the version to.
type batch struct {
	from    uint64
	to      uint64
	changes []mulberrybeam.ObjectChanged
	bytes   int
}

// Restart discards the history after a list of all objects that was requested at
// sentAt and has the given version.
func (h *History) Restart(version string, sentAt time.Duration) {
	*h = History{}
	if parsed, ok := mulberrybeam.ParseStoreVersion(version); ok {
		h.known, h.era, h.floor, h.top, h.confirmedAt = true, parsed.Era, parsed.Revision, parsed.Revision, sentAt
	}
}

// Record adds the result of a call for the changes after a version, which was
// sent at sentAt. The history begins anew if the result does not continue it.
func (h *History) Record(version, next string, changes []mulberrybeam.ObjectChanged, sentAt time.Duration) {
	from, fromKnown := mulberrybeam.ParseStoreVersion(version)
	to, toKnown := mulberrybeam.ParseStoreVersion(next)
	if !fromKnown || !toKnown || to.Era != from.Era || to.Revision < from.Revision {
		*h = History{}
		return
	}
	if !h.known || from.Era != h.era || from.Revision != h.top {
		h.Restart(version, sentAt)
	}
	h.lost, h.top, h.confirmedAt = false, to.Revision, sentAt
	if len(changes) == 0 {
		return
	}
	added := batch{from: from.Revision, to: to.Revision, changes: changes, bytes: Size(changes)}
	h.batches = append(h.batches, added)
	h.changes += len(changes)
	h.bytes += added.bytes
	for len(h.batches) > 0 && (h.bytes > MaxBytes || h.changes > maxChanges) {
		h.bytes -= h.batches[0].bytes
		h.changes -= len(h.batches[0].changes)
		h.floor = h.batches[0].to
		h.batches = h.batches[1:]
	}
}

// Lose records that a call to the store failed. The history is answered from again
// after the next successful call.
func (h *History) Lose() { h.lost = true }

// Answer returns the state for a cursor of an ask that was read at readAt.
func (h *History) Answer(cursor mulberrybeam.PropagationCursor, readAt time.Duration) mulberrybeam.PropagationState {
	state := mulberrybeam.PropagationState{Kind: cursor.Kind, Since: cursor.Version}
	version, valid := mulberrybeam.ParseStoreVersion(cursor.Version)
	switch {
	case h.lost:
		state.Status = mulberrybeam.StatusLost
		return state
	case !h.known || !valid:
		return state
	case version.Era != h.era:
		// One of the two hosts has not seen that the store was restored.
		state.Status = mulberrybeam.StatusAskStore
		return state
	case version.Revision > h.top:
		return state
	case version.Revision < h.floor:
		state.Status = mulberrybeam.StatusAskStore
		return state
	}
	changes, complete := h.after(version.Revision)
	if !complete {
		state.Status = mulberrybeam.StatusAskStore
		return state
	}
	state.Status = mulberrybeam.StatusCurrent
	state.Next = mulberrybeam.StoreVersion{Era: h.era, Revision: h.top}.String()
	state.Offset = h.confirmedAt - readAt
	if !cursor.Probe {
		state.Changes = changes
	}
	return state
}

// PendingBytes returns an upper limit for the size of the changes in the answer for a
// cursor, without building the answer.
func (h *History) PendingBytes(cursor mulberrybeam.PropagationCursor) int {
	version, valid := mulberrybeam.ParseStoreVersion(cursor.Version)
	if cursor.Probe || h.lost || !h.known || !valid || version.Era != h.era || version.Revision < h.floor {
		return 0
	}
	total := 0
	for _, batch := range h.batches {
		if batch.to > version.Revision {
			total += batch.bytes
		}
	}
	return total
}

// after returns the changes after a version. The version may be within a batch if
// the asker got it from the store itself. Changes up to it are then left out,
// since the asker has seen them and an older content must not follow a newer
// one. The result is false if they cannot be told apart: the version of a removed
// object may be that of its last content.
func (h *History) after(version uint64) ([]mulberrybeam.ObjectChanged, bool) {
	var result []mulberrybeam.ObjectChanged
	for _, batch := range h.batches {
		switch {
		case batch.to <= version:
			continue
		case batch.from >= version:
			result = append(result, batch.changes...)
			continue
		}
		for _, change := range batch.changes {
			changed, valid := mulberrybeam.ParseStoreVersion(change.Object.Version)
			switch {
			case !valid || change.Deleted && changed.Revision <= version:
				return nil, false
			case changed.Revision > version:
				result = append(result, change)
			}
		}
	}
	return result, true
}

// Size returns an upper limit for the encoded size of changes in bytes.
func Size(changes []mulberrybeam.ObjectChanged) int {
	total := 0
	for _, change := range changes {
		total += objectOverhead + len(change.Object.Name) + len(change.Object.Data)
	}
	return total
}
