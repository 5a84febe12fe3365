package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/standin/fleet"
)

const (
	// loadInterval is the pause between two prompts to one entry process.
	loadInterval = 50 * time.Millisecond
	// idleTime is how long a zone must get no new prompts to count as idle.
	idleTime = 2 * time.Second
	// pollInterval is the time between two reads of the engines' counters.
	pollInterval = 20 * time.Millisecond
)

// loadGenerator sends short prompts to every entry process until it is stopped.
type loadGenerator struct {
	runner *runner
	cancel context.CancelFunc
	group  sync.WaitGroup
	sent   atomic.Int64
	failed atomic.Int64
}

// startLoad starts one sender per entry process.
func startLoad(ctx context.Context, r *runner) *loadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	g := &loadGenerator{runner: r, cancel: cancel}
	for i, entry := range r.fleet.Entries {
		g.group.Go(func() { g.sendPrompts(ctx, i, entry) })
	}
	return g
}

// stop ends the load, waits for running prompts and returns the counts.
func (g *loadGenerator) stop() (failed, sent int64) {
	g.cancel()
	g.group.Wait()
	return g.failed.Load(), g.sent.Load()
}

// sendPrompts sends prompts to one entry process until the context ends.
func (g *loadGenerator) sendPrompts(ctx context.Context, entryIndex int, entry *fleet.Entry) {
	for sequence := 0; sleep(ctx, loadInterval) == nil; sequence++ {
		body := fleet.PromptBody(fmt.Sprintf("short question %d of caller %d", sequence, entryIndex), answerTokens)
		// Stopping the load must not cancel a running prompt, which would
		// count as failed.
		answer, err := fleet.Ask(context.WithoutCancel(ctx), entry, fleet.SecondWorkspace, body)
		if err == nil {
			err = answer.Check(body, answerTokens)
		}
		g.sent.Add(1)
		if err != nil {
			g.failed.Add(1)
			g.runner.printf("%s: %v", entry.ID, err)
		}
	}
}

// startedRuns returns how many runs the engines of a zone have started so far.
func (g *loadGenerator) startedRuns(zone mulberrybeam.ZoneName) int {
	count := 0
	tables := g.runner.fleet.Entries[0].Controller.Snapshot().Tables
	for _, id := range tables.TargetsByZone[zone] {
		if engine, found := g.runner.fleet.Engines[id]; found {
			count += engine.Count("started")
		}
	}
	return count
}

// waitIdle waits until the zone has been idle for idleTime, and returns the time
// from the call to the last prompt that the zone got.
func (g *loadGenerator) waitIdle(ctx context.Context, zone mulberrybeam.ZoneName) (time.Duration, error) {
	start := time.Now()
	count, last := g.startedRuns(zone), time.Duration(0)
	for time.Since(start)-last < idleTime {
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
		if current := g.startedRuns(zone); current != count {
			count, last = current, time.Since(start)
		}
	}
	return last, nil
}

// waitBusy waits until the zone gets a prompt, and returns the time from the call
// until then.
func (g *loadGenerator) waitBusy(ctx context.Context, zone mulberrybeam.ZoneName) (time.Duration, error) {
	start := time.Now()
	count := g.startedRuns(zone)
	for g.startedRuns(zone) == count {
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}
