// Package monitor keeps load and health statistics of each target: the requests
// in flight, latency and failures that this process observed, and the load that
// other entry hosts report.
package monitor

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
	// errorHalfLife is the time in which the error rate halves without new
	// responses, so that a failing target is tried again.
	errorHalfLife = 2 * time.Second
	// coldWindow is the sliding window in which requests to a cold target are
	// counted.
	coldWindow = time.Second
	// idleTTL is how long the state of an idle target or a silent peer is
	// kept.
	idleTTL = time.Minute
	// leavingTTL is how long the state of an idle target that leaves is kept. It is
	// longer than a target may take to stop.
	leavingTTL = time.Hour
	// peerLoadTTL is how long the last load update of a peer counts. It spans
	// several rounds of updates, but is short enough that the load of a host
	// that died does not keep requests away from targets for long.
	peerLoadTTL = 1500 * time.Millisecond
)

// Monitor keeps the statistics of each target. Its methods are safe for
// concurrent use by request goroutines. The control goroutine never takes its
// lock.
type Monitor struct {
	now   func() time.Duration
	mutex sync.Mutex
	stats map[mulberrybeam.InstanceID]*targetStats
	peers map[mulberrybeam.ProcessID]peerLoad
}

// targetStats is the state of one target.
type targetStats struct {
	mulberrybeam.TargetStats
	errorRateAt time.Duration
	usedAt      time.Duration
	// sendTimes has the send times of requests within coldWindow, oldest first.
	sendTimes []time.Duration
}

// peerLoad is the last load update from another entry host.
type peerLoad struct {
	sequence   uint64
	receivedAt time.Duration
	targets    map[mulberrybeam.InstanceID]mulberrybeam.TargetLoad
}

// New returns a Monitor without state.
func New(now func() time.Duration) *Monitor {
	return &Monitor{
		now: now, stats: map[mulberrybeam.InstanceID]*targetStats{}, peers: map[mulberrybeam.ProcessID]peerLoad{},
	}
}

// TargetStats returns the current statistics of a target, including the load from
// peers.
func (m *Monitor) TargetStats(id mulberrybeam.InstanceID) mulberrybeam.TargetStats {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	current := mulberrybeam.TargetStats{}
	if state, known := m.stats[id]; known {
		state.trimSends(now)
		current = state.TargetStats
		current.ErrorRate = state.decayedErrorRate(now)
		current.ColdSends = len(state.sendTimes)
	}
	for _, peer := range m.peers {
		if now-peer.receivedAt < peerLoadTTL {
			current.PeerLoad = current.PeerLoad.Plus(peer.targets[id])
		}
	}
	return current
}

// Reserve counts a request as sent and adds its load to the target. It returns
// false, and counts nothing, if the target got limit requests within the last
// second. A limit of 0 means no limit.
func (m *Monitor) Reserve(id mulberrybeam.InstanceID, load mulberrybeam.TargetLoad, limit int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	state.trimSends(state.usedAt)
	if limit > 0 && len(state.sendTimes) >= limit {
		return false
	}
	state.sendTimes = append(state.sendTimes, state.usedAt)
	state.OwnLoad = state.OwnLoad.Plus(load)
	return true
}

// RecordFirstByte records that a request got its first byte after latency. The target
// has then processed the prompt, so that prefillTokens leave its load.
func (m *Monitor) RecordFirstByte(id mulberrybeam.InstanceID, prefillTokens int, latency time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	state.OwnLoad.PrefillTokens -= prefillTokens
	state.LastReceivedAt = state.usedAt
	if state.Latency == 0 {
		state.Latency = latency
		return
	}
	state.Latency += time.Duration(smoothing * float64(latency-state.Latency))
}

// RecordReceived records that a target sent data.
func (m *Monitor) RecordReceived(id mulberrybeam.InstanceID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	state.LastReceivedAt = state.usedAt
}

