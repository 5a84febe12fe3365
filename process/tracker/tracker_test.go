package tracker_test

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/tracker"
)

// fixture drives a tracker in virtual time.
type fixture struct {
	machine *tracker.Tracker
	now     time.Duration
}

func newFixture() *fixture {
	f := &fixture{machine: tracker.New("self", map[mulberrybeam.ZoneName]mulberrybeam.RegionName{"a": "north"}), now: time.Second}
	f.sendList(mulberrybeam.ObjectDeployment, map[string]mulberrybeam.Record{"main": deployment(5)})
	f.sendList(mulberrybeam.ObjectTarget, map[string]mulberrybeam.Record{"t1": target("t1"), "t2": target("t2")})
	f.sendList(mulberrybeam.ObjectEvacuation, nil)
	f.sendList(mulberrybeam.ObjectWeights, nil)
	return f
}

func deployment(revision mulberrybeam.Revision) mulberrybeam.Record {
	return mulberrybeam.Record{Deployment: &mulberrybeam.Deployment{
		Revision: revision,
		Rules:    []mulberrybeam.Rule{{Host: "h", Prefix: "/"}, {Host: "h", Prefix: "/a/b/"}, {Host: "h", Prefix: "/a/"}},
		Pools:    map[mulberrybeam.ServiceName]mulberrybeam.Pool{"s": {Service: "s", ColdTime: 3 * time.Second}},
	}}
}

func target(id mulberrybeam.InstanceID) mulberrybeam.Record {
	return mulberrybeam.Record{Target: &mulberrybeam.LiveTarget{
		ID: id, Service: "s", Zone: "a", Versions: map[mulberrybeam.ModelName]int{"m": 1},
	}}
}

func (f *fixture) step(event mulberrybeam.Event) {
	f.machine.Step(mulberrybeam.Turn{Now: f.now}, event)
}

func (f *fixture) sendList(kind mulberrybeam.ObjectKind, records map[string]mulberrybeam.Record) {
	f.step(mulberrybeam.RecordsListed{Kind: kind, Records: records, SentAt: f.now})
}

func (f *fixture) sendChange(kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record, removed bool) {
	f.step(mulberrybeam.RecordChanged{Kind: kind, Name: name, Record: record, Removed: removed})
}

func (f *fixture) fleet() *mulberrybeam.Fleet {
	snapshot := &mulberrybeam.Snapshot{}
	f.machine.FillSnapshot(snapshot)
	return snapshot.Fleet
}

func (f *fixture) targetCount() int { return len(f.fleet().Targets["s"]) }

// Requests must not be routed before all kinds of objects that routing depends
// on have been listed.
func TestIncompleteUntilAllKindsAreListed(t *testing.T) {
	is := is.New(t)
	f := &fixture{machine: tracker.New("self", nil)}
	f.sendList(mulberrybeam.ObjectDeployment, map[string]mulberrybeam.Record{"main": deployment(5)})
	f.sendList(mulberrybeam.ObjectTarget, nil)
	f.sendList(mulberrybeam.ObjectWeights, nil)
	is.True(!f.fleet().Complete)
	f.sendList(mulberrybeam.ObjectEvacuation, nil)
	is.True(f.fleet().Complete)
}

// A deployment with an older revision, or one that cannot be read, must not
// replace the one in force.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.sendChange(mulberrybeam.ObjectDeployment, "main", deployment(4), false)
	is.Equal(f.fleet().Deployment.Revision, mulberrybeam.Revision(5))
	f.sendChange(mulberrybeam.ObjectDeployment, "main", mulberrybeam.Record{}, false)
	is.Equal(f.fleet().Deployment.Revision, mulberrybeam.Revision(5))
	f.sendChange(mulberrybeam.ObjectDeployment, "main", deployment(9), false)
	is.Equal(f.fleet().Deployment.Revision, mulberrybeam.Revision(9))
	is.Equal(f.fleet().Hosts["h"][0].Prefix, "/a/b/")
}

// Guards against callers without a key that are taken for a workspace with an empty one.
func TestEmptyKeysGrantNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	changed := deployment(6)
	changed.Deployment.Workspaces = []mulberrybeam.WorkspaceSpec{{Name: "w", Keys: []string{"", "k"}}}
	f.sendChange(mulberrybeam.ObjectDeployment, "main", changed, false)
	is.Equal(slices.Collect(maps.Keys(f.fleet().Keys)), []string{"k"})
}

// A target that is draining, or whose entry cannot be read, must get no new
// requests.
func TestDrainingTargetsGetNoRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.targetCount(), 2)
	draining := target("t1")
	draining.Target.Draining = true
	f.sendChange(mulberrybeam.ObjectTarget, "t1", draining, false)
	is.Equal(f.targetCount(), 1)
	f.sendChange(mulberrybeam.ObjectTarget, "t2", mulberrybeam.Record{}, false)
	is.Equal(f.targetCount(), 0)
}

