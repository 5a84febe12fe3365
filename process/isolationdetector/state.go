// Package isolationdetector decides whether this host is cut off from all targets. The
// State decides; the Detector shares it among requests and makes the probes.
package isolationdetector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// silenceLimit is how long all targets must have sent nothing. A sound one may be
	// silent for a second or so, which the second target and the probes rule out.
	silenceLimit = time.Second
	// minTargets is the number of distinct targets that must have failed or be silent.
	minTargets = 2
	// failureTTL is how long a failed connection is evidence.
	failureTTL = 2 * time.Second
	// minRecheck and maxRecheck limit the time between two suspicions that prove
	// wrong, each of which costs a connection to a target.
	minRecheck = time.Second
	maxRecheck = 2 * time.Second
	// firstShare is the share of requests that are sent directly at the beginning of
	// the return. It doubles every shareDoubling.
	firstShare    = 0.1
	shareDoubling = 300 * time.Millisecond
)

// State is the evidence and the phase of one host. It reads no clock and is not safe
// for concurrent use.
type State struct {
	phase    mulberrybeam.IsolationPhase
	phaseAt  time.Duration
	failures map[string]mulberrybeam.TargetFailure
	// waiting are the targets that were sent requests since waitingAt, with nothing
	// received from any.
	waiting   map[string]bool
	waitingAt time.Duration
	// recheckAt is when the next suspicion may begin, and recheck the time between
	// the last two.
	recheckAt time.Duration
	recheck   time.Duration
}

// NewState returns the State of a host that reaches targets.
func NewState() *State {
	return &State{
		phase: mulberrybeam.PhaseConnected, failures: map[string]mulberrybeam.TargetFailure{},
		waiting: map[string]bool{}, recheck: minRecheck,
	}
}

// Phase returns the current phase.
func (s *State) Phase() mulberrybeam.IsolationPhase { return s.phase }

// Evidence returns what is known.
func (s *State) Evidence(now time.Duration) mulberrybeam.IsolationEvidence {
	evidence := mulberrybeam.IsolationEvidence{Before: s.phase, Phase: s.phase, Silent: len(s.waiting), Lasted: now - s.phaseAt}
	if len(s.waiting) > 0 {
		evidence.SilentFor = now - s.waitingAt
	}
	evidence.Failures = slices.SortedFunc(maps.Values(s.failures), func(a, b mulberrybeam.TargetFailure) int {
		return cmp.Compare(a.Address, b.Address)
	})
	return evidence
}

// Sent records a request to a target, of targets that are known. It reports whether
// probes must be made. Received is when any target last sent something.
func (s *State) Sent(now, received time.Duration, address string, targets int) bool {
	if received >= s.waitingAt {
		clear(s.waiting)
	}
	if len(s.waiting) == 0 {
		s.waitingAt = now
	}
	s.waiting[address] = true
	return now-s.waitingAt >= silenceLimit && len(s.waiting) >= min(minTargets, targets) && s.suspect(now)
}

// ConnectionFailed records that no connection to a target could be opened. It reports
// whether probes must be made.
func (s *State) ConnectionFailed(now time.Duration, address, reason string, targets int) bool {
	maps.DeleteFunc(s.failures, func(_ string, failure mulberrybeam.TargetFailure) bool { return now-failure.At > failureTTL })
	s.failures[address] = mulberrybeam.TargetFailure{Address: address, At: now, Reason: reason}
	return len(s.failures) >= min(minTargets, targets) && s.suspect(now)
}

// ConnectionOpened records that a connection to a target was opened.
func (s *State) ConnectionOpened() { clear(s.failures) }

// suspect begins a suspicion unless one has just proved wrong, or probes are being made.
func (s *State) suspect(now time.Duration) bool {
	if s.phase != mulberrybeam.PhaseConnected || now < s.recheckAt {
		return false
	}
	s.enter(now, mulberrybeam.PhaseSuspecting)
	return true
}

// Probed records the result of probes, and whether all connections were opened. It
// reports whether the phase changed to or from isolation.
func (s *State) Probed(now time.Duration, opened, failed int) bool {
	switch {
	case opened+failed == 0:
		// No target is known, or the probes show nothing.
		return s.clear(now, s.phase == mulberrybeam.PhaseIsolated)
	case s.phase == mulberrybeam.PhaseSuspecting && opened > 0:
		s.recheckAt = now + s.recheck
		s.recheck = min(2*s.recheck, maxRecheck)
		return s.clear(now, false)
	case s.phase == mulberrybeam.PhaseSuspecting:
		s.recheck, s.recheckAt = minRecheck, 0
		s.enter(now, mulberrybeam.PhaseIsolated)
		return true
	case s.phase == mulberrybeam.PhaseIsolated && opened > 0:
		s.enter(now, mulberrybeam.PhaseReturning)
		s.forget()
		return true
	case s.phase == mulberrybeam.PhaseReturning && opened == 0:
		s.enter(now, mulberrybeam.PhaseIsolated)
		return true
	case s.phase == mulberrybeam.PhaseReturning && s.share(now) >= 1:
		return s.clear(now, true)
	}
	return false
}

// clear ends the phase, and returns changed.
func (s *State) clear(now time.Duration, changed bool) bool {
	s.enter(now, mulberrybeam.PhaseConnected)
	s.forget()
	return changed
}

func (s *State) forget() {
	clear(s.failures)
	clear(s.waiting)
}

func (s *State) enter(now time.Duration, phase mulberrybeam.IsolationPhase) {
	s.phase, s.phaseAt = phase, now
}

// share returns the share of requests that are sent directly while the host returns.
func (s *State) share(now time.Duration) float64 {
	share := firstShare
	for elapsed := now - s.phaseAt; elapsed >= shareDoubling && share < 1; elapsed -= shareDoubling {
		share *= 2
	}
	return min(share, 1)
}

// SendsDirectly decides whether a request is sent to targets. Random is uniformly
// distributed from 0 to 1.
func (s *State) SendsDirectly(now time.Duration, random float64) bool {
	switch s.phase {
	case mulberrybeam.PhaseIsolated:
		return false
	case mulberrybeam.PhaseReturning:
		return random < s.share(now)
	}
	return true
}
