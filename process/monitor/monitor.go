// Package monitor keeps load and health statistics of each target: the requests
// in flight, latency and failures that this process observed, and the load that
// other entry hosts report.
package monitor

import (
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
)

// Monitor keeps the statistics of each target. Its methods are safe for
// concurrent use by request goroutines. The control goroutine never takes its
// locks. Each target has a lock of its own, which is held for a copy or an
// addition. The loads of peers are added up when their datagrams arrive, so that a
// read costs the same at any number of hosts.
type Monitor struct {
	now func() time.Duration
	// targets maps mulberrybeam.InstanceID to *targetStats.
	targets sync.Map
	peers   *peers
	loans
}

// New returns a Monitor without state.
func New(now func() time.Duration) *Monitor {
	return &Monitor{now: now, peers: newPeers(), loans: newLoans()}
}

// TargetStats returns the current statistics of a target, including the load from
// peers.
func (m *Monitor) TargetStats(id mulberrybeam.InstanceID) mulberrybeam.TargetStats {
	now := m.now()
	m.expirePeers(now)
	found, known := m.targets.Load(id)
	if !known {
		return mulberrybeam.TargetStats{}
	}
	state := found.(*targetStats)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.trimSends(now)
	current := state.TargetStats
	current.ErrorRate = state.decayedErrorRate(now)
	current.ColdSends = len(state.sendTimes)
	state.fragile.fill(&current, now)
	return current
}

// Reserve counts a request as sent and adds its load to the target. It returns
// false, and counts nothing, if the target got limit requests within the last
// second. A limit of 0 means no limit.
func (m *Monitor) Reserve(id mulberrybeam.InstanceID, load mulberrybeam.TargetLoad, limit int) bool {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	return state.reserve(load, limit)
}

// RecordFirstByte records that a request got its first byte after latency. The target
// has then processed the prompt, so that prefillTokens leave its load.
func (m *Monitor) RecordFirstByte(id mulberrybeam.InstanceID, prefillTokens int, latency time.Duration) {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
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
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	state.LastReceivedAt = state.usedAt
}

// RecordEnd records the end of a request: it subtracts the rest of its load and
// adds its outcome to the error rate.
func (m *Monitor) RecordEnd(id mulberrybeam.InstanceID, remaining mulberrybeam.TargetLoad, failed bool) {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	state.OwnLoad.Requests -= remaining.Requests
	state.OwnLoad.PrefillTokens -= remaining.PrefillTokens
	state.OwnLoad.HeldTokens -= remaining.HeldTokens
	outcome := 0.0
	if failed {
		outcome = 1
	}
	m.returnShares(state, state.fragile.ownShares)
	rate := state.decayedErrorRate(state.usedAt)
	state.ErrorRate, state.errorRateAt = rate+smoothing*(outcome-rate), state.usedAt
}

// Avoid keeps new requests away from a target for the given time.
func (m *Monitor) Avoid(id mulberrybeam.InstanceID, duration time.Duration) {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	state.AvoidUntil = max(state.AvoidUntil, state.usedAt+duration)
}

// RecordLeaving records that a run of a target is about to stop. It returns true if that
// was not known.
func (m *Monitor) RecordLeaving(target mulberrybeam.LiveTarget) bool {
	run := target.Incarnation()
	state := m.lockTarget(target.ID)
	defer state.mutex.Unlock()
	known := state.LeavingRun == run
	state.LeavingRun = run
	return !known
}

// Pause keeps new requests away from a target that asked for it. It returns true if
// the target was not paused before.
func (m *Monitor) Pause(id mulberrybeam.InstanceID, duration time.Duration) bool {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	begins := state.PausedUntil <= state.usedAt
	state.PausedUntil = max(state.PausedUntil, state.usedAt+duration)
	return begins
}

// Suspect marks a target as possibly cold for the given time.
func (m *Monitor) Suspect(id mulberrybeam.InstanceID, duration time.Duration) {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	state.SuspectUntil = max(state.SuspectUntil, state.usedAt+duration)
}

// OwnLoads returns the load of this process at each target, sorted by target ID.
func (m *Monitor) OwnLoads() []mulberrybeam.SharedLoad {
	var loads []mulberrybeam.SharedLoad
	for id, state := range m.allTargets() {
		state.mutex.Lock()
		load := state.OwnLoad
		state.mutex.Unlock()
		if load.Requests > 0 {
			loads = append(loads, mulberrybeam.SharedLoad{Target: id, Load: load})
		}
	}
	slices.SortFunc(loads, func(a, b mulberrybeam.SharedLoad) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return loads
}

// RemoveIdle removes the state of targets without recent requests and of peers
// without recent reports.
func (m *Monitor) RemoveIdle() {
	now := m.now()
	for id, state := range m.allTargets() {
		state.mutex.Lock()
		if state.isIdle(now) {
			state.removed = true
			m.targets.Delete(id)
		}
		state.mutex.Unlock()
	}
	m.removeIdlePeers(now)
}
