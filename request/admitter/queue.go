// Package admitter decides which requests may start now, which wait and which
// are refused. Decisions are functions over State with the time as argument;
// Gate runs them for traffic goroutines.
package admitter

import (
	"math"
	"time"

	"mulberrybeam"
)

// Constants of queueing.
const (
	// burstSeconds of a workspace's rate may arrive at once.
	burstSeconds = 1.0
	// intervalGain is the weight of the newest interval in the average.
	intervalGain = 0.1
	// minIntervals is how many intervals the estimate of a wait needs.
	minIntervals = 8
	// defaultRetryAfter is used where no interval has been measured.
	defaultRetryAfter = time.Second
)

// priorityWeights multiply a workspace's weight, so that interactive work goes
// ahead of the rest without stopping it.
var priorityWeights = map[mulberrybeam.Priority]float64{
	mulberrybeam.PriorityInteractive: 16,
	mulberrybeam.PriorityBatch:       4,
	mulberrybeam.PriorityPrefetch:    1,
	mulberrybeam.PriorityExport:      1,
}

// Ticket identifies one arrival.
type Ticket uint64

// Arrival is a request that asks for admission.
type Arrival struct {
	Ticket    Ticket
	Workspace mulberrybeam.WorkspaceName
	Priority  mulberrybeam.Priority
	// Pool names the group of targets that can run the request.
	Pool string
	// Cost is the request's size in units of an ordinary one.
	Cost float64
	// Deadline is the latest time of admission.
	Deadline time.Duration
}

// Bounds are the limits in force at an arrival.
type Bounds struct {
	// QueueLength bounds the waiting requests of the process.
	QueueLength int
	// PoolCapacity bounds the requests in flight of the pool, 1 at least.
	PoolCapacity int
	// Weight is the workspace's part in fair queueing.
	Weight float64
	// Rate and InFlight are this process's shares of the workspace's
	// limits. 0 means no limit.
	Rate     float64
	InFlight int
}

// Decision admits a ticket, or refuses it when Failure is set.
type Decision struct {
	Ticket  Ticket
	Failure *mulberrybeam.Failure
}

// FlowKey identifies a queue of equal requests.
type FlowKey struct {
	Workspace mulberrybeam.WorkspaceName
	Priority  mulberrybeam.Priority
	Pool      string
}

// Flow is the queue of one workspace at one priority.
type Flow struct {
	Waiting []Arrival
	Weight  float64
	// Finish is the virtual finish time of the last started request.
	Finish float64
}

// Use is what a workspace uses of its limits.
type Use struct {
	Bounds   Bounds
	Tokens   float64
	FilledAt time.Duration
	InFlight int
	Waiting  int
}

// Pool is the use of one group of targets.
type Pool struct {
	Capacity int
	InFlight int
	Waiting  int
	// Interval is the mean time between two ends while requests wait.
	Interval  time.Duration
	Intervals int
	// EndedAt is the time of the last end with requests waiting, 0 when
	// the queue was empty since.
	EndedAt time.Duration
}

// State is the whole admission state of a process.
type State struct {
	// Virtual is the virtual start time of the last started request.
	Virtual float64
	Flows   map[FlowKey]*Flow
	Uses    map[mulberrybeam.WorkspaceName]*Use
	Pools   map[string]*Pool
	Waiting int
}

// NewState returns a state without requests.
func NewState() *State {
	return &State{
		Flows: map[FlowKey]*Flow{},
		Uses:  map[mulberrybeam.WorkspaceName]*Use{},
		Pools: map[string]*Pool{},
	}
}

