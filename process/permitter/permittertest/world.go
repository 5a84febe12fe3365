// Package permittertest runs the machines of leases, permits and load on the
// fleet of controllertest, with targets that count their requests in flight
// truthfully and with traffic that asks for permits. It records each broken
// rule: load above the limit of a cold target, new work for a leaving one, two
// valid rights to a slot, and an epoch that goes back.
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

// Zones is the number of zones of a World.
const Zones = 3

// PerZone is the number of processes of a zone.
const PerZone = 3

// TargetsPerZone is the number of targets of a zone.
const TargetsPerZone = 4

const (
	coldLimit, warmLimit = 2, 64
	runLimit             = 20 * time.Second
)

// Target counts the requests in flight truthfully at each instant.
type Target struct {
	id        mulberrybeam.TargetID
	restarts  int
	startedAt time.Duration
	running   int
	completed int
	sequence  uint64
	// LeavingSince is 0 when the target is not leaving.
	LeavingSince time.Duration
}

func (f *Target) instance() mulberrybeam.InstanceID {
	return mulberrybeam.InstanceID(fmt.Sprintf("%s#%d", f.id, f.restarts))
}

// limit is what the present instance can bear: its cold limit until the
// warm-up has ended, and any load after it.
func (f *Target) limit(now time.Duration) int {
	if f.completed >= 16 && now-f.startedAt >= 2*time.Second {
		return math.MaxInt
	}
	return coldLimit
}

// World is a fleet with targets, traffic and the checks of its history.
type World struct {
	Fleet   *controllertest.Fleet
	Rand    *rand.Rand
	Tables  *mulberrybeam.Tables
	Targets map[mulberrybeam.TargetID]*Target
	IDs     []mulberrybeam.TargetID
	// connected is the instance that a process's connection leads to.
	connected map[connection]mulberrybeam.InstanceID
	epochs    map[mulberrybeam.Slot]held
	// Blinds keep single processes from the object API.
	Blinds map[string]*Blind
	// Faults are the broken rules that were seen.
	Faults []string
	// Granted counts the requests sent under a permit.
	Granted int
	// PauseBeforeSend may pause an owner that has given itself a permit.
	// Others' permits stay counted, and are no danger when sent late.
	PauseBeforeSend func(host string)
}

// held is the last right to a slot that was seen.
type held struct {
	epoch  mulberrybeam.Epoch
	holder mulberrybeam.ProcessID
}

type connection struct {
	process mulberrybeam.ProcessID
	target  mulberrybeam.TargetID
}

// Variant changes the processes of a World.
type Variant struct {
	Leaser []leaser.Option
	// Wrap replaces each machine.
	Wrap func(mulberrybeam.Machine) mulberrybeam.Machine
	// Unchecked senders do not check their permit before the send.
	Unchecked bool
	// Unbound senders use whatever instance they reach, as a client does
	// that dials again without a check.
	Unbound bool
	// Slow requests take about 40 s.
	Slow bool
}

// New returns a world without processes.
func New(seed uint64, v Variant) *World {
	w := &World{
		Rand:      rand.New(rand.NewPCG(seed, 99)),
		Targets:   map[mulberrybeam.TargetID]*Target{},
		connected: map[connection]mulberrybeam.InstanceID{},
		epochs:    map[mulberrybeam.Slot]held{},
		Blinds:    map[string]*Blind{},
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
		controllertest.WithBuild(func(start controllertest.Start) []mulberrybeam.Machine { return w.build(start, v) }),
		controllertest.WithObserve(w.observe),
		controllertest.WithHook(func(*controllertest.Process, mulberrybeam.Event) { w.checkRights() }),
	)
	return w
}

