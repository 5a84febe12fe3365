// Package gauger keeps what the traffic of this process has seen of each
// target: requests in flight, reported load, latency and failures.
package gauger

import (
	"math"
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// smoothing is the weight of the newest answer in averages.
	smoothing = 0.2
	// errorHalfLife is the time in which the share of failures halves
	// without new answers, so that a target is tried again.
	errorHalfLife = 2 * time.Second
	// coldWindow is the time over which requests to a cold target count.
	coldWindow = time.Second
	// forgetAfter is when an idle target's state is dropped.
	forgetAfter = time.Minute
)

// Gauger keeps one gauge a target. Its methods may be called from any traffic
// goroutine. Control never takes its lock.
type Gauger struct {
	mutex  sync.Mutex
	gauges map[mulberrybeam.InstanceID]*gauge
}

type gauge struct {
	mulberrybeam.Gauge
	errorAt time.Duration
	usedAt  time.Duration
	// sends are the times of recent requests.
	sends []time.Duration
}

// New returns a Gauger without state.
func New() *Gauger { return &Gauger{gauges: map[mulberrybeam.InstanceID]*gauge{}} }

// Gauge returns the state of a target.
func (g *Gauger) Gauge(id mulberrybeam.InstanceID, now time.Duration) mulberrybeam.Gauge {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state, known := g.gauges[id]
	if !known {
		return mulberrybeam.Gauge{}
	}
	state.trim(now)
	copied := state.Gauge
	copied.ErrorShare = state.errorShare(now)
	copied.ColdSends = len(state.sends)
	return copied
}

// Reserve counts a request as sent unless the target got limit requests
// within the last second. A limit of 0 is no bound.
func (g *Gauger) Reserve(id mulberrybeam.InstanceID, now time.Duration, tokens, limit int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id, now)
	state.trim(now)
	if limit > 0 && len(state.sends) >= limit {
		return false
	}
	state.sends = append(state.sends, now)
	state.InFlight++
	state.PromptTokens += tokens
	return true
}

// Started notes that a request got its first byte, so that its prompt is read.
func (g *Gauger) Started(id mulberrybeam.InstanceID, now time.Duration, tokens int, latency time.Duration, load *mulberrybeam.LoadSample) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id, now)
	state.PromptTokens = max(state.PromptTokens-tokens, 0)
	if load != nil {
		state.Load, state.SeenAt, state.SentBefore = *load, now, state.InFlight
	}
	if state.Latency == 0 {
		state.Latency = latency
		return
	}
	state.Latency += time.Duration(smoothing * float64(latency-state.Latency))
}

// Finished notes the end of a request.
func (g *Gauger) Finished(id mulberrybeam.InstanceID, now time.Duration, failed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id, now)
	state.InFlight = max(state.InFlight-1, 0)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	share := state.errorShare(now)
	state.ErrorShare, state.errorAt = share+smoothing*(outcome-share), now
}

// Abandoned takes back the prompt of a request that ended before its first
// byte.
func (g *Gauger) Abandoned(id mulberrybeam.InstanceID, now time.Duration, tokens int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id, now)
	state.PromptTokens = max(state.PromptTokens-tokens, 0)
}

// Avoid keeps new requests from a target until a time.
func (g *Gauger) Avoid(id mulberrybeam.InstanceID, now, until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id, now)
	state.AvoidUntil = max(state.AvoidUntil, until)
}

// Suspect treats a target as cold until a time.
func (g *Gauger) Suspect(id mulberrybeam.InstanceID, now, until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id, now)
	state.SuspectUntil = max(state.SuspectUntil, until)
}

// Forget drops the state of targets that were not used for a while.
func (g *Gauger) Forget(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for id, state := range g.gauges {
		if state.InFlight == 0 && now-state.usedAt > forgetAfter {
			delete(g.gauges, id)
		}
	}
}

func (g *Gauger) at(id mulberrybeam.InstanceID, now time.Duration) *gauge {
	state := g.gauges[id]
	if state == nil {
		state = &gauge{}
		g.gauges[id] = state
	}
	state.usedAt = now
	return state
}

func (s *gauge) trim(now time.Duration) {
	old := 0
	for old < len(s.sends) && now-s.sends[old] >= coldWindow {
		old++
	}
	s.sends = append(s.sends[:0], s.sends[old:]...)
}

func (s *gauge) errorShare(now time.Duration) float64 {
	return s.ErrorShare * math.Exp2(-float64(now-s.errorAt)/float64(errorHalfLife))
}
