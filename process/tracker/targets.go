package tracker

import (
	"maps"
	"slices"
	"strings"

	"mulberrybeam"
	"mulberrybeam/version/wavescheduler"
)

// targetChange is the new state of a target in the list of a service. The target is
// nil if it is not in the list any more.
type targetChange struct {
	id     mulberrybeam.InstanceID
	target *mulberrybeam.FleetTarget
}

// refreshTargets applies the changes of targets to the lists of the fleet, which
// are sorted by ID. Lists of services whose targets did not change stay as they
// are. It reports whether the engines that will be upgraded next may have changed.
func (t *Tracker) refreshTargets() (wavesChanged bool) {
	if len(t.stale.targets) == 0 {
		return false
	}
	changes := map[mulberrybeam.ServiceName][]targetChange{}
	for _, id := range slices.Sorted(maps.Keys(t.stale.targets)) {
		before, now := t.published[id], t.usableTarget(id)
		if before != nil && (now == nil || now.Service != before.Service) {
			changes[before.Service] = append(changes[before.Service], targetChange{id, nil})
		}
		if now != nil {
			changes[now.Service] = append(changes[now.Service], targetChange{id, now})
			t.published[id] = now
		} else {
			delete(t.published, id)
		}
		wavesChanged = t.reschedule(before, now) || wavesChanged
	}
	targets := maps.Clone(t.fleet.Targets)
	for service, changed := range changes {
		if merged := mergeTargets(targets[service], changed); len(merged) > 0 {
			targets[service] = merged
		} else {
			delete(targets, service)
		}
	}
	t.fleet.Targets = targets
	return wavesChanged
}

// usableTarget returns a target as the fleet lists it, or nil if it may not get new
// requests.
func (t *Tracker) usableTarget(id mulberrybeam.InstanceID) *mulberrybeam.FleetTarget {
	tracked := t.targets[id]
	if tracked == nil || tracked.target.Draining || t.evacuated[tracked.target.Zone] {
		return nil
	}
	target := &mulberrybeam.FleetTarget{LiveTarget: tracked.target, ColdUntil: tracked.coldUntil}
	upgraded := t.upgradedEngines[id]
	if version, serves := target.Versions[upgraded.Model]; serves && upgraded.Version > version {
		target.Versions = maps.Clone(target.Versions)
		target.Versions[upgraded.Model] = upgraded.Version
	}
	return target
}

// mergeTargets returns a copy of a list with changes, both of which are sorted by
// ID.
func mergeTargets(current []mulberrybeam.FleetTarget, changes []targetChange) []mulberrybeam.FleetTarget {
	merged := make([]mulberrybeam.FleetTarget, 0, len(current)+len(changes))
	for _, change := range changes {
		at, found := slices.BinarySearchFunc(current, change.id, func(target mulberrybeam.FleetTarget, id mulberrybeam.InstanceID) int {
			return strings.Compare(string(target.ID), string(id))
		})
		merged = append(merged, current[:at]...)
		if found {
			at++
		}
		current = current[at:]
		if change.target != nil {
			merged = append(merged, *change.target)
		}
	}
	return append(merged, current...)
}

// reschedule applies the change of one target to the waves in which engines load
// new weights. It reports whether the target is, or was, part of them.
func (t *Tracker) reschedule(before, now *mulberrybeam.FleetTarget) (changed bool) {
	if before != nil {
		for model := range before.Versions {
			if schedule := t.schedules[model]; schedule != nil && (now == nil || !serves(now, model)) {
				schedule.Remove(before.ID)
				changed = true
			}
		}
	}
	if now != nil {
		for model, version := range now.Versions {
			if schedule := t.schedules[model]; schedule != nil {
				schedule.Set(wavescheduler.Engine{ID: now.ID, Version: version})
				changed = true
			}
		}
	}
	return changed
}

func serves(target *mulberrybeam.FleetTarget, model mulberrybeam.ModelName) bool {
	_, found := target.Versions[model]
	return found
}

// scheduleNewWeights creates the waves of versions that have none yet.
func (t *Tracker) scheduleNewWeights() {
	for model, desired := range t.desiredWeights {
		if t.schedules[model] != nil {
			continue
		}
		schedule := wavescheduler.NewSchedule(model, desired.Version)
		for id, target := range t.published {
			if version, found := target.Versions[model]; found {
				schedule.Set(wavescheduler.Engine{ID: id, Version: version})
			}
		}
		t.schedules[model] = schedule
	}
}

// refreshLeaving sets the engines that will switch to new weights in the current or
// the next wave, unless they are the same as before.
func (t *Tracker) refreshLeaving() {
	var engines []mulberrybeam.InstanceID
	for _, model := range slices.Sorted(maps.Keys(t.schedules)) {
		engines = append(engines, t.schedules[model].CurrentAndNextWave()...)
	}
	if t.fleet.Leaving != nil && slices.Equal(engines, t.leaving) {
		return
	}
	t.leaving = engines
	t.fleet.Leaving = make(map[mulberrybeam.InstanceID]bool, len(engines))
	for _, id := range engines {
		t.fleet.Leaving[id] = true
	}
}