// Arrive takes a request in. Its decisions concern the request itself, other
// requests that can start now, and at most one waiting request that had to
// give way. No decision on the request means that it waits.
func Arrive(state *State, now time.Duration, arrival Arrival, bounds Bounds) []Decision {
	use := state.use(now, arrival.Workspace, bounds)
	pool := state.pool(arrival.Pool)
	pool.Capacity = max(1, bounds.PoolCapacity)
	if bounds.Rate > 0 && use.Tokens < 1 {
		wait := time.Duration((1 - use.Tokens) / bounds.Rate * float64(time.Second))
		return []Decision{refuse(arrival.Ticket, mulberrybeam.CodeWorkspaceLimit, "the workspace's request rate is used up", wait)}
	}
	// A raised limit may let earlier requests start first.
	decisions := dispatch(state, now)
	flow := state.flow(arrival, bounds)
	if hasRoom(use, pool) {
		start(state, flow, use, pool, arrival)
		use.Tokens--
		return append(decisions, Decision{Ticket: arrival.Ticket})
	}
	if failure := shed(state, now, flow, use, pool, arrival); failure != nil {
		return append(decisions, Decision{Ticket: arrival.Ticket, Failure: failure})
	}
	if state.Waiting >= bounds.QueueLength {
		decision, made := makeRoom(state, use, arrival)
		decisions = append(decisions, decision)
		if !made {
			return decisions
		}
	}
	use.Tokens--
	flow.Waiting = append(flow.Waiting, arrival)
	state.count(arrival, 1)
	return decisions
}

// Finish ends an admitted request and starts those that can start now.
func Finish(state *State, now time.Duration, workspace mulberrybeam.WorkspaceName, poolName string) []Decision {
	use, pool := state.Uses[workspace], state.Pools[poolName]
	use.InFlight--
	pool.InFlight--
	switch {
	case pool.Waiting == 0:
		pool.EndedAt = 0
	case pool.EndedAt > 0:
		interval := now - pool.EndedAt
		if pool.Intervals == 0 {
			pool.Interval = interval
		}
		pool.Interval += time.Duration(intervalGain * float64(interval-pool.Interval))
		pool.Intervals++
		pool.EndedAt = now
	default:
		pool.EndedAt = now
	}
	return dispatch(state, now)
}

// Abandon removes a waiting request and says whether it still waited.
func Abandon(state *State, arrival Arrival) bool {
	flow := state.Flows[keyOf(arrival)]
	if flow == nil {
		return false
	}
	for i, waiting := range flow.Waiting {
		if waiting.Ticket == arrival.Ticket {
			flow.Waiting = append(flow.Waiting[:i], flow.Waiting[i+1:]...)
			state.count(arrival, -1)
			return true
		}
	}
	return false
}

// dispatch starts waiting requests in the order of their virtual finish times
// while limits allow.
func dispatch(state *State, now time.Duration) []Decision {
	var decisions []Decision
	for state.Waiting > 0 {
		flow, expired := state.next(now)
		decisions = append(decisions, expired...)
		if flow == nil {
			break
		}
		arrival := flow.Waiting[0]
		flow.Waiting = flow.Waiting[1:]
		state.count(arrival, -1)
		start(state, flow, state.Uses[arrival.Workspace], state.Pools[arrival.Pool], arrival)
		decisions = append(decisions, Decision{Ticket: arrival.Ticket})
	}
	return decisions
}

// next returns the flow whose first request may start now and has the lowest
// virtual finish time. It refuses requests whose deadline has passed and
// forgets idle flows.
func (s *State) next(now time.Duration) (*Flow, []Decision) {
	var best *Flow
	var expired []Decision
	lowest := math.Inf(1)
	for key, flow := range s.Flows {
		for len(flow.Waiting) > 0 && flow.Waiting[0].Deadline <= now {
			expired = append(expired, refuse(flow.Waiting[0].Ticket, mulberrybeam.CodeQueueTimeout, "the request waited too long for admission", s.retryAfter(key.Pool)))
			s.count(flow.Waiting[0], -1)
			flow.Waiting = flow.Waiting[1:]
		}
		if len(flow.Waiting) == 0 {
			if flow.Finish <= s.Virtual {
				delete(s.Flows, key)
			}
			continue
		}
		finish := flow.Finish + flow.Waiting[0].Cost/flow.Weight
		if finish < lowest && hasRoom(s.Uses[key.Workspace], s.Pools[key.Pool]) {
			best, lowest = flow, finish
		}
	}
	return best, expired
}

func start(state *State, flow *Flow, use *Use, pool *Pool, arrival Arrival) {
	state.Virtual = max(state.Virtual, flow.Finish)
	flow.Finish += arrival.Cost / flow.Weight
	use.InFlight++
	pool.InFlight++
}

func hasRoom(use *Use, pool *Pool) bool {
	return pool.InFlight < pool.Capacity && (use.Bounds.InFlight <= 0 || use.InFlight < use.Bounds.InFlight)
}
