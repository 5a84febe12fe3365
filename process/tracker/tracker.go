// Package tracker is the control state machine that tracks the objects in the
// platform's store: the deployment, its targets, evacuated zones, desired
// weights, entry hosts and leases. It fills in the fleet, which is the
// part of the snapshot that requests are routed by.
package tracker

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/wavescheduler"
)

// ReregisterGrace is how long targets that are missing from the store are kept after the
// store answers again. Entries of live targets may expire during an outage;
// these targets register again within about two seconds.
const ReregisterGrace = 2500 * time.Millisecond

// maxWeightHistory is the number of weight versions of a model that are remembered.
const maxWeightHistory = 64

// requiredKinds lists the kinds of objects that must be known before requests
// can be routed.
var requiredKinds = []mulberrybeam.ObjectKind{
	mulberrybeam.ObjectDeployment, mulberrybeam.ObjectTarget,
	mulberrybeam.ObjectEvacuation, mulberrybeam.ObjectWeights,
}

// Tracker keeps the state of the fleet. It is not safe for concurrent use; only
// the control goroutine may call it.
type Tracker struct {
	self                 mulberrybeam.ProcessID
	regions              map[mulberrybeam.ZoneName]mulberrybeam.RegionName
	listed               map[mulberrybeam.ObjectKind]bool
	lostFeeds            map[mulberrybeam.ObjectKind]bool
	targetFeedRestoredAt time.Duration

	deployment            *mulberrybeam.Deployment
	deploymentConfirmedAt time.Duration
	targets               map[mulberrybeam.InstanceID]*trackedTarget
	evacuated             map[mulberrybeam.ZoneName]bool
	desiredWeights        map[mulberrybeam.ModelName]mulberrybeam.DesiredWeights
	weightHistory         map[mulberrybeam.ModelName][]mulberrybeam.DesiredWeights
	hosts                 map[mulberrybeam.ProcessID]mulberrybeam.EntryHost
	upgradedEngines       map[mulberrybeam.InstanceID]mulberrybeam.UpgradedEngine

	// missing are the targets that are kept although the store lacks them.
	missing map[mulberrybeam.InstanceID]bool
	restore restoreState
	// schedules are the waves of the desired weights, and leaving the engines that
	// they put next.
	schedules map[mulberrybeam.ModelName]*wavescheduler.Schedule
	leaving   []mulberrybeam.InstanceID

	// fleet is the published state. FillSnapshot builds its stale parts again.
	// published are the targets that it lists.
	fleet     mulberrybeam.Fleet
	published map[mulberrybeam.InstanceID]*mulberrybeam.FleetTarget
	stale     staleParts
}

var _ mulberrybeam.StateMachine = (*Tracker)(nil)

// trackedTarget is a registered target with state derived from earlier
// registrations.
type trackedTarget struct {
	target    mulberrybeam.LiveTarget
	coldUntil time.Duration
	// removeAt is when a target that is missing from the store is removed, or 0
	// while the store has it.
	removeAt time.Duration
}

// New returns the state machine for the process self.
func New(self mulberrybeam.ProcessID, regions map[mulberrybeam.ZoneName]mulberrybeam.RegionName) *Tracker {
	return &Tracker{
		self: self, regions: regions,
		fleet:           mulberrybeam.Fleet{Regions: regions, Targets: map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{}},
		published:       map[mulberrybeam.InstanceID]*mulberrybeam.FleetTarget{},
		stale:           staleParts{weights: true, hosts: true, targets: map[mulberrybeam.InstanceID]bool{}},
		missing:         map[mulberrybeam.InstanceID]bool{},
		schedules:       map[mulberrybeam.ModelName]*wavescheduler.Schedule{},
		listed:          map[mulberrybeam.ObjectKind]bool{},
		lostFeeds:       map[mulberrybeam.ObjectKind]bool{},
		targets:         map[mulberrybeam.InstanceID]*trackedTarget{},
		evacuated:       map[mulberrybeam.ZoneName]bool{},
		restore:         newRestoreState(),
		desiredWeights:  map[mulberrybeam.ModelName]mulberrybeam.DesiredWeights{},
		weightHistory:   map[mulberrybeam.ModelName][]mulberrybeam.DesiredWeights{},
		hosts:           map[mulberrybeam.ProcessID]mulberrybeam.EntryHost{},
		upgradedEngines: map[mulberrybeam.InstanceID]mulberrybeam.UpgradedEngine{},
	}
}

