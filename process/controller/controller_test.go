package controller_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/controller"
)

// script is a machine whose Step and Fill methods call functions set by a test.
type script struct {
	step func(event mulberrybeam.Event) []mulberrybeam.Action
	fill func(*mulberrybeam.Snapshot)
}

func (s script) Step(_ mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	return s.step(event)
}

func (s script) Fill(snapshot *mulberrybeam.Snapshot) {
	if s.fill != nil {
		s.fill(snapshot)
	}
}

// peers answers each FetchEnvironment with the next revision.
type peers struct{}

func (peers) Call(_ context.Context, _ string, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	return mulberrybeam.FetchEnvironmentReply{Revision: message.(mulberrybeam.FetchEnvironment).Above + 1}, nil
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}

// Two machines may use the same ticket. Each must get the result of its own call
// only.
func TestResultsGoToTheMachineThatAsked(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	seen := [2][]mulberrybeam.Revision{}
	machine := func(index int) mulberrybeam.Machine {
		return script{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
			switch event := event.(type) {
			case mulberrybeam.RevisionSeen:
				above := event.Revision + mulberrybeam.Revision(10*index)
				return []mulberrybeam.Action{mulberrybeam.Call{Ticket: 1, Message: mulberrybeam.FetchEnvironment{Above: above}}}
			case mulberrybeam.ReplyReceived:
				mutex.Lock()
				defer mutex.Unlock()
				seen[index] = append(seen[index], event.Message.(mulberrybeam.FetchEnvironmentReply).Revision)
			}
			return nil
		}}
	}
	control, stop := controller.New([]mulberrybeam.Machine{machine(0), machine(1)}, controller.WithPeers(peers{}))
	defer stop()
	control.Post(mulberrybeam.RevisionSeen{Revision: 1})
	eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(seen[0]) == 1 && len(seen[1]) == 1
	})
	mutex.Lock()
	defer mutex.Unlock()
	is.Equal(seen, [2][]mulberrybeam.Revision{{2}, {12}})
}

// An event that one machine raises must reach the other machines, and the state
// that changes in the same turn must appear in the next snapshot.
func TestRaisedEventsReachAllMachinesAndSnapshots(t *testing.T) {
	ready := false
	first := script{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
		if _, sign := event.(mulberrybeam.TrafficSign); sign {
			return []mulberrybeam.Action{mulberrybeam.Raise{Event: mulberrybeam.RightChanged{}}}
		}
		return nil
	}}
	second := script{
		step: func(event mulberrybeam.Event) []mulberrybeam.Action {
			if _, changed := event.(mulberrybeam.RightChanged); changed {
				ready = true
				return []mulberrybeam.Action{mulberrybeam.Publish{}}
			}
			return nil
		},
		fill: func(snapshot *mulberrybeam.Snapshot) { snapshot.Ready = ready },
	}
	control, stop := controller.New([]mulberrybeam.Machine{first, second}, controller.WithSelf("h/1", "a"))
	defer stop()
	control.Post(mulberrybeam.TrafficSign{})
	eventually(t, func() bool { return control.Snapshot().Ready && control.Snapshot().Zone == "a" })
	control.Post(mulberrybeam.ShutdownAsked{})
	eventually(t, func() bool { return control.Snapshot().Draining })
}

// Ask must not block for ever when no machine replies, and concurrent callers
// must each get the reply to their own message.
func TestAskReturnsTheReplyOrATimeout(t *testing.T) {
	is := is.New(t)
	machine := script{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
		received, ok := event.(mulberrybeam.MessageReceived)
		if !ok {
			return nil
		}
		if fetch, ok := received.Message.(mulberrybeam.FetchEnvironment); ok {
			return []mulberrybeam.Action{mulberrybeam.Reply{
				Ticket:  received.Ticket,
				Message: mulberrybeam.FetchEnvironmentReply{Revision: fetch.Above},
			}}
		}
		return nil
	}}
	control, stop := controller.New([]mulberrybeam.Machine{machine})
	defer stop()
	var group sync.WaitGroup
	for above := range mulberrybeam.Revision(20) {
		group.Go(func() {
			reply, err := control.Ask(t.Context(), "p", mulberrybeam.FetchEnvironment{Above: above})
			if err != nil || reply.(mulberrybeam.FetchEnvironmentReply).Revision != above {
				t.Errorf("Ask for revision %d returned %v, %v", above, reply, err)
			}
		})
	}
	group.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := control.Ask(ctx, "p", mulberrybeam.Fence{})
	is.True(err != nil)
}

// engines counts the orders that it receives.
type engines struct {
	mulberrybeam.EngineClient
	orders atomic.Int64
}

func (e *engines) Order(context.Context, mulberrybeam.Target, mulberrybeam.Order) error {
	e.orders.Add(1)
	return nil
}

// A process that was suspended must not send an order after its lease expired,
// because another process may hold the lease by then.
func TestOrderIsNotSentAfterItsRightHasEnded(t *testing.T) {
	is := is.New(t)
	var done atomic.Int64
	var refused atomic.Bool
	machine := script{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
		switch event := event.(type) {
		case mulberrybeam.TrafficSign:
			return []mulberrybeam.Action{
				mulberrybeam.SendOrder{Ticket: 1, NotAfter: 0},
				mulberrybeam.SendOrder{Ticket: 2, NotAfter: time.Hour},
			}
		case mulberrybeam.OrderDone:
			var failure *mulberrybeam.Failure
			if event.Ticket == 1 && errors.As(event.Err, &failure) && failure.NotRun {
				refused.Store(true)
			}
			done.Add(1)
		}
		return nil
	}}
	target := &engines{}
	control, stop := controller.New([]mulberrybeam.Machine{machine}, controller.WithEngines(target))
	defer stop()
	control.Post(mulberrybeam.TrafficSign{})
	eventually(t, func() bool { return done.Load() == 2 })
	is.Equal(target.orders.Load(), int64(1))
	is.True(refused.Load())
}
