package permitter_test

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/observer"
	"mulberrybeam/process/permitter"
)

// blind keeps the object API from one process while it is set.
type blind struct {
	mulberrybeam.Machine
	on   bool
	hits int
}

func (b *blind) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	actions := b.Machine.Step(turn, event)
	for i, action := range actions {
		if call, ok := action.(mulberrybeam.CallObject); ok && b.on {
			b.hits++
			actions[i] = mulberrybeam.Raise{Event: mulberrybeam.ObjectReplied{
				Ticket: call.Ticket, Err: &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown},
			}}
		}
	}
	return actions
}

func (w *world) blindFor(host string, length time.Duration) {
	b := w.blinds[host]
	b.on = true
	w.fleet.Run(length)
	b.on = false
	if b.hits == 0 {
		w.fail("%s was not kept from the platform", host)
	}
}

// unfenced breaks the rule that electors have to promise: it answers the
// process's own Fence calls itself.
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

// forgetful breaks the rule that a new holder takes over the requests that
// run at its targets: it shows the permitter idle targets.
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

// altered changes what a machine takes or returns.
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
