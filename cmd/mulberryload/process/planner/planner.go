// Package planner lays out the whole load of a run before it starts: what is
// sent at which time. It does no I/O and reads no clock, so that the same seed
// gives the same load.
package planner

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Workspace is a customer that sends load.
type Workspace struct {
	Name string
	Key  string
	// Share is the workspace's part of the load. Without one, the n-th
	// workspace has 1/n, so that a few are large.
	Share float64
}

// Plan is the description of a load.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the arrivals per second.
	Rate       float64
	Workspaces []Workspace
	// FirstBytes is the length of a new conversation's prompt; each return
	// adds the answer and GrowthBytes.
	FirstBytes  int
	GrowthBytes int
	// ReturnMin and ReturnShape are the least gap and the shape of the
	// Pareto distribution of the gaps until a conversation returns. A
	// shape near 1 has a heavy tail.
	ReturnMin   time.Duration
	ReturnShape float64
	// MaxTurns ends a conversation.
	MaxTurns int
	// ServiceShare is the part of service calls, NonRepeatableShare the
	// part of these that must run at most once, and ResendShare the part
	// of these that their caller sends a second time.
	ServiceShare       float64
	NonRepeatableShare float64
	ResendShare        float64
}

// Kind is what an arrival sends.
type Kind string

// Kinds of arrivals.
const (
	Prompt        Kind = "prompt"
	Repeatable    Kind = "repeatable"
	NonRepeatable Kind = "non-repeatable"
)

// Arrival is one request of the load.
type Arrival struct {
	// At is the time since the start of the run.
	At        time.Duration
	Workspace int
	Kind      Kind
	// Conversation and Turn, from 1, identify a prompt.
	Conversation int
	Turn         int
	// Resend says that the caller sends a non-repeatable call twice.
	Resend bool
	// Random makes bodies and idempotency keys differ.
	Random uint64
}

// Check returns all errors of a plan.
func Check(plan Plan) error {
	var errs []error
	need := func(ok bool, text string) {
		if !ok {
			errs = append(errs, errors.New(text))
		}
	}
	need(plan.Duration > 0, "duration is not above 0")
	need(plan.Rate > 0, "rate is not above 0")
	need(len(plan.Workspaces) > 0, "there is no workspace")
	need(plan.FirstBytes > 0, "first-prompt-bytes is not above 0")
	need(plan.GrowthBytes > 0, "growth-bytes is not above 0")
	need(plan.ReturnMin > 0, "return-min is not above 0")
	need(plan.ReturnShape > 0, "return-shape is not above 0")
	need(plan.MaxTurns > 0, "max-turns is not above 0")
	for _, share := range []float64{plan.ServiceShare, plan.NonRepeatableShare, plan.ResendShare} {
		need(share >= 0 && share <= 1, fmt.Sprintf("share %v is not from 0 to 1", share))
	}
	for _, workspace := range plan.Workspaces {
		need(workspace.Share >= 0, fmt.Sprintf("share of workspace %q is below 0", workspace.Name))
	}
	return errors.Join(errs...)
}

// conversation is one that will return.
type conversation struct {
	number int
	turn   int
	due    time.Duration
}

// dueQueue orders conversations by the time they return.
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

// Arrivals returns the load in the order of time. Arrivals are a Poisson
// process; a prompt continues the conversation of its workspace that is due
// first, or starts a new one when none is due.
func Arrivals(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	shares := cumulate(plan.Workspaces)
	waiting := make([]dueQueue, len(plan.Workspaces))
	var arrivals []Arrival
	conversations := 0
	for at := step(random, plan.Rate); at < plan.Duration; at += step(random, plan.Rate) {
		arrival := Arrival{At: at, Workspace: pick(random, shares), Random: random.Uint64()}
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
		queue := &waiting[arrival.Workspace]
		if len(*queue) > 0 && (*queue)[0].due <= at {
			due := heap.Pop(queue).(conversation)
			arrival.Conversation, arrival.Turn = due.number, due.turn+1
		} else {
			conversations++
			arrival.Conversation, arrival.Turn = conversations, 1
		}
		if arrival.Turn < plan.MaxTurns {
			heap.Push(queue, conversation{arrival.Conversation, arrival.Turn, at + gap(random, plan)})
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

func step(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// gap returns a Pareto distributed time until a conversation returns.
func gap(random *rand.Rand, plan Plan) time.Duration {
	factor := math.Pow(1-random.Float64(), -1/plan.ReturnShape)
	return time.Duration(min(float64(plan.ReturnMin)*factor, float64(math.MaxInt64/2)))
}

func cumulate(workspaces []Workspace) []float64 {
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

func pick(random *rand.Rand, shares []float64) int {
	at := random.Float64() * shares[len(shares)-1]
	for i, share := range shares {
		if at < share {
			return i
		}
	}
	return len(shares) - 1
}
