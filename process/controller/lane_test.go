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
	case mulberrybeam.FeedConfirmed:
		name = "confirmed"
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
// only after many other changes were processed.
func TestUrgentEventsGoFirst(t *testing.T) {
	is := is.New(t)
	var events []mulberrybeam.Event
	var leases, targets []string
	for i := range 200 {
		lease, target := fmt.Sprint("l", i), fmt.Sprint("t", i)
		leases, targets = append(leases, lease), append(targets, target)
		events = append(events, mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectLease, Name: lease}, changedTarget(target, i%2 == 0))
	}
	events = append(
		events,
		mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectDeployment, Name: "main"},
		mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectEvacuation, Name: "zone"},
	)
	is.Equal(processed(t, len(events), events...), slices.Concat([]string{"main", "zone"}, targets, leases))
}

// Guards against an older entry of a target that follows a newer one, so that a drained
// target would get requests again, against removals that all go before the registrations
// that follow them, so that a service has no targets for a while, and against a
// confirmation of the feed that goes before a change.
func TestEventsOfTargetsKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	is.Equal(processed(
		t, 8,
		changedTarget("t1", false),
		changedTarget("t1", true),
		mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: "t2", Removed: true},
		changedTarget("t2", false),
		mulberrybeam.FeedConfirmed{Kind: mulberrybeam.ObjectTarget},
		mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectTarget},
		changedTarget("t3", false),
		mulberrybeam.FeedLost{Kind: mulberrybeam.ObjectTarget, Err: errors.New("no answer")},
	), []string{"t1", "t1", "t2", "t2", "confirmed", "list", "t3", "lost"})
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
	control.Deliver(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectLease, Name: "l"})
	now.Store(int64(2 * time.Second))
	control.Deliver(mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectDeployment, Name: "main"})
	now.Store(int64(4 * time.Second))
	control.Deliver(changedTarget("t1", true))
	now.Store(int64(5 * time.Second))
	close(machine.gate)
	eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(waits) == 4
	})
	is.Equal(waits, map[controller.Lane]time.Duration{
		controller.LanePosted: 0, controller.LaneDelivered: 5 * time.Second, controller.LaneUrgent: 3 * time.Second,
		controller.LaneTargets: time.Second,
	})
}
