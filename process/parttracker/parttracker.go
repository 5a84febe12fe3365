// Package parttracker is the control state machine that tracks which requests and shared
// prompt parts were in flight at crashed targets, and clears those that have completed.
// It fills in the suspects of the fleet. A request that callers repeat is a part that all
// its copies share.
//
// A part that crashes targets never completes. A completed request therefore clears
// its parts of all crashes until then, also at the other hosts, which learn of it
// by a clearance in the platform's store. The clearance names the crashes, so that
// the order in which hosts learn of crashes and clearances does not matter.
package parttracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

const (
	// retention is how long a part is tracked after its last crash.
	retention = 2 * time.Minute
	// maxParts is the number of parts that are tracked, and maxCrashes the number
	// of crashes of each.
	maxParts   = 512
	maxCrashes = 32
	// maxCompletions is the number of parts whose last completion is known.
	maxCompletions = 4096
)

// Tracker keeps the evidence. Only the control goroutine may use it.
type Tracker struct {
	parts map[mulberrybeam.SharedPart]*evidence
	// completedAt is when a request of this process with the part last completed.
	completedAt map[mulberrybeam.SharedPart]time.Duration
	// suspects is rebuilt by FillSnapshot if stale is set.
	suspects map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion
	stale    bool
}

var _ mulberrybeam.StateMachine = (*Tracker)(nil)

// evidence is what is known of a part.
type evidence struct {
	crashes map[mulberrybeam.InstanceID]*crash
	mulberrybeam.PartSuspicion
	// threshold is the number of crashes from which requests with the part are refused.
	threshold int
	// convicted is set once the timeline says that requests with the part are
	// refused.
	convicted bool
}

// crash is a target that crashed with the part in flight.
type crash struct {
	seenAt time.Duration
	// cleared is set once a completed request shows that the part did not cause
	// the crash, and shared once other hosts can know of it.
	cleared, shared bool
}

// New returns the state machine.
func New() *Tracker {
	return &Tracker{
		parts:       map[mulberrybeam.SharedPart]*evidence{},
		completedAt: map[mulberrybeam.SharedPart]time.Duration{}, stale: true,
	}
}

// FillSnapshot sets the suspects of the fleet, which the tracker of objects sets
// first.
func (t *Tracker) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	if snapshot.Fleet == nil {
		return
	}
	if t.stale {
		t.suspects = t.suspicions()
		t.stale = false
	}
	snapshot.Fleet.Suspects = t.suspects
}

// Step processes one event.
func (t *Tracker) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	actions := t.apply(turn, event)
	t.stale = t.stale || len(actions) > 0
	return actions
}

func (t *Tracker) apply(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.TargetCrashed:
		return t.addCrash(turn, event.Crash)
	case mulberrybeam.RecordChanged:
		if event.Kind == mulberrybeam.ObjectCrash && !event.Removed {
			return t.addRecord(turn, event.Record)
		}
	case mulberrybeam.RecordsListed:
		if event.Kind == mulberrybeam.ObjectCrash {
			var actions []mulberrybeam.Action
			for _, name := range slices.Sorted(maps.Keys(event.Records)) {
				actions = append(actions, t.addRecord(turn, event.Records[name])...)
			}
			return actions
		}
	case mulberrybeam.PartsCompleted:
		return t.addCompletion(turn, event.Parts)
	case mulberrybeam.Tick:
		return t.expire(turn)
	}
	return nil
}

func (t *Tracker) addRecord(turn mulberrybeam.Turn, record mulberrybeam.Record) []mulberrybeam.Action {
	switch {
	case record.Crash != nil:
		return t.addCrash(turn, *record.Crash)
	case record.Clearance != nil:
		return t.applyClearance(turn, *record.Clearance)
	}
	return nil
}

func (t *Tracker) addCrash(turn mulberrybeam.Turn, record mulberrybeam.CrashRecord) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, part := range partsOf(record) {
		known := t.track(part)
		if _, found := known.crashes[record.Target]; found {
			continue
		}
		known.addCrash(record.Target, turn.Now)
		completedAt, completed := t.completedAt[part]
		if completed && turn.Now-completedAt < quarantiner.CompletionWindow {
			known.clearAll()
			actions = append(actions, known.shareClearance(part)...)
		}
		actions = append(actions, known.reassess(turn)...)
	}
	return actions
}

// partsOf returns the parts that a crash counts against: the shared parts of the prompt
// and the request itself.
func partsOf(record mulberrybeam.CrashRecord) []mulberrybeam.SharedPart {
	if record.Fingerprint == (mulberrybeam.Fingerprint{}) {
		return record.Parts
	}
	return append(slices.Clone(record.Parts), quarantiner.RequestPart(record.Fingerprint))
}

// track returns the evidence for a part, and drops that of another one if there is too
// much.
func (t *Tracker) track(part mulberrybeam.SharedPart) *evidence {
	if known, found := t.parts[part]; found {
		return known
	}
	if len(t.parts) >= maxParts {
		delete(t.parts, t.leastNeeded())
		t.stale = true
	}
	known := &evidence{crashes: map[mulberrybeam.InstanceID]*crash{}, threshold: quarantiner.Threshold(part)}
	t.parts[part] = known
	return known
}

// leastNeeded returns the part with the oldest crash. One whose requests can be refused is
// returned only if there is no other: because of the refusals it has no new crashes, so
// that it would be the oldest.
func (t *Tracker) leastNeeded() mulberrybeam.SharedPart {
	var least mulberrybeam.SharedPart
	var known *evidence
	for part, other := range t.parts {
		if known == nil || cmp.Or(other.compareNeed(known), cmp.Compare(part, least)) < 0 {
			least, known = part, other
		}
	}
	return least
}

func (t *Tracker) applyClearance(turn mulberrybeam.Turn, clearance mulberrybeam.PartClearance) []mulberrybeam.Action {
	known := t.track(clearance.Part)
	for _, target := range clearance.Targets {
		if _, found := known.crashes[target]; !found {
			known.addCrash(target, turn.Now)
		}
		known.crashes[target].cleared, known.crashes[target].shared = true, true
	}
	return known.reassess(turn)
}

func (t *Tracker) addCompletion(turn mulberrybeam.Turn, parts []mulberrybeam.SharedPart) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, part := range parts {
		if _, known := t.completedAt[part]; known || len(t.completedAt) < maxCompletions {
			t.completedAt[part] = turn.Now
		}
		if known, found := t.parts[part]; found && known.Crashes > 0 {
			known.clearAll()
			actions = append(actions, known.shareClearance(part)...)
			actions = append(actions, known.reassess(turn)...)
		}
	}
	return actions
}

// expire drops old evidence and records the convictions that came into force.
func (t *Tracker) expire(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, part := range slices.Sorted(maps.Keys(t.parts)) {
		known := t.parts[part]
		if turn.Now-known.LastCrashAt > retention {
			delete(t.parts, part)
			actions = append(actions, mulberrybeam.PublishSnapshot{})
			continue
		}
		actions = append(actions, t.recordVerdict(turn, part, known)...)
	}
	maps.DeleteFunc(t.completedAt, func(_ mulberrybeam.SharedPart, at time.Duration) bool {
		return turn.Now-at >= quarantiner.CompletionWindow
	})
	return actions
}