// RecordEnd records the end of a request: it subtracts the rest of its load and
// adds its outcome to the error rate.
func (m *Monitor) RecordEnd(id mulberrybeam.InstanceID, remaining mulberrybeam.TargetLoad, failed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	state.OwnLoad.Requests -= remaining.Requests
	state.OwnLoad.PrefillTokens -= remaining.PrefillTokens
	state.OwnLoad.HeldTokens -= remaining.HeldTokens
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := state.decayedErrorRate(state.usedAt)
	state.ErrorRate, state.errorRateAt = rate+smoothing*(outcome-rate), state.usedAt
}

// Avoid keeps new requests away from a target for the given time.
func (m *Monitor) Avoid(id mulberrybeam.InstanceID, duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	state.AvoidUntil = max(state.AvoidUntil, state.usedAt+duration)
}

// RecordLeaving records that a run of a target is about to stop. It returns true if that
// was not known.
func (m *Monitor) RecordLeaving(target mulberrybeam.LiveTarget) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state, run := m.touch(target.ID), target.Incarnation()
	known := state.LeavingRun == run
	state.LeavingRun = run
	return !known
}

// Pause keeps new requests away from a target that asked for it. It returns true if
// the target was not paused before.
func (m *Monitor) Pause(id mulberrybeam.InstanceID, duration time.Duration) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	begins := state.PausedUntil <= state.usedAt
	state.PausedUntil = max(state.PausedUntil, state.usedAt+duration)
	return begins
}

// Suspect marks a target as possibly cold for the given time.
func (m *Monitor) Suspect(id mulberrybeam.InstanceID, duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.touch(id)
	state.SuspectUntil = max(state.SuspectUntil, state.usedAt+duration)
}

// OwnLoads returns the load of this process at each target, sorted by target ID.
func (m *Monitor) OwnLoads() []mulberrybeam.SharedLoad {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var loads []mulberrybeam.SharedLoad
	for id, state := range m.stats {
		if state.OwnLoad.Requests > 0 {
			loads = append(loads, mulberrybeam.SharedLoad{Target: id, Load: state.OwnLoad})
		}
	}
	slices.SortFunc(loads, func(a, b mulberrybeam.SharedLoad) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return loads
}

// ReceiveUpdate stores the load update of a peer unless a newer one is known. A sequence
// number far below the last one means that the peer restarted.
func (m *Monitor) ReceiveUpdate(update mulberrybeam.LoadUpdate) {
	const restartGap = 20
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last, found := m.peers[update.From]
	if found && update.Sequence < last.sequence && last.sequence-update.Sequence < restartGap {
		return
	}
	targets := make(map[mulberrybeam.InstanceID]mulberrybeam.TargetLoad, len(update.Targets))
	for _, shared := range update.Targets {
		targets[shared.Target] = shared.Load
	}
	m.peers[update.From] = peerLoad{sequence: update.Sequence, receivedAt: m.now(), targets: targets}
}

// RemoveIdle removes the state of targets without recent requests and of peers
// without recent reports.
func (m *Monitor) RemoveIdle() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	for id, state := range m.stats {
		ttl := idleTTL
		if state.LeavingRun != "" {
			ttl = leavingTTL
		}
		if state.OwnLoad.Requests == 0 && now-state.usedAt > ttl && now >= state.PausedUntil {
			delete(m.stats, id)
		}
	}
	for id, peer := range m.peers {
		if now-peer.receivedAt > idleTTL {
			delete(m.peers, id)
		}
	}
}

// touch returns the statistics of a target, creating them if needed, and marks
// them as used now.
func (m *Monitor) touch(id mulberrybeam.InstanceID) *targetStats {
	state := m.stats[id]
	if state == nil {
		state = &targetStats{}
		m.stats[id] = state
	}
	state.usedAt = m.now()
	return state
}

// trimSends removes the sends that are older than coldWindow.
func (s *targetStats) trimSends(now time.Duration) {
	expired := 0
	for expired < len(s.sendTimes) && now-s.sendTimes[expired] >= coldWindow {
		expired++
	}
	s.sendTimes = append(s.sendTimes[:0], s.sendTimes[expired:]...)
}

// decayedErrorRate returns the error rate, decayed since the last outcome.
func (s *targetStats) decayedErrorRate(now time.Duration) float64 {
	return s.ErrorRate * math.Exp2(-float64(now-s.errorRateAt)/float64(errorHalfLife))
}
