package promoter

import (
	"fmt"
	"time"

	"mulberrybeam"
)

// statusInterval is the time between two writes of a status. A feed shows the
// first one within that time.
const statusInterval = time.Second

// lead decides on the stages and writes the statuses while this process is the
// leader, and claims the lease if there is none.
func (p *Promoter) lead(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if !p.leads(turn.Now) {
		return p.maintainLease(turn, p.leader.Lease().Rollouts)
	}
	var actions []mulberrybeam.Action
	var progress []mulberrybeam.RolloutProgress
	for _, s := range p.activeServices() {
		situation := p.situation(s, turn.Now)
		next, decided := p.nextProgress(s, situation)
		progress = append(progress, next)
		actions = append(actions, decided...)
		actions = append(actions, p.writeStatus(turn, s, situation)...)
	}
	if p.isDeaf(turn.Now) {
		// Another host that hears more takes over when the lease has ended.
		return actions
	}
	return append(actions, p.maintainLease(turn, progress)...)
}

// nextProgress returns what to publish of a rollout.
func (p *Promoter) nextProgress(s *service, situation Situation) (mulberrybeam.RolloutProgress, []mulberrybeam.Action) {
	r := s.active
	next := r.progress
	next.Service, next.To, next.Elapsed = s.name, r.spec.To, situation.Elapsed
	if next.Order == 0 {
		next.Order = r.spec.Revision
		return next, nil
	}
	next.Good = situation.Good
	stage, why := NextStage(situation)
	next.Stage = stage
	if stage == r.progress.Stage || stage == r.decided {
		return next, nil
	}
	r.decided = stage
	return next, []mulberrybeam.Action{note(string(s.name), fmt.Sprintf(
		"version %s goes to stage %s after %s of %s, %s (%s; %d warm and %d old slots)", r.spec.To, stage,
		situation.Elapsed.Round(time.Millisecond), r.spec.Duration, why, situation.Verdict.Text, situation.WarmSlots, situation.OldSlots))}
}

// situation returns what this process knows of a rollout.
func (p *Promoter) situation(s *service, now time.Duration) Situation {
	r := s.active
	situation := Situation{
		Stage: r.progress.Stage, Elapsed: p.elapsed(r, now), Duration: r.spec.Duration, InStage: now - r.stageSince,
		Verdict: r.judge.Verdict(), Known: s.isProven(r.spec.To), Heard: r.evidence.heard(now),
		Drained: r.evidence.drained(r.progress.Stage, now, p.registeredAt),
	}
	situation.CountedFor = now - r.evidence.since
	situation.Share, situation.Slack = p.bounds.ExposureShare, p.bounds.ExposureSlack
	situation.Verdict.Bad = situation.Verdict.Bad || r.bad
	situation.Good = r.progress.Good || situation.Verdict.Good
	if !situation.Good && situation.Stage < mulberrybeam.StageFull && situation.Elapsed >= situation.lastCallAt() {
		situation.GoodWithoutOne = r.evidence.goodWithoutOne(now, len(p.newTargets(s)))
	}
	for _, target := range p.targets {
		switch {
		case target.Service != s.name || target.Draining:
		case target.Software == r.spec.To && now >= target.coldUntil:
			situation.WarmSlots += target.Slots
		case s.knows(target.Software) && target.Software != r.spec.To:
			situation.OldSlots += target.Slots
		}
	}
	return situation
}

// writeStatus writes the status of an order if it is not the current one.
func (p *Promoter) writeStatus(turn mulberrybeam.Turn, s *service, situation Situation) []mulberrybeam.Action {
	r := s.active
	status := mulberrybeam.RolloutStatus{State: mulberrybeam.RolloutRunning, To: r.spec.To}
	switch {
	case r.progress.Stage == mulberrybeam.StageRolledBack:
		status.State = mulberrybeam.RolloutRolledBack
	case MaySucceed(situation):
		status.State = mulberrybeam.RolloutSucceeded
	}
	if status == r.spec.Status || turn.Now < r.nextStatusAt {
		return nil
	}
	r.nextStatusAt = turn.Now + statusInterval
	ticket := newTicket(turn)
	p.statusTickets[ticket] = s.name
	return []mulberrybeam.Action{
		note(string(s.name), fmt.Sprintf("writing status %s of version %s after %s, %s after stage %s began",
			status.State, r.spec.To, situation.Elapsed.Round(time.Millisecond), situation.InStage.Round(time.Millisecond), situation.Stage)),
		mulberrybeam.CallObject{Op: mulberrybeam.OpStatus, Object: p.encoder.RolloutStatus(r.spec, status), Ticket: ticket},
	}
}

// handleReply handles the response to a write.
func (p *Promoter) handleReply(turn mulberrybeam.Turn, reply mulberrybeam.ObjectReplied) []mulberrybeam.Action {
	if reply.Ticket == 0 {
		return nil
	}
	if p.leader.Awaits(reply) {
		return p.handleLeaseReply(turn, reply)
	}
	name, found := p.statusTickets[reply.Ticket]
	if !found {
		return nil
	}
	delete(p.statusTickets, reply.Ticket)
	if reply.Err == nil {
		return nil
	}
	if s := p.services[name]; s != nil && s.active != nil {
		s.active.nextStatusAt = turn.Now + writeRetryDelay
	}
	return []mulberrybeam.Action{note(string(name), "writing the status failed: "+reply.Err.Error())}
}