// Step processes one event.
func (t *Tracker) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	var entries []mulberrybeam.Action
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		entries = t.applyList(turn, event)
	case mulberrybeam.RecordChanged:
		entries = t.applyChange(turn, event.Kind, event.Name, event.Record, event.Removed)
	case mulberrybeam.FeedConfirmed:
		entries = t.confirmFeed(turn, event.Kind, event.SentAt)
		if event.Kind != mulberrybeam.ObjectDeployment && len(entries) == 0 {
			return nil
		}
	case mulberrybeam.StoreEraChanged:
		if !event.First {
			t.beginRestore()
		}
		return nil
	case mulberrybeam.FeedLost:
		t.lostFeeds[event.Kind] = true
		return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryPlatform, string(event.Kind), "feed lost: "+event.Err.Error())}
	case mulberrybeam.Tick:
		entries = append(t.expire(turn.Now), t.endRestore(turn)...)
		if len(entries) == 0 {
			return nil
		}
	default:
		return nil
	}
	return append(entries, mulberrybeam.PublishSnapshot{})
}

// FillSnapshot sets the fleet and the readiness of a snapshot.
func (t *Tracker) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	t.refreshFleet()
	fleet := t.fleet
	fleet.ConfirmedAt = t.deploymentConfirmedAt
	fleet.Complete = t.complete()
	snapshot.Fleet = &fleet
	snapshot.Ready = fleet.Complete
}

func (t *Tracker) complete() bool {
	for _, kind := range requiredKinds {
		if !t.listed[kind] {
			return false
		}
	}
	return t.deployment != nil
}

// confirmFeed records that the known objects of a kind were current when a
// request was sent to the store.
func (t *Tracker) confirmFeed(turn mulberrybeam.Turn, kind mulberrybeam.ObjectKind, sentAt time.Duration) []mulberrybeam.Action {
	if kind == mulberrybeam.ObjectDeployment {
		t.deploymentConfirmedAt = max(t.deploymentConfirmedAt, sentAt)
	}
	if !t.lostFeeds[kind] {
		return nil
	}
	delete(t.lostFeeds, kind)
	if kind == mulberrybeam.ObjectTarget {
		t.targetFeedRestoredAt = turn.Now
	}
	return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryPlatform, string(kind), "feed restored")}
}

