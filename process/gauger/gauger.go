// Package gauger keeps load and health statistics of each target: the requests
// in flight, latency and failures that this process observed, and the load that
// other entry hosts report.
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
	// smoothing is the weight of the latest response in moving averages.
	smoothing = 0.2
	// errorHalfLife is the time in which the error share halves without new
	// responses, so that a failing target is tried again.
	errorHalfLife = 2 * time.Second
	// coldWindow is the sliding window in which requests to a cold target are
	// counted.
	coldWindow = time.Second
	// forgetAfter is how long the state of an idle target or a silent peer is
	// kept.
	forgetAfter = time.Minute
	// peerLife is how long the last load report of a peer counts. It spans
	// several rounds of reports, but is short enough that the load of a host
	// that died does not keep requests away from targets for long.
	peerLife = 1500 * time.Millisecond
)

// Gauger keeps one gauge per target. Its methods are safe for concurrent use by
// request goroutines. The control goroutine never takes its lock.
type Gauger struct {
	now    func() time.Duration
	mutex  sync.Mutex
	gauges map[mulberrybeam.InstanceID]*gauge
	peers  map[mulberrybeam.ProcessID]peer
}

// gauge is the state of one target.
type gauge struct {
	mulberrybeam.Gauge
	errorAt time.Duration
	usedAt  time.Duration
	// sends has the send times of requests within coldWindow, oldest first.
	sends []time.Duration
}

// peer is the last load report of another entry host.
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

// Gauge returns the current statistics of a target, including the load from
// peers.
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

// Reserve counts a request as sent and adds its load to the target. It returns
// false, and counts nothing, if the target got limit requests within the last
// second. A limit of 0 means no limit.
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

// Started records that a request got its first byte after latency. The target
// has then read the prompt, so that its unread tokens leave the load.
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

// Heard records that a target sent data.
func (g *Gauger) Heard(id mulberrybeam.InstanceID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.HeardAt = state.usedAt
}

// Finished records the end of a request: it subtracts the rest of its load and
// adds its outcome to the error share.
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

// Avoid keeps new requests away from a target for the given time.
func (g *Gauger) Avoid(id mulberrybeam.InstanceID, length time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.AvoidUntil = max(state.AvoidUntil, state.usedAt+length)
}

// Suspect marks a target as possibly cold for the given time.
func (g *Gauger) Suspect(id mulberrybeam.InstanceID, length time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.at(id)
	state.SuspectUntil = max(state.SuspectUntil, state.usedAt+length)
}

// Loads returns the load of this process at each target, sorted by target ID.
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

// Take stores the load report of a peer unless a newer one is known. A sequence
// number far below the last one means that the peer restarted.
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

// Forget removes the state of targets without recent requests and of peers
// without recent reports.
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

// at returns the gauge of a target, creating it if needed, and marks it as used
// now.
func (g *Gauger) at(id mulberrybeam.InstanceID) *gauge {
	state := g.gauges[id]
	if state == nil {
		state = &gauge{}
		g.gauges[id] = state
	}
	state.usedAt = g.now()
	return state
}

// trim removes the sends that are older than coldWindow.
func (s *gauge) trim(now time.Duration) {
	old := 0
	for old < len(s.sends) && now-s.sends[old] >= coldWindow {
		old++
	}
	s.sends = append(s.sends[:0], s.sends[old:]...)
}

// errorShare returns the error share, decayed since the last outcome.
func (s *gauge) errorShare(now time.Duration) float64 {
	return s.ErrorShare * math.Exp2(-float64(now-s.errorAt)/float64(errorHalfLife))
}
