// Package tracker is the control state machine that tracks the objects in the
// platform's store: the deployment, its targets, evacuated zones, weight goals,
// entry hosts, leases and crashes. It fills in the fleet, which is the part of
// the snapshot that requests are routed by.
package tracker

import (
	"maps"
	"slices"
	"time"

	"mulberrybeam"
)

// Settle is how long targets that are missing from the store are kept after the
// store answers again. Entries of live targets may expire during an outage;
// these targets register again within about two seconds.
const Settle = 2500 * time.Millisecond

// crashRetention is how long a crash is counted after this process learned of
// it.
const crashRetention = 2 * time.Minute

// required lists the kinds of objects that must be known before requests can be
// routed.
var required = []mulberrybeam.ObjectKind{
	mulberrybeam.ObjectDeployment, mulberrybeam.ObjectTarget,
	mulberrybeam.ObjectEvacuation, mulberrybeam.ObjectWeights,
}

// Tracker keeps the state of the fleet. It is not safe for concurrent use; only
// the control goroutine may call it.
type Tracker struct {
	self       mulberrybeam.ProcessID
	regions    map[mulberrybeam.ZoneName]mulberrybeam.RegionName
	listed     map[mulberrybeam.ObjectKind]bool
	lost       map[mulberrybeam.ObjectKind]bool
	regainedAt time.Duration

	deployment  *mulberrybeam.Deployment
	confirmedAt time.Duration
	targets     map[mulberrybeam.InstanceID]*entry
	evacuated   map[mulberrybeam.ZoneName]bool
	weights     map[mulberrybeam.ModelName]mulberrybeam.WeightGoal
	hosts       map[mulberrybeam.ProcessID]mulberrybeam.EntryHost
	changed     map[mulberrybeam.InstanceID]mulberrybeam.ChangedEngine
	crashes     map[mulberrybeam.CrashRecord]time.Duration

	// fleet is rebuilt by Fill if stale is set.
	fleet mulberrybeam.Fleet
	stale bool
}

var _ mulberrybeam.Machine = (*Tracker)(nil)

// entry is a registered target with state derived from earlier registrations.
type entry struct {
	target    mulberrybeam.LiveTarget
	coldUntil time.Duration
	// goneAt is when a target that is missing from the store is removed, or 0
	// while the store has it.
	goneAt time.Duration
}

// New returns the state machine for the process self.
func New(self mulberrybeam.ProcessID, regions map[mulberrybeam.ZoneName]mulberrybeam.RegionName) *Tracker {
	return &Tracker{
		self: self, regions: regions, stale: true,
		listed:    map[mulberrybeam.ObjectKind]bool{},
		lost:      map[mulberrybeam.ObjectKind]bool{},
		targets:   map[mulberrybeam.InstanceID]*entry{},
		evacuated: map[mulberrybeam.ZoneName]bool{},
		weights:   map[mulberrybeam.ModelName]mulberrybeam.WeightGoal{},
		hosts:     map[mulberrybeam.ProcessID]mulberrybeam.EntryHost{},
		changed:   map[mulberrybeam.InstanceID]mulberrybeam.ChangedEngine{},
		crashes:   map[mulberrybeam.CrashRecord]time.Duration{},
	}
}

// Step processes one event.
func (t *Tracker) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	var notes []mulberrybeam.Action
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		notes = t.list(turn, event)
	case mulberrybeam.RecordChanged:
		notes = t.change(turn, event.Kind, event.Name, event.Record, event.Removed)
		t.stale = true
	case mulberrybeam.FeedConfirmed:
		notes = t.confirm(turn, event.Kind, event.SentAt)
		if event.Kind != mulberrybeam.ObjectDeployment && len(notes) == 0 {
			return nil
		}
	case mulberrybeam.FeedLost:
		t.lost[event.Kind] = true
		return []mulberrybeam.Action{note(mulberrybeam.EntryPlatform, string(event.Kind), "feed lost: "+event.Err.Error())}
	case mulberrybeam.Tick:
		notes = t.expire(turn.Now)
		if len(notes) == 0 {
			return nil
		}
	default:
		return nil
	}
	return append(notes, mulberrybeam.Publish{})
}

