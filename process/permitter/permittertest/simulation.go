// Package permittertest simulates the state machines of leases, permits and load
// observation on the fleet of controllertest, with targets that report their
// requests in flight accurately and traffic that asks for permits. It records
// violations of the invariants: no load above the limit of a cold target, no new
// requests for a leaving target, at most one holder of a slot at a time, and no
// epoch that decreases.
package permittertest

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/controller/controllertest"
	"mulberrybeam/process/gossiper"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/observer"
	"mulberrybeam/process/permitter"
	"mulberrybeam/version/compiler"
)

// Zones is the number of zones in a Simulation.
const Zones = 3

// ProcessesPerZone is the number of processes per zone.
const ProcessesPerZone = 3

// TargetsPerZone is the number of targets per zone.
const TargetsPerZone = 4

const (
	coldLimit, warmLimit = 2, 64
	runLimit             = 20 * time.Second
)

// Target is a simulated target with an accurate count of requests in flight.
type Target struct {
	id        mulberrybeam.TargetID
	restarts  int
	startedAt time.Duration
	running   int
	completed int
	sequence  uint64
	// LeavingSince is when the target began to leave, 0 if it is not leaving.
	LeavingSince time.Duration
}

// instance returns the ID of the current instance.
func (t *Target) instance() mulberrybeam.InstanceID {
	return mulberrybeam.InstanceID(fmt.Sprintf("%s#%d", t.id, t.restarts))
}

// limit returns the maximum number of requests in flight at the current
// instance: the cold limit until the warm-up has ended, no limit afterwards.
func (t *Target) limit(now time.Duration) int {
	if t.completed >= 16 && now-t.startedAt >= 2*time.Second {
		return math.MaxInt
	}
	return coldLimit
}

// Simulation is a simulated fleet with targets and traffic that checks the invariants.
type Simulation struct {
	Fleet   *controllertest.Fleet
	Rand    *rand.Rand
	Tables  *mulberrybeam.Tables
	Targets map[mulberrybeam.TargetID]*Target
	IDs     []mulberrybeam.TargetID
	// connectedTo is the instance that each connection leads to.
	connectedTo map[connection]mulberrybeam.InstanceID
	lastHolders map[mulberrybeam.Slot]slotHolder
	// PlatformCuts cut single processes off from the object API, by host.
	PlatformCuts map[string]*PlatformCut
	// Violations describes the violations found so far.
	Violations []string
	// Granted is the number of requests sent after a permit was granted or
	// the owner replied that the target is warm.
	Granted int
	// PauseBeforeSend, if set, is called when an owner has granted itself a
	// permit, and may pause it before it sends the request. Permits of other
	// processes stay counted at the owner, so a late send does no harm.
	PauseBeforeSend func(host string)
}

// slotHolder is the last valid ownership of a slot seen by the checks.
type slotHolder struct {
	epoch  mulberrybeam.Epoch
	holder mulberrybeam.ProcessID
}

// connection identifies the connection of a process to a target.
type connection struct {
	process mulberrybeam.ProcessID
	target  mulberrybeam.TargetID
}

// Variant configures the processes and the traffic of a Simulation.
type Variant struct {
	// Leaser holds additional options of each process's leaser.
	Leaser []leaser.Option
	// Wrap, if set, wraps each state machine.
	Wrap func(mulberrybeam.StateMachine) mulberrybeam.StateMachine
	// SkipPermitCheck makes senders skip the check that their permit is still
	// valid before they send.
	SkipPermitCheck bool
	// SkipInstanceCheck makes senders use any instance that they reach, like a client
	// that reconnects without checking the instance.
	SkipInstanceCheck bool
	// SlowRequests makes each request take about 40 s longer.
	SlowRequests bool
}

// New returns a Simulation whose processes are not started yet.
func New(seed uint64, v Variant) *Simulation {
	w := &Simulation{
		Rand:         rand.New(rand.NewPCG(seed, 99)),
		Targets:      map[mulberrybeam.TargetID]*Target{},
		connectedTo:  map[connection]mulberrybeam.InstanceID{},
		lastHolders:  map[mulberrybeam.Slot]slotHolder{},
		PlatformCuts: map[string]*PlatformCut{},
	}
	environment := &mulberrybeam.Environment{
		Regions: []mulberrybeam.Region{{Name: "r"}},
		Limits:  mulberrybeam.Limits{RequestTimeout: runLimit},
	}
	for number := range Zones {
		zone := mulberrybeam.ZoneName(fmt.Sprintf("z%d", number+1))
		environment.Regions[0].Zones = append(environment.Regions[0].Zones, mulberrybeam.Zone{Name: zone, State: mulberrybeam.ZoneIn, Slots: 3})
		group := mulberrybeam.EngineGroup{Name: "g" + string(zone), Zone: zone, ColdLimit: coldLimit, WarmLimit: warmLimit}
		for i := range TargetsPerZone {
			id := mulberrybeam.TargetID(fmt.Sprintf("%s-t%d", zone, i))
			group.Targets = append(group.Targets, mulberrybeam.TargetAddress{ID: id})
			w.Targets[id] = &Target{id: id}
			w.IDs = append(w.IDs, id)
		}
		environment.EngineGroups = append(environment.EngineGroups, group)
	}
	w.Tables = compiler.Compile(environment)
	w.Fleet = controllertest.New(
		controllertest.WithSeed(seed),
		controllertest.WithMachineFactory(func(start controllertest.StartInfo) []mulberrybeam.StateMachine { return w.build(start, v) }),
		controllertest.WithObserveFunc(w.observe),
		controllertest.WithHook(func(*controllertest.Process, mulberrybeam.Event) { w.checkOwnership() }),
	)
	return w
}

