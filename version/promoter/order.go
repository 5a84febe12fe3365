package promoter

import (
	"fmt"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/judge"
)

// provenAfter is how long a version must have been registered before an order to
// it, so that it is not one that was started for the order.
const provenAfter = 10 * time.Second

// applyOrder applies the state of an order's object.
func (p *Promoter) applyOrder(turn mulberrybeam.Turn, name mulberrybeam.ServiceName, order *mulberrybeam.RolloutOrder, removed bool) []mulberrybeam.Action {
	s := p.serviceOf(name)
	publish := mulberrybeam.PublishSnapshot{}
	if removed || order == nil || order.Service != name {
		return s.endOrder(order, removed)
	}
	s.applyStatus(order.Status, order.To)
	switch {
	case order.Status.To == order.To && order.Status.State != mulberrybeam.RolloutRunning && order.Status.State != "":
		if s.active == nil {
			return []mulberrybeam.Action{publish}
		}
		s.active = nil
		return []mulberrybeam.Action{note(string(name), fmt.Sprintf("rollout to version %s: %s", order.To, order.Status.State)), publish}
	case s.active != nil && s.active.spec.To == order.To:
		return p.updateOrder(turn, s, *order)
	}
	if since, known := s.known[order.To]; known && !s.settled && turn.Now-since < provenAfter && p.servesOther(s, order.To) {
		// Its targets were listed before the order was.
		delete(s.known, order.To)
	}
	s.active = &rollout{
		spec: *order, seenAt: turn.Now, fromStart: p.ready(), firstRevision: order.Revision,
		evidence: newEvidence(0, turn.Now), judge: judge.New(),
	}
	text := fmt.Sprintf("order to version %s within %s, revision %d", order.To, order.Duration, order.Revision)
	return append([]mulberrybeam.Action{note(string(name), text), publish}, p.applyProgress(turn)...)
}

// endOrder ends the rollout of an order that was deleted or that the system cannot
// carry out, because it is nil or names another service.
func (s *service) endOrder(order *mulberrybeam.RolloutOrder, removed bool) []mulberrybeam.Action {
	text := "the order was deleted"
	switch {
	case removed && s.active == nil:
		return nil
	case removed:
	case order == nil:
		text = "the order cannot be decoded"
	default:
		text = "the order names the service " + string(order.Service)
	}
	if s.active == nil {
		return []mulberrybeam.Action{note(string(s.name), text+", it is ignored")}
	}
	text = fmt.Sprintf("%s, version %s gets no requests", text, s.active.spec.To)
	s.active = nil
	return []mulberrybeam.Action{note(string(s.name), text), mulberrybeam.PublishSnapshot{}}
}

// updateOrder adopts an order to the same version. Another duration begins the time
// again, but neither the stages nor the account.
func (p *Promoter) updateOrder(turn mulberrybeam.Turn, s *service, order mulberrybeam.RolloutOrder) []mulberrybeam.Action {
	r := s.active
	last := r.spec.Duration
	r.spec = order
	if order.Duration == last {
		return nil
	}
	r.seenAt, r.retimed = turn.Now, true
	return []mulberrybeam.Action{note(string(s.name), fmt.Sprintf("order to version %s within %s instead of %s, revision %d, the time begins again",
		order.To, order.Duration, last, order.Revision))}
}

// knows reports whether a version served all requests before.
func (s *service) knows(version mulberrybeam.SoftwareVersion) bool {
	_, known := s.known[version]
	return known
}

// applyStatus learns from the status of an order which versions may be used.
// ordered is the version that the order names.
func (s *service) applyStatus(status mulberrybeam.RolloutStatus, ordered mulberrybeam.SoftwareVersion) {
	switch {
	case status.State == mulberrybeam.RolloutSucceeded:
		if !s.settled || !s.knows(status.To) {
			s.known = map[mulberrybeam.SoftwareVersion]time.Duration{status.To: 0}
		}
		s.settled = true
		s.proven[status.To] = true
		delete(s.barred, status.To)
		delete(s.rolledBack, status.To)
	case status.State == mulberrybeam.RolloutRolledBack,
		status.State == mulberrybeam.RolloutRunning && status.To != ordered:
		if status.State == mulberrybeam.RolloutRolledBack {
			s.rolledBack[status.To] = true
		}
		// The only version that is left stays in use.
		if s.knows(status.To) && len(s.known) == 1 {
			return
		}
		s.barred[status.To] = true
		delete(s.known, status.To)
	}
}

// applyProgress adopts the stages in the lease.
func (p *Promoter) applyProgress(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, s := range p.activeServices() {
		r := s.active
		next := p.storedProgress(s)
		if next.Order == 0 && r.progress.Stage == mulberrybeam.StageFinal {
			// The leader has removed it after its success, which the feed of orders
			// may show later, or the store has lost it. Old targets may have stopped.
			continue
		}
		if next.Order != r.progress.Order {
			r.evidence, r.judge = newEvidence(next.Order, turn.Now), judge.New()
		}
		if next.Stage != r.progress.Stage || next.Order != r.progress.Order {
			r.stageSince = turn.Now
			actions = append(actions, note(string(s.name), fmt.Sprintf("version %s: stage %s after %s, published by %s",
				r.spec.To, next.Stage, p.elapsed(r, turn.Now).Round(time.Millisecond), p.leader.Lease().Holder)))
		}
		if r.firstOrder == 0 {
			r.firstOrder = next.Order
		}
		if next.Elapsed < r.progress.Elapsed {
			// The leader has begun the time again too.
			r.retimed = false
		}
		r.progress, r.progressAt = next, turn.Now
		if next.Stage == mulberrybeam.StageRolledBack {
			actions = append(actions, p.markBad(s, "the leader has rolled it back")...)
		}
	}
	return actions
}

// storedProgress returns the progress of a service's order in the lease. That of an
// earlier order to the same version does not count.
func (p *Promoter) storedProgress(s *service) mulberrybeam.RolloutProgress {
	for _, progress := range p.leader.Lease().Rollouts {
		if progress.Service == s.name && progress.To == s.active.spec.To &&
			(!s.active.fromStart || progress.Order >= s.active.firstRevision) {
			return progress
		}
	}
	return mulberrybeam.RolloutProgress{}
}

// elapsed returns the time since the order, which this process may have learned
// of later than the leader.
func (p *Promoter) elapsed(r *rollout, now time.Duration) time.Duration {
	elapsed := now - r.seenAt
	if r.progress.Order > 0 && !r.retimed {
		elapsed = max(elapsed, r.progress.Elapsed+now-r.progressAt)
	}
	return elapsed
}

// isDeaf reports whether this process hears too few hosts to lead.
func (p *Promoter) isDeaf(now time.Duration) bool {
	for _, s := range p.activeServices() {
		if !s.active.evidence.heard(now) {
			return true
		}
	}
	return false
}