// Targets whose entries expired during an outage of the store must be kept
// until they can register again. Those that do not register must be removed.
func TestExpiredEntriesAreKeptForAGracePeriod(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.step(mulberrybeam.FeedLost{Kind: mulberrybeam.ObjectTarget, Err: errors.New("no answer")})
	f.now += 10 * time.Second
	f.sendList(mulberrybeam.ObjectTarget, map[string]mulberrybeam.Record{})
	is.Equal(f.targetCount(), 2)
	f.now += time.Second
	f.sendChange(mulberrybeam.ObjectTarget, "t1", target("t1"), false)
	f.now += tracker.ReregisterGrace
	f.step(mulberrybeam.Tick{})
	is.Equal(f.targetCount(), 1)
	f.sendChange(mulberrybeam.ObjectTarget, "t1", mulberrybeam.Record{}, true)
	is.Equal(f.targetCount(), 0) // without an outage, a removed target is dropped at once
}

// Targets of a zone that is brought back may have become cold meanwhile, so
// they must not get full load at once.
func TestReturningZoneIsCold(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.sendChange(mulberrybeam.ObjectEvacuation, "a", mulberrybeam.Record{}, false)
	is.Equal(f.targetCount(), 0)
	f.now += time.Minute
	f.sendChange(mulberrybeam.ObjectEvacuation, "a", mulberrybeam.Record{}, true)
	is.Equal(f.targetCount(), 2)
	is.Equal(f.fleet().Targets["s"][0].ColdUntil, f.now+3*time.Second)
}

// A target that restarts under the same ID must be treated as cold.
func TestTargetRestartedUnderTheSameIDIsCold(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	restarted := target("t1")
	restarted.Target.StartedAt, restarted.Target.ColdFor = 7, 3*time.Second
	f.sendChange(mulberrybeam.ObjectTarget, "t1", restarted, false)
	is.Equal(f.fleet().Targets["s"][0].ColdUntil, f.now+3*time.Second)
}

// Engines that the lease lists as upgraded must not count as outdated while
// their own entries still show the old weights.
func TestLeaseShowsUpgradedEngines(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.sendChange(mulberrybeam.ObjectWeights, "m", mulberrybeam.Record{Weights: &mulberrybeam.DesiredWeights{Model: "m", Version: 2}}, false)
	is.Equal(len(f.fleet().Leaving), 2)
	lease := &mulberrybeam.LeaderLease{Upgraded: []mulberrybeam.UpgradedEngine{{Engine: "t1", Model: "m", Version: 2}}}
	f.sendChange(mulberrybeam.ObjectLease, "weights", mulberrybeam.Record{Lease: lease}, false)
	is.Equal(f.fleet().Targets["s"][0].Versions["m"], 2)
	is.Equal(f.fleet().Leaving, map[mulberrybeam.InstanceID]bool{"t2": true})
}

// Guards against a panic when the entry of an upgraded engine names no weight
// versions any more, or none of the model.
func TestUpgradedEngineWithoutVersions(t *testing.T) {
	for name, versions := range map[string]map[mulberrybeam.ModelName]int{
		"no versions": nil, "another model": {"other": 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			lease := &mulberrybeam.LeaderLease{Upgraded: []mulberrybeam.UpgradedEngine{{Engine: "t1", Model: "m", Version: 2}}}
			f.sendChange(mulberrybeam.ObjectLease, "weights", mulberrybeam.Record{Lease: lease}, false)
			changed := target("t1")
			changed.Target.Versions = versions
			f.sendChange(mulberrybeam.ObjectTarget, "t1", changed, false)
			is.Equal(f.targetCount(), 2)
			is.Equal(f.fleet().Targets["s"][0].Versions, versions)
		})
	}
}

// Guards against a weight version that puts off the exclusion of engines that still
// have the versions before it.
func TestLaterVersionsDoNotPutOffEarlierOnes(t *testing.T) {
	const age = 5500 * time.Millisecond
	for _, interval := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
		is := is.New(t)
		f := newFixture()
		learned := map[int]time.Duration{}
		for version := 2; version < 40; version++ {
			learned[version] = f.now
			f.sendChange(mulberrybeam.ObjectWeights, "m", mulberrybeam.Record{
				Weights: &mulberrybeam.DesiredWeights{Model: "m", Version: version},
			}, false)
			earlier := f.fleet()
			f.now += interval
			want := 0
			for known, at := range learned {
				if f.now-at > age {
					want = max(want, known)
				}
			}
			is.Equal(earlier.RequiredVersion("m", f.now, age), want)
			is.Equal(earlier.RequiredVersion("other", f.now, age), 0)
			is.Equal(earlier.Weights["m"].Version, version)
		}
	}
}
