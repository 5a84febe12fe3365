package engine_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/enginecaller"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/store"
)

const chat = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":%d}`

type testEngine struct {
	fake   *engine.Engine
	caller *enginecaller.Caller
	target mulberrybeam.Target
}

func setUp(t *testing.T, options ...engine.Option) testEngine {
	t.Helper()
	is := is.New(t)
	options = append([]engine.Option{
		engine.WithVersion("m", "v1"),
		engine.WithSettings(func(s *engine.Settings) { s.TokenTime, s.BatchTime = time.Millisecond, 0 }),
	}, options...)
	fake, closeFake, err := engine.New(options...)
	is.NoErr(err)
	t.Cleanup(closeFake)
	caller, closeCaller := enginecaller.New()
	t.Cleanup(closeCaller)
	return testEngine{fake, caller, mulberrybeam.Target{ID: "e", Address: fake.Address()}}
}

// startCompletion starts a completion whose request has the given number of
// block keys, numbered from 1.
func (e testEngine) startCompletion(t *testing.T, id string, tokens, keys int, priority mulberrybeam.Priority) (mulberrybeam.EngineStream, error) {
	t.Helper()
	request := &mulberrybeam.Request{
		ID: mulberrybeam.RequestID(id), Model: "m", Version: "v1", Body: fmt.Appendf(nil, chat, tokens),
	}
	for n := range keys {
		request.Keys = append(request.Keys, mulberrybeam.BlockKey{byte(n + 1)})
	}
	return e.caller.Generate(t.Context(), mulberrybeam.EngineCall{Request: request, Target: e.target, Attempt: 1, Priority: priority})
}

// runCompletion reads a completion to its end and returns the time to its first
// token and the total time.
func (e testEngine) runCompletion(t *testing.T, id string, tokens, keys int, priority mulberrybeam.Priority) (time.Duration, time.Duration, error) {
	t.Helper()
	start := time.Now()
	stream, err := e.startCompletion(t, id, tokens, keys, priority)
	if err != nil {
		return 0, 0, err
	}
	defer stream.Close()
	var first time.Duration
	for {
		token, err := stream.Next()
		if err == io.EOF {
			return first, time.Since(start), nil
		}
		if err != nil {
			return first, 0, err
		}
		if token.Sequence == 1 {
			first = time.Since(start)
		}
	}
}

// Guards against a cold engine that accepts more requests than its limit
// without crashing, or that never turns warm.
func TestColdEngineCrashesAboveItsLimit(t *testing.T) {
	is := is.New(t)
	e := setUp(t, engine.WithCold(2, 1, 0), engine.WithSettings(func(s *engine.Settings) { s.RestartAfter = 20 * time.Millisecond }))
	instance := e.fake.Instance()
	for n := range 2 {
		_, err := e.startCompletion(t, fmt.Sprint(n), 10000, 0, 0)
		is.NoErr(err)
	}
	_, err := e.startCompletion(t, "third", 10, 0, 0)
	is.True(err != nil)
	is.Equal(e.fake.Count("cold-crashes"), 1)
	for e.fake.Count("restarts") == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the counter increases before the listener reopens
	is.True(e.fake.Instance() != instance)
	is.True(e.fake.Cold())
	_, _, err = e.runCompletion(t, "warms", 2, 0, 0)
	is.NoErr(err)
	is.True(!e.fake.Cold())
	for n := range 4 {
		stream, err := e.startCompletion(t, fmt.Sprint("warm", n), 1000, 0, 0)
		is.NoErr(err)
		defer stream.Close()
	}
	is.Equal(e.fake.Count("crashes"), 1)
	e.fake.TurnCold()
	is.True(e.fake.Cold())
}

// Guards against a token time that does not depend on the batch size.
func TestTokenTimeGrowsWithBatchSize(t *testing.T) {
	is := is.New(t)
	e := setUp(t, engine.WithSettings(func(s *engine.Settings) { s.BatchTime = 5 * time.Millisecond }))
	_, alone, err := e.runCompletion(t, "alone", 20, 0, 0)
	is.NoErr(err)
	var group sync.WaitGroup
	var batched time.Duration
	for n := range 8 {
		group.Go(func() {
			_, took, err := e.runCompletion(t, fmt.Sprint(n), 20, 0, 0)
			if err == nil && n == 0 {
				batched = took
			}
		})
	}
	group.Wait()
	is.True(alone >= 20*time.Millisecond)    // 20 steps of 1 ms
	is.True(batched >= 500*time.Millisecond) // most steps take 36 ms
	is.Equal(e.fake.Count("max-running"), 8)
}

// Guards against an engine that ignores priorities or the limit of its queue.
func TestPrioritiesAndQueue(t *testing.T) {
	is := is.New(t)
	e := setUp(t, engine.WithSettings(func(s *engine.Settings) { s.MaxRunning, s.MaxWaiting = 1, 2 }))
	_, err := e.startCompletion(t, "running", 10000, 0, 0) // runs until cancelled below
	is.NoErr(err)
	for e.fake.Count("max-running") == 0 {
		time.Sleep(time.Millisecond)
	}
	var group sync.WaitGroup
	var batch, interactive time.Duration
	group.Go(func() { batch, _, _ = e.runCompletion(t, "batch", 30, 0, mulberrybeam.PriorityBatch) })
	for e.fake.Count("started") < 2 {
		time.Sleep(time.Millisecond)
	}
	group.Go(func() { interactive, _, _ = e.runCompletion(t, "interactive", 30, 0, mulberrybeam.PriorityInteractive) })
	for e.fake.Count("started") < 3 {
		time.Sleep(time.Millisecond)
	}
	_, err = e.startCompletion(t, "refused", 1, 0, 0)
	is.True(err != nil)
	is.Equal(e.fake.Count("overloaded"), 1)
	is.NoErr(e.caller.Cancel(t.Context(), e.target, "running"))
	group.Wait()
	is.True(interactive < batch)
}

