package controllertest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mulberrybeam"
)

const (
	// tickInterval is the period of Tick events, by the clock of the process.
	tickInterval = 100 * time.Millisecond
	// maxStepEvents limits the events handled in one step, so that machines
	// that raise events in an endless loop fail instead of hanging the test.
	maxStepEvents = 100_000
)

// epoch is the wall-clock time at which each fleet starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type hostClock struct {
	drift float64
	skew  time.Duration
}

// Traffic counts the messages and object API calls of a process. SentBytes and
// ReceivedBytes are the sizes of the encoded messages, including
// MessageOverhead for each. ObjectBytes is the size of the object data sent and
// received, in the base64 encoding of the object API.
type Traffic struct {
	Sent, Received           int
	SentBytes, ReceivedBytes int
	ObjectBytes              int
	ObjectCalls              map[mulberrybeam.ObjectOp]int
	Steps                    int
}

// Process is one run of an entry process on a host.
type Process struct {
	StartInfo
	Machines []mulberrybeam.StateMachine
	// Snapshot is the most recently published snapshot.
	Snapshot mulberrybeam.Snapshot
	Traffic  Traffic

	fleet     *Fleet
	rand      *rand.Rand
	running   bool
	paused    bool
	inbox     []mulberrybeam.Event
	baseLocal time.Duration
	baseFleet time.Duration
}

func (f *Fleet) newProcess(host Host) *Process {
	id := mulberrybeam.ProcessID(fmt.Sprintf("%s/%08x", host.Name, f.startCounts[host.Name]))
	process := &Process{
		StartInfo: StartInfo{Host: host, ID: id},
		Traffic:   Traffic{ObjectCalls: map[mulberrybeam.ObjectOp]int{}},
		fleet:     f,
		rand:      f.newRand(id),
		running:   true,
		baseFleet: f.now,
	}
	process.Machines = f.build(process.StartInfo)
	f.After(f.randomDelay(0, tickInterval), process.tick)
	return process
}

// Running reports whether the process has been neither killed nor replaced.
func (p *Process) Running() bool { return p.running }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Now returns the monotonic time since the process started, by its own clock.
func (p *Process) Now() time.Duration {
	elapsed := p.fleet.now - p.baseFleet
	return p.baseLocal + elapsed + time.Duration(float64(elapsed)*p.fleet.clocks[p.Name].drift)
}

// WallTime returns the time of the process's wall clock.
func (p *Process) WallTime() time.Time {
	clock := p.fleet.clocks[p.Name]
	drift := time.Duration(float64(p.fleet.now) * clock.drift)
	return epoch.Add(p.fleet.now + drift + clock.skew)
}

func (p *Process) rebase() {
	p.baseLocal = p.Now()
	p.baseFleet = p.fleet.now
}

// inFleetTime converts a duration by the clock of the process to virtual time.
func (p *Process) inFleetTime(local time.Duration) time.Duration {
	return time.Duration(float64(local) / (1 + p.fleet.clocks[p.Name].drift))
}

func (p *Process) tick() {
	if !p.running {
		return
	}
	// A paused process has at most one tick queued, like a time.Ticker.
	if !p.paused || !p.hasQueuedTick() {
		p.deliver(mulberrybeam.Tick{})
	}
	p.fleet.After(p.inFleetTime(tickInterval), p.tick)
}

func (p *Process) hasQueuedTick() bool {
	for _, event := range p.inbox {
		if _, isTick := event.(mulberrybeam.Tick); isTick {
			return true
		}
	}
	return false
}

func (p *Process) stop() {
	p.running = false
	p.inbox = nil
}

func (p *Process) resume() {
	p.paused = false
	queued := p.inbox
	p.inbox = nil
	for _, event := range queued {
		p.deliver(event)
	}
}

func (p *Process) deliver(event mulberrybeam.Event) {
	if !p.running {
		return
	}
	if p.paused {
		p.fleet.countHit(FaultPaused)
		p.inbox = append(p.inbox, event)
		return
	}
	p.step(event)
}

func (p *Process) step(event mulberrybeam.Event) {
	p.Traffic.Steps++
	turn := mulberrybeam.Turn{Now: p.Now(), Wall: p.WallTime(), Rand: p.rand}
	queue := []mulberrybeam.Event{event}
	publishPending := false
	for i := 0; i < len(queue); i++ {
		if i == maxStepEvents {
			panic(fmt.Sprintf("process %s raised %d events in one step, most recently %T", p.ID, i, queue[i]))
		}
		for _, machine := range p.Machines {
			for _, action := range machine.Step(turn, queue[i]) {
				switch action := action.(type) {
				case mulberrybeam.EmitEvent:
					queue = append(queue, action.Event)
				case mulberrybeam.PublishSnapshot:
					publishPending = true
				default:
					p.execute(action)
				}
			}
		}
	}
	if publishPending {
		p.publish()
	}
	for _, hook := range p.fleet.hooks {
		hook(p, event)
	}
}

func (p *Process) publish() {
	snapshot := mulberrybeam.Snapshot{At: p.Now(), Self: p.ID, Zone: p.Zone}
	for _, machine := range p.Machines {
		machine.FillSnapshot(&snapshot)
	}
	p.Snapshot = snapshot
}

func (p *Process) execute(action mulberrybeam.Action) {
	switch action := action.(type) {
	case mulberrybeam.Call:
		p.fleet.call(p, action)
	case mulberrybeam.Reply:
		p.fleet.reply(p, action)
	case mulberrybeam.CallObject:
		p.fleet.Platform.call(p, action)
	case mulberrybeam.WatchObject:
		p.fleet.Platform.watch(p, action)
	case mulberrybeam.Observe:
		observed := p.fleet.observe(p, action)
		p.fleet.After(p.fleet.randomDelay(minZoneDelay, maxZoneDelay), func() { p.deliver(observed) })
	case mulberrybeam.RecordEntry:
		p.fleet.onNote(p, action.Entry)
	default:
		panic(fmt.Sprintf("process %s returned an action of unknown type %T", p.ID, action))
	}
}
