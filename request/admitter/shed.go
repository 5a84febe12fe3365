package admitter

import (
	"time"

	"mulberrybeam"
)

// shed refuses a request whose estimated queueing time exceeds its deadline, so
// that the caller can immediately try another host.
func shed(state *State, now time.Duration, flow *Flow, use *Usage, pool *Pool, arrival Arrival) *mulberrybeam.Failure {
	if now >= arrival.Deadline {
		return refuse(arrival.Ticket, mulberrybeam.CodeQueueTimeout, "the deadline expired before admission", 0).Failure
	}
	if pool.Intervals < minIntervals {
		return nil
	}
	flowPosition := float64(len(flow.Waiting) + 1)
	totalWeight := 0.0
	for key, other := range state.Flows {
		if key.Pool == arrival.Pool && (len(other.Waiting) > 0 || other == flow) {
			totalWeight += other.Weight
		}
	}
	position := min(flowPosition*totalWeight/flow.Weight, float64(pool.Waiting+1))
	wait := time.Duration(position * float64(pool.Interval))
	if now+wait <= arrival.Deadline {
		return nil
	}
	code, message := mulberrybeam.CodeOverloaded, "the estimated queueing time exceeds the request's deadline"
	if use.Bounds.InFlight > 0 && use.InFlight >= use.Bounds.InFlight {
		code, message = mulberrybeam.CodeWorkspaceLimit, "the workspace has reached its limit of requests in flight"
	}
	return refuse(arrival.Ticket, code, message, wait).Failure
}

// makeRoom refuses one request when the queue is full. It picks the workspace
// with the most waiting requests relative to its weight, and refuses the
// arriving request if it is of that workspace, else the newest request of the
// workspace's lowest priority. It reports whether the arriving request may wait.
func makeRoom(state *State, use *Usage, arrival Arrival) (Decision, bool) {
	const message = "the admission queue of this host is full"
	longestWorkspace, longestLength := arrival.Workspace, float64(use.Waiting+1)/use.Bounds.Weight
	for name, other := range state.Usages {
		if otherLength := float64(other.Waiting) / other.Bounds.Weight; other.Waiting > 0 && otherLength > longestLength {
			longestWorkspace, longestLength = name, otherLength
		}
	}
	if longestWorkspace == arrival.Workspace {
		code := mulberrybeam.CodeOverloaded
		if use.Bounds.InFlight > 0 && use.InFlight >= use.Bounds.InFlight {
			code = mulberrybeam.CodeWorkspaceLimit
		}
		return refuse(arrival.Ticket, code, message, state.retryAfter(arrival.Pool)), false
	}
	var victim *Flow
	var lowestPriority mulberrybeam.Priority
	for key, flow := range state.Flows {
		if key.Workspace == longestWorkspace && len(flow.Waiting) > 0 && (victim == nil || key.Priority > lowestPriority) {
			victim, lowestPriority = flow, key.Priority
		}
	}
	newest := victim.Waiting[len(victim.Waiting)-1]
	victim.Waiting = victim.Waiting[:len(victim.Waiting)-1]
	state.adjustWaiting(newest, -1)
	return refuse(newest.Ticket, mulberrybeam.CodeOverloaded, message, state.retryAfter(newest.Pool)), true
}

func refuse(ticket Ticket, code mulberrybeam.Code, message string, retryAfter time.Duration) Decision {
	return Decision{Ticket: ticket, Failure: &mulberrybeam.Failure{
		Code: code, Step: mulberrybeam.StepAdmit, Message: message, NotRun: true, RetryAfter: retryAfter,
	}}
}

func (s *State) retryAfter(poolName string) time.Duration {
	pool := s.Pools[poolName]
	if pool == nil || pool.Intervals < minIntervals {
		return defaultRetryAfter
	}
	return pool.Interval * time.Duration(pool.Waiting+1)
}

// use returns the use of a workspace, after updating its limits and refilling
// its token bucket up to now.
func (s *State) use(now time.Duration, workspace mulberrybeam.WorkspaceName, bounds Bounds) *Usage {
	bounds.Weight = max(1, bounds.Weight)
	burst := max(1, bounds.Rate*burstSeconds)
	use := s.Usages[workspace]
	if use == nil {
		use = &Usage{Tokens: burst, FilledAt: now}
		s.Usages[workspace] = use
	}
	use.Bounds = bounds
	use.Tokens = min(burst, use.Tokens+bounds.Rate*(now-use.FilledAt).Seconds())
	use.FilledAt = now
	return use
}

func (s *State) pool(name string) *Pool {
	pool := s.Pools[name]
	if pool == nil {
		pool = &Pool{}
		s.Pools[name] = pool
	}
	return pool
}

func (s *State) flow(arrival Arrival, bounds Bounds) *Flow {
	key := flowKeyOf(arrival)
	flow := s.Flows[key]
	if flow == nil {
		flow = &Flow{VirtualFinish: s.VirtualTime}
		s.Flows[key] = flow
	}
	if len(flow.Waiting) == 0 {
		// An idle flow does not accumulate credit.
		flow.VirtualFinish = max(flow.VirtualFinish, s.VirtualTime)
	}
	flow.Weight = max(1, bounds.Weight) * max(1, priorityWeights[arrival.Priority])
	return flow
}

// adjustWaiting adds change to the numbers of waiting requests.
func (s *State) adjustWaiting(arrival Arrival, change int) {
	s.Waiting += change
	s.Usages[arrival.Workspace].Waiting += change
	s.Pools[arrival.Pool].Waiting += change
}

func flowKeyOf(arrival Arrival) FlowKey {
	return FlowKey{Workspace: arrival.Workspace, Priority: arrival.Priority, Pool: arrival.Pool}
}
