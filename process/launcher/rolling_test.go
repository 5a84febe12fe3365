package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/standin/fleet"
)

// leaseDuration is the duration of a slot lease. A slot whose holder shut down
// gracefully must get a new holder before its lease expires.
const leaseDuration = 10 * time.Second

// balancer sends requests to the entry processes whose readiness probe passes,
// as the platform's load balancer does.
type balancer struct {
	mutex   sync.Mutex
	entries []*fleet.Entry
	ready   []*fleet.Entry
}

// probeUntilDone probes all entry processes until the context ends.
func (b *balancer) probeUntilDone(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.mutex.Lock()
		entries := b.entries
		b.mutex.Unlock()
		var ready []*fleet.Entry
		for _, entry := range entries {
			if probeReady(ctx, entry) {
				ready = append(ready, entry)
			}
		}
		b.mutex.Lock()
		b.ready = ready
		b.mutex.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func probeReady(ctx context.Context, entry *fleet.Entry) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.CallerAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *balancer) add(entry *fleet.Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.entries = append(b.entries[:len(b.entries):len(b.entries)], entry)
}

// allEntries returns the entry processes added so far.
func (b *balancer) allEntries() []*fleet.Entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.entries
}

func (b *balancer) pick(number int) *fleet.Entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[number%len(b.ready)]
}

// holderGaps measures for each slot how long no process held it.
type holderGaps struct {
	unheldSince   map[mulberrybeam.Slot]time.Time
	longest       map[mulberrybeam.Slot]time.Duration
	holderChanges int
	holders       map[mulberrybeam.Slot]mulberrybeam.ProcessID
}

func (g *holderGaps) poll(entries []*fleet.Entry) {
	now, held := time.Now(), map[mulberrybeam.Slot]bool{}
	for _, entry := range entries {
		for _, ownership := range entry.Controller.Snapshot().OwnedSlots {
			held[ownership.Slot] = true
			if g.holders[ownership.Slot] != entry.ID {
				g.holders[ownership.Slot] = entry.ID
				g.holderChanges++
			}
		}
	}
	for slot := range g.holders {
		if unheldSince, unheld := g.unheldSince[slot]; unheld && held[slot] {
			g.longest[slot] = max(g.longest[slot], now.Sub(unheldSince))
			delete(g.unheldSince, slot)
		} else if !unheld && !held[slot] {
			g.unheldSince[slot] = now
		}
	}
}

// trackUntilDone polls the holders until the context ends and then returns the
// longest gap of any slot, including gaps that have not ended.
func (g *holderGaps) trackUntilDone(ctx context.Context, entries func() []*fleet.Entry) time.Duration {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.poll(entries())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	var longest time.Duration
	for slot := range g.holders {
		if unheldSince, unheld := g.unheldSince[slot]; unheld {
			g.longest[slot] = max(g.longest[slot], time.Since(unheldSince))
		}
		longest = max(longest, g.longest[slot])
	}
	return longest
}

// replaceEntry starts a new entry process and then shuts down the old one.
func replaceEntry(t *testing.T, f *fleet.Fleet, b *balancer, old *fleet.Entry, host string) {
	t.Helper()
	started, err := f.StartEntry(old.Zone, host)
	if err != nil {
		t.Fatal(err)
	}
	b.add(started)
	waitFor(t, 15*time.Second, "the new process is ready", func() bool { return started.Controller.Snapshot().Ready })
	shutdownStart := time.Now()
	if err := old.Shutdown(t.Context()); err != nil {
		t.Error("shut down", old.ID, err)
	}
	waitFor(t, 2*time.Second, "a peer knows that the old process has left", func() bool {
		for _, member := range started.Controller.Snapshot().Members {
			if member.ID == old.ID {
				return member.State == mulberrybeam.MemberLeft
			}
		}
		return false
	})
	t.Log(old.ID, "shut down in", time.Since(shutdownStart).Round(time.Millisecond))
}

// Guards against failed requests, streams that are cut off and slots that stay
// without a holder while all entry processes are replaced one after another.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout := fleet.DefaultLayout()
	layout.Zones, layout.BalancerDelay = layout.Zones[:2], 500*time.Millisecond
	f := startFleet(t, layout)
	initialEntries := f.Entries[:len(f.Entries):len(f.Entries)]
	loadBalancer := &balancer{entries: initialEntries}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { loadBalancer.probeUntilDone(ctx) })
	slotGaps := &holderGaps{
		unheldSince: map[mulberrybeam.Slot]time.Time{}, longest: map[mulberrybeam.Slot]time.Duration{},
		holders: map[mulberrybeam.Slot]mulberrybeam.ProcessID{},
	}
	var longest time.Duration
	group.Go(func() { longest = slotGaps.trackUntilDone(ctx, loadBalancer.allEntries) })
	steadyLoad := startLoad(t.Context(), 30*time.Millisecond, 20, loadBalancer.pick)
	longLoad := startLoad(t.Context(), 400*time.Millisecond, 400, loadBalancer.pick)
	time.Sleep(2 * time.Second)
	for number, old := range initialEntries {
		replaceEntry(t, f, loadBalancer, old, fmt.Sprint("replacement-", number))
	}
	time.Sleep(5 * time.Second)
	outcomes := append(steadyLoad.stop(), longLoad.stop()...)
	cancel()
	group.Wait()
	complete, refused, failed := countOutcomes(outcomes)
	t.Logf("%d complete, %d refused, %d failed, p95 time to first token %v", complete, refused, failed, p95(outcomes))
	t.Logf("%d changes of slot holders, longest time without a holder %v", slotGaps.holderChanges, longest)
	reportUnexpected(t, f, outcomes, func(o outcome) bool {
		return o.refusal != nil && o.refusal.NotRun && o.refusal.Code == mulberrybeam.CodeShuttingDown
	})
	is.True(longest < leaseDuration)
	is.True(slotGaps.holderChanges > len(slotGaps.holders)) // slots moved
}
