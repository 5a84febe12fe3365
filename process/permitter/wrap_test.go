package permitter_test

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/observer"
	"mulberrybeam/process/permitter"
)

// blindFor cuts a host off from the object API for a while.
func (w *world) blindFor(host string, length time.Duration) {
	b := w.Blinds[host]
	b.On = true
	w.Fleet.Run(length)
	b.On = false
	if b.Hits == 0 {
		w.Fail("%s made no call while it was cut off from the object API", host)
	}
}

// unfenced breaks the rule that electors must be fenced before a takeover: it
// answers the leaser's Fence calls without sending them.
func unfenced(machine mulberrybeam.Machine) mulberrybeam.Machine {
	if _, ok := machine.(*leaser.Leaser); ok {
		return &altered{machine, nil, func(action mulberrybeam.Action) mulberrybeam.Action {
			call, ok := action.(mulberrybeam.Call)
			if _, fence := call.Message.(mulberrybeam.Fence); !ok || !fence {
				return action
			}
			return mulberrybeam.Raise{Event: mulberrybeam.ReplyReceived{
				Ticket: call.Ticket, Message: mulberrybeam.FenceReply{Fenced: true},
			}}
		}}
	}
	return machine
}

// forgetful breaks the rule that a new holder counts the requests already in
// flight at its targets: it hides the running requests from the permitter.
func forgetful(machine mulberrybeam.Machine) mulberrybeam.Machine {
	if _, ok := machine.(*permitter.Permitter); ok {
		return &altered{machine, func(event mulberrybeam.Event) mulberrybeam.Event {
			if measured, ok := event.(observer.Measured); ok {
				measured.Report.Running = 0
				return measured
			}
			return event
		}, nil}
	}
	return machine
}

// altered wraps a state machine and changes its events or its actions.
type altered struct {
	mulberrybeam.Machine
	event  func(mulberrybeam.Event) mulberrybeam.Event
	action func(mulberrybeam.Action) mulberrybeam.Action
}

func (a *altered) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	if a.event != nil {
		event = a.event(event)
	}
	actions := a.Machine.Step(turn, event)
	for i := range actions {
		if a.action != nil {
			actions[i] = a.action(actions[i])
		}
	}
	return actions
}
