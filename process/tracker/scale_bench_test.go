package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/platform"
	"mulberrybeam/process/parttracker"
	"mulberrybeam/process/registrar"
	"mulberrybeam/process/tracker"
	"mulberrybeam/version/upgrader"
)

// Sizes of the large deployment.
const (
	largeTargets  = 3000
	largeHosts    = 300
	largeServices = 6
	largeRoutes   = 1400
	largeUpgraded = 500
)

// largeFleet drives the machines of the control goroutine at the size of the
// large deployment.
type largeFleet struct {
	machines []mulberrybeam.StateMachine
	now      time.Duration
	// storeAnswers confirms writes of the lease, which are counted.
	storeAnswers bool
	writes       int
	random       *rand.Rand
}

func newLargeFleet() *largeFleet {
	f := &largeFleet{
		machines: []mulberrybeam.StateMachine{
			tracker.New("h000", map[mulberrybeam.ZoneName]mulberrybeam.RegionName{"z0": "north", "z1": "north", "z2": "south"}),
			parttracker.New(),
			upgrader.New("h000", mulberrybeam.HostBounds{}, platform.Encoder{}),
			registrar.New(mulberrybeam.EntryHost{ID: "h000"}, platform.Encoder{}),
		},
		now: time.Second, random: rand.New(rand.NewPCG(1, 1)),
	}
	targets, hosts := map[string]mulberrybeam.Record{}, map[string]mulberrybeam.Record{}
	for i := range largeTargets {
		record := largeTarget(i, 1)
		targets[string(record.Target.ID)] = record
	}
	for i := range largeHosts {
		host := mulberrybeam.EntryHost{ID: mulberrybeam.ProcessID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprintf("10.1.0.%d:7000", i)}
		hosts[string(host.ID)] = mulberrybeam.Record{Host: &host}
	}
	f.list(mulberrybeam.ObjectDeployment, map[string]mulberrybeam.Record{"main": largeDeployment(1)})
	f.list(mulberrybeam.ObjectTarget, targets)
	f.list(mulberrybeam.ObjectEvacuation, nil)
	f.list(mulberrybeam.ObjectWeights, map[string]mulberrybeam.Record{"m": largeWeights(1)})
	f.list(mulberrybeam.ObjectHost, hosts)
	f.list(mulberrybeam.ObjectLease, nil)
	f.publish()
	return f
}

func (f *largeFleet) list(kind mulberrybeam.ObjectKind, records map[string]mulberrybeam.Record) {
	f.step(mulberrybeam.RecordsListed{Kind: kind, Records: records, SentAt: f.now})
}

func (f *largeFleet) change(kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record) {
	f.step(mulberrybeam.RecordChanged{Kind: kind, Name: name, Record: record})
	f.publish()
}

func (f *largeFleet) step(event mulberrybeam.Event) {
	f.now += time.Millisecond
	for _, machine := range f.machines {
		for _, action := range machine.Step(mulberrybeam.Turn{Now: f.now, Rand: f.random}, event) {
			if call, ok := action.(mulberrybeam.CallObject); ok && f.storeAnswers && call.Object.Kind == mulberrybeam.ObjectLease {
				f.writes++
				machine.Step(mulberrybeam.Turn{Now: f.now, Rand: f.random}, mulberrybeam.ObjectReplied{Ticket: call.Ticket, SentAt: f.now})
			}
		}
	}
}

// holdLease makes this host the one that orders new weights.
func (f *largeFleet) holdLease() {
	f.storeAnswers = true
	f.change(mulberrybeam.ObjectWeights, "m", largeWeights(2))
	for f.writes == 0 {
		f.now += 100 * time.Millisecond
		f.step(mulberrybeam.Tick{})
	}
}

func (f *largeFleet) publish() *mulberrybeam.Fleet {
	snapshot := &mulberrybeam.Snapshot{}
	for _, machine := range f.machines {
		machine.FillSnapshot(snapshot)
	}
	return snapshot.Fleet
}

// largeTarget returns a target. All but those of the last service are engines.
func largeTarget(number, version int) mulberrybeam.Record {
	service := number % largeServices
	target := &mulberrybeam.LiveTarget{
		ID:      mulberrybeam.InstanceID(fmt.Sprintf("target-%04d", number)),
		Service: mulberrybeam.ServiceName(fmt.Sprint("service-", service)),
		Address: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250),
		Zone:    mulberrybeam.ZoneName(fmt.Sprint("z", number%3)),
		Slots:   6, StartedAt: 1,
	}
	if service < largeServices-1 {
		target.Versions = map[mulberrybeam.ModelName]int{"m": version}
	}
	return mulberrybeam.Record{Target: target}
}