func (w *World) build(start controllertest.Start, v Variant) []mulberrybeam.Machine {
	self := mulberrybeam.Member{ID: start.ID, Zone: start.Zone, Address: start.Address}
	options := append([]leaser.Option{leaser.WithEncoding(Encode, Decode)}, v.Leaser...)
	machines := []mulberrybeam.Machine{
		gossiper.New(gossiper.Self{ID: start.ID, Zone: start.Zone, Address: start.Address}, gossiper.WithSeeds(seedsOf()...)),
		leaser.New(self, options...), observer.New(self), permitter.New(self),
	}
	if v.Wrap != nil {
		for i := range machines {
			machines[i] = v.Wrap(machines[i])
		}
	}
	w.Blinds[start.Name] = &Blind{Machine: machines[1]}
	machines[1] = w.Blinds[start.Name]
	w.Fleet.After(0, func() {
		w.Fleet.Post(start.Name, mulberrybeam.ConfigurationChanged{Environment: w.Tables.Environment, Tables: w.Tables})
		w.traffic(w.Fleet.Process(start.Name), v)
	})
	return machines
}

func seedsOf() []mulberrybeam.Member {
	var seeds []mulberrybeam.Member
	for _, host := range controllertest.Hosts(Zones, PerZone) {
		seeds = append(seeds, mulberrybeam.Member{Zone: host.Zone, Address: host.Address})
	}
	return seeds
}

// Encode is the encoding of slot objects.
func Encode(lease mulberrybeam.SlotLease) []byte {
	data, _ := json.Marshal(lease)
	return data
}

// Decode is the inverse of Encode.
func Decode(data []byte) (lease mulberrybeam.SlotLease, err error) {
	return lease, json.Unmarshal(data, &lease)
}

func (w *World) observe(_ *controllertest.Process, action mulberrybeam.Observe) mulberrybeam.TargetObserved {
	f := w.Targets[action.Target.ID]
	observed := mulberrybeam.TargetObserved{Target: f.id}
	f.sequence++
	observed.Report = mulberrybeam.LoadReport{Target: f.id, Instance: f.instance(), Sequence: f.sequence, Running: f.running, Leaving: f.LeavingSince > 0}
	return observed
}

// Restart starts a new instance of a target, which is cold.
func (w *World) Restart(id mulberrybeam.TargetID) {
	f := w.Targets[id]
	f.restarts++
	f.running, f.completed, f.startedAt = 0, 0, w.Fleet.Now()
}

// Fail records a broken rule.
func (w *World) Fail(format string, args ...any) {
	w.Faults = append(w.Faults, fmt.Sprintf("%v: ", w.Fleet.Now())+fmt.Sprintf(format, args...))
}

// checkRights checks that a slot has at most one valid right at the instant,
// also counting paused holders, and that epochs only rise with the holder.
func (w *World) checkRights() {
	valid := map[mulberrybeam.Slot]mulberrybeam.ProcessID{}
	for _, process := range w.Fleet.Processes() {
		if !process.Running() {
			continue
		}
		for _, right := range process.Snapshot.Rights {
			if right.Until <= process.Now() {
				continue
			}
			if other, taken := valid[right.Slot]; taken {
				w.Fail("%s and %s both have the right to %v", other, process.ID, right.Slot)
			}
			valid[right.Slot] = process.ID
			last, now := w.epochs[right.Slot], held{right.Epoch, process.ID}
			if now.epoch < last.epoch || now.epoch == last.epoch && now.holder != last.holder {
				w.Fail("epoch of %v went from %v to %v", right.Slot, last, now)
			}
			w.epochs[right.Slot] = now
		}
	}
}

// Owner returns the process with the right to a target's slot.
func (w *World) Owner(id mulberrybeam.TargetID) *controllertest.Process {
	for _, process := range w.Fleet.Processes() {
		held := slices.ContainsFunc(process.Snapshot.Rights, func(right mulberrybeam.SlotRight) bool {
			return right.Slot == w.Tables.SlotOf[id] && right.Until > process.Now()
		})
		if process.Running() && held {
			return process
		}
	}
	return nil
}

// Blind keeps the object API from one process while it is on.
type Blind struct {
	mulberrybeam.Machine
	On bool
	// Hits counts the calls that failed.
	Hits int
}

// Step fails the calls of the machine's step.
func (b *Blind) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	actions := b.Machine.Step(turn, event)
	for i, action := range actions {
		if call, ok := action.(mulberrybeam.CallObject); ok && b.On {
			b.Hits++
			actions[i] = mulberrybeam.Raise{Event: mulberrybeam.ObjectReplied{
				Ticket: call.Ticket, Err: &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown},
			}}
		}
	}
	return actions
}
