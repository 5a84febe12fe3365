package upgrader

import (
	"maps"
	"slices"

	"mulberrybeam"
	"mulberrybeam/version/wavescheduler"
)

func (u *Upgrader) applyTarget(id mulberrybeam.InstanceID, target *mulberrybeam.LiveTarget) {
	if target == nil || target.Draining || len(target.Versions) == 0 {
		u.removeEngine(id)
		return
	}
	known := u.engines[id]
	if known == nil || known.target.StartedAt != target.StartedAt {
		known = &engine{knownVersions: map[mulberrybeam.ModelName]int{}}
		u.engines[id] = known
		delete(u.active, id)
	}
	known.target = *target
	u.updateOutdated(id, known)
}

func (u *Upgrader) removeEngine(id mulberrybeam.InstanceID) {
	delete(u.engines, id)
	delete(u.outdated, id)
	delete(u.active, id)
	for _, schedule := range u.schedules {
		schedule.Remove(id)
	}
}

func (u *Upgrader) setDesired(desired mulberrybeam.DesiredWeights) {
	if desired.Version <= u.desired[desired.Model] {
		return
	}
	u.desired[desired.Model] = desired.Version
	u.schedules[desired.Model] = wavescheduler.NewSchedule(desired.Model, desired.Version)
	for id, e := range u.engines {
		u.updateOutdated(id, e)
	}
}

// updateOutdated records whether an engine lacks desired weights, also in the waves. It
// must be called after each change of the engine's versions.
func (u *Upgrader) updateOutdated(id mulberrybeam.InstanceID, e *engine) {
	if model, _ := u.missingVersion(e); model != "" {
		u.outdated[id] = true
	} else {
		delete(u.outdated, id)
	}
	for model, schedule := range u.schedules {
		if version, serves := e.target.Versions[model]; serves {
			schedule.Set(wavescheduler.Engine{ID: id, Version: max(version, e.knownVersions[model])})
		} else {
			schedule.Remove(id)
		}
	}
}

// setState changes the progress of an engine's upgrade.
func (u *Upgrader) setState(e *engine, state upgradeState) {
	e.state = state
	if state == stateIdle {
		delete(u.active, e.target.ID)
	} else {
		u.active[e.target.ID] = true
	}
}

// upgradeCandidates returns the IDs of the outdated engines that are in a current wave or
// have begun their upgrade, in order.
func (u *Upgrader) upgradeCandidates() []mulberrybeam.InstanceID {
	candidates := slices.Collect(maps.Keys(u.active))
	for _, schedule := range u.schedules {
		candidates = append(candidates, schedule.CurrentWave()...)
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	return slices.DeleteFunc(candidates, func(id mulberrybeam.InstanceID) bool { return !u.outdated[id] })
}

// applyUpgraded adopts the versions of upgraded engines that the lease lists.
func (u *Upgrader) applyUpgraded(changed []mulberrybeam.UpgradedEngine) {
	for _, c := range changed {
		if e := u.engines[c.Engine]; e != nil {
			e.knownVersions[c.Model] = max(e.knownVersions[c.Model], c.Version)
			u.updateOutdated(c.Engine, e)
		}
	}
}

// missingVersion returns the first model whose desired version the engine does
// not have, and that version.
func (u *Upgrader) missingVersion(e *engine) (missing mulberrybeam.ModelName, version int) {
	for model, current := range e.target.Versions {
		desired := u.desired[model]
		if max(current, e.knownVersions[model]) < desired && (version == 0 || model < missing) {
			missing, version = model, desired
		}
	}
	return missing, version
}
