// Package controllertest simulates the state machines of many entry processes
// in virtual time, over a simulated network and a simulated object API. All
// random decisions derive from one seed: two runs with the same seed and the
// same calls take the same steps.
//
// A test creates a Fleet, injects faults, advances time with Run, and checks
// the processes in a hook after each step. FaultCount counts how often a fault took
// effect, so that a test can assert that it was triggered.
package controllertest

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"mulberrybeam"
)

// Fault identifies a kind of fault that the simulation can inject.
type Fault string

// Kinds of faults.
const (
	FaultLoss         Fault = "message lost"
	FaultLinkCut      Fault = "network link cut"
	FaultProcessDown  Fault = "peer process not running"
	FaultPaused       Fault = "event delayed by a paused process"
	FaultPlatformDown Fault = "platform down"
	FaultPlatformSlow Fault = "platform slow"
	FaultPlatformCut  Fault = "zone cut off from platform"
	FaultAnswerLost   Fault = "platform answer lost"
)

// Host is a machine on which one process runs at a time.
type Host struct {
	Name    string
	Zone    mulberrybeam.ZoneName
	Address string
}

// StartInfo holds the host and the ID of a process that is being started.
type StartInfo struct {
	Host
	ID mulberrybeam.ProcessID
}

// MachineFactory returns the state machines of a process, in the order in which they
// receive each event.
type MachineFactory func(StartInfo) []mulberrybeam.StateMachine

