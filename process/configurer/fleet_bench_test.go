package configurer_test

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/directoryencoder"
	"mulberrybeam/process/configurer"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/gossiper"
)

// loadReporter publishes load reports for its part of the targets of a zone.
type loadReporter struct {
	targets []mulberrybeam.TargetID
	next    time.Duration
	count   uint64
	// heard has the time of the last report about each target of the zone.
	zone  mulberrybeam.ZoneName
	heard map[string]time.Duration
}

// reportInterval is the nominal interval between two polls of a target.
const reportInterval = 500 * time.Millisecond

func (r *loadReporter) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	if changed, matches := event.(mulberrybeam.FactChanged); matches && strings.HasPrefix(changed.Fact.Key, string(r.zone)+"-") {
		r.heard[changed.Fact.Key] = turn.Now
	}
	if _, ticks := event.(mulberrybeam.Tick); !ticks || turn.Now < r.next {
		return nil
	}
	r.next = turn.Now + reportInterval
	r.count++
	var actions []mulberrybeam.Action
	for _, target := range r.targets {
		actions = append(actions, mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
			Kind: mulberrybeam.FactLoad, Key: string(target), TTL: 3 * time.Second,
			Load: &mulberrybeam.LoadReport{
				Target: target, Instance: "4f1c09aa", Sequence: r.count, Lag: 300 * time.Millisecond, Running: 12, Waiting: 3,
				WeightVersions: map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{"summary": "v12"},
			},
		}}})
	}
	return actions
}

func (r *loadReporter) FillSnapshot(*mulberrybeam.Snapshot) {}

// Initial values that take five bytes each when encoded, like those of
// processes that have run for days, with 1,900 revisions per day.
const (
	firstHeartbeat = 300_000
	firstRevision  = 100_000
)

// fleetSize is the number of processes, zones and targets of a fleet.
type fleetSize struct {
	processes, zones, targets int
}

func (size fleetSize) hosts() []controllertest.Host {
	perZone := (size.processes + size.zones - 1) / size.zones
	return controllertest.Hosts(size.zones, perZone)[:size.processes]
}

func (size fleetSize) build(seed uint64) *controllertest.Fleet {
	perZone := (size.processes + size.zones - 1) / size.zones
	started := map[mulberrybeam.ZoneName]int{}
	fleet := controllertest.New(controllertest.WithSeed(seed), controllertest.WithMachineFactory(
		func(start controllertest.StartInfo) []mulberrybeam.StateMachine {
			self := gossiper.LocalMember{ID: start.ID, Zone: start.Zone, Address: start.Address}
			reports := &loadReporter{zone: start.Zone, heard: map[string]time.Duration{}}
			for i := started[start.Zone]; i < size.targets/size.zones; i += perZone {
				reports.targets = append(reports.targets, mulberrybeam.TargetID(fmt.Sprintf("%s-engine-%03d", start.Zone, i)))
			}
			started[start.Zone]++
			return []mulberrybeam.StateMachine{
				reports,
				gossiper.New(self, gossiper.WithHeartbeat(firstHeartbeat), gossiper.WithDirectory(directoryencoder.Encode, directoryencoder.Decode)),
				configurer.New(self, environmentName, parse),
			}
		}))
	fleet.Platform.Put(mulberrybeam.ObjectEnvironment, environmentName, document(firstRevision))
	fleet.Start(size.hosts()...)
	return fleet
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkFleet reports the cost of the control state machines per process and
// second of virtual time: bytes and messages sent and received (the bytes also
// of the busiest process), bytes exchanged with the object API, CPU time
// including encoding, and memory per process. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []fleetSize{{9, 3, 0}, {9, 3, 20}, {54, 1, 0}, {54, 1, 91}, {380, 7, 0}, {380, 7, 640}} {
		b.Run(fmt.Sprintf("processes=%d/targets=%d", size.processes, size.targets), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size fleetSize) {
	const (
		warmUp = 30 * time.Second
		period = 30 * time.Second
	)
	before := heapBytes()
	fleet := size.build(1)
	fleet.Run(warmUp)
	start := trafficTotals(fleet)
	used := cpuTime()
	fleet.Run(period)
	used = cpuTime() - used
	var sum, busiest, messages, objectBytes float64
	for i, traffic := range trafficTotals(fleet) {
		bytes := float64(traffic.SentBytes + traffic.ReceivedBytes - start[i].SentBytes - start[i].ReceivedBytes)
		sum += bytes
		busiest = max(busiest, bytes)
		messages += float64(traffic.Sent + traffic.Received - start[i].Sent - start[i].Received)
		objectBytes += float64(traffic.ObjectBytes - start[i].ObjectBytes)
	}
	processSeconds := period.Seconds() * float64(size.processes)
	if size.targets > 0 {
		b.ReportMetric(100*freshReportShare(fleet, size, 3*time.Second), "%reports-3s")
		b.ReportMetric(100*freshReportShare(fleet, size, 10*time.Second), "%reports-10s")
	}
	b.ReportMetric(sum/processSeconds, "B/s")
	b.ReportMetric(busiest/period.Seconds(), "busiest-B/s")
	b.ReportMetric(messages/processSeconds, "messages/s")
	b.ReportMetric(objectBytes/processSeconds, "object-B/s")
	b.ReportMetric(100*used.Seconds()/processSeconds, "%core")
	b.ReportMetric((heapBytes()-before)/float64(size.processes)/1e6, "MB")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(fleet)
}

// freshReportShare returns the fraction of the targets of its zone about which
// a process has received a report within a given time, averaged over all
// processes. Without a report for 3 s, a target counts as cold.
func freshReportShare(fleet *controllertest.Fleet, size fleetSize, within time.Duration) float64 {
	fresh := 0
	for _, process := range fleet.Processes() {
		for _, heard := range process.Machines[0].(*loadReporter).heard {
			if process.Now()-heard <= within {
				fresh++
			}
		}
	}
	return float64(fresh) / float64(size.processes) / float64(size.targets/size.zones)
}

func trafficTotals(fleet *controllertest.Fleet) []controllertest.Traffic {
	var list []controllertest.Traffic
	for _, process := range fleet.Processes() {
		list = append(list, process.Traffic)
	}
	return list
}

// BenchmarkRevision reports the time in seconds until a new revision is in
// force at all processes, for the slowest of five revisions.
func BenchmarkRevision(b *testing.B) {
	for _, size := range []fleetSize{{9, 3, 20}, {380, 7, 640}} {
		b.Run(fmt.Sprintf("processes=%d", size.processes), func(b *testing.B) {
			for b.Loop() {
				fleet := size.build(2)
				fleet.Run(30 * time.Second)
				var slowest time.Duration
				for revision := firstRevision + 1; revision <= firstRevision+5; revision++ {
					began := fleet.Now()
					fleet.Platform.Put(mulberrybeam.ObjectEnvironment, environmentName, document(revision))
					if !fleet.RunUntil(inForceLimit, func() bool { return inForce(fleet, mulberrybeam.Revision(revision)) }) {
						b.Fatalf("revision %d is not in force after %v", revision, inForceLimit)
					}
					slowest = max(slowest, fleet.Now()-began)
				}
				b.ReportMetric(slowest.Seconds(), "slowest-s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func inForce(fleet *controllertest.Fleet, revision mulberrybeam.Revision) bool {
	for _, process := range fleet.Processes() {
		if revisionOf(process) != revision {
			return false
		}
	}
	return true
}
