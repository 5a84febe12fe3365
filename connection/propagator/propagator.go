// Package propagator passes on what the store says between the entry hosts of a
// zone. It is the ObjectFeed of an entry host: a host that follows the store gets
// its changes there and answers other hosts from them, and any other host gets
// them from a follower while the follower's answers are recent enough. In all
// other cases calls go to the store as if there were no other hosts.
package propagator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/agechecker"
	"mulberrybeam/connection/historykeeper"
)

const (
	// holdTime is the longest time that a follower keeps an ask while there are no
	// changes.
	holdTime = 400 * time.Millisecond
	// silenceTime is the longest time that an answer may take before the follower
	// counts as silent. It covers a missed time slice of a throttled host.
	silenceTime = holdTime + 500*time.Millisecond
	// confirmInterval is the longest time that a call for a bounded kind waits for a
	// follower, so that its feed delivers a confirmation at least this often.
	confirmInterval = time.Second
	// demandTime is how long a host stays a follower after it was asked.
	demandTime = 10 * time.Second
)

// Sources of results for Propagator.OnResult.
const (
	SourceStore    = "store"
	SourceFollower = "follower"
)

// Config has what a propagator needs.
type Config struct {
	Self mulberrybeam.ProcessID
	// Store is the platform's store.
	Store mulberrybeam.ObjectFeed
	// Policies has the kinds that are passed on. Calls for all others go to the
	// store.
	Policies map[mulberrybeam.ObjectKind]mulberrybeam.PropagationPolicy
	// Plan returns the current part of this host. It is called once in planInterval
	// at most.
	Plan func() mulberrybeam.PropagationPlan
	// Dial opens a connection to another host.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IsPeer reports whether other entry hosts have the IP address.
	IsPeer func(address string) bool
	// Now returns the local monotonic time, which includes time in which the process
	// was suspended.
	Now func() time.Duration
	// OnResult is called with the source of each result and the age of what it
	// confirms.
	OnResult func(kind mulberrybeam.ObjectKind, source string, age time.Duration)
	// OnEvent is called when this host begins or ends to rely on a peer or to
	// follow the store for others.
	OnEvent func(subject, text string)
}

// Propagator is safe for concurrent use, but the calls for one kind must follow
// each other.
type Propagator struct {
	Config

	mutex sync.Mutex
	// plan is the result of Plan at the time plannedAt.
	plan      mulberrybeam.PropagationPlan
	plannedAt time.Duration
	planned   bool
	kinds     map[mulberrybeam.ObjectKind]*kindState
	// demandedUntil is until when this host follows the store because it was asked.
	demandedUntil time.Duration
	// changed is closed when a history changes.
	changed chan struct{}
	// askers are the connections on which this host is asked.
	askers map[askerKey]*asker
	// largeAnswers has an element for each large answer that is being written.
	largeAnswers chan struct{}
	// askNow wakes the link when a kind must be asked for.
	askNow chan struct{}
}

var _ mulberrybeam.ConfirmedFeed = (*Propagator)(nil)

// kindState is the state of one kind.
type kindState struct {
	kind    mulberrybeam.ObjectKind
	policy  mulberrybeam.PropagationPolicy
	history historykeeper.History
	check   agechecker.Check
	// version is that of the records of this host, or empty before the first list.
	version string
	// confirmedAt and source are those of the last result.
	confirmedAt time.Duration
	source      string
	// rejected reports that the last call to the store failed, and rejectedSince when the
	// first such call was sent since the store or a follower confirmed the records.
	rejected      bool
	rejectedSince time.Duration
	// relying reports that the last call that waited for changes relied on a follower,
	// and reason why followers cannot be relied on since, if it is known.
	relying bool
	reason  string
	// waiter is set while a call waits for a follower's answer.
	waiter *waiter
}

// New returns a propagator.
func New(config Config) *Propagator {
	return &Propagator{
		Config: config, kinds: map[mulberrybeam.ObjectKind]*kindState{},
		askers: map[askerKey]*asker{}, changed: make(chan struct{}), askNow: make(chan struct{}, 1), largeAnswers: make(chan struct{}, maxLargeAnswers),
	}
}

// ListAt returns all objects of a kind from the store.
func (p *Propagator) ListAt(ctx context.Context, kind mulberrybeam.ObjectKind) ([]mulberrybeam.Object, string, error) {
	sentAt := p.Now()
	objects, version, err := p.Store.ListAt(ctx, kind)
	if err != nil {
		return objects, version, err
	}
	p.mutex.Lock()
	state := p.state(kind)
	state.version, state.confirmedAt = version, sentAt
	state.rejected = false
	state.check.List(version, sentAt)
	state.history.Restart(version, sentAt)
	p.mutex.Unlock()
	p.OnResult(kind, SourceStore, p.Now()-sentAt)
	return objects, version, nil
}

