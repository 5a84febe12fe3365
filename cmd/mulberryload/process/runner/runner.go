// Package runner sends a planned load as an open loop: each request is sent at
// its planned time, whether or not earlier requests have completed. A slow
// system therefore neither reduces the load nor hides its latency.
package runner

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberrybeam/cmd/mulberryload/process/aggregator"
	"mulberrybeam/cmd/mulberryload/process/planner"
	"mulberrybeam/cmd/mulberryload/request/sender"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/engine"
)

// preparationTime is how long before its arrival a request's body is generated,
// so that generating it does not count as latency.
const preparationTime = 500 * time.Millisecond

// Settings configure the load and where it is sent.
type Settings struct {
	// Entries lists the addresses of entry processes, used round-robin.
	Entries []string
	Plan    planner.Plan
	Model   string
	// MaxTokens is the number of tokens of each answer.
	MaxTokens int
	Service   string
	// RepeatableCall and NonRepeatableCall are the names of calls of Service.
	RepeatableCall    string
	NonRepeatableCall string
	// Timeout limits each arrival, including a resend, counted from its
	// intended time.
	Timeout time.Duration
}

// Runner sends a load and collects the outcomes.
type Runner struct {
	settings   Settings
	client     *http.Client
	aggregator *aggregator.Aggregator
}

// New returns a Runner and the function that closes its connections.
func New(settings Settings) (*Runner, func()) {
	client, closeClient := encoder.NewClient(time.Second)
	return &Runner{settings: settings, client: client, aggregator: aggregator.New()}, closeClient
}

// Run sends the load and returns the results when all requests have completed.
// Canceling the context stops the run early.
func (r *Runner) Run(ctx context.Context) aggregator.Results {
	arrivals := planner.Arrivals(r.settings.Plan)
	start := time.Now().Add(preparationTime)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var group sync.WaitGroup
	for n, arrival := range arrivals {
		intended := start.Add(arrival.At)
		timer.Reset(time.Until(intended) - preparationTime)
		select {
		case <-ctx.Done():
			group.Wait()
			return r.aggregator.Results()
		case <-timer.C:
		}
		group.Go(func() {
			r.send(ctx, r.settings.Entries[n%len(r.settings.Entries)], arrival, intended)
		})
	}
	group.Wait()
	return r.aggregator.Results()
}

func (r *Runner) send(ctx context.Context, entry string, arrival planner.Arrival, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(r.settings.Timeout))
	defer cancel()
	if arrival.Kind == planner.Prompt {
		r.sendPrompt(ctx, entry, arrival, intended)
		return
	}
	call := r.newCall(entry, arrival, intended)
	if !waitUntil(ctx, intended) {
		return
	}
	r.aggregator.Add(sender.SendCall(ctx, r.client, call))
	if arrival.Resend {
		call.Intended = time.Now()
		r.aggregator.Add(sender.SendCall(ctx, r.client, call))
	}
}

func (r *Runner) sendPrompt(ctx context.Context, entry string, arrival planner.Arrival, intended time.Time) {
	tokens := r.settings.MaxTokens
	body, err := planner.Body(r.settings.Plan, r.settings.Model, tokens, arrival.Conversation, arrival.Turn, engine.ExpectedAnswer)
	var expected []string
	if err == nil {
		expected, err = engine.ExpectedAnswer(body, tokens)
	}
	if err != nil {
		r.aggregator.Add(aggregator.Outcome{Prompt: true, Code: "invalid-plan"})
		return
	}
	if !waitUntil(ctx, intended) {
		return
	}
	r.aggregator.Add(sender.SendPrompt(ctx, r.client, sender.Prompt{
		Entry: entry, Key: r.settings.Plan.Workspaces[arrival.Workspace].Key, Body: body,
		Expected: expected, Returning: arrival.Turn > 1, Intended: intended,
	}))
}

// waitUntil waits until the given time and reports whether it was reached
// before the context was done.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *Runner) newCall(entry string, arrival planner.Arrival, intended time.Time) sender.Call {
	call := sender.Call{
		Entry: entry, Key: r.settings.Plan.Workspaces[arrival.Workspace].Key,
		Service: r.settings.Service, Name: r.settings.RepeatableCall,
		Body: fmt.Appendf(nil, `{"item": "%016x"}`, arrival.Random), Intended: intended,
	}
	if arrival.Kind == planner.NonRepeatable {
		call.Name = r.settings.NonRepeatableCall
		call.IdempotencyKey = newIdempotencyKey(intended, arrival.Random)
	}
	return call
}

// newIdempotencyKey returns a UUID version 7 (RFC 9562) with the given time and
// random bits.
func newIdempotencyKey(at time.Time, random uint64) string {
	var key uuid.UUID
	binary.BigEndian.PutUint64(key[:8], uint64(at.UnixMilli())<<16|random>>48)
	binary.BigEndian.PutUint64(key[8:], random)
	key[6] = key[6]&0x0f | 0x70
	key[8] = key[8]&0x3f | 0x80
	return key.String()
}
