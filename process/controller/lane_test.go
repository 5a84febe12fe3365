package controller_test

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/controller"
)

// gatedMachine lets one event through at a time and records their names.
type gatedMachine struct {
	entered, gate chan struct{}
	mutex         sync.Mutex
	names         []string
}

func (g *gatedMachine) Step(_ mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	name := ""
	switch event := event.(type) {
	case mulberrybeam.RecordChanged:
		name = event.Name
	case mulberrybeam.RecordsListed:
		name = "list"
	case mulberrybeam.FeedLost:
		name = "lost"
	case mulberrybeam.TargetSignal:
		name = "signal"
		g.entered <- struct{}{}
		<-g.gate
	}
	if name != "" {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.names = append(g.names, name)
	}
	return nil
}

func (*gatedMachine) FillSnapshot(*mulberrybeam.Snapshot) {}

// processed returns the names of the events in the order in which they were processed,
// all of which waited while the control goroutine was busy.
func processed(t *testing.T, count int, events ...mulberrybeam.Event) []string {
	t.Helper()
	machine := &gatedMachine{entered: make(chan struct{}), gate: make(chan struct{})}
	control, stop := controller.New([]mulberrybeam.StateMachine{machine})
	defer stop()
	control.Post(mulberrybeam.TargetSignal{})
	<-machine.entered
	for _, event := range events {
		control.Deliver(event)
	}
	close(machine.gate)
	eventually(t, func() bool {
		machine.mutex.Lock()
		defer machine.mutex.Unlock()
		return len(machine.names) >= count+1
	})
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return slices.Clone(machine.names[1:])
}

func changedTarget(name string, draining bool) mulberrybeam.Event {
	return mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: name, Record: mulberrybeam.Record{
		Target: &mulberrybeam.LiveTarget{ID: mulberrybeam.InstanceID(name), Draining: draining},
	}}
}

// Guards against a configuration, a drained target or an evacuation that takes effect
// only after thousands of other changes were processed.
func TestUrgentEventsGoFirst(t *testing.T) {
	is := is.New(t)
	var events []mulberrybeam.Event
	var registered []string
	for i := range 300 {
		name := fmt.Sprint("t", i)
		registered = append(registered, name)
		events = append(events, changedTarget(name, false))
	}
	events = append(
		events,
		mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectDeployment, Name: "main"},
		changedTarget("drained", true),
		mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: "removed", Removed: true},
		mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectEvacuation, Name: "zone"},
	)
	is.Equal(processed(t, len(events), events...), append([]string{"main", "drained", "removed", "zone"}, registered...))
}

// Guards against an older entry of a target that follows a newer one which went before
// it, so that a drained target would get requests again.
func TestOvertakenEventsAreDropped(t *testing.T) {
	is := is.New(t)
	got := processed(
		t, 3,
		changedTarget("t1", false),
		changedTarget("t2", false),
		changedTarget("t1", true),
		changedTarget("t1", false),
	)
	is.Equal(got, []string{"t1", "t2", "t1"}) // the drain, and the registration after it
	got = processed(
		t, 3,
		changedTarget("t1", false),
		mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectTarget},
		changedTarget("t2", false),
		changedTarget("t3", false),
	)
	is.Equal(got, []string{"list", "t2", "t3"})
}

// Guards against a list that is applied before the loss of its feed. The targets that
// it lacks would then not be kept until they can register again.
func TestLossOfAFeedStaysBeforeItsList(t *testing.T) {
	is := is.New(t)
	is.Equal(processed(
		t, 2,
		mulberrybeam.FeedLost{Kind: mulberrybeam.ObjectTarget, Err: errors.New("no answer")},
		mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectTarget},
	), []string{"lost", "list"})
}

// Guards against waits that are not measured, or are counted for another lane.
func TestWaitsAreObserved(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	var mutex sync.Mutex
	waits := map[controller.Lane]time.Duration{}
	machine := &gatedMachine{entered: make(chan struct{}), gate: make(chan struct{})}
	control, stop := controller.New([]mulberrybeam.StateMachine{machine},
		controller.WithClock(func() time.Duration { return time.Duration(now.Load()) }),
		controller.WithWaitObserver(func(lane controller.Lane, wait time.Duration) {
			mutex.Lock()
			defer mutex.Unlock()
			waits[lane] = wait
		}))
	defer stop()
	control.Post(mulberrybeam.TargetSignal{})
	<-machine.entered
	control.Deliver(changedTarget("t1", false))
	now.Store(int64(2 * time.Second))
	control.Deliver(changedTarget("t2", true))
	now.Store(int64(5 * time.Second))
	close(machine.gate)
	eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(waits) == 3
	})
	is.Equal(waits, map[controller.Lane]time.Duration{
		controller.LanePosted: 0, controller.LaneDelivered: 5 * time.Second, controller.LaneUrgent: 3 * time.Second,
	})
}
