package cataloger_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/cataloger"
)

// fakeStore is a fake client for one context store.
type fakeStore struct {
	mutex       sync.Mutex
	boot        uint64
	parts       []mulberrybeam.PartChange
	changes     []mulberrybeam.PartChange
	down        bool
	lists       int
	freed       []mulberrybeam.PartKey
	activeCalls int
	// cancelDelay is how long a call for changes continues after its context
	// ended.
	cancelDelay time.Duration
}

func (s *fakeStore) Parts(context.Context, string) (mulberrybeam.PartList, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return mulberrybeam.PartList{}, errors.New("down")
	}
	s.lists++
	return mulberrybeam.PartList{Boot: s.boot, Parts: slices.Clone(s.parts)}, nil
}

func (s *fakeStore) PartChanges(ctx context.Context, _ string, since uint64, _ time.Duration) (mulberrybeam.PartChanges, error) {
	s.update(func() { s.activeCalls++ })
	defer s.update(func() { s.activeCalls-- })
	time.Sleep(5 * time.Millisecond)
	if s.cancelDelay > 0 {
		<-ctx.Done()
		time.Sleep(s.cancelDelay)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return mulberrybeam.PartChanges{}, errors.New("down")
	}
	changes := mulberrybeam.PartChanges{Boot: s.boot, Next: since, Clock: mulberrybeam.EngineClock(time.Hour), Changes: s.changes}
	s.changes = nil
	return changes, nil
}

func (s *fakeStore) FreeParts(_ context.Context, _ string, boot uint64, keys []mulberrybeam.PartKey) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if boot != s.boot {
		return errors.New("another run")
	}
	s.freed = append(s.freed, keys...)
	return nil
}

func (s *fakeStore) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func key(salt, id string) mulberrybeam.PartKey {
	return mulberrybeam.PartKey{Salt: salt, Model: "m", ID: id}
}

func stored(salt, id string, tokens int) mulberrybeam.PartChange {
	return mulberrybeam.PartChange{Key: key(salt, id), Tokens: tokens, Stored: true}
}

// startFollower runs a follower of one store with a capacity of 100 tokens, in
// a fleet whose engines all have weight version 2.
func startFollower(t *testing.T, s *fakeStore) *cataloger.Cataloger {
	catalog, _ := startFollowerWithClock(t, s)
	return catalog
}

// startFollowerWithClock is like startFollower. The returned function lets time pass.
func startFollowerWithClock(t *testing.T, s *fakeStore) (*cataloger.Cataloger, func(time.Duration)) {
	begin := time.Now()
	var skipped atomic.Int64
	catalog := cataloger.New(func() time.Duration { return time.Since(begin) + time.Duration(skipped.Load()) })
	fleet := &mulberrybeam.Fleet{
		Complete:      true,
		ContextStores: []mulberrybeam.ContextStore{{Address: "s:1", Capacity: 100}},
		EntryHosts:    []mulberrybeam.ProcessID{"self"},
		Weights:       map[mulberrybeam.ModelName]mulberrybeam.DesiredWeights{"m": {Model: "m", Version: 2}},
		Targets: map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"e": {
			{LiveTarget: mulberrybeam.LiveTarget{Versions: map[mulberrybeam.ModelName]int{"m": 2}}},
		}},
	}
	follower := &cataloger.Follower{
		Catalog: catalog, Client: s, Self: "self",
		Fleet: func() *mulberrybeam.Fleet { return fleet }, RecordEntry: func(string, string) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return catalog, func(duration time.Duration) { skipped.Add(int64(duration)) }
}