// applyList applies a complete list of the objects of a kind. Known objects
// that it lacks are treated as removed.
func (t *Tracker) applyList(turn mulberrybeam.Turn, event mulberrybeam.RecordsListed) []mulberrybeam.Action {
	entries := t.confirmFeed(turn, event.Kind, event.SentAt)
	t.noteList(turn.Now, event.Kind)
	t.dropHeld(event)
	for _, name := range t.knownNames(event.Kind) {
		if _, listed := event.Records[name]; !listed && !t.keepsEvacuation(turn.Now, event.Kind, name) {
			entries = append(entries, t.applyChange(turn, event.Kind, name, mulberrybeam.Record{}, true)...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(event.Records)) {
		if t.holdGone(turn.Now, event.Records[name]) {
			entries = append(entries, recordEntry(mulberrybeam.EntryMember, name, "target not used yet: a restored store has it, but it was removed before"))
			continue
		}
		record := t.listedTarget(turn.Now, event.Records[name])
		entries = append(entries, t.applyChange(turn, event.Kind, name, record, false)...)
	}
	t.listed[event.Kind] = true
	return entries
}

// knownNames returns the sorted names of the known objects of a kind, for the
// kinds in which a list may lack an object that was removed.
func (t *Tracker) knownNames(kind mulberrybeam.ObjectKind) []string {
	var names []string
	switch kind {
	case mulberrybeam.ObjectTarget:
		for id := range t.targets {
			names = append(names, string(id))
		}
	case mulberrybeam.ObjectEvacuation:
		for zone := range t.evacuated {
			names = append(names, string(zone))
		}
	case mulberrybeam.ObjectHost:
		for id := range t.hosts {
			names = append(names, string(id))
		}
	}
	slices.Sort(names)
	return names
}

// applyChange applies the new state of one object.
func (t *Tracker) applyChange(turn mulberrybeam.Turn, kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record, removed bool) []mulberrybeam.Action {
	switch kind {
	case mulberrybeam.ObjectDeployment:
		return t.applyDeployment(record.Deployment)
	case mulberrybeam.ObjectTarget:
		return t.updateTarget(turn, mulberrybeam.InstanceID(name), record.Target)
	case mulberrybeam.ObjectEvacuation:
		return t.setEvacuated(turn, mulberrybeam.ZoneName(name), !removed)
	case mulberrybeam.ObjectWeights:
		return t.setDesiredWeights(turn, record.Weights)
	case mulberrybeam.ObjectHost:
		t.stale.hosts = true
		if record.Host == nil {
			delete(t.hosts, mulberrybeam.ProcessID(name))
		} else {
			t.hosts[record.Host.ID] = *record.Host
		}
	case mulberrybeam.ObjectLease:
		// The lease of rollouts lists no engines.
		if name != mulberrybeam.RolloutLeaseName {
			t.setUpgradedEngines(record.Lease)
		}
	}
	return nil
}

// applyDeployment applies a deployment unless its revision is older than, or
// the same as, the one in force.
func (t *Tracker) applyDeployment(deployment *mulberrybeam.Deployment) []mulberrybeam.Action {
	switch {
	case deployment == nil:
		return nil
	case t.deployment != nil && deployment.Revision == t.deployment.Revision:
		return t.noteOtherContent(deployment)
	case t.deployment != nil && deployment.Revision < t.deployment.Revision:
		return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryConfiguration, "", "revision "+formatNumber(t.deployment.Revision)+
			" stays in force, the store has the older revision "+formatNumber(deployment.Revision))}
	}
	t.deployment = deployment
	t.stale.deployment = true
	return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryConfiguration, "",
		"revision "+formatNumber(deployment.Revision)+" is in force, "+describeKeys(deployment))}
}

// noteOtherContent records a deployment with the revision of the one in force and other
// content, which a store that lost the first one may have. Revisions must rise.
func (t *Tracker) noteOtherContent(deployment *mulberrybeam.Deployment) []mulberrybeam.Action {
	if len(deployment.Rules) == len(t.deployment.Rules) && len(deployment.Workspaces) == len(t.deployment.Workspaces) {
		return nil
	}
	return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryConfiguration, "",
		"revision "+formatNumber(deployment.Revision)+" stays in force, the store has another content with the same revision")}
}

// describeKeys says which API keys a deployment accepts.
func describeKeys(deployment *mulberrybeam.Deployment) string {
	if deployment.Keyless {
		return "requests need no key"
	}
	return "workspaces with keys: " + formatNumber(len(deployment.Workspaces))
}

func (t *Tracker) updateTarget(turn mulberrybeam.Turn, id mulberrybeam.InstanceID, target *mulberrybeam.LiveTarget) []mulberrybeam.Action {
	t.stale.targets[id] = true
	delete(t.restore.held, id)
	tracked := t.targets[id]
	if target == nil {
		return t.removeTarget(turn, id, tracked)
	}
	updated := &trackedTarget{target: *target, coldUntil: turn.Now + target.ColdFor}
	t.targets[id] = updated
	delete(t.missing, id)
	if tracked == nil || tracked.target.StartedAt != target.StartedAt {
		return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryMember, string(id),
			"target registered: service "+string(target.Service)+" at "+target.Address+" in zone "+string(target.Zone)+", cold for "+target.ColdFor.String())}
	}
	updated.coldUntil = max(updated.coldUntil, tracked.coldUntil)
	if target.Draining && !tracked.target.Draining {
		return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryMember, string(id), "target is draining")}
	}
	return nil
}

