package permittertest

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/process/controller/controllertest"
)

// attempt is one simulated request of a process.
type attempt struct {
	world   *Simulation
	process *controllertest.Process
	target  *Target
	ask     mulberrybeam.AskPermit
	askedAt time.Duration
	reply   mulberrybeam.AskPermitReply
	owner   string
	variant Variant
}

// traffic sends the requests of one process until the process ends. A new
// request starts every 20 to 120 ms, mostly to targets in the same zone.
func (w *Simulation) traffic(process *controllertest.Process, v Variant) {
	var next func()
	next = func() {
		if !process.Running() {
			return
		}
		w.Fleet.After(time.Duration(20+w.Rand.IntN(100))*time.Millisecond, next)
		if !process.Paused() {
			w.startAttempt(process, v)
		}
	}
	w.Fleet.After(time.Second, next)
}

// startAttempt selects a target and starts an attempt if the snapshot allows
// it.
func (w *Simulation) startAttempt(process *controllertest.Process, v Variant) {
	id := w.IDs[w.Rand.IntN(len(w.IDs))]
	if w.Tables.Targets[id].Zone != process.Zone && w.Rand.IntN(4) > 0 {
		return
	}
	target := w.Targets[id]
	key := connection{process.ID, id}
	if !v.SkipInstanceCheck && w.connectedTo[key] != target.instance() {
		// A process sees the instance of a new connection before it sends
		// a request on it.
		if w.connectedTo[key] != "" {
			w.Fleet.Post(process.Name, mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalBroken, Target: id})
		}
		w.connectedTo[key] = target.instance()
		w.Fleet.Post(process.Name, mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalNewInstance, Target: id, Instance: target.instance()})
		return
	}
	a := &attempt{world: w, process: process, target: target, askedAt: process.Now(), variant: v}
	a.ask = mulberrybeam.AskPermit{From: process.ID, Target: id, Instance: target.instance(), RunLimit: runLimit}
	state := process.Snapshot.Targets[id]
	if v.SkipInstanceCheck {
		a.ask.Instance = state.Instance
	}
	if v.SlowRequests {
		a.ask.RunLimit *= 3
	}
	switch {
	case state.Phase == mulberrybeam.PhaseWarm && state.Instance == a.ask.Instance:
		a.send()
	case state.Phase == mulberrybeam.PhaseCold && state.Owner != "":
		a.owner = hostOf(state.Owner)
		a.transmit(process.Name, a.owner, a.askOwner)
	}
}

// hostOf returns the host part of a process ID.
func hostOf(id mulberrybeam.ProcessID) string {
	for i, char := range id {
		if char == '/' {
			return string(id[:i])
		}
	}
	return string(id)
}

// transmit delivers a message between two hosts, subject to the faults of the
// simulated network.
func (a *attempt) transmit(from, to string, deliver func()) {
	fleet := a.world.Fleet
	fleet.After(time.Duration(1+a.world.Rand.IntN(5))*time.Millisecond, func() {
		reached := fleet.Network.Reaches(fleet.Process(from).Host, fleet.Process(to).Host)
		if reached && (fleet.Network.LossRate == 0 || a.world.Rand.Float64() >= fleet.Network.LossRate) {
			deliver()
		}
	})
}

// askOwner handles the AskPermit at the owner and sends the reply back.
func (a *attempt) askOwner() {
	a.world.Fleet.Ask(a.owner, a.process.ID, a.ask, func(message mulberrybeam.Message) {
		a.reply = message.(mulberrybeam.AskPermitReply)
		a.transmit(a.owner, a.process.Name, func() {
			a.whenRunning(func() {
				if a.reply.Granted && a.owner == a.process.Name && a.world.PauseBeforeSend != nil {
					a.world.PauseBeforeSend(a.process.Name)
				}
				a.world.Fleet.After(time.Duration(a.world.Rand.IntN(300))*time.Millisecond, func() { a.whenRunning(a.useReply) })
			})
		})
	})
}

// whenRunning runs a step once the process is not paused. It drops the step if
// the process has ended.
func (a *attempt) whenRunning(step func()) {
	switch {
	case !a.process.Running():
	case a.process.Paused():
		a.world.Fleet.After(50*time.Millisecond, func() { a.whenRunning(step) })
	default:
		step()
	}
}

// useReply sends the request if the reply allows it and the permit is still valid.
func (a *attempt) useReply() {
	switch {
	case !a.reply.Granted && !a.reply.Warm:
	case !a.variant.SkipPermitCheck && a.process.Now()-a.askedAt >= a.reply.Valid:
		a.release(mulberrybeam.ReleasePermit{})
	default:
		a.world.Granted++
		a.send()
	}
}

// send sends the request to the target. A connection leads to one instance only,
// so the attempt breaks if the target has restarted.
func (a *attempt) send() {
	a.world.Fleet.After(time.Duration(1+a.world.Rand.IntN(4))*time.Millisecond, func() {
		target := a.target
		if a.variant.SkipInstanceCheck {
			a.ask.Instance = target.instance()
			signal := mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalNewInstance, Target: target.id, Instance: target.instance()}
			a.world.Fleet.Post(a.process.Name, signal)
		}
		if target.instance() != a.ask.Instance {
			a.whenRunning(a.handleBroken)
			return
		}
		target.running++
		if limit := target.limit(a.world.Fleet.Now()); target.running > limit {
			a.world.AddViolation("%d requests at %s, whose limit is %d", target.running, target.instance(), limit)
		}
		if target.LeavingSince > 0 && a.world.Fleet.Now() > target.LeavingSince+5*time.Second {
			a.world.AddViolation("new request for %s, which is leaving", target.instance())
		}
		duration := time.Duration(100+a.world.Rand.IntN(900)) * time.Millisecond
		switch {
		case a.variant.SlowRequests:
			duration += 40 * time.Second
		case a.world.Rand.IntN(20) == 0:
			duration += 15 * time.Second
		}
		a.world.Fleet.After(duration, a.end)
	})
}

// end completes the request, unless its instance has been replaced.
func (a *attempt) end() {
	target := a.target
	if target.instance() != a.ask.Instance {
		a.whenRunning(a.handleBroken)
		return
	}
	target.running--
	target.completed++
	a.whenRunning(func() { a.release(mulberrybeam.ReleasePermit{Completed: true}) })
}

// handleBroken handles a broken connection.
func (a *attempt) handleBroken() {
	a.world.Fleet.Post(a.process.Name, mulberrybeam.TargetSignal{Kind: mulberrybeam.SignalBroken, Target: a.target.id})
	a.release(mulberrybeam.ReleasePermit{Crashed: true})
}

// release sends a ReleasePermit to the owner if a permit was granted.
func (a *attempt) release(release mulberrybeam.ReleasePermit) {
	if !a.reply.Granted {
		return
	}
	release.From, release.Target = a.process.ID, a.target.id
	release.Permit, release.Epoch = a.reply.Permit, a.reply.Epoch
	a.transmit(a.process.Name, a.owner, func() {
		a.world.Fleet.Ask(a.owner, a.process.ID, release, func(mulberrybeam.Message) {})
	})
}