// Stopping the follower must wait for calls to stores. Otherwise they would use
// connections that the process has closed.
func TestStopWaitsForCalls(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{boot: 1, cancelDelay: 50 * time.Millisecond}
	t.Run("follow", func(t *testing.T) {
		startFollower(t, s)
		waitUntil(t, "no call was made", func() bool {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.activeCalls > 0
		})
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	is.Equal(s.activeCalls, 0)
}

// waitUntil waits until a condition is met, or else fails the test with
// message.
func waitUntil(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(message)
}

func hasPart(c *cataloger.Cataloger, key mulberrybeam.PartKey) func() bool {
	return func() bool {
		_, found := c.StoreOf(key)
		return found
	}
}

// Parts that a store lost at a restart, or whose store does not answer, must
// not be in the catalog, since requests would be sent to fetch them.
func TestCatalogTracksContentOfAStore(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{boot: 1, parts: []mulberrybeam.PartChange{stored("2", "a", 60)}}
	catalog := startFollower(t, s)
	waitUntil(t, "listed part is not known", hasPart(catalog, key("2", "a")))
	is.True(!catalog.Writable("s:1", 50))
	is.True(catalog.Writable("s:1", 30))
	_, known := catalog.Clock()
	waitUntil(t, "clock is not known", func() bool { _, known = catalog.Clock(); return known })
	s.update(func() { s.changes = []mulberrybeam.PartChange{stored("2", "b", 10)} })
	waitUntil(t, "stored part is not known", hasPart(catalog, key("2", "b")))
	s.update(func() { s.changes = []mulberrybeam.PartChange{{Key: key("2", "b")}} })
	waitUntil(t, "removed part is still known", func() bool { return !hasPart(catalog, key("2", "b"))() })
	s.update(func() { s.boot, s.parts = 2, nil })
	waitUntil(t, "part of an earlier run is still known", func() bool { return !hasPart(catalog, key("2", "a"))() })
	s.update(func() { s.down = true })
	waitUntil(t, "store that does not answer is still writable", func() bool { return !catalog.Writable("s:1", 1) })
}

// settleTime is longer than another process may rely on the content of a store's earlier
// run, and fetch it: 1.9 s after an answer that was up to 0.3 s on its way, and 2 s.
const settleTime = 4200 * time.Millisecond

// Guards against a part that is written again to a store that has restarted while other
// hosts, which have not noticed, let engines fetch it.
func TestRestartedStoreGetsNoPartsUntilItsEarlierContentIsForgotten(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{boot: 1, parts: []mulberrybeam.PartChange{stored("2", "a", 10)}}
	catalog, skip := startFollowerWithClock(t, s)
	writable := func() bool { return catalog.Writable("s:1", 1) }
	confirmed := func() {
		t.Helper()
		waitUntil(t, "store is not listed", hasPart(catalog, key("2", "a")))
	}
	// It is not known either for how long the first run, which holds little, has lasted.
	confirmed()
	is.True(!writable())
	skip(settleTime)
	waitUntil(t, "store that has not restarted is not writable", writable)
	for boot := range uint64(3) {
		s.update(func() { s.boot, s.parts = boot+2, nil })
		waitUntil(t, "content of an earlier run is known", func() bool { return !hasPart(catalog, key("2", "a"))() })
		s.update(func() { s.changes = []mulberrybeam.PartChange{stored("2", "a", 10)} })
		confirmed()
		is.True(!writable())
		skip(settleTime - time.Second)
		confirmed()
		is.True(!writable())
		skip(time.Second)
		waitUntil(t, "store is not writable for good", writable)
	}
}

// Concurrent requests must not all write the same part: only one may claim it
// until its claim expires.
func TestPartIsClaimedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Second
	catalog := cataloger.New(func() time.Duration { return now })
	is.True(catalog.Claim(key("2", "a")))
	is.True(!catalog.Claim(key("2", "a")))
	now += 3 * time.Second
	is.True(catalog.Claim(key("2", "a")))
}

// Parts that were computed with replaced weights must be removed, since they
// would fill the stores. No other parts may be removed.
func TestContextOfReplacedWeightsIsRemoved(t *testing.T) {
	s := &fakeStore{boot: 1, parts: []mulberrybeam.PartChange{
		stored("1", "old", 10), stored("1/w", "old", 10), stored("2", "new", 10), stored("else", "other", 10),
	}}
	startFollower(t, s)
	waitUntil(t, "old context is not removed", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.freed) == 2
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	is.New(t).True(!slices.Contains(s.freed, key("2", "new")) && !slices.Contains(s.freed, key("else", "other")))
}
