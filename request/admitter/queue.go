// Package admitter decides which requests start, which wait in the queue and
// which are refused. The decisions are functions of State and the current time;
// Gate applies them to concurrent requests.
package admitter

import (
	"math"
	"time"

	"mulberrybeam"
)

// Parameters of the queue.
const (
	// burstSeconds is the size of a workspace's token bucket, in seconds of
	// its request rate.
	burstSeconds = 1.0
	// intervalGain is the weight of the newest interval in the moving average.
	intervalGain = 0.1
	// minIntervals is the number of measured intervals that an estimate of
	// the queueing time requires.
	minIntervals = 8
	// defaultRetryAfter is used as long as the queueing time cannot be estimated.
	defaultRetryAfter = time.Second
)

// priorityWeights are multiplied by the workspace's weight, so that interactive
// requests go first without starving the others.
var priorityWeights = map[mulberrybeam.Priority]float64{
	mulberrybeam.PriorityInteractive: 16,
	mulberrybeam.PriorityBatch:       4,
	mulberrybeam.PriorityPrefetch:    1,
	mulberrybeam.PriorityExport:      1,
}

// Ticket identifies a request within the admitter.
type Ticket uint64

// Arrival is a request for admission.
type Arrival struct {
	Ticket    Ticket
	Workspace mulberrybeam.WorkspaceName
	Priority  mulberrybeam.Priority
	// Pool is the name of the group of targets that can run the request.
	Pool string
	// Cost is the size of the request relative to an ordinary one.
	Cost float64
	// Deadline is the latest time at which the request may be admitted.
	Deadline time.Duration
}

// Bounds are the limits that apply to an arrival.
type Bounds struct {
	// QueueLength is the maximum number of waiting requests in the process.
	QueueLength int
	// PoolCapacity is the maximum number of requests in flight in the pool.
	// Values below 1 count as 1.
	PoolCapacity int
	// Weight is the workspace's weight in fair queueing.
	Weight float64
	// Rate, in requests per second, and InFlight are this process's shares
	// of the workspace's limits. 0 means no limit.
	Rate     float64
	InFlight int
}

// Decision admits the request with the ticket, or refuses it if Failure is set.
type Decision struct {
	Ticket  Ticket
	Failure *mulberrybeam.Failure
}

// FlowKey identifies a flow. Requests of one flow start in order of arrival.
type FlowKey struct {
	Workspace mulberrybeam.WorkspaceName
	Priority  mulberrybeam.Priority
	Pool      string
}

// Flow is the queue of one workspace at one priority for one pool.
type Flow struct {
	Waiting []Arrival
	Weight  float64
	// VirtualFinish is the virtual finish time of the request that started last.
	VirtualFinish float64
}

// Usage is the current use that a workspace makes of its limits.
type Usage struct {
	Bounds   Bounds
	Tokens   float64
	FilledAt time.Duration
	InFlight int
	Waiting  int
}

// Pool is the current use of one group of targets.
type Pool struct {
	Capacity int
	InFlight int
	Waiting  int
	// Interval is the moving average of the time between two finished
	// requests while others wait. Intervals is the number of measurements.
	Interval  time.Duration
	Intervals int
	// LastFinish is when a request last finished while others were waiting, or
	// 0 if the queue has been empty since.
	LastFinish time.Duration
}

// State is the complete admission state of a process.
type State struct {
	// VirtualTime is the virtual start time of the request that started last.
	VirtualTime float64
	Flows       map[FlowKey]*Flow
	Usages      map[mulberrybeam.WorkspaceName]*Usage
	Pools       map[string]*Pool
	Waiting     int
}

// NewState returns a state with no requests.
func NewState() *State {
	return &State{
		Flows:  map[FlowKey]*Flow{},
		Usages: map[mulberrybeam.WorkspaceName]*Usage{},
		Pools:  map[string]*Pool{},
	}
}