// build returns the state machines of a process and starts its traffic.
func (w *Simulation) build(start controllertest.StartInfo, v Variant) []mulberrybeam.StateMachine {
	self := mulberrybeam.Member{ID: start.ID, Zone: start.Zone, Address: start.Address}
	options := append([]leaser.Option{leaser.WithEncoding(Encode, Decode)}, v.Leaser...)
	machines := []mulberrybeam.StateMachine{
		gossiper.New(gossiper.LocalMember{ID: start.ID, Zone: start.Zone, Address: start.Address}, gossiper.WithSeeds(gossipSeeds()...)),
		leaser.New(self, options...), observer.New(self), permitter.New(self),
	}
	if v.Wrap != nil {
		for i := range machines {
			machines[i] = v.Wrap(machines[i])
		}
	}
	w.PlatformCuts[start.Name] = &PlatformCut{StateMachine: machines[1]}
	machines[1] = w.PlatformCuts[start.Name]
	w.Fleet.After(0, func() {
		w.Fleet.Post(start.Name, mulberrybeam.ConfigurationChanged{Environment: w.Tables.Environment, Tables: w.Tables})
		w.traffic(w.Fleet.Process(start.Name), v)
	})
	return machines
}

// gossipSeeds returns the gossip seeds: all hosts of the fleet.
func gossipSeeds() []mulberrybeam.Member {
	var seeds []mulberrybeam.Member
	for _, host := range controllertest.Hosts(Zones, ProcessesPerZone) {
		seeds = append(seeds, mulberrybeam.Member{Zone: host.Zone, Address: host.Address})
	}
	return seeds
}

// Encode encodes the lease in a slot object.
func Encode(lease mulberrybeam.SlotLease) []byte {
	data, _ := json.Marshal(lease)
	return data
}

// Decode decodes the lease in a slot object.
func Decode(data []byte) (lease mulberrybeam.SlotLease, err error) {
	return lease, json.Unmarshal(data, &lease)
}

// observe answers a poll of a target's load.
func (w *Simulation) observe(_ *controllertest.Process, action mulberrybeam.Observe) mulberrybeam.TargetObserved {
	target := w.Targets[action.Target.ID]
	observed := mulberrybeam.TargetObserved{Target: target.id}
	target.sequence++
	observed.Report = mulberrybeam.LoadReport{Target: target.id, Instance: target.instance(), Sequence: target.sequence, Running: target.running, Leaving: target.LeavingSince > 0}
	return observed
}

// Restart replaces the instance of a target by a new, cold one.
func (w *Simulation) Restart(id mulberrybeam.TargetID) {
	target := w.Targets[id]
	target.restarts++
	target.running, target.completed, target.startedAt = 0, 0, w.Fleet.Now()
}

// AddViolation records a violation.
func (w *Simulation) AddViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", w.Fleet.Now())+fmt.Sprintf(format, args...))
}

// checkOwnership checks that each slot has at most one holder at the current
// time, including paused processes, and that the epoch of a slot never decreases
// and increases whenever the holder changes.
func (w *Simulation) checkOwnership() {
	valid := map[mulberrybeam.Slot]mulberrybeam.ProcessID{}
	for _, process := range w.Fleet.Processes() {
		if !process.Running() {
			continue
		}
		for _, ownership := range process.Snapshot.OwnedSlots {
			if ownership.Until <= process.Now() {
				continue
			}
			if other, taken := valid[ownership.Slot]; taken {
				w.AddViolation("%s and %s both hold %v", other, process.ID, ownership.Slot)
			}
			valid[ownership.Slot] = process.ID
			last, now := w.lastHolders[ownership.Slot], slotHolder{ownership.Epoch, process.ID}
			if now.epoch < last.epoch || now.epoch == last.epoch && now.holder != last.holder {
				w.AddViolation("epoch and holder of %v changed from %v to %v", ownership.Slot, last, now)
			}
			w.lastHolders[ownership.Slot] = now
		}
	}
}

// Owner returns the running process that holds a target's slot, or nil.
func (w *Simulation) Owner(id mulberrybeam.TargetID) *controllertest.Process {
	for _, process := range w.Fleet.Processes() {
		holdsSlot := slices.ContainsFunc(process.Snapshot.OwnedSlots, func(ownership mulberrybeam.SlotOwnership) bool {
			return ownership.Slot == w.Tables.SlotOf[id] && ownership.Until > process.Now()
		})
		if process.Running() && holdsSlot {
			return process
		}
	}
	return nil
}

// PlatformCut wraps a state machine and fails its calls of the object API while Active is
// set.
type PlatformCut struct {
	mulberrybeam.StateMachine
	Active bool
	// FailedCalls is the number of calls that failed.
	FailedCalls int
}

// Step runs the wrapped machine and replaces its calls by failed replies.
func (b *PlatformCut) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	actions := b.StateMachine.Step(turn, event)
	for i, action := range actions {
		if call, ok := action.(mulberrybeam.CallObject); ok && b.Active {
			b.FailedCalls++
			actions[i] = mulberrybeam.EmitEvent{Event: mulberrybeam.ObjectReplied{
				Ticket: call.Ticket, Err: &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown},
			}}
		}
	}
	return actions
}
