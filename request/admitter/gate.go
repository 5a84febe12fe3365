package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"mulberrybeam"
)

// tokensPerCostUnit is the prompt length, in tokens, of a request of cost 1.
const tokensPerCostUnit = 1024

// Gate admits the requests of a process. Only goroutines that serve requests
// lock its mutex; the control goroutine never waits for it.
type Gate struct {
	clock func() time.Duration

	mutex      sync.Mutex
	state      *State
	limits     map[mulberrybeam.TargetID]Limit
	waiters    map[Ticket]chan *mulberrybeam.Failure
	lastTicket Ticket
}

// New returns a gate with no requests. The clock must be monotonic.
func New(clock func() time.Duration) *Gate {
	return &Gate{
		clock:   clock,
		state:   NewState(),
		limits:  map[mulberrybeam.TargetID]Limit{},
		waiters: map[Ticket]chan *mulberrybeam.Failure{},
	}
}

// Admit blocks until the request may start and returns a function that must be
// called when the request ends. An error is always a *Failure with NotRun set.
func (g *Gate) Admit(ctx context.Context, snapshot *mulberrybeam.Snapshot, request *mulberrybeam.Request) (func(), error) {
	now := g.clock()
	limits := snapshot.Tables.Environment.Limits
	arrival := Arrival{
		Workspace: request.Workspace, Priority: request.Priority, Pool: poolOf(request),
		Cost:     max(1, float64(request.PromptTokens)/tokensPerCostUnit),
		Deadline: min(request.Deadline, now+limits.QueueTimeout),
	}
	result := make(chan *mulberrybeam.Failure, 1)
	g.mutex.Lock()
	g.lastTicket++
	arrival.Ticket = g.lastTicket
	g.waiters[arrival.Ticket] = result
	g.deliver(Arrive(g.state, now, arrival, g.bounds(snapshot, request)))
	g.mutex.Unlock()

	timer := time.NewTimer(arrival.Deadline - now)
	defer timer.Stop()
	release := sync.OnceFunc(func() { g.finish(arrival) })
	select {
	case failure := <-result:
		return admissionResult(release, failure)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mutex.Lock()
	stillWaiting := Abandon(g.state, arrival)
	delete(g.waiters, arrival.Ticket)
	g.mutex.Unlock()
	if !stillWaiting {
		return admissionResult(release, <-result)
	}
	code, message := mulberrybeam.CodeQueueTimeout, "the request timed out while waiting for admission"
	if ctx.Err() != nil {
		code, message = mulberrybeam.CodeCancelled, "the caller disconnected while the request was waiting for admission"
	}
	return nil, &mulberrybeam.Failure{
		Code: code, Step: mulberrybeam.StepAdmit, Message: message, NotRun: true, RetryAfter: defaultRetryAfter, Cause: ctx.Err(),
	}
}

// Observe updates the adaptive limit of a target with the outcome of a request.
func (g *Gate) Observe(target mulberrybeam.Target, outcome Outcome) {
	now := g.clock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limits[target.ID] = UpdateLimit(g.limit(target), now, outcome)
}

// Full reports whether the process's requests in flight at a target have
// reached the adaptive limit of the target.
func (g *Gate) Full(target mulberrybeam.Target, inFlight int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return inFlight >= int(g.limit(target).Current)
}

func admissionResult(release func(), failure *mulberrybeam.Failure) (func(), error) {
	if failure != nil {
		return nil, failure
	}
	return release, nil
}

func (g *Gate) finish(arrival Arrival) {
	now := g.clock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(Finish(g.state, now, arrival.Workspace, arrival.Pool))
}

// deliver delivers each decision to the goroutine that waits for it.
func (g *Gate) deliver(decisions []Decision) {
	for _, decision := range decisions {
		g.waiters[decision.Ticket] <- decision.Failure
		delete(g.waiters, decision.Ticket)
	}
}

func (g *Gate) limit(target mulberrybeam.Target) Limit {
	limit, found := g.limits[target.ID]
	if !found {
		return NewLimit(target.WarmLimit)
	}
	// A new configuration revision may have changed the target's WarmLimit.
	limit.Max = max(1, float64(target.WarmLimit))
	limit.Current = min(limit.Current, limit.Max)
	return limit
}

func (g *Gate) bounds(snapshot *mulberrybeam.Snapshot, request *mulberrybeam.Request) Bounds {
	tables := snapshot.Tables
	workspace := tables.Workspaces[request.Workspace]
	share, known := snapshot.Shares[request.Workspace]
	if !known {
		// The workspace's demand is not known yet: split its limits evenly.
		share = 1 / float64(max(1, len(snapshot.Members)))
	}
	bounds := Bounds{
		QueueLength: tables.Environment.Limits.QueueLength,
		Weight:      float64(workspace.Weight),
		Rate:        workspace.RequestsPerSecond * share,
	}
	if workspace.MaxInFlight > 0 {
		// Allow at least one request, since a share that rounds to zero would
		// block the workspace on this host.
		bounds.InFlight = max(1, int(math.Round(float64(workspace.MaxInFlight)*share)))
	}
	ids := tables.TargetsByService[request.Service]
	if request.Model != "" {
		ids = tables.EnginesByModel[request.Model]
	}
	for _, id := range ids {
		bounds.PoolCapacity += int(g.limit(tables.Targets[id]).Current)
	}
	return bounds
}

func poolOf(request *mulberrybeam.Request) string {
	if request.Model != "" {
		return "model/" + string(request.Model)
	}
	return "service/" + string(request.Service)
}
