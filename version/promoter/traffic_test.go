package promoter_test

import (
	"fmt"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/tallier"
	"mulberrybeam/request/sampler"
)

// request runs one request on a host, as the request path does.
func (m *model) request(h *host) {
	if h.frozen {
		return
	}
	if m.order != nil {
		m.requests++
	}
	route := "a"
	if m.random.IntN(4) == 0 {
		route = "b"
	}
	version, rollout := m.choose(h)
	target := m.target(version, rollout)
	attempt, allowed := h.tally.Begin(tallier.Start{Service: "s", Route: route, Target: target, Software: version, Rollout: rollout})
	if !allowed {
		if m.without.drain {
			m.running = append(m.running, m.now+m.runTime)
		}
		return
	}
	loaded := rollout != nil && (rollout.Targets != nil || rollout.Stage >= mulberrybeam.StageFull)
	outcome := tallier.Outcome{FirstResponse: time.Duration(20+m.random.IntN(20)) * time.Millisecond}
	isNew := version != "v1"
	isBad := isNew && (m.isBad(m, version, loaded, route) || target == m.faulty && m.random.IntN(2) == 0)
	if isBad && m.slow > 0 {
		outcome.FirstResponse *= m.slow
	}
	outcome.Failed = isBad && m.slow == 0 || m.random.IntN(500) == 0
	h.attempts = append(h.attempts, running{m.now + m.runTime, attempt, outcome, isBad})
	if !isNew {
		m.running = append(m.running, m.now+m.runTime)
		if !h.cut && m.doneAt > 0 && m.order.Status.State == mulberrybeam.RolloutSucceeded {
			m.violations = append(m.violations, fmt.Sprintf("host %s sent to an old target at %s, after success at %s", h.id, m.now, m.doneAt))
		}
		return
	}
	m.exposed++
	m.lastExposedAt, m.requestsThen = m.now, m.requests
}

// target returns the target of a request.
func (m *model) target(version mulberrybeam.SoftwareVersion, rollout *mulberrybeam.FleetRollout) mulberrybeam.InstanceID {
	for {
		id := mulberrybeam.InstanceID(fmt.Sprint(version, m.random.IntN(newTargets)))
		if rollout == nil || rollout.To != version || rollout.Targets == nil || rollout.Targets[id] {
			return id
		}
	}
}

// choose returns the version that a request goes to.
func (m *model) choose(h *host) (mulberrybeam.SoftwareVersion, *mulberrybeam.FleetRollout) {
	rollout := h.rollout
	if rollout == nil {
		if m.order != nil && m.order.Status.State == mulberrybeam.RolloutSucceeded && !h.cut {
			return m.order.Status.To, nil
		}
		return "v1", nil
	}
	now := m.now
	if m.without.age {
		now = 0
	}
	query := sampler.Query{Now: now, Rollout: rollout, Request: mulberrybeam.RequestID(fmt.Sprint(m.requests)), First: true}
	side := sampler.Decide(query, func() bool { return m.without.account || h.tally.Reserve("s", rollout) })
	if side == sampler.New {
		return rollout.To, rollout
	}
	return "v1", rollout
}

func (m *model) endAttempts(h *host) {
	var left []running
	for _, r := range h.attempts {
		if r.endAt > m.now {
			left = append(left, r)
			continue
		}
		r.attempt.End(r.outcome)
		if r.isNew {
			if m.badResponses++; m.badResponses == 50 {
				m.fiftiethAt = m.now
			}
		}
	}
	h.attempts = left
}

// check returns what does not hold of a rollout that should end in a state.
func (m *model) check(want mulberrybeam.RolloutState) []string {
	problems := m.violations
	if m.order.Status.State != want || m.doneAt > orderAt+duration {
		problems = append(problems, fmt.Sprintf("status %q at %s, want %q by %s", m.order.Status.State, m.doneAt, want, orderAt+duration))
	}
	if want != mulberrybeam.RolloutRolledBack {
		return problems
	}
	if limit := bounds.ExposureShare*float64(m.requestsThen) + bounds.ExposureSlack; float64(m.exposed) > limit {
		problems = append(problems, fmt.Sprintf("%d of %d requests were exposed", m.exposed, m.requestsThen))
	}
	if m.lastExposedAt > m.doneAt+bounds.RollbackWithin {
		problems = append(problems, fmt.Sprintf("rolled back at %s, a request to the version at %s", m.doneAt, m.lastExposedAt))
	}
	if m.fiftiethAt > 0 && m.lastExposedAt > m.fiftiethAt+bounds.RollbackWithin {
		problems = append(problems, fmt.Sprintf("50th bad response at %s, a request to the version at %s", m.fiftiethAt, m.lastExposedAt))
	}
	return problems
}
