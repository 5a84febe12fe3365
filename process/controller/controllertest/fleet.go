// Package controllertest runs the control machines of many entry processes in
// virtual time, over a faked network and a faked object API, all driven by one
// seeded random source. Two runs with the same seed and the same calls take
// the same steps.
//
// A test builds a Fleet, injects faults, advances time with Run, and checks
// the processes in a hook after each step. Hits tells how often a fault took
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

// Fault names a fault that the harness injects.
type Fault string

// Faults.
const (
	FaultLoss         Fault = "message lost"
	FaultCut          Fault = "link cut"
	FaultDead         Fault = "peer dead"
	FaultPaused       Fault = "event held back by a pause"
	FaultPlatformDown Fault = "platform down"
	FaultPlatformSlow Fault = "platform slow"
	FaultPlatformCut  Fault = "zone cut from platform"
	FaultAnswerLost   Fault = "platform answer lost"
)

// Host is a machine on which one process runs at a time.
type Host struct {
	Name    string
	Zone    mulberrybeam.ZoneName
	Address string
}

// Start is what a process knows when it starts.
type Start struct {
	Host
	ID mulberrybeam.ProcessID
}

// Build returns the machines of a process, in the order in which they get
// each event.
type Build func(Start) []mulberrybeam.Machine

// Fleet runs the processes. It is not safe for concurrent use.
type Fleet struct {
	Network  Network
	Platform *Platform

	seed      uint64
	rand      *rand.Rand
	now       time.Duration
	queue     timers
	sequence  uint64
	build     Build
	observe   func(*Process, mulberrybeam.Observe) mulberrybeam.TargetObserved
	hooks     []func(*Process, mulberrybeam.Event)
	notes     func(*Process, mulberrybeam.Entry)
	processes map[string]*Process
	order     []string
	byAddress map[string]string
	starts    map[string]int
	clocks    map[string]hostClock
	pending   map[mulberrybeam.Ticket]pendingCall
	tickets   mulberrybeam.Ticket
	hits      map[Fault]int
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithSeed sets the seed of all random decisions.
func WithSeed(seed uint64) Option { return func(f *Fleet) { f.seed = seed } }

// WithBuild sets the machines of each process.
func WithBuild(build Build) Option { return func(f *Fleet) { f.build = build } }

// WithObserve answers Observe actions. Without it they get an error.
func WithObserve(observe func(*Process, mulberrybeam.Observe) mulberrybeam.TargetObserved) Option {
	return func(f *Fleet) { f.observe = observe }
}

// WithHook adds a function that runs after each step of a process, with the
// event of the step. Events that machines raised do not count as steps.
func WithHook(hook func(*Process, mulberrybeam.Event)) Option {
	return func(f *Fleet) { f.hooks = append(f.hooks, hook) }
}

// WithNotes receives the time line entries.
func WithNotes(notes func(*Process, mulberrybeam.Entry)) Option {
	return func(f *Fleet) { f.notes = notes }
}

// New returns a fleet without processes.
func New(options ...Option) *Fleet {
	fleet := &Fleet{
		Network:   newNetwork(),
		seed:      1,
		build:     func(Start) []mulberrybeam.Machine { return nil },
		notes:     func(*Process, mulberrybeam.Entry) {},
		processes: map[string]*Process{},
		byAddress: map[string]string{},
		starts:    map[string]int{},
		clocks:    map[string]hostClock{},
		pending:   map[mulberrybeam.Ticket]pendingCall{},
		hits:      map[Fault]int{},
	}
	fleet.observe = func(_ *Process, observe mulberrybeam.Observe) mulberrybeam.TargetObserved {
		return mulberrybeam.TargetObserved{Target: observe.Target.ID, Err: failure(mulberrybeam.CodeTargetFailed, "no target is faked")}
	}
	for _, option := range options {
		option(fleet)
	}
	fleet.rand = rand.New(rand.NewPCG(fleet.seed, 0))
	fleet.Platform = newPlatform(fleet)
	return fleet
}

// Now is the virtual time since the fleet was built. The processes' own
// clocks differ from it by their start and their drift.
func (f *Fleet) Now() time.Duration { return f.now }

// Hits counts how often a fault took effect.
func (f *Fleet) Hits(fault Fault) int { return f.hits[fault] }

// Hosts returns zones × perZone hosts with names such as "z1h2", zones "z1"
// onwards and distinct addresses.
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

// Start starts a process on each host. Their first ticks are spread over
// 100 ms.
func (f *Fleet) Start(hosts ...Host) {
	for _, host := range hosts {
		if _, known := f.processes[host.Name]; !known {
			f.order = append(f.order, host.Name)
		}
		f.byAddress[host.Address] = host.Name
		f.starts[host.Name]++
		f.processes[host.Name] = f.newProcess(host)
	}
}

// Process returns the latest process of a host.
func (f *Fleet) Process(host string) *Process { return f.processes[host] }

// Processes returns the latest process of each host in the order of their
// first start.
func (f *Fleet) Processes() []*Process {
	processes := make([]*Process, len(f.order))
	for i, name := range f.order {
		processes[i] = f.processes[name]
	}
	return processes
}

// Kill ends a process without notice.
func (f *Fleet) Kill(host string) { f.processes[host].stop() }

// Restart starts a new process with a new incarnation on the host, which must
// have been started before, and ends the old one if it runs.
func (f *Fleet) Restart(host string) {
	old := f.processes[host]
	old.stop()
	f.Start(old.Host)
}

// Pause stops a process from taking steps. Its clocks go on and its events
// wait, as when the operating system suspends it.
func (f *Fleet) Pause(host string) { f.processes[host].paused = true }

// Resume lets a paused process go on with the events that waited.
func (f *Fleet) Resume(host string) { f.processes[host].resume() }

// SetDrift makes a host's clocks run faster by the ratio, and sets its wall
// clock off by skew.
func (f *Fleet) SetDrift(host string, ratio float64, skew time.Duration) {
	if process := f.processes[host]; process != nil {
		process.rebase()
	}
	f.clocks[host] = hostClock{ratio: ratio, skew: skew}
}

// Post gives an event to a process.
func (f *Fleet) Post(host string, event mulberrybeam.Event) { f.processes[host].deliver(event) }

// Ask gives a process a message as if its own traffic or an outside peer had
// sent it, and calls answered with the reply, if one comes.
func (f *Fleet) Ask(host string, from mulberrybeam.ProcessID, message mulberrybeam.Message, answered func(mulberrybeam.Message)) {
	f.tickets++
	f.pending[f.tickets] = pendingCall{answered: answered}
	f.Post(host, mulberrybeam.MessageReceived{From: from, Message: message, Ticket: f.tickets})
}

// After runs a function at a later time of the fleet.
func (f *Fleet) After(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, timer{at: f.now + max(delay, 0), sequence: f.sequence, run: run})
}

// Run advances the fleet by a duration.
func (f *Fleet) Run(duration time.Duration) {
	f.RunUntil(duration, func() bool { return false })
}

// RunUntil advances the fleet until done holds after a step, and returns
// whether it did within the limit.
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

func (f *Fleet) hit(fault Fault) { f.hits[fault]++ }

func (f *Fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rand.Int64N(int64(high-low)+1))
}

func (f *Fleet) randOf(id mulberrybeam.ProcessID) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(f.seed, hash.Sum64()))
}

func failure(code mulberrybeam.Code, message string) error {
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
