package parttracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// addCrash adds a crash, and drops the oldest if there are too many.
func (e *evidence) addCrash(target mulberrybeam.InstanceID, now time.Duration) {
	if len(e.crashes) >= maxCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.crashes)), func(a, b mulberrybeam.InstanceID) int {
			return cmp.Or(cmp.Compare(e.crashes[a].seenAt, e.crashes[b].seenAt), cmp.Compare(a, b))
		})
		delete(e.crashes, oldest)
	}
	e.crashes[target] = &crash{seenAt: now}
	e.LastCrashAt = now
}

func (e *evidence) clearAll() {
	for _, crash := range e.crashes {
		crash.cleared = true
	}
}

// refusable reports whether enough crashes count against the part to refuse its requests.
func (e *evidence) refusable() bool { return e.Crashes >= e.threshold }

// compareNeed is negative if e is to be dropped before other.
func (e *evidence) compareNeed(other *evidence) int {
	switch {
	case e.refusable() == other.refusable():
		return cmp.Compare(e.LastCrashAt, other.LastCrashAt)
	case e.refusable():
		return 1
	}
	return -1
}

// uncleared returns the crashes that count against the part.
func (e *evidence) uncleared() []mulberrybeam.InstanceID {
	var targets []mulberrybeam.InstanceID
	for target, crash := range e.crashes {
		if !crash.cleared {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}

// shareClearance publishes the crashes that the part is cleared of, once they are
// so many that other hosts may suspect the part.
func (e *evidence) shareClearance(part mulberrybeam.SharedPart) []mulberrybeam.Action {
	var targets []mulberrybeam.InstanceID
	for target, crash := range e.crashes {
		if crash.cleared && !crash.shared {
			targets = append(targets, target)
		}
	}
	if len(targets) < quarantiner.SuspicionThreshold {
		return nil
	}
	slices.Sort(targets)
	for _, target := range targets {
		e.crashes[target].shared = true
	}
	return []mulberrybeam.Action{mulberrybeam.EmitEvent{Event: mulberrybeam.PartCleared{
		Clearance: mulberrybeam.PartClearance{Part: part, Targets: targets},
	}}}
}

// reassess updates the suspicion from the crashes.
func (e *evidence) reassess(turn mulberrybeam.Turn) []mulberrybeam.Action {
	before := e.Crashes
	uncleared := e.uncleared()
	e.Crashes = len(uncleared)
	if e.refusable() && before < e.threshold {
		e.Since = turn.Now
	}
	e.FailedTrials = 0
	for _, target := range uncleared {
		if e.crashes[target].seenAt > e.Since+quarantiner.StragglerWindow {
			e.FailedTrials++
		}
	}
	if max(before, e.Crashes) < quarantiner.SuspicionThreshold {
		return nil
	}
	return []mulberrybeam.Action{mulberrybeam.PublishSnapshot{}}
}
