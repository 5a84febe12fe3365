// Package gauger keeps what the traffic of this process has seen of each
// target: work in flight, latency and failures, and the work of the other entry
// hosts as they tell it.
package gauger

import (
	"math"
	"slices"
	"strings"
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
	// peerLife is how long a peer's word counts. It is several rounds, and
	// short enough that the work of a host that died does not hold others
	// off for long.
	peerLife = 1500 * time.Millisecond
)

// Gauger keeps one gauge a target. Its methods may be called from any traffic
// goroutine. Control never takes its lock.
type Gauger struct {
	now    func() time.Duration
	mutex  sync.Mutex
	gauges map[mulberrybeam.InstanceID]*gauge
	peers  map[mulberrybeam.ProcessID]peer
}

type gauge struct {
	mulberrybeam.Gauge
	errorAt time.Duration
	usedAt  time.Duration
	// sends are the times of recent requests.
	sends []time.Duration
}

// peer is what another entry host told last.
type peer struct {
	sequence uint64
	at       time.Duration
	targets  map[mulberrybeam.InstanceID]mulberrybeam.TargetLoad
}

// New returns a Gauger without state.
func New(now func() time.Duration) *Gauger {
	return &Gauger{
		now: now, gauges: map[mulberrybeam.InstanceID]*gauge{}, peers: map[mulberrybeam.ProcessID]peer{},
	}
}

// Gauge returns the state of a target.
func (g *Gauger) Gauge(id mulberrybeam.InstanceID) mulberrybeam.Gauge {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	copied := mulberrybeam.Gauge{}
	if state, known := g.gauges[id]; known {
		state.trim(now)
		copied = state.Gauge
		copied.ErrorShare = state.errorShare(now)
		copied.ColdSends = len(state.sends)
	}
	for _, peer := range g.peers {
		if now-peer.at < peerLife {
			copied.Peers = copied.Peers.Plus(peer.targets[id])
		}
	}
	return copied
}

// Reserve counts a request as sent unless the target got limit requests
// within the last second. A limit of 0 is no bound.
func (g *Gauger) Reserve(id mulberrybeam.InstanceID, load mulberrybeam.TargetLoad, limit int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.trim(state.usedAt)
	if limit > 0 && len(state.sends) >= limit {
		return false
	}
	state.sends = append(state.sends, state.usedAt)
	state.Own = state.Own.Plus(load)
	return true
}

// Started notes that a request got its first byte, so that its prompt is read.
func (g *Gauger) Started(id mulberrybeam.InstanceID, unread int, latency time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.Own.Unread -= unread
	state.HeardAt = state.usedAt
	if state.Latency == 0 {
		state.Latency = latency
		return
	}
	state.Latency += time.Duration(smoothing * float64(latency-state.Latency))
}

// Heard notes that a target sent something.
func (g *Gauger) Heard(id mulberrybeam.InstanceID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.HeardAt = state.usedAt
}

// Finished takes back what is left of a request's load at its end.
func (g *Gauger) Finished(id mulberrybeam.InstanceID, left mulberrybeam.TargetLoad, failed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.Own.Requests -= left.Requests
	state.Own.Unread -= left.Unread
	state.Own.Held -= left.Held
	outcome := 0.0
	if failed {
		outcome = 1
	}
	share := state.errorShare(state.usedAt)
	state.ErrorShare, state.errorAt = share+smoothing*(outcome-share), state.usedAt
}

// Avoid keeps new requests from a target for a while.
func (g *Gauger) Avoid(id mulberrybeam.InstanceID, length time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.AvoidUntil = max(state.AvoidUntil, state.usedAt+length)
}

// Suspect treats a target as cold for a while.
func (g *Gauger) Suspect(id mulberrybeam.InstanceID, length time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.SuspectUntil = max(state.SuspectUntil, state.usedAt+length)
}

// Loads returns this process's work at targets, in a fixed order.
func (g *Gauger) Loads() []mulberrybeam.SharedLoad {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var loads []mulberrybeam.SharedLoad
	for id, state := range g.gauges {
		if state.Own.Requests > 0 {
			loads = append(loads, mulberrybeam.SharedLoad{Target: id, Load: state.Own})
		}
	}
	slices.SortFunc(loads, func(a, b mulberrybeam.SharedLoad) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return loads
}

// Take accepts what a peer told, unless it told something newer. A sequence far
// below the last one is that of a new run of the peer.
func (g *Gauger) Take(share mulberrybeam.LoadShare) {
	const newRun = 20
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known, told := g.peers[share.From]
	if told && share.Sequence < known.sequence && known.sequence-share.Sequence < newRun {
		return
	}
	targets := make(map[mulberrybeam.InstanceID]mulberrybeam.TargetLoad, len(share.Targets))
	for _, shared := range share.Targets {
		targets[shared.Target] = shared.Load
	}
	g.peers[share.From] = peer{sequence: share.Sequence, at: g.now(), targets: targets}
}

// Forget drops the state of targets that were not used for a while, and of
// peers that fell silent.
func (g *Gauger) Forget() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	for id, state := range g.gauges {
		if state.Own.Requests == 0 && now-state.usedAt > forgetAfter {
			delete(g.gauges, id)
		}
	}
	for id, peer := range g.peers {
		if now-peer.at > forgetAfter {
			delete(g.peers, id)
		}
	}
}

func (g *Gauger) at(id mulberrybeam.InstanceID) *gauge {
	state := g.gauges[id]
	if state == nil {
		state = &gauge{}
		g.gauges[id] = state
	}
	state.usedAt = g.now()
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
