package upgrader_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/platform"
	"mulberrybeam/version/upgrader"
)

// step is the time between two ticks.
const step = 50 * time.Millisecond

// loadTime is how long an engine takes to load weights.
const loadTime = 450 * time.Millisecond

// world simulates entry processes, engines and a store with one lease, in
// virtual time.
type world struct {
	now       time.Duration
	processes map[mulberrybeam.ProcessID]*process
	engines   map[mulberrybeam.InstanceID]*engine
	lease     *mulberrybeam.Object
	revision  int
	orders    []order
}

type process struct {
	machine *upgrader.Upgrader
	rand    *rand.Rand
	// cut processes cannot reach the store; frozen ones do nothing.
	cut    bool
	frozen bool
	// late are events to be delivered at the next tick.
	late []mulberrybeam.Event
}

type engine struct {
	version int
	fence   mulberrybeam.Epoch
	orders  uint64
	// next is the version being loaded until readyAt, 0 for none.
	next    int
	readyAt time.Duration
	// mute engines accept orders, but the response is lost.
	mute bool
}

type order struct {
	at     time.Duration
	holder mulberrybeam.ProcessID
	token  mulberrybeam.Epoch
}

func newWorld(processes, engines int, fenced bool) *world {
	w := &world{now: time.Second, processes: map[mulberrybeam.ProcessID]*process{}, engines: map[mulberrybeam.InstanceID]*engine{}}
	for i := range engines {
		w.engines[mulberrybeam.InstanceID(fmt.Sprint("e", i))] = &engine{version: 1}
	}
	hosts := map[string]mulberrybeam.Record{}
	for i := range processes {
		id := mulberrybeam.ProcessID(fmt.Sprint("p", i))
		bounds := mulberrybeam.HostBounds{OrderLease: 3 * time.Second, Fenced: fenced}
		w.processes[id] = &process{machine: upgrader.New(id, bounds, platform.Encoder{}), rand: rand.New(rand.NewPCG(1, uint64(i)))}
		hosts[string(id)] = mulberrybeam.Record{Host: &mulberrybeam.EntryHost{ID: id}}
	}
	w.tell(mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectHost, Records: hosts})
	w.tell(mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectLease})
	for id := range w.engines {
		w.tellEngine(id)
	}
	return w
}

func (w *world) name(version int) {
	w.tell(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectWeights, Name: "m", Record: mulberrybeam.Record{
		Weights: &mulberrybeam.WeightGoal{Model: "m", Version: version},
	}})
}

func (w *world) tellEngine(id mulberrybeam.InstanceID) {
	w.tell(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: string(id), Record: mulberrybeam.Record{
		Target: &mulberrybeam.LiveTarget{ID: id, Versions: map[mulberrybeam.ModelName]int{"m": w.engines[id].version}},
	}})
}

// tell delivers an event to all processes that can reach the store.
func (w *world) tell(event mulberrybeam.Event) {
	for i := range len(w.processes) {
		id := mulberrybeam.ProcessID(fmt.Sprint("p", i))
		if p := w.processes[id]; !p.cut && !p.frozen {
			w.give(id, event)
		}
	}
}

func (w *world) give(id mulberrybeam.ProcessID, event mulberrybeam.Event) {
	p := w.processes[id]
	for _, action := range p.machine.Step(mulberrybeam.Turn{Now: w.now, Rand: p.rand}, event) {
		switch action := action.(type) {
		case mulberrybeam.CallObject:
			p.late = append(p.late, w.write(p, action))
		case mulberrybeam.Observe:
			p.late = append(p.late, w.report(action.Target))
		case mulberrybeam.SendOrder:
			p.late = append(p.late, w.order(action))
		}
	}
}

func (w *world) write(p *process, call mulberrybeam.CallObject) mulberrybeam.Event {
	reply := mulberrybeam.ObjectReplied{Ticket: call.Ticket, SentAt: w.now}
	switch {
	case p.cut:
		reply.Err = errors.New("no answer")
	case call.Op == mulberrybeam.OpCreate && w.lease != nil, call.Op == mulberrybeam.OpUpdate && call.Object.Version != w.lease.Version:
		reply.Err = &mulberrybeam.Failure{Code: mulberrybeam.CodeConflict}
	default:
		w.revision++
		written := call.Object
		written.Version = strconv.Itoa(w.revision)
		w.lease, reply.Object = &written, written
		record, _ := platform.Decoder{}.Decode(written)
		for _, other := range w.processes {
			if !other.cut {
				other.late = append(other.late, mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectLease, Name: written.Name, Record: record})
			}
		}
	}
	return reply
}