func largeDeployment(revision int) mulberrybeam.Record {
	deployment := &mulberrybeam.Deployment{Revision: mulberrybeam.Revision(revision), Pools: map[mulberrybeam.ServiceName]mulberrybeam.Pool{}}
	for i := range largeRoutes {
		deployment.Rules = append(deployment.Rules, mulberrybeam.Rule{
			Name: fmt.Sprint("r", i), Host: fmt.Sprint("host-", i%40), Prefix: fmt.Sprintf("/route/%d/", i),
		})
		if i < 200 {
			deployment.Workspaces = append(deployment.Workspaces, mulberrybeam.WorkspaceSpec{
				Name: mulberrybeam.WorkspaceName(fmt.Sprint("w", i)), Keys: []string{fmt.Sprint("key-", i)}, Isolated: i%3 == 0,
			})
		}
	}
	return mulberrybeam.Record{Deployment: deployment}
}

func largeWeights(version int) mulberrybeam.Record {
	return mulberrybeam.Record{Weights: &mulberrybeam.DesiredWeights{Model: "m", Version: version}}
}

func largeLease(first int) mulberrybeam.Record {
	lease := &mulberrybeam.LeaderLease{Holder: "h001", Version: fmt.Sprint(first)}
	for i := range largeUpgraded {
		lease.Upgraded = append(lease.Upgraded, mulberrybeam.UpgradedEngine{
			Engine: mulberrybeam.InstanceID(fmt.Sprintf("target-%04d", (first+i)*largeServices%largeTargets)), Model: "m", Version: 2,
		})
	}
	return mulberrybeam.Record{Lease: lease}
}

// BenchmarkControl measures one change with the snapshot after it, in all state
// machines of the control goroutine.
func BenchmarkControl(b *testing.B) {
	deployment := largeDeployment(2).Deployment
	prepare := map[string]func(f *largeFleet){
		"report-to-holder": (*largeFleet).holdLease,
		"target-during-upgrade": func(f *largeFleet) {
			f.change(mulberrybeam.ObjectWeights, "m", largeWeights(2))
		},
	}
	cases := []struct {
		name string
		run  func(f *largeFleet, i int)
	}{
		{"target", func(f *largeFleet, i int) {
			record := largeTarget(i/2%largeTargets, 1)
			record.Target.Draining = i%2 == 0
			f.change(mulberrybeam.ObjectTarget, string(record.Target.ID), record)
		}},
		{"entry-host", func(f *largeFleet, i int) {
			id := fmt.Sprintf("h%03d", i%largeHosts)
			f.change(mulberrybeam.ObjectHost, id, mulberrybeam.Record{Host: &mulberrybeam.EntryHost{ID: mulberrybeam.ProcessID(id), Address: fmt.Sprint("10.1.1.1:", i)}})
		}},
		{"lease", func(f *largeFleet, i int) { f.change(mulberrybeam.ObjectLease, upgrader.LeaseName, largeLease(i)) }},
		{"weights", func(f *largeFleet, i int) { f.change(mulberrybeam.ObjectWeights, "m", largeWeights(i+2)) }},
		{"configuration", func(f *largeFleet, i int) {
			next := *deployment
			next.Revision = mulberrybeam.Revision(i + 2)
			f.change(mulberrybeam.ObjectDeployment, "main", mulberrybeam.Record{Deployment: &next})
		}},
		{"confirmation", func(f *largeFleet, _ int) {
			f.step(mulberrybeam.FeedConfirmed{Kind: mulberrybeam.ObjectDeployment, SentAt: f.now})
			f.publish()
		}},
		{"tick", func(f *largeFleet, _ int) { f.step(mulberrybeam.Tick{}) }},
		{"report-to-holder", func(f *largeFleet, i int) {
			id := mulberrybeam.TargetID(fmt.Sprintf("target-%04d", i%largeTargets))
			f.step(mulberrybeam.TargetObserved{Target: id, Report: mulberrybeam.LoadReport{OrderBusy: true}})
		}},
		{"target-during-upgrade", func(f *largeFleet, i int) {
			record := largeTarget(i%largeTargets, 1+i%2)
			f.change(mulberrybeam.ObjectTarget, string(record.Target.ID), record)
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := newLargeFleet()
			if setUp := prepare[c.name]; setUp != nil {
				setUp(f)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c.run(f, i)
				i++
			}
		})
	}
}

// Guards against work for a change, or for a tick, that grows with the number of
// targets. Before the fleet was changed in parts, each of these allocated 10,000 objects.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	const most = 200
	f := newLargeFleet()
	number := 0
	for name, run := range map[string]func(){
		"tick": func() { f.step(mulberrybeam.Tick{}) },
		"target": func() {
			number++
			record := largeTarget(number%largeTargets, 1)
			f.change(mulberrybeam.ObjectTarget, string(record.Target.ID), record)
		},
		"entry host": func() {
			number++
			host := mulberrybeam.EntryHost{ID: "h007", Address: fmt.Sprint("10.1.1.1:", number)}
			f.change(mulberrybeam.ObjectHost, "h007", mulberrybeam.Record{Host: &host})
		},
	} {
		if allocations := testing.AllocsPerRun(50, run); allocations > most {
			t.Errorf("%s: %v allocations", name, allocations)
		}
	}
}