// Fleet simulates a set of entry processes. It is not safe for concurrent use.
type Fleet struct {
	Network  Network
	Platform *Platform

	seed        uint64
	rand        *rand.Rand
	now         time.Duration
	queue       timers
	sequence    uint64
	build       MachineFactory
	observe     func(*Process, mulberrybeam.Observe) mulberrybeam.TargetObserved
	hooks       []func(*Process, mulberrybeam.Event)
	onNote      func(*Process, mulberrybeam.Entry)
	processes   map[string]*Process
	hostNames   []string
	byAddress   map[string]string
	startCounts map[string]int
	clocks      map[string]hostClock
	pending     map[mulberrybeam.Ticket]pendingCall
	lastTicket  mulberrybeam.Ticket
	hits        map[Fault]int
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithSeed sets the seed of all random decisions.
func WithSeed(seed uint64) Option { return func(f *Fleet) { f.seed = seed } }

// WithMachineFactory sets the function that creates the state machines of each process.
func WithMachineFactory(build MachineFactory) Option { return func(f *Fleet) { f.build = build } }

// WithObserveFunc sets the function that handles Observe actions. By default they
// return an error.
func WithObserveFunc(observe func(*Process, mulberrybeam.Observe) mulberrybeam.TargetObserved) Option {
	return func(f *Fleet) { f.observe = observe }
}

// WithHook adds a function that runs after each step of a process, with the
// event that caused the step. Events raised by the machines are handled within
// the same step.
func WithHook(hook func(*Process, mulberrybeam.Event)) Option {
	return func(f *Fleet) { f.hooks = append(f.hooks, hook) }
}

// WithNoteFunc sets the function that receives the timeline entries.
func WithNoteFunc(onNote func(*Process, mulberrybeam.Entry)) Option {
	return func(f *Fleet) { f.onNote = onNote }
}

// New returns a fleet without processes.
func New(options ...Option) *Fleet {
	fleet := &Fleet{
		Network:     newNetwork(),
		seed:        1,
		build:       func(StartInfo) []mulberrybeam.StateMachine { return nil },
		onNote:      func(*Process, mulberrybeam.Entry) {},
		processes:   map[string]*Process{},
		byAddress:   map[string]string{},
		startCounts: map[string]int{},
		clocks:      map[string]hostClock{},
		pending:     map[mulberrybeam.Ticket]pendingCall{},
		hits:        map[Fault]int{},
	}
	fleet.observe = func(_ *Process, observe mulberrybeam.Observe) mulberrybeam.TargetObserved {
		return mulberrybeam.TargetObserved{Target: observe.Target.ID, Err: newFailure(mulberrybeam.CodeTargetFailed, "no observe function is configured")}
	}
	for _, option := range options {
		option(fleet)
	}
	fleet.rand = rand.New(rand.NewPCG(fleet.seed, 0))
	fleet.Platform = newPlatform(fleet)
	return fleet
}

// Now returns the virtual time since the fleet was created. The clocks of the
// processes differ from it by their start times and their drift.
func (f *Fleet) Now() time.Duration { return f.now }

// FaultCount returns how often a fault took effect.
func (f *Fleet) FaultCount(fault Fault) int { return f.hits[fault] }

// Hosts returns perZone hosts for each of the given number of zones. Zones are
// named "z1", "z2" and so on, hosts "z1h1", "z1h2" and so on; all addresses are
// distinct.
func Hosts(zones, perZone int) []Host {
	var hosts []Host
	for zone := 1; zone <= zones; zone++ {
		for number := 1; number <= perZone; number++ {
			hosts = append(hosts, Host{
				Name:    fmt.Sprintf("z%dh%d", zone, number),
				Zone:    mulberrybeam.ZoneName(fmt.Sprintf("z%d", zone)),
				Address: fmt.Sprintf("10.0.%d.%d:7400", zone, number),
			})
		}
	}
	return hosts
}

// Start starts a process on each host. The first ticks are spread randomly over
// one tick interval.
func (f *Fleet) Start(hosts ...Host) {
	for _, host := range hosts {
		if _, known := f.processes[host.Name]; !known {
			f.hostNames = append(f.hostNames, host.Name)
		}
		f.byAddress[host.Address] = host.Name
		f.startCounts[host.Name]++
		f.processes[host.Name] = f.newProcess(host)
	}
}

// Process returns the process most recently started on a host.
func (f *Fleet) Process(host string) *Process { return f.processes[host] }

// Processes returns the process most recently started on each host, in the
// order in which the hosts were first started.
func (f *Fleet) Processes() []*Process {
	processes := make([]*Process, len(f.hostNames))
	for i, name := range f.hostNames {
		processes[i] = f.processes[name]
	}
	return processes
}

// Kill stops the process of a host abruptly, as a crash does.
func (f *Fleet) Kill(host string) { f.processes[host].stop() }

// Restart stops the process of a host, if it is running, and starts another one
// with a new incarnation in its ID. The host must have been started before.
func (f *Fleet) Restart(host string) {
	old := f.processes[host]
	old.stop()
	f.Start(old.Host)
}

// Pause suspends the process of a host, as the operating system might: its
// clocks keep running, and its events are queued.
func (f *Fleet) Pause(host string) { f.processes[host].paused = true }

// Resume resumes a paused process, which first handles its queued events.
func (f *Fleet) Resume(host string) { f.processes[host].resume() }

// SetDrift makes the clocks of a host run faster by the given fraction (0.01 is
// 1 % fast) and offsets its wall clock by skew.
func (f *Fleet) SetDrift(host string, drift float64, skew time.Duration) {
	if process := f.processes[host]; process != nil {
		process.rebase()
	}
	f.clocks[host] = hostClock{drift: drift, skew: skew}
}

// Post delivers an event to the process of a host.
func (f *Fleet) Post(host string, event mulberrybeam.Event) { f.processes[host].deliver(event) }

// Ask delivers a message to the process of a host as if it came from the
// process itself or from a peer outside the fleet, and calls answered with the
// reply, if there is one.
func (f *Fleet) Ask(host string, from mulberrybeam.ProcessID, message mulberrybeam.Message, onReply func(mulberrybeam.Message)) {
	f.lastTicket++
	f.pending[f.lastTicket] = pendingCall{onReply: onReply}
	f.Post(host, mulberrybeam.MessageReceived{From: from, Message: message, Ticket: f.lastTicket})
}

// After schedules a function to run after a delay in virtual time.
func (f *Fleet) After(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, timer{at: f.now + max(delay, 0), sequence: f.sequence, run: run})
}

// Run advances the virtual time by a duration.
func (f *Fleet) Run(duration time.Duration) {
	f.RunUntil(duration, func() bool { return false })
}

// RunUntil advances the virtual time until done returns true, checking it after
// each timer, and reports whether that happened within the limit.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) bool {
	end := f.now + limit
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(timer)
		f.now = next.at
		next.run()
		if done() {
			return true
		}
	}
	f.now = end
	return done()
}

func (f *Fleet) countHit(fault Fault) { f.hits[fault]++ }

func (f *Fleet) randomDelay(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(f.rand.Int64N(int64(maximum-minimum)+1))
}

func (f *Fleet) newRand(id mulberrybeam.ProcessID) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(f.seed, hash.Sum64()))
}

func newFailure(code mulberrybeam.Code, message string) error {
	step := mulberrybeam.StepPeer
	if code == mulberrybeam.CodePlatformDown || code == mulberrybeam.CodeConflict || code == mulberrybeam.CodeExists || code == mulberrybeam.CodeNotFound {
		step = mulberrybeam.StepPlatform
	}
	return &mulberrybeam.Failure{Code: code, Step: step, Message: message}
}

type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}
