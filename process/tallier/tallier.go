// Package tallier counts what a rollout is judged by: the attempts of this
// process's requests at the old and the new version of a service and their
// outcomes. It keeps the account that limits how many requests the new version
// gets, and knows whether any request still runs at an old target.
package tallier

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberrybeam"
)

// Tallier keeps the counts of all services. Its methods are safe for concurrent
// use. The control goroutine never takes its lock.
type Tallier struct {
	mutex    sync.Mutex
	services map[mulberrybeam.ServiceName]*tally
}

// tally is the state of one service.
type tally struct {
	// running counts attempts by the software version of their targets.
	running map[mulberrybeam.SoftwareVersion]int
	// order is the order that counts and credit belong to.
	order  uint64
	credit float64
	counts map[row]*mulberrybeam.RolloutCounts
	// newest is the highest sequence of a rollout that was seen.
	newest uint64
	// sealed is the sequence of the rollout from which on old targets get nothing,
	// or 0.
	sealed uint64
}

type row struct {
	route  string
	isNew  bool
	target mulberrybeam.InstanceID
}

// New returns a Tallier without counts.
func New() *Tallier {
	return &Tallier{services: map[mulberrybeam.ServiceName]*tally{}}
}

// Reserve takes one request to the new version from the service's account. It
// returns false if the account does not allow one.
func (t *Tallier) Reserve(service mulberrybeam.ServiceName, rollout *mulberrybeam.FleetRollout) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.stateOf(service)
	state.follow(rollout)
	if state.order != rollout.Order || state.credit < 1 {
		return false
	}
	state.credit--
	return true
}

// Start describes an attempt that is about to be sent.
type Start struct {
	Service   mulberrybeam.ServiceName
	Route     string
	Streaming bool
	Target    mulberrybeam.InstanceID
	Software  mulberrybeam.SoftwareVersion
	// Rollout is the rollout by which the target was chosen, or nil.
	Rollout *mulberrybeam.FleetRollout
}

// Begin counts an attempt as running. It returns false, and counts nothing, if
// the attempt chose an old target before this process stopped using old targets.
// The returned attempt must be ended.
func (t *Tallier) Begin(start Start) (*Attempt, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.stateOf(start.Service)
	a := &Attempt{tallier: t, state: state, start: start}
	if start.Rollout != nil {
		state.follow(start.Rollout)
		a.isNew = start.Software == start.Rollout.To
		if state.sealed > 0 && start.Rollout.Sequence > state.sealed && !a.isNew {
			state.sealed = 0
		}
		if state.sealed > 0 && !a.isNew {
			return nil, false
		}
		if state.order == start.Rollout.Order {
			a.order = state.order
			state.credit += start.Rollout.Credit
		}
	}
	state.running[start.Software]++
	return a, true
}

// Report returns the counts of a service and whether its old targets are idle.
// From a rollout in the full stage on, old targets get no attempt of an earlier
// choice. A rollout that is older than one seen before changes nothing.
func (t *Tallier) Report(service mulberrybeam.ServiceName, rollout *mulberrybeam.FleetRollout, now time.Duration) mulberrybeam.RolloutReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.stateOf(service)
	state.follow(rollout)
	report := mulberrybeam.RolloutReport{
		Service: service, Order: rollout.Order, Bad: rollout.Stage == mulberrybeam.StageRolledBack,
	}
	if rollout.Sequence < state.newest {
		// A snapshot that was read before a newer one may be reported after it.
		return report
	}
	state.seal(rollout, now)
	if state.sealed > 0 && state.runningExcept(rollout.To) == 0 {
		report.Drained = rollout.Stage
	}
	if state.order != rollout.Order {
		return report
	}
	for _, counts := range state.counts {
		report.Counts = append(report.Counts, *counts)
	}
	slices.SortFunc(report.Counts, func(a, b mulberrybeam.RolloutCounts) int {
		return cmp.Or(strings.Compare(a.Route, b.Route), compareBool(a.New, b.New), strings.Compare(string(a.Target), string(b.Target)))
	})
	return report
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (t *Tallier) stateOf(service mulberrybeam.ServiceName) *tally {
	state := t.services[service]
	if state == nil {
		state = &tally{running: map[mulberrybeam.SoftwareVersion]int{}, counts: map[row]*mulberrybeam.RolloutCounts{}}
		t.services[service] = state
	}
	return state
}

// follow starts new counts for a newer order. A request may still hold the
// rollout of an earlier one.
func (s *tally) follow(rollout *mulberrybeam.FleetRollout) {
	s.newest = max(s.newest, rollout.Sequence)
	if rollout.Order <= s.order {
		return
	}
	s.order, s.credit, s.sealed = rollout.Order, rollout.InitialCredit, 0
	s.counts = map[row]*mulberrybeam.RolloutCounts{}
}

func (s *tally) seal(rollout *mulberrybeam.FleetRollout, now time.Duration) {
	if rollout.Order != s.order {
		return
	}
	if rollout.Stage == mulberrybeam.StageFinal || rollout.Stage == mulberrybeam.StageFull && now < rollout.ValidUntil {
		s.sealed = max(s.sealed, rollout.Sequence)
		return
	}
	s.sealed = 0
}

func (s *tally) runningExcept(version mulberrybeam.SoftwareVersion) int {
	running := 0
	for software, count := range s.running {
		if software != version {
			running += count
		}
	}
	return running
}

// Attempt is one attempt that runs at a target.
type Attempt struct {
	tallier *Tallier
	state   *tally
	start   Start
	// order is the order that the outcome counts for, or 0.
	order uint64
	isNew bool
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Failed reports a response that was a failure, broken or missing.
	Failed bool
	// FirstResponse is the time until the first byte, or 0 if none came.
	FirstResponse time.Duration
}

// End counts the outcome of the attempt. An attempt that neither failed nor got a
// first byte counts for nothing. Calls after the first one do nothing.
func (a *Attempt) End(outcome Outcome) {
	if a == nil {
		return
	}
	a.tallier.mutex.Lock()
	defer a.tallier.mutex.Unlock()
	if a.state == nil {
		return
	}
	state := a.state
	a.state = nil
	if state.running[a.start.Software]--; state.running[a.start.Software] <= 0 {
		delete(state.running, a.start.Software)
	}
	if a.order == 0 || a.order != state.order || !outcome.Failed && outcome.FirstResponse == 0 {
		return
	}
	counts := state.countsOf(a)
	counts.Responses++
	switch {
	case outcome.Failed:
		counts.Failures++
	default:
		counts.FirstResponse[bucketOf(outcome.FirstResponse)]++
	}
}

func (s *tally) countsOf(a *Attempt) *mulberrybeam.RolloutCounts {
	key := row{route: a.start.Route, isNew: a.isNew}
	if a.isNew && a.start.Rollout.ByTarget {
		key.target = a.start.Target
	}
	counts := s.counts[key]
	if counts == nil {
		counts = &mulberrybeam.RolloutCounts{Route: a.start.Route, New: a.isNew, Streaming: a.start.Streaming, Target: key.target}
		s.counts[key] = counts
	}
	return counts
}

// bucketOf returns the bucket of mulberrybeam.RolloutCounts for a latency.
func bucketOf(latency time.Duration) int {
	const bucketsPerDoubling = 2
	milliseconds := float64(latency) / float64(time.Millisecond)
	if milliseconds < 1 {
		return 0
	}
	return min(int(bucketsPerDoubling*math.Log2(milliseconds)), mulberrybeam.LatencyBuckets-1)
}