// Changes waits for changes after a version, from a follower or the store. A call
// that does not wait asks the store. If that fails again, a follower that has reached the
// store since is relied on: the store may reject this host only.
func (p *Propagator) Changes(ctx context.Context, kind mulberrybeam.ObjectKind, version string, wait time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
	p.mutex.Lock()
	state := p.state(kind)
	now := p.Now()
	plan := p.currentPlan(now)
	follower := p.follows(now)
	checksOnce := wait == 0
	switch {
	case checksOnce || state.policy.MaxAge == 0:
	case follower:
		wait = min(wait, state.policy.FollowerWait)
	case plan.Active && state.version == version && state.check.Usable(now):
		waiting := p.register(state, wait, now)
		p.mutex.Unlock()
		result, err := p.await(ctx, state, waiting)
		if err != nil || !result.refers {
			return result.changes, result.next, err
		}
		wait = 0
		p.mutex.Lock()
	case plan.Active && !state.policy.Bounded:
		// Shorter waits let hosts that start begin to rely on followers soon.
		wait = min(wait, state.policy.FollowerWait)
	}
	state.check.End()
	if !checksOnce {
		p.logEnd(state, plan, follower)
	}
	rejected := state.rejected
	p.mutex.Unlock()
	changes, next, err := p.askStore(ctx, state, kind, version, wait)
	if err == nil || !rejected || follower || ctx.Err() != nil || isExpired(err) {
		return changes, next, err
	}
	if result, ok := p.askFollower(ctx, state, version); ok {
		return result.changes, result.next, nil
	}
	return nil, "", err
}

// askFollower gets the changes from a follower after the store has failed. The result is
// false unless the follower has reached the store since then.
func (p *Propagator) askFollower(ctx context.Context, state *kindState, version string) (result, bool) {
	p.mutex.Lock()
	now := p.Now()
	if !p.currentPlan(now).Active || state.version != version || !state.check.Usable(now) {
		p.mutex.Unlock()
		return result{}, false
	}
	waiting := p.register(state, confirmInterval, now)
	p.mutex.Unlock()
	answered, err := p.await(ctx, state, waiting)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case err != nil || answered.refers:
		return result{}, false
	case len(answered.changes) == 0 && state.confirmedAt < state.rejectedSince:
		state.version = version
		return result{}, false
	}
	state.rejectedSince = 0
	return answered, true
}

// ConfirmedAt implements mulberrybeam.ConfirmedFeed.
func (p *Propagator) ConfirmedAt(kind mulberrybeam.ObjectKind) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state(kind).confirmedAt
}

// askStore gets the changes from the store and adds them to the history.
func (p *Propagator) askStore(ctx context.Context, state *kindState, kind mulberrybeam.ObjectKind, version string, wait time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
	sentAt := p.Now()
	changes, next, err := p.Store.Changes(ctx, kind, version, wait)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case err == nil:
		p.logLarge(state, SourceStore, changes, sentAt)
		state.version, state.confirmedAt = next, sentAt
		state.rejected, state.rejectedSince = false, 0
		state.check.Advance(next, len(changes) > 0)
		state.source = SourceStore
		if p.follows(sentAt) {
			state.history.Record(version, next, changes, sentAt)
		} else {
			state.history.Restart(next, sentAt)
		}
		if len(changes) > 0 {
			p.notifyAskers()
		}
		p.OnResult(kind, SourceStore, p.Now()-sentAt)
	case ctx.Err() == nil:
		if state.rejected = !isExpired(err); state.rejected && state.rejectedSince == 0 {
			state.rejectedSince = sentAt
		}
		state.history.Lose()
		p.notifyAskers()
	}
	return changes, next, err
}

// isExpired reports whether the store answered that it lacks the changes.
func isExpired(err error) bool { return mulberrybeam.CodeOf(err) == mulberrybeam.CodeExpiredVersion }

// logLarge records large changes of a bounded kind, which take long on a narrow link.
// The call that got them began at sentAt. The mutex must be held.
func (p *Propagator) logLarge(state *kindState, source string, changes []mulberrybeam.ObjectChanged, sentAt time.Duration) {
	size := historykeeper.Size(changes)
	if !state.policy.Bounded || size < smallAnswerBytes {
		return
	}
	now := p.Now()
	p.OnEvent(string(state.kind), fmt.Sprintf("changes: %d, %d KB from the %s, in a call of %v, confirmed %v ago",
		len(changes), size>>10, source, (now-sentAt).Round(time.Millisecond), (now-state.confirmedAt).Round(time.Millisecond)))
}

// state returns the state of a kind.
func (p *Propagator) state(kind mulberrybeam.ObjectKind) *kindState {
	state := p.kinds[kind]
	if state == nil {
		policy := p.Policies[kind]
		state = &kindState{kind: kind, policy: policy, check: agechecker.Check{MaxAge: policy.MaxAge, EntryWait: silenceTime}}
		p.kinds[kind] = state
	}
	return state
}

// currentPlan returns the plan. The mutex must be held.
func (p *Propagator) currentPlan(now time.Duration) mulberrybeam.PropagationPlan {
	if !p.planned || now-p.plannedAt >= planInterval {
		p.plan, p.plannedAt, p.planned = p.Plan(), now, true
	}
	return p.plan
}

// follows reports whether this host follows the store for others. The mutex must be
// held.
func (p *Propagator) follows(now time.Duration) bool {
	plan := p.currentPlan(now)
	return plan.Active && plan.Follower || now < p.demandedUntil
}

// Callers returns the number of hosts that call the store for each change of a
// kind, as far as this host takes part in passing the kind on, or 0 if it does not.
func (p *Propagator) Callers(kind mulberrybeam.ObjectKind) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.Now()
	plan := p.currentPlan(now)
	if state := p.state(kind); plan.Active && (p.follows(now) || state.source == SourceFollower) {
		return plan.StoreFollowers
	}
	return 0
}

// notifyAskers wakes the connections on which this host is asked.
func (p *Propagator) notifyAskers() {
	close(p.changed)
	p.changed = make(chan struct{})
}
