package propagator

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"mulberrybeam"
)

// waiter is a call for changes that waits for a follower's answer.
type waiter struct {
	// startedAt is when the call began, and until when it returns without changes.
	startedAt time.Duration
	until     time.Duration
	// next and answered are those of the answers without changes so far.
	next     string
	answered bool
	// done gets the result if the call ends before until.
	done chan result
}

// result is the result of a waiter, unless the store must be asked.
type result struct {
	changes []mulberrybeam.ObjectChanged
	next    string
	refers  bool
}

// register adds a waiter. The mutex must be held.
func (p *Propagator) register(state *kindState, wait, now time.Duration) *waiter {
	if state.policy.Bounded {
		wait = min(wait, confirmInterval)
	}
	state.check.Begin(now)
	state.reason = ""
	state.waiter = &waiter{startedAt: now, until: now + wait, next: state.version, done: make(chan result, 1)}
	select {
	case p.askNow <- struct{}{}:
	default:
	}
	return state.waiter
}

// await waits for the end of a waiter.
func (p *Propagator) await(ctx context.Context, state *kindState, waiting *waiter) (result, error) {
	for {
		if ended, over := p.expire(state, waiting); over {
			return ended, nil
		}
		timer := time.NewTimer(p.pause(state, waiting))
		select {
		case <-ctx.Done():
			timer.Stop()
			p.mutex.Lock()
			state.waiter = nil
			p.mutex.Unlock()
			return result{}, &mulberrybeam.Failure{
				Code: mulberrybeam.CodePlatformDown, Step: mulberrybeam.StepPlatform, Message: "the wait was ended", Cause: ctx.Err(),
			}
		case ended := <-waiting.done:
			timer.Stop()
			return ended, nil
		case <-timer.C:
		}
	}
}

// pause returns the time until the waiter may expire.
func (p *Propagator) pause(state *kindState, waiting *waiter) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now, deadline := p.Now(), state.check.Deadline()
	if now < waiting.until {
		deadline = min(deadline, waiting.until)
	}
	return max(0, deadline-now)
}

// expire ends the waiter if its time is over or the answers are too old.
func (p *Propagator) expire(state *kindState, waiting *waiter) (result, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.Now()
	select {
	case ended := <-waiting.done:
		return ended, true
	default:
	}
	switch {
	case now >= state.check.Deadline():
		state.waiter = nil
		state.check.Invalidate()
		state.reason = cmp.Or(state.reason, "no answer in time")
		return result{refers: true}, true
	case waiting.answered && now >= waiting.until:
		p.finish(state, result{next: waiting.next}, now)
		return <-waiting.done, true
	}
	return result{}, false
}

// finish ends the waiter of a kind with the result of a follower. The mutex must be
// held.
func (p *Propagator) finish(state *kindState, ended result, now time.Duration) {
	if !state.relying {
		state.relying = true
		p.OnEvent(string(state.kind), fmt.Sprintf("relies on a follower, confirmed %v ago", (now-state.confirmedAt).Round(time.Millisecond)))
	}
	state.version, state.source = ended.next, SourceFollower
	state.check.Advance(ended.next, len(ended.changes) > 0)
	state.waiter.done <- ended
	state.waiter = nil
	p.OnResult(state.kind, SourceFollower, now-state.confirmedAt)
}

// logEnd records that a kind asks the store after it relied on a follower. The mutex
// must be held.
func (p *Propagator) logEnd(state *kindState, plan mulberrybeam.PropagationPlan, follower bool) {
	if !state.relying {
		return
	}
	state.relying = false
	reason := cmp.Or(state.reason, "the follower's last confirmation is too old")
	switch {
	case follower:
		reason = "this host follows it for others"
	case !plan.Active:
		reason = "every host follows it"
	}
	p.OnEvent(string(state.kind), fmt.Sprintf("asks the store: %s, confirmed %v ago", reason, (p.Now()-state.confirmedAt).Round(time.Millisecond)))
}

// invalidate ends the waiter of a kind, so that it asks the store for the reason. The mutex
// must be held.
func (s *kindState) invalidate(reason string) {
	s.check.Invalidate()
	s.reason = cmp.Or(s.reason, reason)
	s.refer(reason)
}

// refer makes the call that waits for changes ask the store for the reason. The
// follower stays usable. The mutex must be held.
func (s *kindState) refer(reason string) {
	if s.waiter == nil {
		return
	}
	s.reason = reason
	s.waiter.done <- result{refers: true}
	s.waiter = nil
}

// accept applies a follower's state for the kind. It reports false if changes were
// sent that cannot be used. The mutex must be held.
func (p *Propagator) accept(state *kindState, told mulberrybeam.PropagationState, probe bool, sentAt time.Duration) bool {
	now := p.Now()
	switch told.Status {
	case mulberrybeam.StatusLost:
		state.invalidate("the follower lost the store")
		return true
	case mulberrybeam.StatusAskStore:
		if !probe && told.Since == state.version {
			state.refer("the follower refers to the store for the changes after version " + told.Since)
		}
		return true
	}
	// Without a waiter the changes are dropped, so that the answer confirms nothing.
	probe = probe || state.waiter == nil
	confirmedAt, usable := state.check.Accept(told, probe, sentAt, now)
	if !usable {
		if !probe {
			state.reason = refusalReason(state, told, now-sentAt-told.Offset)
		}
		return probe || len(told.Changes) == 0
	}
	state.reason = ""
	p.logLarge(state, SourceFollower, told.Changes, state.waiter.startedAt)
	state.confirmedAt = confirmedAt
	if len(told.Changes) > 0 || now >= state.waiter.until {
		p.finish(state, result{changes: told.Changes, next: told.Next}, now)
		return true
	}
	state.waiter.next, state.waiter.answered = told.Next, true
	return true
}

// refusalReason returns why an answer of an age could not be used.
func refusalReason(state *kindState, told mulberrybeam.PropagationState, age time.Duration) string {
	switch {
	case told.Status == mulberrybeam.StatusUnknown:
		return "the follower cannot answer from version " + told.Since
	case age >= state.policy.MaxAge:
		return fmt.Sprintf("the follower's answer was %v old", age.Round(time.Millisecond))
	default:
		return fmt.Sprintf("the follower's answer from version %s to %s does not continue version %s, or was from before the last list",
			told.Since, told.Next, state.version)
	}
}
