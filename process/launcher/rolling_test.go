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

// leaseTime is the duration of a slot lease. A slot whose holder shut down
// gracefully must get a new holder before its lease expires.
const leaseTime = 10 * time.Second

// balancer sends requests to the entry processes whose readiness probe passes,
// as the platform's load balancer does.
type balancer struct {
	mutex   sync.Mutex
	entries []*fleet.Entry
	ready   []*fleet.Entry
}

// follow probes all entry processes until the context ends.
func (b *balancer) follow(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.mutex.Lock()
		entries := b.entries
		b.mutex.Unlock()
		var ready []*fleet.Entry
		for _, entry := range entries {
			if probe(ctx, entry) {
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

func probe(ctx context.Context, entry *fleet.Entry) bool {
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

// all returns the entry processes added so far.
func (b *balancer) all() []*fleet.Entry {
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

// gaps measures for each slot how long no process held it.
type gaps struct {
	since   map[mulberrybeam.Slot]time.Time
	longest map[mulberrybeam.Slot]time.Duration
	moves   int
	holder  map[mulberrybeam.Slot]mulberrybeam.ProcessID
}

func (g *gaps) look(entries []*fleet.Entry) {
	now, held := time.Now(), map[mulberrybeam.Slot]bool{}
	for _, entry := range entries {
		for _, right := range entry.Control.Snapshot().Rights {
			held[right.Slot] = true
			if g.holder[right.Slot] != entry.ID {
				g.holder[right.Slot] = entry.ID
				g.moves++
			}
		}
	}
	for slot := range g.holder {
		if since, gone := g.since[slot]; gone && held[slot] {
			g.longest[slot] = max(g.longest[slot], now.Sub(since))
			delete(g.since, slot)
		} else if !gone && !held[slot] {
			g.since[slot] = now
		}
	}
}

// follow polls the holders until the context ends and then returns the longest
// gap of any slot, including gaps that have not ended.
func (g *gaps) follow(ctx context.Context, entries func() []*fleet.Entry) time.Duration {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.look(entries())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	var longest time.Duration
	for slot := range g.holder {
		if since, gone := g.since[slot]; gone {
			g.longest[slot] = max(g.longest[slot], time.Since(since))
		}
		longest = max(longest, g.longest[slot])
	}
	return longest
}

// replace starts a new entry process and then shuts down the old one.
func replace(t *testing.T, f *fleet.Fleet, b *balancer, old *fleet.Entry, host string) {
	t.Helper()
	fresh, err := f.StartEntry(old.Zone, host)
	if err != nil {
		t.Fatal(err)
	}
	b.add(fresh)
	await(t, 15*time.Second, "the new process is ready", func() bool { return fresh.Control.Snapshot().Ready })
	begin := time.Now()
	if err := old.Shutdown(t.Context()); err != nil {
		t.Error("shut down", old.ID, err)
	}
	await(t, 2*time.Second, "a peer knows that the old process has left", func() bool {
		for _, member := range fresh.Control.Snapshot().Members {
			if member.ID == old.ID {
				return member.State == mulberrybeam.MemberLeft
			}
		}
		return false
	})
	t.Log(old.ID, "shut down in", time.Since(begin).Round(time.Millisecond))
}

// Guards against failed requests, streams that are cut off and slots that stay
// without a holder while all entry processes are replaced one after another.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout := fleet.DefaultLayout()
	layout.Zones, layout.BalancerDelay = layout.Zones[:2], 500*time.Millisecond
	f := start(t, layout)
	first := f.Entries[:len(f.Entries):len(f.Entries)]
	balanced := &balancer{entries: first}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { balanced.follow(ctx) })
	held := &gaps{
		since: map[mulberrybeam.Slot]time.Time{}, longest: map[mulberrybeam.Slot]time.Duration{},
		holder: map[mulberrybeam.Slot]mulberrybeam.ProcessID{},
	}
	var longest time.Duration
	group.Go(func() { longest = held.follow(ctx, balanced.all) })
	steady := startLoad(t.Context(), 30*time.Millisecond, 20, balanced.pick)
	long := startLoad(t.Context(), 400*time.Millisecond, 400, balanced.pick)
	time.Sleep(2 * time.Second)
	for number, old := range first {
		replace(t, f, balanced, old, fmt.Sprint("replacement-", number))
	}
	time.Sleep(5 * time.Second)
	outcomes := append(steady.stop(), long.stop()...)
	cancel()
	group.Wait()
	whole, refused, failed := tally(outcomes)
	t.Logf("%d complete, %d refused, %d failed, p95 time to first token %v", whole, refused, failed, p95(outcomes))
	t.Logf("%d changes of slot holders, longest time without a holder %v", held.moves, longest)
	report(t, f, outcomes, func(o outcome) bool {
		return o.refused != nil && o.refused.NotRun && o.refused.Code == mulberrybeam.CodeShuttingDown
	})
	is.True(longest < leaseTime)
	is.True(held.moves > len(held.holder)) // slots moved
}
