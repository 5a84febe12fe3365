package tracker

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// goneRetention is how long targets that were removed are remembered. A copy of the
	// store is some seconds old.
	goneRetention = time.Minute
	// maxGone limits the targets that are remembered.
	maxGone = 4096
)

// restoreState is what this host keeps of the time before the store came back from a copy.
// Operators and targets write again what the copy lacks; until then, what the copy has is
// older than what this host knows.
type restoreState struct {
	// awaitsList are the kinds that were not listed since the restore, and until is the end
	// of the time in which what is missing from lists of a kind is kept.
	awaitsList map[mulberrybeam.ObjectKind]bool
	until      map[mulberrybeam.ObjectKind]time.Duration
	// zones are the evacuated zones that are kept although the store lacks them.
	zones map[mulberrybeam.ZoneName]bool
	// gone are the targets that were removed, in the order of goneIDs.
	gone    map[mulberrybeam.InstanceID]goneTarget
	goneIDs []mulberrybeam.InstanceID
	// held are targets that the copy has although they were gone. They are registered at
	// the end of the time unless the store removes them until then.
	held map[mulberrybeam.InstanceID]mulberrybeam.Record
}

type goneTarget struct {
	startedAt int64
	at        time.Duration
}

func newRestoreState() restoreState {
	return restoreState{
		awaitsList: map[mulberrybeam.ObjectKind]bool{},
		until:      map[mulberrybeam.ObjectKind]time.Duration{},

		zones: map[mulberrybeam.ZoneName]bool{},
		gone:  map[mulberrybeam.InstanceID]goneTarget{},
		held:  map[mulberrybeam.InstanceID]mulberrybeam.Record{},
	}
}

// beginRestore records that the store has come back from a copy. The time in which
// operators and targets write again counts from the first list, since the store may still
// refuse calls.
func (t *Tracker) beginRestore() {
	for _, kind := range requiredKinds {
		t.restore.awaitsList[kind] = true
	}
}

// noteList records that a kind is listed.
func (t *Tracker) noteList(now time.Duration, kind mulberrybeam.ObjectKind) {
	if !t.restore.awaitsList[kind] {
		return
	}
	delete(t.restore.awaitsList, kind)
	t.restore.until[kind] = now + ReregisterGrace
	if kind == mulberrybeam.ObjectTarget {
		t.targetFeedRestoredAt = now
	}
}

// restores reports whether what is missing from lists of a kind is kept.
func (t *Tracker) restores(now time.Duration, kind mulberrybeam.ObjectKind) bool {
	return t.restore.awaitsList[kind] || now < t.restore.until[kind]
}

// keepsEvacuation reports whether a zone stays taken out although a list lacks it.
func (t *Tracker) keepsEvacuation(now time.Duration, kind mulberrybeam.ObjectKind, name string) bool {
	if kind != mulberrybeam.ObjectEvacuation || !t.restores(now, kind) {
		return false
	}
	t.restore.zones[mulberrybeam.ZoneName(name)] = true
	return true
}

// endRestore brings back the zones that were not taken out again after a restore, and
// registers the targets that were held.
func (t *Tracker) endRestore(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var entries []mulberrybeam.Action
	if len(t.restore.zones) > 0 && !t.restores(turn.Now, mulberrybeam.ObjectEvacuation) {
		for _, zone := range slices.Sorted(maps.Keys(t.restore.zones)) {
			entries = append(entries, t.setEvacuated(turn, zone, false)...)
		}
	}
	if len(t.restore.held) == 0 || t.restores(turn.Now, mulberrybeam.ObjectTarget) {
		return entries
	}
	for _, id := range slices.Sorted(maps.Keys(t.restore.held)) {
		entries = append(entries, t.updateTarget(turn, id, t.restore.held[id].Target)...)
	}
	return entries
}

// listedTarget returns the state of a target in a list. One that was known to drain goes on
// draining although the copy has its earlier state, until it writes itself.
func (t *Tracker) listedTarget(now time.Duration, record mulberrybeam.Record) mulberrybeam.Record {
	if record.Target == nil || !t.restores(now, mulberrybeam.ObjectTarget) {
		return record
	}
	known := t.targets[record.Target.ID]
	if known == nil || !known.target.Draining || known.target.StartedAt != record.Target.StartedAt {
		return record
	}
	target := *record.Target
	target.Draining = true
	return mulberrybeam.Record{Target: &target}
}

// dropHeld forgets the held targets that a list lacks.
func (t *Tracker) dropHeld(list mulberrybeam.RecordsListed) {
	if list.Kind != mulberrybeam.ObjectTarget {
		return
	}
	for id := range t.restore.held {
		if _, listed := list.Records[string(id)]; !listed {
			delete(t.restore.held, id)
		}
	}
}

// recordGone remembers a target that was removed.
func (t *Tracker) recordGone(now time.Duration, target *mulberrybeam.LiveTarget) {
	r := &t.restore
	if _, known := r.gone[target.ID]; !known {
		r.goneIDs = append(r.goneIDs, target.ID)
	}
	r.gone[target.ID] = goneTarget{target.StartedAt, now}
	for len(r.goneIDs) > 0 && (len(r.goneIDs) > maxGone || now-r.gone[r.goneIDs[0]].at >= goneRetention) {
		delete(r.gone, r.goneIDs[0])
		r.goneIDs = r.goneIDs[1:]
	}
}

// holdGone reports whether a target in a list after a restore is one that was removed
// before, which is then held. A target that lives changes its entry, and one that is gone
// is removed from the store once more.
func (t *Tracker) holdGone(now time.Duration, record mulberrybeam.Record) bool {
	target := record.Target
	if target == nil || !t.restores(now, mulberrybeam.ObjectTarget) || t.targets[target.ID] != nil {
		return false
	}
	gone, known := t.restore.gone[target.ID]
	if !known || gone.startedAt != target.StartedAt {
		return false
	}
	t.restore.held[target.ID] = record
	return true
}