// Guards against a cache that does not reduce the prompt computation, grows
// without limit, or publishes events that EventGap or EventLag should withhold.
func TestPrefixCacheAndEvents(t *testing.T) {
	is := is.New(t)
	e := setUp(t, engine.WithSettings(func(s *engine.Settings) {
		s.CacheBlocks, s.PrefillRate, s.EventGap, s.EventLag = 4, 10000, 2, 300*time.Millisecond
	}))
	first, _, err := e.runCompletion(t, "a", 1, 4, 0)
	is.NoErr(err)
	is.True(first >= 100*time.Millisecond) // 1,024 tokens at 10,000/s
	is.Equal(e.fake.Count("cached-tokens"), 0)
	events, err := e.caller.CacheEvents(t.Context(), e.target, 0)
	is.NoErr(err)
	is.Equal(len(events), 0) // not published before EventLag
	_, _, err = e.runCompletion(t, "b", 1, 4, 0)
	is.NoErr(err)
	is.Equal(e.fake.Count("cached-tokens"), 4*engine.BlockTokens)
	for n := 5; n <= 6; n++ {
		_, _, err = e.runCompletion(t, fmt.Sprint(n), 1, n, 0)
		is.NoErr(err)
	}
	time.Sleep(350 * time.Millisecond)
	events, err = e.caller.CacheEvents(t.Context(), e.target, 0)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.Equal(events[1].Sequence, uint64(3)) // EventGap drops the second event
	is.True(len(events[1].Removed) > 0)
	events, err = e.caller.CacheEvents(t.Context(), e.target, 3)
	is.NoErr(err)
	is.Equal(len(events), 0)
}

// Guards against load reports that ignore ReportLag.
func TestLoadReportsLag(t *testing.T) {
	is := is.New(t)
	e := setUp(t, engine.WithSettings(func(s *engine.Settings) { s.ReportLag = 500 * time.Millisecond }))
	stream, err := e.startCompletion(t, "r", 10000, 0, 0)
	is.NoErr(err)
	defer stream.Close()
	report, err := e.caller.Load(t.Context(), e.target)
	is.NoErr(err)
	is.Equal(report.Running+report.Waiting, 0)
	time.Sleep(600 * time.Millisecond)
	later, err := e.caller.Load(t.Context(), e.target)
	is.NoErr(err)
	is.Equal(later.Running+later.Waiting, 1)
	is.Equal(later.Sequence, report.Sequence+1)
}

// Guards against concurrent weight loads that do not slow each other down, and
// against an engine that checks fencing tokens although ChecksFencing is not
// set.
func TestOrders(t *testing.T) {
	is := is.New(t)
	loader := &engine.WeightStore{}
	slow := engine.WithSettings(func(s *engine.Settings) { s.LoadTime = 100 * time.Millisecond })
	var group sync.WaitGroup
	start := time.Now()
	order := mulberrybeam.Order{Kind: mulberrybeam.OrderLoadWeights, Model: "m", Version: "v2", Fencing: 2}
	for range 4 {
		e := setUp(t, slow, engine.WithWeightStore(loader))
		group.Go(func() { _ = e.caller.Order(t.Context(), e.target, order) })
	}
	group.Wait()
	is.True(time.Since(start) >= 200*time.Millisecond) // four concurrent loads take twice as long
	is.Equal(loader.MaxConcurrentLoads(), 4)

	e := setUp(t, slow)
	is.NoErr(e.caller.Order(t.Context(), e.target, order))
	order.Fencing = 1
	is.NoErr(e.caller.Order(t.Context(), e.target, order))
	is.Equal(e.fake.Count("stale-orders-run"), 1)
	_, err := e.startCompletion(t, "old", 1, 0, 0) // requests v1
	is.True(err != nil)
	is.Equal(e.fake.Count("wrong-version"), 1)
}

// Guards against an import that accepts the data of another context.
func TestImportRejectsDataOfAnotherContext(t *testing.T) {
	is := is.New(t)
	e := setUp(t)
	fakeStore, closeStore, err := store.New()
	is.NoErr(err)
	defer closeStore()
	storeInfo := mulberrybeam.Store{ID: "s", Address: fakeStore.Address()}
	_, _, err = e.runCompletion(t, "r", 1, 2, 0)
	is.NoErr(err)
	keys := []mulberrybeam.BlockKey{{1}, {2}}
	_, err = e.caller.ExportContext(t.Context(), e.target, storeInfo, []mulberrybeam.BlockKey{{1}, {9}}, 1)
	is.True(err != nil) // not in the cache
	manifest, err := e.caller.ExportContext(t.Context(), e.target, storeInfo, keys, 1)
	is.NoErr(err)
	_, err = e.caller.ImportContext(t.Context(), e.target, storeInfo, manifest, []mulberrybeam.BlockKey{{7}, {2}})
	is.True(err != nil)
	is.Equal(e.fake.Count("imports-foreign"), 1)
}

// Guards against fault controls and counters that cannot be used over HTTP from
// another process.
func TestControlsOverHTTP(t *testing.T) {
	is := is.New(t)
	e := setUp(t)
	base := "http://" + e.fake.Address() + "/standin/"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPatch, base+"faults", strings.NewReader(`{"RefuseNext":1}`))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	_, err = e.startCompletion(t, "r", 1, 0, 0)
	is.True(err != nil)
	response, err = http.Get(base + "counters")
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(bytes.TrimSpace(body)), `{"refused":1}`)
}
