package soaker

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"mulberrybeam/process/standin/backend"
	"mulberrybeam/process/standin/metastore"
)

// fault is one kind of fault that a run can inject.
type fault struct {
	name string
	play func(r *run, random *rand.Rand)
}

// faults lists all faults, from which a run chooses at random. Each fault runs
// until it has been reverted; several may overlap.
var faults = []fault{
	{"freeze", freeze},
	{"kill", killHost},
	{"stop", stopHost},
	{"reload", reload},
	{"store link", cutStore},
	{"target link", cutTarget},
	{"store fails", failStore},
	{"store forgets", forget},
	{"target fails", failTarget},
	{"target crashes", crashTarget},
	{"drain", drain},
	{"evacuate", evacuate},
	{"configure", configure},
	{"revoke", revoke},
}

// length returns a random duration for a fault.
func length(random *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(random.IntN(3500))*time.Millisecond
}

func freeze(r *run, random *rand.Rand) {
	h := r.host(random)
	defer r.trouble(h.name, troubleFreeze)()
	h.signal(syscall.SIGSTOP)
	r.pause(length(random))
	h.signal(syscall.SIGCONT)
}

func killHost(r *run, random *rand.Rand) {
	h := r.host(random)
	defer r.occupy(h)()
	defer r.trouble(h.name, troubleKill)()
	h.kill()
	r.pause(length(random) / 2)
	r.fail(h.start())
}

func stopHost(r *run, random *rand.Rand) {
	h := r.host(random)
	defer r.occupy(h)()
	stop := Stop{Host: h.name, At: time.Now()}
	stop.Took = h.stop()
	r.note(func() { r.history.Stops = append(r.history.Stops, stop) })
	defer r.trouble(h.name, "start")()
	r.fail(h.start())
}

func reload(r *run, random *rand.Rand) { r.host(random).signal(syscall.SIGHUP) }

// modes lists the link modes that disturb the traffic.
var modes = []Mode{ModeDelay, ModeSilent, ModeDeaf, ModeReset}

func cutStore(r *run, random *rand.Rand) {
	h, mode := r.host(random), modes[random.IntN(len(modes))]
	defer r.trouble(h.name, "store link "+string(mode))()
	h.store.Set(mode)
	r.pause(length(random))
	h.store.Set(ModePass)
}

func cutTarget(r *run, random *rand.Rand) {
	target, mode := r.target(random), modes[random.IntN(len(modes))]
	target.link.Set(mode)
	r.pause(length(random))
	target.link.Set(ModePass)
}

func failStore(r *run, random *rand.Rand) {
	kinds := []metastore.Faults{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {LoseAnswers: true},
	}
	defer r.trouble("", "store fails")()
	r.store.SetFaults(kinds[random.IntN(len(kinds))])
	r.pause(length(random))
	r.store.SetFaults(metastore.Faults{})
}

func forget(r *run, _ *rand.Rand) {
	defer r.trouble("", "store forgets")()
	r.store.SetFaults(metastore.Faults{Forgotten: r.store.Revision()})
}

func failTarget(r *run, random *rand.Rand) {
	target := r.target(random)
	kinds := []backend.Faults{{LoseAnswer: 0.2}, {BreakAnswer: 0.2}, {Fail: 0.3}, {Delay: 150 * time.Millisecond}}
	target.SetFaults(kinds[random.IntN(len(kinds))])
	r.pause(length(random))
	target.SetFaults(backend.Faults{})
}

func crashTarget(r *run, random *rand.Rand) {
	target := r.target(random)
	target.Crash()
	r.pause(length(random) / 2)
	r.store.Remove("servers", target.ID)
	r.fail(r.addTarget(target.Zone))
}

func drain(r *run, random *rand.Rand) {
	target := r.target(random)
	r.fail(r.addTarget(target.Zone))
	r.drainTarget(target)
	r.change(Change{Kind: ChangeDrain, Subject: target.ID, At: time.Now()})
	r.pause(drainWithin + length(random))
	r.store.Remove("servers", target.ID)
}

func evacuate(r *run, random *rand.Rand) {
	zone := zones[random.IntN(len(zones))]
	if !r.claimEvacuation() {
		return
	}
	r.store.Put("evacuations", zone, `{}`)
	change := Change{Kind: ChangeEvacuate, Subject: zone, At: time.Now()}
	r.pause(evacuateWithin + length(random))
	change.Until = time.Now()
	r.store.Remove("evacuations", zone)
	r.change(change)
	r.releaseEvacuation()
}

func configure(r *run, _ *rand.Rand) { r.configure() }

func revoke(r *run, _ *rand.Rand) {
	if key := r.takeKey(); key != "" {
		r.configure()
		r.change(Change{Kind: ChangeRevoke, Subject: key, At: time.Now()})
	}
}
