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

// scriptedMachine is a machine whose Step and FillSnapshot methods call functions
// set by a test.
type scriptedMachine struct {
	step func(event mulberrybeam.Event) []mulberrybeam.Action
	fill func(*mulberrybeam.Snapshot)
}

func (s scriptedMachine) Step(_ mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	return s.step(event)
}

func (s scriptedMachine) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	if s.fill != nil {
		s.fill(snapshot)
	}
}

// fakePeers answers each FetchEnvironment with the next revision.
type fakePeers struct{}

func (fakePeers) Call(_ context.Context, _ string, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	return mulberrybeam.FetchEnvironmentReply{Revision: message.(mulberrybeam.FetchEnvironment).Above + 1}, nil
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}

// Two machines may use the same ticket. Each must get the result of its own
// call only.
func TestResultsReachOnlyTheRequestingMachine(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	revisions := [2][]mulberrybeam.Revision{}
	machine := func(index int) mulberrybeam.StateMachine {
		return scriptedMachine{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
			switch event := event.(type) {
			case mulberrybeam.RevisionSeen:
				above := event.Revision + mulberrybeam.Revision(10*index)
				return []mulberrybeam.Action{mulberrybeam.Call{Ticket: 1, Message: mulberrybeam.FetchEnvironment{Above: above}}}
			case mulberrybeam.ReplyReceived:
				mutex.Lock()
				defer mutex.Unlock()
				revisions[index] = append(revisions[index], event.Message.(mulberrybeam.FetchEnvironmentReply).Revision)
			}
			return nil
		}}
	}
	control, stop := controller.New([]mulberrybeam.StateMachine{machine(0), machine(1)}, controller.WithPeers(fakePeers{}))
	defer stop()
	control.Post(mulberrybeam.RevisionSeen{Revision: 1})
	eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(revisions[0]) == 1 && len(revisions[1]) == 1
	})
	mutex.Lock()
	defer mutex.Unlock()
	is.Equal(revisions, [2][]mulberrybeam.Revision{{2}, {12}})
}

// An event that one machine emits must reach the other machines, and the state
// that changes in the same turn must appear in the next snapshot.
func TestEmittedEventsReachAllMachinesAndSnapshots(t *testing.T) {
	ready := false
	first := scriptedMachine{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
		if _, signal := event.(mulberrybeam.TargetSignal); signal {
			return []mulberrybeam.Action{mulberrybeam.EmitEvent{Event: mulberrybeam.SlotOwnershipChanged{}}}
		}
		return nil
	}}
	second := scriptedMachine{
		step: func(event mulberrybeam.Event) []mulberrybeam.Action {
			if _, changed := event.(mulberrybeam.SlotOwnershipChanged); changed {
				ready = true
				return []mulberrybeam.Action{mulberrybeam.PublishSnapshot{}}
			}
			return nil
		},
		fill: func(snapshot *mulberrybeam.Snapshot) { snapshot.Ready = ready },
	}
	control, stop := controller.New([]mulberrybeam.StateMachine{first, second}, controller.WithIdentity("h/1", "a"))
	defer stop()
	control.Post(mulberrybeam.TargetSignal{})
	eventually(t, func() bool { return control.Snapshot().Ready && control.Snapshot().Zone == "a" })
	control.Post(mulberrybeam.ShutdownRequested{})
	eventually(t, func() bool { return control.Snapshot().Draining })
}

// Ask must not block for ever when no machine replies, and concurrent callers
// must each get the reply to their own message.
func TestAskReturnsTheReplyOrATimeout(t *testing.T) {
	is := is.New(t)
	machine := scriptedMachine{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
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
	control, stop := controller.New([]mulberrybeam.StateMachine{machine})
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

// countingEngines counts the orders that it receives.
type countingEngines struct {
	mulberrybeam.EngineClient
	orders atomic.Int64
}

func (e *countingEngines) Order(context.Context, mulberrybeam.Target, mulberrybeam.Order) error {
	e.orders.Add(1)
	return nil
}

// A process that was suspended must not send an order after its lease expired,
// because another process may hold the lease by then.
func TestOrderIsNotSentAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	var done atomic.Int64
	var refused atomic.Bool
	machine := scriptedMachine{step: func(event mulberrybeam.Event) []mulberrybeam.Action {
		switch event := event.(type) {
		case mulberrybeam.TargetSignal:
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
	client := &countingEngines{}
	control, stop := controller.New([]mulberrybeam.StateMachine{machine}, controller.WithOrderClient(client))
	defer stop()
	control.Post(mulberrybeam.TargetSignal{})
	eventually(t, func() bool { return done.Load() == 2 })
	is.Equal(client.orders.Load(), int64(1))
	is.True(refused.Load())
}