// Fill sets the fleet and the readiness of a snapshot.
func (t *Tracker) Fill(snapshot *mulberrybeam.Snapshot) {
	if t.stale {
		t.rebuild()
		t.stale = false
	}
	fleet := t.fleet
	fleet.ConfirmedAt = t.confirmedAt
	fleet.Complete = t.complete()
	snapshot.Fleet = &fleet
	snapshot.Ready = fleet.Complete
}

func (t *Tracker) complete() bool {
	for _, kind := range required {
		if !t.listed[kind] {
			return false
		}
	}
	return t.deployment != nil
}

// confirm records that the known objects of a kind were current when a request
// was sent to the store.
func (t *Tracker) confirm(turn mulberrybeam.Turn, kind mulberrybeam.ObjectKind, sentAt time.Duration) []mulberrybeam.Action {
	if kind == mulberrybeam.ObjectDeployment {
		t.confirmedAt = max(t.confirmedAt, sentAt)
	}
	if !t.lost[kind] {
		return nil
	}
	delete(t.lost, kind)
	if kind == mulberrybeam.ObjectTarget {
		t.regainedAt = turn.Now
	}
	return []mulberrybeam.Action{note(mulberrybeam.EntryPlatform, string(kind), "feed restored")}
}

// list applies a complete list of the objects of a kind. Known objects that it
// lacks are treated as removed.
func (t *Tracker) list(turn mulberrybeam.Turn, event mulberrybeam.RecordsListed) []mulberrybeam.Action {
	notes := t.confirm(turn, event.Kind, event.SentAt)
	for _, name := range t.names(event.Kind) {
		if _, kept := event.Records[name]; !kept {
			notes = append(notes, t.change(turn, event.Kind, name, mulberrybeam.Record{}, true)...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(event.Records)) {
		notes = append(notes, t.change(turn, event.Kind, name, event.Records[name], false)...)
	}
	t.listed[event.Kind] = true
	t.stale = true
	return notes
}

// names returns the sorted names of the known objects of a kind, for the kinds
// in which a list may lack an object that was removed.
func (t *Tracker) names(kind mulberrybeam.ObjectKind) []string {
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

// change applies the new state of one object.
func (t *Tracker) change(turn mulberrybeam.Turn, kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record, removed bool) []mulberrybeam.Action {
	switch kind {
	case mulberrybeam.ObjectDeployment:
		return t.deploy(record.Deployment)
	case mulberrybeam.ObjectTarget:
		return t.changeTarget(turn, mulberrybeam.InstanceID(name), record.Target)
	case mulberrybeam.ObjectEvacuation:
		return t.evacuate(turn, mulberrybeam.ZoneName(name), !removed)
	case mulberrybeam.ObjectWeights:
		return t.nameWeights(turn, record.Weights)
	case mulberrybeam.ObjectHost:
		if record.Host == nil {
			delete(t.hosts, mulberrybeam.ProcessID(name))
		} else {
			t.hosts[record.Host.ID] = *record.Host
		}
	case mulberrybeam.ObjectLease:
		t.learnChanged(record.Lease)
	case mulberrybeam.ObjectCrash:
		if record.Crash != nil {
			t.crashes[*record.Crash] = turn.Now
		}
	}
	return nil
}

// deploy applies a deployment unless its revision is older than, or the same as,
// the one in force.
func (t *Tracker) deploy(deployment *mulberrybeam.Deployment) []mulberrybeam.Action {
	if deployment == nil || t.deployment != nil && deployment.Revision <= t.deployment.Revision {
		return nil
	}
	t.deployment = deployment
	return []mulberrybeam.Action{note(mulberrybeam.EntryConfiguration, "", "revision "+format(deployment.Revision)+" is in force")}
}

func (t *Tracker) changeTarget(turn mulberrybeam.Turn, id mulberrybeam.InstanceID, target *mulberrybeam.LiveTarget) []mulberrybeam.Action {
	known := t.targets[id]
	if target == nil {
		return t.removeTarget(turn, id, known)
	}
	next := &entry{target: *target, coldUntil: turn.Now + target.ColdFor}
	t.targets[id] = next
	if known == nil || known.target.StartedAt != target.StartedAt {
		return []mulberrybeam.Action{note(mulberrybeam.EntryMember, string(id),
			"target registered: service "+string(target.Service)+" at "+target.Address+" in zone "+string(target.Zone)+", cold for "+target.ColdFor.String())}
	}
	next.coldUntil = max(next.coldUntil, known.coldUntil)
	if target.Draining && !known.target.Draining {
		return []mulberrybeam.Action{note(mulberrybeam.EntryMember, string(id), "target is draining")}
	}
	return nil
}

func (t *Tracker) removeTarget(turn mulberrybeam.Turn, id mulberrybeam.InstanceID, known *entry) []mulberrybeam.Action {
	if known == nil || known.goneAt > 0 {
		return nil
	}
	if settled := t.regainedAt + Settle; t.regainedAt > 0 && turn.Now < settled {
		known.goneAt = settled
		return []mulberrybeam.Action{note(mulberrybeam.EntryMember, string(id), "target missing after an outage, kept until it can register again")}
	}
	delete(t.targets, id)
	return []mulberrybeam.Action{note(mulberrybeam.EntryMember, string(id), "target removed")}
}

// evacuate takes a zone out or brings it back. Targets of a zone that is brought
// back are treated as cold, since they may have become cold without requests.
func (t *Tracker) evacuate(turn mulberrybeam.Turn, zone mulberrybeam.ZoneName, out bool) []mulberrybeam.Action {
	if t.evacuated[zone] == out {
		return nil
	}
	if out {
		t.evacuated[zone] = true
		return []mulberrybeam.Action{note(mulberrybeam.EntryMember, string(zone), "zone taken out")}
	}
	delete(t.evacuated, zone)
	for _, known := range t.targets {
		if known.target.Zone == zone && t.deployment != nil {
			pool := t.deployment.Pools[known.target.Service]
			known.coldUntil = max(known.coldUntil, turn.Now+pool.ColdTime)
		}
	}
	return []mulberrybeam.Action{note(mulberrybeam.EntryMember, string(zone), "zone brought back")}
}

// learnChanged records which engines have new weights according to the lease
// holder. The lease shows this earlier than the engines' own entries.
func (t *Tracker) learnChanged(lease *mulberrybeam.DutyLease) {
	if lease == nil {
		return
	}
	clear(t.changed)
	for _, changed := range lease.Changed {
		t.changed[changed.Engine] = changed
	}
}

func (t *Tracker) nameWeights(turn mulberrybeam.Turn, goal *mulberrybeam.WeightGoal) []mulberrybeam.Action {
	if goal == nil || goal.Version <= t.weights[goal.Model].Version {
		return nil
	}
	t.weights[goal.Model] = mulberrybeam.WeightGoal{Model: goal.Model, Version: goal.Version, SeenAt: turn.Now}
	return []mulberrybeam.Action{note(mulberrybeam.EntryConfiguration, string(goal.Model), "weight version "+format(goal.Version)+" is the new goal")}
}

// expire removes missing targets that did not register again in time, and old
// crashes.
func (t *Tracker) expire(now time.Duration) []mulberrybeam.Action {
	var notes []mulberrybeam.Action
	for id, known := range t.targets {
		if known.goneAt > 0 && now >= known.goneAt {
			delete(t.targets, id)
			t.stale = true
			notes = append(notes, note(mulberrybeam.EntryMember, string(id), "target removed"))
		}
	}
	for crash, seenAt := range t.crashes {
		if now-seenAt > crashRetention {
			delete(t.crashes, crash)
			t.stale = true
		}
	}
	return notes
}

func note(kind mulberrybeam.EntryKind, subject, text string) mulberrybeam.Action {
	return mulberrybeam.Note{Entry: mulberrybeam.Entry{Kind: kind, Subject: subject, Text: text}}
}