func (w *world) report(target mulberrybeam.Target) mulberrybeam.Event {
	e := w.engines[mulberrybeam.InstanceID(target.ID)]
	return mulberrybeam.TargetObserved{Target: target.ID, Report: mulberrybeam.LoadReport{
		Orders: e.orders, OrderBusy: e.next != 0,
		WeightVersions: map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{"m": mulberrybeam.WeightVersion(strconv.Itoa(e.version))},
	}}
}

func (w *world) order(send mulberrybeam.SendOrder) mulberrybeam.Event {
	done := mulberrybeam.OrderDone{Ticket: send.Ticket, Target: send.Target.ID, SentAt: w.now}
	e := w.engines[mulberrybeam.InstanceID(send.Target.ID)]
	w.orders = append(w.orders, order{w.now, send.Order.Holder, send.Order.Fencing})
	switch {
	case w.now >= send.NotAfter:
		done.Err = errors.New("not sent")
	case send.Order.Fencing < e.fence:
		done.Err = &mulberrybeam.Failure{Code: mulberrybeam.CodeConflict}
	case e.next != 0 || send.Order.Expect != e.orders:
		done.Err = errors.New("status 409")
	default:
		e.fence = send.Order.Fencing
		e.orders++
		e.next, _ = strconv.Atoi(string(send.Order.Version))
		e.readyAt = w.now + loadTime
		if e.mute {
			done.Err = errors.New("no answer")
		}
	}
	return done
}

// run advances the time by length, or until all engines have a version, and
// returns whether they do.
func (w *world) run(length time.Duration, version int) bool {
	for end := w.now + length; w.now < end; w.now += step {
		for i := range len(w.processes) {
			id := mulberrybeam.ProcessID(fmt.Sprint("p", i))
			p := w.processes[id]
			if p.frozen {
				continue
			}
			late := p.late
			p.late = nil
			for _, event := range late {
				w.give(id, event)
			}
			w.give(id, mulberrybeam.Tick{})
		}
		done := true
		for id, e := range w.engines {
			if e.next != 0 && w.now >= e.readyAt {
				e.version, e.next = e.next, 0
				w.tellEngine(id)
			}
			done = done && e.version == version
		}
		if done {
			return true
		}
	}
	return false
}

// check fails when the fencing token does not rise from one holder to the next,
// or when orders of two holders are less than gap apart.
func (w *world) check(t *testing.T, gap time.Duration) {
	t.Helper()
	for i := 1; i < len(w.orders); i++ {
		before, after := w.orders[i-1], w.orders[i]
		if before.holder == after.holder {
			continue
		}
		if after.token <= before.token {
			t.Fatalf("%s ordered with fencing token %d after %s with %d", after.holder, after.token, before.holder, before.token)
		}
		if after.at-before.at < gap {
			t.Fatalf("%s ordered only %s after %s", after.holder, after.at-before.at, before.holder)
		}
	}
}

// Guards against engines that are upgraded too late, and against two processes
// that send orders at the same time.
func TestAllEnginesChange(t *testing.T) {
	for _, engines := range []int{1, 9, 18, 60} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(9, engines, false)
			w.name(2)
			is.True(w.run(6*time.Second, 2))
			w.check(t, 3*time.Second)
			w.name(3)
			is.True(w.run(6*time.Second, 3))
			w.check(t, 3*time.Second)
		})
	}
}

// holder returns the process that sent the last order.
func (w *world) holder() *process { return w.processes[w.orders[len(w.orders)-1].holder] }

// Guards against an upgrade that never finishes, and against orders of two
// holders too close together, when the lease holder fails midway.
func TestHolderIsLost(t *testing.T) {
	cases := []struct {
		name   string
		fenced bool
		gap    time.Duration
		lose   func(*process)
	}{
		{"frozen", false, 3 * time.Second, func(p *process) { p.frozen = true }},
		{"cut off", false, 3 * time.Second, func(p *process) { p.cut = true }},
		{"cut off with fencing", true, 500 * time.Millisecond, func(p *process) { p.cut = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(9, 18, c.fenced)
			w.name(2)
			is.True(!w.run(700*time.Millisecond, 2))
			lost := w.holder()
			c.lose(lost)
			is.True(w.run(12*time.Second, 2))
			w.check(t, c.gap)
			lost.frozen, lost.cut = false, false
			w.name(3)
			is.True(w.run(12*time.Second, 3))
			w.check(t, c.gap)
		})
	}
}

// Guards against an order that is repeated because its response was lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 9, true)
	for _, e := range w.engines {
		e.mute = true
	}
	w.name(2)
	is.True(w.run(10*time.Second, 2))
	for _, e := range w.engines {
		is.Equal(e.orders, uint64(1))
	}
}
