// Package planner generates the whole load of a run before it starts: which
// request is sent at which time. It does no I/O and reads no clock, so the same
// seed always produces the same load.
package planner

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Workspace is a tenant that sends requests.
type Workspace struct {
	Name string
	Key  string
	// Share is the relative weight of the workspace in the load. If it is 0,
	// the n-th workspace has the weight 1/n, so that a few are large.
	Share float64
}

// Plan holds the parameters of a load.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the number of arrivals per second.
	Rate       float64
	Workspaces []Workspace
	// FirstBytes is the length of the first message of a conversation. Each
	// further turn adds the previous answer and a message of GrowthBytes.
	FirstBytes  int
	GrowthBytes int
	// ReturnMin and ReturnShape are the minimum and the shape of the Pareto
	// distribution of the gaps between the turns of a conversation. A shape
	// near 1 has a heavy tail.
	ReturnMin   time.Duration
	ReturnShape float64
	// MaxTurns is the number of turns after which a conversation ends.
	MaxTurns int
	// ServiceShare is the share of arrivals that are service calls.
	// NonRepeatableShare is the share of those that must run at most once,
	// and ResendShare the share of those that the caller sends twice.
	ServiceShare       float64
	NonRepeatableShare float64
	ResendShare        float64
}

// Kind is the kind of request that an arrival sends.
type Kind string

// Kinds of arrivals.
const (
	Prompt        Kind = "prompt"
	Repeatable    Kind = "repeatable"
	NonRepeatable Kind = "non-repeatable"
)

// Arrival is one planned request.
type Arrival struct {
	// At is the time of the arrival since the start of the run.
	At        time.Duration
	Workspace int
	Kind      Kind
	// Conversation and Turn identify a prompt. Both start at 1.
	Conversation int
	Turn         int
	// Resend means that the caller sends a non-repeatable call twice.
	Resend bool
	// Random makes the bodies and idempotency keys of calls unique.
	Random uint64
}

// Validate validates a plan and returns all errors found.
func Validate(plan Plan) error {
	var errs []error
	require := func(ok bool, text string) {
		if !ok {
			errs = append(errs, errors.New(text))
		}
	}
	require(plan.Duration > 0, "duration must be greater than 0")
	require(plan.Rate > 0, "rate must be greater than 0")
	require(len(plan.Workspaces) > 0, "at least one workspace is required")
	require(plan.FirstBytes > 0, "first-prompt-bytes must be greater than 0")
	require(plan.GrowthBytes > 0, "growth-bytes must be greater than 0")
	require(plan.ReturnMin > 0, "return-min must be greater than 0")
	require(plan.ReturnShape > 0, "return-shape must be greater than 0")
	require(plan.MaxTurns > 0, "max-turns must be greater than 0")
	for _, share := range []float64{plan.ServiceShare, plan.NonRepeatableShare, plan.ResendShare} {
		require(share >= 0 && share <= 1, fmt.Sprintf("share %v is not between 0 and 1", share))
	}
	for _, workspace := range plan.Workspaces {
		require(workspace.Share >= 0, fmt.Sprintf("share of workspace %q must not be negative", workspace.Name))
	}
	return errors.Join(errs...)
}

// conversation is a conversation that has another turn.
type conversation struct {
	number int
	turn   int
	due    time.Duration
}

// dueQueue is a heap of conversations ordered by the time of their next turn.
type dueQueue []conversation

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q dueQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *dueQueue) Push(x any)        { *q = append(*q, x.(conversation)) }
func (q *dueQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Arrivals generates the load in order of time. The arrivals form a Poisson
// process. A prompt continues the conversation of its workspace that became due
// first, or starts a new one if none is due.
func Arrivals(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	shares := cumulativeShares(plan.Workspaces)
	queues := make([]dueQueue, len(plan.Workspaces))
	var arrivals []Arrival
	conversations := 0
	for at := nextInterval(random, plan.Rate); at < plan.Duration; at += nextInterval(random, plan.Rate) {
		arrival := Arrival{At: at, Workspace: pickWorkspace(random, shares), Random: random.Uint64()}
		if random.Float64() < plan.ServiceShare {
			arrival.Kind = Repeatable
			if random.Float64() < plan.NonRepeatableShare {
				arrival.Kind = NonRepeatable
				arrival.Resend = random.Float64() < plan.ResendShare
			}
			arrivals = append(arrivals, arrival)
			continue
		}
		arrival.Kind = Prompt
		queue := &queues[arrival.Workspace]
		if len(*queue) > 0 && (*queue)[0].due <= at {
			due := heap.Pop(queue).(conversation)
			arrival.Conversation, arrival.Turn = due.number, due.turn+1
		} else {
			conversations++
			arrival.Conversation, arrival.Turn = conversations, 1
		}
		if arrival.Turn < plan.MaxTurns {
			heap.Push(queue, conversation{arrival.Conversation, arrival.Turn, at + turnGap(random, plan)})
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

func nextInterval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// turnGap returns a Pareto-distributed time until the next turn of a
// conversation.
func turnGap(random *rand.Rand, plan Plan) time.Duration {
	factor := math.Pow(1-random.Float64(), -1/plan.ReturnShape)
	return time.Duration(min(float64(plan.ReturnMin)*factor, float64(math.MaxInt64/2)))
}

func cumulativeShares(workspaces []Workspace) []float64 {
	shares := make([]float64, len(workspaces))
	sum := 0.0
	for i, workspace := range workspaces {
		share := workspace.Share
		if share == 0 {
			share = 1 / float64(i+1)
		}
		sum += share
		shares[i] = sum
	}
	return shares
}

func pickWorkspace(random *rand.Rand, shares []float64) int {
	at := random.Float64() * shares[len(shares)-1]
	for i, share := range shares {
		if at < share {
			return i
		}
	}
	return len(shares) - 1
}
