package monitor

import (
	"iter"
	"math"
	"sync"
	"time"

	"mulberrybeam"
)

// targetStats is the state of one target. Its lock is held for a copy or an
// addition only.
type targetStats struct {
	mutex sync.Mutex
	// removed is set once the state is no longer in the Monitor.
	removed bool
	mulberrybeam.TargetStats
	errorRateAt time.Duration
	usedAt      time.Duration
	// sendTimes has the send times of requests within coldWindow, oldest first.
	sendTimes []time.Duration
	fragile   fragileState
}

// lockTarget returns the locked state of a target, creating it if needed, and marks
// it as used now.
func (m *Monitor) lockTarget(id mulberrybeam.InstanceID) *targetStats {
	for {
		found, known := m.targets.Load(id)
		if !known {
			found, _ = m.targets.LoadOrStore(id, &targetStats{})
		}
		state := found.(*targetStats)
		state.mutex.Lock()
		if !state.removed {
			state.usedAt = m.now()
			return state
		}
		// RemoveIdle removed it in between, so that the next lookup does not
		// find it.
		state.mutex.Unlock()
	}
}

// allTargets yields the state of each target, which is not locked.
func (m *Monitor) allTargets() iter.Seq2[mulberrybeam.InstanceID, *targetStats] {
	return func(yield func(mulberrybeam.InstanceID, *targetStats) bool) {
		m.targets.Range(func(id, state any) bool {
			return yield(id.(mulberrybeam.InstanceID), state.(*targetStats))
		})
	}
}

// isIdle reports whether the state has not been used for long and holds no load, so
// that it need not be kept.
func (s *targetStats) isIdle(now time.Duration) bool {
	ttl := idleTTL
	if s.LeavingRun != "" {
		ttl = leavingTTL
	}
	return s.OwnLoad.Requests == 0 && s.PeerLoad == mulberrybeam.TargetLoad{} && now-s.usedAt > ttl && now >= s.PausedUntil
}

// trimSends removes the sends that are older than coldWindow.
func (s *targetStats) trimSends(now time.Duration) {
	expired := 0
	for expired < len(s.sendTimes) && now-s.sendTimes[expired] >= coldWindow {
		expired++
	}
	if expired > 0 {
		s.sendTimes = append(s.sendTimes[:0], s.sendTimes[expired:]...)
	}
}

// decayedErrorRate returns the error rate, decayed since the last outcome.
func (s *targetStats) decayedErrorRate(now time.Duration) float64 {
	return s.ErrorRate * math.Exp2(-float64(now-s.errorRateAt)/float64(errorHalfLife))
}

// reserve counts a request as sent unless limit requests were sent within coldWindow.
func (s *targetStats) reserve(load mulberrybeam.TargetLoad, limit int) bool {
	s.trimSends(s.usedAt)
	if limit > 0 && len(s.sendTimes) >= limit {
		return false
	}
	s.sendTimes = append(s.sendTimes, s.usedAt)
	s.OwnLoad = s.OwnLoad.Plus(load)
	return true
}
