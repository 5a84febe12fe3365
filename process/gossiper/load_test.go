package gossiper_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/directoryencoder"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/gossiper"
	"mulberrybeam/process/observer"
)

const (
	// pollInterval is the time between two polls of a target. Each poll of a
	// busy target finds another load.
	pollInterval = 500 * time.Millisecond
	// instanceID has the length of the instance IDs of engines.
	instanceID = "0a5e2c88-6f7b-4d0e-9c39-3f1f6d1c2b7a"
)

// loadReporter publishes the loads of its targets and records when it learns
// those of all others.
type loadReporter struct {
	targets []mulberrybeam.TargetID
	nextAt  time.Duration
	count   uint64
	heardAt map[string]time.Duration
}

func (r *loadReporter) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	if changed, ok := event.(mulberrybeam.FactChanged); ok && changed.Fact.Load != nil {
		r.heardAt[changed.Fact.Key] = turn.Now
	}
	if _, tick := event.(mulberrybeam.Tick); !tick || turn.Now < r.nextAt {
		return nil
	}
	r.nextAt = turn.Now + pollInterval
	r.count++
	var actions []mulberrybeam.Action
	for _, target := range r.targets {
		actions = append(actions, mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Local: true, Fact: mulberrybeam.Fact{
			Kind: mulberrybeam.FactLoad, Key: string(target), TTL: 10 * time.Second,
			Load: &mulberrybeam.LoadReport{Target: target, Instance: instanceID, Sequence: r.count, Running: int(r.count % 7)},
		}}})
	}
	return actions
}

func (*loadReporter) FillSnapshot(*mulberrybeam.Snapshot) {}

// Guards against load reports of other zones that are older than the limit at
// which a target counts as silent. A silent target counts as cold, so that each
// request to it first needs a permit from a process in that zone.
func TestLoadReportsOfOtherZonesStayFresh(t *testing.T) {
	for _, size := range []struct{ hosts, targets int }{{2, 3}, {3, 6}} {
		t.Run(fmt.Sprintf("%d hosts and %d targets in each zone", size.hosts, size.targets), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			reporters := map[string]*loadReporter{}
			started := map[mulberrybeam.ZoneName]int{}
			fleet := controllertest.New(controllertest.WithSeed(31), controllertest.WithMachineFactory(
				func(start controllertest.StartInfo) []mulberrybeam.StateMachine {
					reporter := &loadReporter{heardAt: map[string]time.Duration{}}
					for i := started[start.Zone]; i < size.targets; i += size.hosts {
						reporter.targets = append(reporter.targets, mulberrybeam.TargetID(fmt.Sprintf("%s-engine-%d", start.Zone, i)))
					}
					started[start.Zone]++
					reporters[start.Name] = reporter
					self := gossiper.LocalMember{ID: start.ID, Zone: start.Zone, Address: start.Address}
					return []mulberrybeam.StateMachine{
						reporter, gossiper.New(self, gossiper.WithDirectory(directoryencoder.Encode, directoryencoder.Decode)),
					}
				}))
			fleet.Start(controllertest.Hosts(3, size.hosts)...)
			fleet.Run(time.Minute)
			silentAfter := observer.DefaultTiming().SilentAfter
			oldest := time.Duration(0)
			for range 600 {
				fleet.Run(100 * time.Millisecond)
				for _, process := range fleet.Processes() {
					heard := reporters[process.Name].heardAt
					is.Equal(len(heard), 3*size.targets)
					for target, at := range heard {
						if !strings.HasPrefix(target, string(process.Zone)+"-") {
							oldest = max(oldest, process.Now()-at)
						}
					}
				}
			}
			t.Log("oldest report of a target in another zone:", oldest)
			is.True(oldest < silentAfter)
		})
	}
}
