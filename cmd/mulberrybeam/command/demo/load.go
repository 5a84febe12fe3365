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
	// quietTime is how long a zone must get no new prompts to count as idle.
	quietTime = 2 * time.Second
	// pollInterval is the time between two reads of the engines' counters.
	pollInterval = 20 * time.Millisecond
)

// load sends short prompts to every entry process until it is stopped.
type load struct {
	show   *show
	cancel context.CancelFunc
	group  sync.WaitGroup
	asked  atomic.Int64
	failed atomic.Int64
}

func newLoad(ctx context.Context, s *show) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{show: s, cancel: cancel}
	for i, entry := range s.fleet.Entries {
		l.group.Go(func() { l.ask(ctx, i, entry) })
	}
	return l
}

// stop ends the load, waits for running prompts and returns the counts.
func (l *load) stop() (failed, asked int64) {
	l.cancel()
	l.group.Wait()
	return l.failed.Load(), l.asked.Load()
}

// ask sends prompts to one entry process until the context ends.
func (l *load) ask(ctx context.Context, number int, entry *fleet.Entry) {
	for n := 0; sleep(ctx, loadInterval) == nil; n++ {
		body := fleet.Prompt(fmt.Sprintf("short question %d of caller %d", n, number), answerTokens)
		// Stopping the load must not cancel a running prompt, which would
		// count as failed.
		answer, err := fleet.Ask(context.WithoutCancel(ctx), entry, fleet.SecondWorkspace, body)
		if err == nil {
			err = answer.Check(body, answerTokens)
		}
		l.asked.Add(1)
		if err != nil {
			l.failed.Add(1)
			l.show.say("%s: %v", entry.ID, err)
		}
	}
}

// started returns how many runs the engines of a zone have started so far.
func (l *load) started(zone mulberrybeam.ZoneName) int {
	count := 0
	tables := l.show.fleet.Entries[0].Control.Snapshot().Tables
	for _, id := range tables.TargetsByZone[zone] {
		if engine, found := l.show.fleet.Engines[id]; found {
			count += engine.Count("started")
		}
	}
	return count
}

// waitQuiet waits until the zone has been idle for quietTime, and returns the time
// from the call to the last prompt that the zone got.
func (l *load) waitQuiet(ctx context.Context, zone mulberrybeam.ZoneName) (time.Duration, error) {
	begin := time.Now()
	count, last := l.started(zone), time.Duration(0)
	for time.Since(begin)-last < quietTime {
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
		if now := l.started(zone); now != count {
			count, last = now, time.Since(begin)
		}
	}
	return last, nil
}

// waitWork waits until the zone gets a prompt, and returns the time from the call
// until then.
func (l *load) waitWork(ctx context.Context, zone mulberrybeam.ZoneName) (time.Duration, error) {
	begin := time.Now()
	count := l.started(zone)
	for l.started(zone) == count {
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return time.Since(begin), nil
}
