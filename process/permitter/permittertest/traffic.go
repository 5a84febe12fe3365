package permittertest

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/process/controller/controllertest"
)

// attempt is one simulated request of a process.
type attempt struct {
	w       *World
	process *controllertest.Process
	target  *Target
	ask     mulberrybeam.AskPermit
	askedAt time.Duration
	reply   mulberrybeam.AskPermitReply
	owner   string
	v       Variant
}

// traffic sends the requests of one process until the process ends. A new
// request starts every 20 to 120 ms, mostly to targets in the same zone.
func (w *World) traffic(process *controllertest.Process, v Variant) {
	var again func()
	again = func() {
		if !process.Running() {
			return
		}
		w.Fleet.After(time.Duration(20+w.Rand.IntN(100))*time.Millisecond, again)
		if !process.Paused() {
			w.begin(process, v)
		}
	}
	w.Fleet.After(time.Second, again)
}

// begin selects a target and starts an attempt if the snapshot allows it.
func (w *World) begin(process *controllertest.Process, v Variant) {
	id := w.IDs[w.Rand.IntN(len(w.IDs))]
	if w.Tables.Targets[id].Zone != process.Zone && w.Rand.IntN(4) > 0 {
		return
	}
	f := w.Targets[id]
	key := connection{process.ID, id}
	if !v.Unbound && w.connected[key] != f.instance() {
		// A process sees the instance of a new connection before it sends
		// a request on it.
		if w.connected[key] != "" {
			w.Fleet.Post(process.Name, mulberrybeam.TrafficSign{Kind: mulberrybeam.SignBroken, Target: id})
		}
		w.connected[key] = f.instance()
		w.Fleet.Post(process.Name, mulberrybeam.TrafficSign{Kind: mulberrybeam.SignInstance, Target: id, Instance: f.instance()})
		return
	}
	a := &attempt{w: w, process: process, target: f, askedAt: process.Now(), v: v}
	a.ask = mulberrybeam.AskPermit{From: process.ID, Target: id, Instance: f.instance(), RunLimit: runLimit}
	state := process.Snapshot.Targets[id]
	if v.Unbound {
		a.ask.Instance = state.Instance
	}
	if v.Slow {
		a.ask.RunLimit *= 3
	}
	switch {
	case state.Phase == mulberrybeam.PhaseWarm && state.Instance == a.ask.Instance:
		a.send()
	case state.Phase == mulberrybeam.PhaseCold && state.Owner != "":
		a.owner = hostOf(state.Owner)
		a.carry(process.Name, a.owner, a.arrive)
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

// carry delivers a message between two hosts, subject to the faults of the
// simulated network.
func (a *attempt) carry(from, to string, deliver func()) {
	f := a.w.Fleet
	f.After(time.Duration(1+a.w.Rand.IntN(5))*time.Millisecond, func() {
		reached := f.Network.Reaches(f.Process(from).Host, f.Process(to).Host)
		if reached && (f.Network.Loss == 0 || a.w.Rand.Float64() >= f.Network.Loss) {
			deliver()
		}
	})
}

// arrive handles the AskPermit at the owner and sends the reply back.
func (a *attempt) arrive() {
	a.w.Fleet.Ask(a.owner, a.process.ID, a.ask, func(message mulberrybeam.Message) {
		a.reply = message.(mulberrybeam.AskPermitReply)
		a.carry(a.owner, a.process.Name, func() {
			a.awake(func() {
				if a.reply.Granted && a.owner == a.process.Name && a.w.PauseBeforeSend != nil {
					a.w.PauseBeforeSend(a.process.Name)
				}
				a.w.Fleet.After(time.Duration(a.w.Rand.IntN(300))*time.Millisecond, func() { a.awake(a.useReply) })
			})
		})
	})
}

// awake runs a step once the process is not paused. It drops the step if the
// process has ended.
func (a *attempt) awake(step func()) {
	switch {
	case !a.process.Running():
	case a.process.Paused():
		a.w.Fleet.After(50*time.Millisecond, func() { a.awake(step) })
	default:
		step()
	}
}

// useReply sends the request if the reply allows it and the permit is still valid.
func (a *attempt) useReply() {
	switch {
	case !a.reply.Granted && !a.reply.Warm:
	case !a.v.Unchecked && a.process.Now()-a.askedAt >= a.reply.Valid:
		a.release(mulberrybeam.ReleasePermit{})
	default:
		a.w.Granted++
		a.send()
	}
}

// send sends the request to the target. A connection leads to one instance only,
// so the attempt breaks if the target has restarted.
func (a *attempt) send() {
	a.w.Fleet.After(time.Duration(1+a.w.Rand.IntN(4))*time.Millisecond, func() {
		f := a.target
		if a.v.Unbound {
			a.ask.Instance = f.instance()
			sign := mulberrybeam.TrafficSign{Kind: mulberrybeam.SignInstance, Target: f.id, Instance: f.instance()}
			a.w.Fleet.Post(a.process.Name, sign)
		}
		if f.instance() != a.ask.Instance {
			a.awake(a.broke)
			return
		}
		f.running++
		if limit := f.limit(a.w.Fleet.Now()); f.running > limit {
			a.w.Fail("%d requests at %s, whose limit is %d", f.running, f.instance(), limit)
		}
		if f.LeavingSince > 0 && a.w.Fleet.Now() > f.LeavingSince+5*time.Second {
			a.w.Fail("new request for %s, which is leaving", f.instance())
		}
		length := time.Duration(100+a.w.Rand.IntN(900)) * time.Millisecond
		switch {
		case a.v.Slow:
			length += 40 * time.Second
		case a.w.Rand.IntN(20) == 0:
			length += 15 * time.Second
		}
		a.w.Fleet.After(length, a.end)
	})
}

// end completes the request, unless its instance has been replaced.
func (a *attempt) end() {
	f := a.target
	if f.instance() != a.ask.Instance {
		a.awake(a.broke)
		return
	}
	f.running--
	f.completed++
	a.awake(func() { a.release(mulberrybeam.ReleasePermit{Completed: true}) })
}

// broke handles a broken connection.
func (a *attempt) broke() {
	a.w.Fleet.Post(a.process.Name, mulberrybeam.TrafficSign{Kind: mulberrybeam.SignBroken, Target: a.target.id})
	a.release(mulberrybeam.ReleasePermit{Crashed: true})
}

// release sends a ReleasePermit to the owner if a permit was granted.
func (a *attempt) release(release mulberrybeam.ReleasePermit) {
	if !a.reply.Granted {
		return
	}
	release.From, release.Target = a.process.ID, a.target.id
	release.Permit, release.Epoch = a.reply.Permit, a.reply.Epoch
	a.carry(a.process.Name, a.owner, func() {
		a.w.Fleet.Ask(a.owner, a.process.ID, release, func(mulberrybeam.Message) {})
	})
}
