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
	name   string
	inject func(r *run, random *rand.Rand)
}

// faults lists all faults, from which a run chooses at random. Each fault runs
// until it has been reverted; several may overlap.
var faults = []fault{
	{"freeze", freezeHost},
	{"kill", killHost},
	{"stop", stopHost},
	{"reload", reloadHost},
	{"store link", disturbStoreLink},
	{"target link", disturbTargetLink},
	{"store fails", failStore},
	{"store forgets", forgetChanges},
	{"target fails", failTarget},
	{"target crashes", crashTarget},
	{"drain", replaceTarget},
	{"evacuate", evacuateZone},
	{"configure", rewriteConfiguration},
	{"revoke", revokeKey},
}

// trafficFaults lists the faults that depend on the traffic. A run chooses from
// them independently of the other faults, which they overlap.
var trafficFaults = []fault{
	{FaultSilence, silenceTargets},
	{FaultSplitHeads, splitHeads},
	{FaultCrashingPart, sendCrashingPart},
}

// FaultSilence is the name of the fault in which targets send nothing for a time
// and then continue.
const FaultSilence = "silence"

// Limits of the silence of a target.
const (
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
)

// silenceTargets silences one or several targets.
func silenceTargets(r *run, random *rand.Rand) {
	var longest time.Duration
	for range 1 + random.IntN(targetsPerZone*len(zones)) {
		silence := minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
		r.randomTarget(random).Silence(silence)
		longest = max(longest, silence)
	}
	r.pause(longest)
}

// randomDuration returns a random duration for a fault.
func randomDuration(random *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(random.IntN(3500))*time.Millisecond
}

func freezeHost(r *run, random *rand.Rand) {
	h := r.randomHost(random)
	defer r.startDisruption(h.name, disruptionFreeze)()
	h.signal(syscall.SIGSTOP)
	r.pause(randomDuration(random))
	h.signal(syscall.SIGCONT)
}

func killHost(r *run, random *rand.Rand) {
	h := r.randomHost(random)
	defer r.acquireRestart(h)()
	defer r.startDisruption(h.name, disruptionKill)()
	h.kill()
	r.pause(randomDuration(random) / 2)
	r.recordError(h.start())
}

func stopHost(r *run, random *rand.Rand) { r.stop(r.randomHost(random)) }

// stop stops a host and starts it again.
func (r *run) stop(h *host) {
	defer r.acquireRestart(h)()
	stop := Stop{Host: h.name, At: time.Now()}
	stop.Duration = h.stop()
	r.withLock(func() { r.history.Stops = append(r.history.Stops, stop) })
	defer r.startDisruption(h.name, disruptionStart)()
	r.recordError(h.start())
}

func reloadHost(r *run, random *rand.Rand) { r.randomHost(random).signal(syscall.SIGHUP) }

// faultyModes lists the link modes that disturb the traffic.
var faultyModes = []Mode{ModeDelay, ModeHold, ModeHoldResponses, ModeReset}

func disturbStoreLink(r *run, random *rand.Rand) {
	h, mode := r.randomHost(random), faultyModes[random.IntN(len(faultyModes))]
	defer r.startDisruption(h.name, "store link "+string(mode))()
	h.storeLink.Set(mode)
	r.pause(randomDuration(random))
	h.storeLink.Set(ModePass)
}

func disturbTargetLink(r *run, random *rand.Rand) {
	target, mode := r.randomTarget(random), faultyModes[random.IntN(len(faultyModes))]
	defer r.startOutage(target.ID)()
	target.link.Set(mode)
	r.pause(randomDuration(random))
	target.link.Set(ModePass)
}

func failStore(r *run, random *rand.Rand) {
	kinds := []metastore.Faults{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {LoseAnswers: true},
	}
	defer r.startDisruption("", "store fails")()
	r.store.SetFaults(kinds[random.IntN(len(kinds))])
	r.pause(randomDuration(random))
	r.store.SetFaults(metastore.Faults{})
}

func forgetChanges(r *run, _ *rand.Rand) {
	defer r.startDisruption("", "store forgets")()
	r.store.SetFaults(metastore.Faults{CompactedRevision: r.store.Revision()})
}

func failTarget(r *run, random *rand.Rand) {
	target := r.randomTarget(random)
	kinds := []backend.Faults{{LoseAnswerShare: 0.2}, {BreakAnswerShare: 0.2}, {FailShare: 0.3}, {Delay: 150 * time.Millisecond}}
	defer r.startOutage(target.ID)()
	target.SetFaults(kinds[random.IntN(len(kinds))])
	r.pause(randomDuration(random))
	target.SetFaults(backend.Faults{})
}

func crashTarget(r *run, random *rand.Rand) {
	target := r.randomTarget(random)
	r.startOutage(target.ID)
	target.Crash()
	r.pause(randomDuration(random) / 2)
	r.operator.remove("servers", target.ID)
	r.recordError(r.addTarget(target.Zone))
}

func replaceTarget(r *run, random *rand.Rand) {
	target := r.randomTarget(random)
	r.recordError(r.addTarget(target.Zone))
	r.drainTarget(target)
	r.addChange(Change{Kind: ChangeDrain, Subject: target.ID, At: time.Now()})
	r.pause(drainLimit + randomDuration(random))
	r.operator.remove("servers", target.ID)
}

func evacuateZone(r *run, random *rand.Rand) {
	zone := zones[random.IntN(len(zones))]
	if !r.tryStartEvacuation() {
		return
	}
	r.operator.put("evacuations", zone, `{}`)
	change := Change{Kind: ChangeEvacuate, Subject: zone, At: time.Now()}
	r.pause(evacuateLimit + randomDuration(random))
	change.RevertedAt = time.Now()
	r.operator.remove("evacuations", zone)
	r.addChange(change)
	r.endEvacuation()
}

func rewriteConfiguration(r *run, _ *rand.Rand) { r.writeConfiguration() }

func revokeKey(r *run, _ *rand.Rand) {
	if key := r.removeKey(); key != "" {
		r.writeConfiguration()
		r.addChange(Change{Kind: ChangeRevoke, Subject: key, At: time.Now()})
	}
}
