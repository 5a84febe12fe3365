package permitter_test

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/observer"
	"mulberrybeam/process/permitter"
)

// cutOffFor cuts a host off from the object API for a while.
func (w *world) cutOffFor(host string, duration time.Duration) {
	cut := w.PlatformCuts[host]
	cut.Active = true
	w.Fleet.Run(duration)
	cut.Active = false
	if cut.FailedCalls == 0 {
		w.AddViolation("%s made no call while it was cut off from the object API", host)
	}
}

// withoutFencing breaks the rule that electors must be fenced before a
// takeover: it answers the leaser's Fence calls without sending them.
func withoutFencing(machine mulberrybeam.StateMachine) mulberrybeam.StateMachine {
	if _, ok := machine.(*leaser.Leaser); ok {
		return &alteredMachine{machine, nil, func(action mulberrybeam.Action) mulberrybeam.Action {
			call, ok := action.(mulberrybeam.Call)
			if _, fence := call.Message.(mulberrybeam.Fence); !ok || !fence {
				return action
			}
			return mulberrybeam.EmitEvent{Event: mulberrybeam.ReplyReceived{
				Ticket: call.Ticket, Message: mulberrybeam.FenceReply{Fenced: true},
			}}
		}}
	}
	return machine
}

// withoutRunningRequests breaks the rule that a new holder counts the requests
// already in flight at its targets: it hides the running requests from the
// permitter.
func withoutRunningRequests(machine mulberrybeam.StateMachine) mulberrybeam.StateMachine {
	if _, ok := machine.(*permitter.Permitter); ok {
		return &alteredMachine{machine, func(event mulberrybeam.Event) mulberrybeam.Event {
			if measured, ok := event.(observer.ReportPolled); ok {
				measured.Report.Running = 0
				return measured
			}
			return event
		}, nil}
	}
	return machine
}

// alteredMachine wraps a state machine and changes its events or its actions.
type alteredMachine struct {
	mulberrybeam.StateMachine
	alterEvent  func(mulberrybeam.Event) mulberrybeam.Event
	alterAction func(mulberrybeam.Action) mulberrybeam.Action
}

func (a *alteredMachine) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	if a.alterEvent != nil {
		event = a.alterEvent(event)
	}
	actions := a.StateMachine.Step(turn, event)
	for i := range actions {
		if a.alterAction != nil {
			actions[i] = a.alterAction(actions[i])
		}
	}
	return actions
}