func (t *Tracker) removeTarget(turn mulberrybeam.Turn, id mulberrybeam.InstanceID, tracked *trackedTarget) []mulberrybeam.Action {
	if tracked == nil || tracked.removeAt > 0 {
		return nil
	}
	if graceEnd := t.targetFeedRestoredAt + ReregisterGrace; t.targetFeedRestoredAt > 0 && turn.Now < graceEnd {
		tracked.removeAt = graceEnd
		t.missing[id] = true
		return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryMember, string(id), "target missing after an outage, kept until it can register again")}
	}
	delete(t.targets, id)
	t.recordGone(turn.Now, &tracked.target)
	return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryMember, string(id), "target removed")}
}

// setEvacuated takes a zone out or brings it back. Targets of a zone that is
// brought back are treated as cold, since they may have become cold without
// requests.
func (t *Tracker) setEvacuated(turn mulberrybeam.Turn, zone mulberrybeam.ZoneName, evacuated bool) []mulberrybeam.Action {
	delete(t.restore.zones, zone)
	if t.evacuated[zone] == evacuated {
		return nil
	}
	t.markZone(zone)
	if evacuated {
		t.evacuated[zone] = true
		return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryMember, string(zone), "zone taken out")}
	}
	delete(t.evacuated, zone)
	for _, tracked := range t.targets {
		if tracked.target.Zone == zone && t.deployment != nil {
			pool := t.deployment.Pools[tracked.target.Service]
			tracked.coldUntil = max(tracked.coldUntil, turn.Now+pool.ColdTime)
		}
	}
	return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryMember, string(zone), "zone brought back")}
}

// markZone marks the targets of a zone as changed.
func (t *Tracker) markZone(zone mulberrybeam.ZoneName) {
	for id, tracked := range t.targets {
		if tracked.target.Zone == zone {
			t.stale.targets[id] = true
		}
	}
}

// setUpgradedEngines records which engines have new weights according to the
// lease holder. The lease shows this earlier than the engines' own entries.
func (t *Tracker) setUpgradedEngines(lease *mulberrybeam.LeaderLease) {
	if lease == nil {
		return
	}
	current := make(map[mulberrybeam.InstanceID]mulberrybeam.UpgradedEngine, len(lease.Upgraded))
	for _, upgraded := range lease.Upgraded {
		current[upgraded.Engine] = upgraded
	}
	for id, upgraded := range t.upgradedEngines {
		if current[id] != upgraded {
			t.stale.targets[id] = true
		}
	}
	for id, upgraded := range current {
		if t.upgradedEngines[id] != upgraded {
			t.stale.targets[id] = true
		}
	}
	t.upgradedEngines = current
}

func (t *Tracker) setDesiredWeights(turn mulberrybeam.Turn, desired *mulberrybeam.DesiredWeights) []mulberrybeam.Action {
	if desired == nil || desired.Version <= t.desiredWeights[desired.Model].Version {
		return nil
	}
	learned := mulberrybeam.DesiredWeights{Model: desired.Model, Version: desired.Version, SeenAt: turn.Now}
	t.desiredWeights[desired.Model] = learned
	t.stale.weights = true
	delete(t.schedules, desired.Model)
	// Snapshots share the earlier history, so that it must not be changed.
	history := append(slices.Clone(t.weightHistory[desired.Model]), learned)
	t.weightHistory[desired.Model] = history[max(0, len(history)-maxWeightHistory):]
	return []mulberrybeam.Action{recordEntry(mulberrybeam.EntryConfiguration, string(desired.Model), "weight version "+formatNumber(desired.Version)+" is the new goal")}
}

// expire removes missing targets that did not register again in time.
func (t *Tracker) expire(now time.Duration) []mulberrybeam.Action {
	var entries []mulberrybeam.Action
	for id := range t.missing {
		if now >= t.targets[id].removeAt {
			delete(t.targets, id)
			delete(t.missing, id)
			t.stale.targets[id] = true
			entries = append(entries, recordEntry(mulberrybeam.EntryMember, string(id), "target removed"))
		}
	}
	return entries
}

func recordEntry(kind mulberrybeam.EntryKind, subject, text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: kind, Subject: subject, Text: text}}
}
