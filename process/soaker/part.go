package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulberrybeam/connection/pauser"
)

// FaultCrashingPart is the name of the fault in which prompts with one shared part
// crash the targets.
const FaultCrashingPart = "crashing-part"

const (
	crashingPartTime = 12 * time.Second
	// crashingCallers send prompts with the crashing part, each with a pause
	// of up to crashingPause, and soundCallers send other prompts.
	crashingCallers = 3
	crashingPause   = time.Second
	soundCallers    = 6
	// A crashed target is back after this time, as a new instance.
	minDownTime = time.Second
	maxDownTime = 3 * time.Second
	// restoreInterval is the time between two checks for targets that are due
	// to be back.
	restoreInterval = 100 * time.Millisecond
)

// sharedParts lists the prompt parts that sound and crashing prompts share.
var sharedParts = []string{"a0", "a1", "a2", "a3"}

// partFault is the state of the fault that is in progress.
type partFault struct {
	part string
	// crashed maps targets that are down to the time at which they are back.
	crashed map[*target]time.Time
}

// sendCrashingPart sends prompts with a part that crashes the targets, and other
// prompts. Only one such fault is in progress at a time.
func sendCrashingPart(r *run, random *rand.Rand) {
	fault := &partFault{part: fmt.Sprintf("%08x", random.Uint32()), crashed: map[*target]time.Time{}}
	started := false
	r.withLock(func() {
		if started = r.partFault == nil; started {
			r.partFault = fault
		}
	})
	if !started {
		return
	}
	record := PartFault{Part: fault.part, From: time.Now()}
	ctx, cancel := context.WithTimeout(r.ctx, crashingPartTime)
	defer cancel()
	var group sync.WaitGroup
	for i := range crashingCallers + soundCallers {
		part, pause := fault.part, crashingPause
		if i >= crashingCallers {
			part, pause = "", callPause
		}
		group.Go(func() { r.sendPrompts(ctx, fmt.Sprintf("prompt-%s-%d", fault.part, i), part, pause) })
	}
	for pauser.Pause(ctx, restoreInterval) {
		r.restoreTargets(fault, time.Now())
	}
	group.Wait()
	record.To = time.Now()
	r.withLock(func() {
		r.partFault = nil
		r.history.PartFaults = append(r.history.PartFaults, record)
	})
	r.restoreTargets(fault, time.Now().Add(maxDownTime))
}

// crashOn returns the function that crashes a target if the prompt of its request
// has the crashing part, or nil. The caller must hold the mutex.
func (r *run) crashOn(added *target, request string, parts []string) func() {
	fault := r.partFault
	if fault == nil || !slices.Contains(parts, fault.part) {
		return nil
	}
	return func() {
		r.withLock(func() {
			if _, down := fault.crashed[added]; down {
				return
			}
			now := time.Now()
			fault.crashed[added] = now.Add(minDownTime + rand.N(maxDownTime-minDownTime))
			r.history.Crashes = append(r.history.Crashes, Crash{At: now, Request: request, Target: added.ID, Part: fault.part})
			r.history.Outages = append(r.history.Outages, Outage{Target: added.ID, From: now})
		})
		// The address refuses connections before the open ones end.
		added.link.Close()
		added.Crash()
	}
}

// restoreTargets replaces the targets that are due to be back at the given time.
func (r *run) restoreTargets(fault *partFault, now time.Time) {
	var due []*target
	r.withLock(func() {
		for crashed, backAt := range fault.crashed {
			if !backAt.IsZero() && backAt.Before(now) {
				due = append(due, crashed)
				fault.crashed[crashed] = time.Time{}
			}
		}
	})
	for _, crashed := range due {
		r.operator.remove("servers", crashed.ID)
		r.recordError(r.addTarget(crashed.Zone))
	}
}

// sendPrompts sends prompts that contain the part, unless it is empty, to random
// hosts until ctx is canceled.
func (r *run) sendPrompts(ctx context.Context, name, part string, maxPause time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client, random := &http.Client{Transport: transport}, r.random(name)
	for i := 0; pauser.Pause(ctx, time.Duration(random.Int64N(int64(maxPause)))); i++ {
		result := r.newResult(random, fmt.Sprintf("%x-%s-%d", r.seed, name, i))
		result.Kind = KindStream
		result.Parts = []string{
			sharedParts[random.IntN(len(sharedParts))], sharedParts[random.IntN(len(sharedParts))], fmt.Sprintf("%016x", random.Uint64()),
		}
		if part != "" {
			result.Parts[random.IntN(len(result.Parts)-1)] = part
		}
		sendRequest(ctx, client, r.hostByName(result.Host).callerAddress, &result)
		r.withLock(func() { r.history.Results = append(r.history.Results, result) })
	}
}