// Arrive adds a request. It returns decisions on the request itself, on waiting
// requests that can start now, and on at most one waiting request that is
// refused to make room. If there is no decision on the request, it waits.
func Arrive(state *State, now time.Duration, arrival Arrival, bounds Bounds) []Decision {
	use := state.use(now, arrival.Workspace, bounds)
	pool := state.pool(arrival.Pool)
	pool.Capacity = max(1, bounds.PoolCapacity)
	if bounds.Rate > 0 && use.Tokens < 1 {
		wait := time.Duration((1 - use.Tokens) / bounds.Rate * float64(time.Second))
		return []Decision{refuse(arrival.Ticket, mulberrybeam.CodeWorkspaceLimit, "the workspace has exceeded its request rate", wait)}
	}
	// If a limit was raised, requests that are already waiting start first.
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
		decision, freed := makeRoom(state, use, arrival)
		decisions = append(decisions, decision)
		if !freed {
			return decisions
		}
	}
	use.Tokens--
	flow.Waiting = append(flow.Waiting, arrival)
	state.adjustWaiting(arrival, 1)
	return decisions
}

// Finish releases the capacity of an admitted request and starts the waiting
// requests that can start now.
func Finish(state *State, now time.Duration, workspace mulberrybeam.WorkspaceName, poolName string) []Decision {
	use, pool := state.Usages[workspace], state.Pools[poolName]
	use.InFlight--
	pool.InFlight--
	switch {
	case pool.Waiting == 0:
		pool.LastFinish = 0
	case pool.LastFinish > 0:
		interval := now - pool.LastFinish
		if pool.Intervals == 0 {
			pool.Interval = interval
		}
		pool.Interval += time.Duration(intervalGain * float64(interval-pool.Interval))
		pool.Intervals++
		pool.LastFinish = now
	default:
		pool.LastFinish = now
	}
	return dispatch(state, now)
}

// Abandon removes a request and reports whether it was still waiting.
func Abandon(state *State, arrival Arrival) bool {
	flow := state.Flows[flowKeyOf(arrival)]
	if flow == nil {
		return false
	}
	for i, waiting := range flow.Waiting {
		if waiting.Ticket == arrival.Ticket {
			flow.Waiting = append(flow.Waiting[:i], flow.Waiting[i+1:]...)
			state.adjustWaiting(arrival, -1)
			return true
		}
	}
	return false
}

// dispatch starts waiting requests in order of virtual finish time as far as
// the limits allow.
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
		state.adjustWaiting(arrival, -1)
		start(state, flow, state.Usages[arrival.Workspace], state.Pools[arrival.Pool], arrival)
		decisions = append(decisions, Decision{Ticket: arrival.Ticket})
	}
	return decisions
}

// next returns the flow with the lowest virtual finish time among those whose
// first request may start now, or nil. It refuses requests whose deadline has
// passed and deletes idle flows.
func (s *State) next(now time.Duration) (*Flow, []Decision) {
	var best *Flow
	var expired []Decision
	lowestFinish := math.Inf(1)
	for key, flow := range s.Flows {
		for len(flow.Waiting) > 0 && flow.Waiting[0].Deadline <= now {
			expired = append(expired, refuse(flow.Waiting[0].Ticket, mulberrybeam.CodeQueueTimeout, "the request timed out while waiting for admission", s.retryAfter(key.Pool)))
			s.adjustWaiting(flow.Waiting[0], -1)
			flow.Waiting = flow.Waiting[1:]
		}
		if len(flow.Waiting) == 0 {
			if flow.VirtualFinish <= s.VirtualTime {
				delete(s.Flows, key)
			}
			continue
		}
		finish := flow.VirtualFinish + flow.Waiting[0].Cost/flow.Weight
		if finish < lowestFinish && hasRoom(s.Usages[key.Workspace], s.Pools[key.Pool]) {
			best, lowestFinish = flow, finish
		}
	}
	return best, expired
}

func start(state *State, flow *Flow, use *Usage, pool *Pool, arrival Arrival) {
	state.VirtualTime = max(state.VirtualTime, flow.VirtualFinish)
	flow.VirtualFinish += arrival.Cost / flow.Weight
	use.InFlight++
	pool.InFlight++
}

func hasRoom(use *Usage, pool *Pool) bool {
	return pool.InFlight < pool.Capacity && (use.Bounds.InFlight <= 0 || use.InFlight < use.Bounds.InFlight)
}
