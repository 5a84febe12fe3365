package server_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/enginecaller"
	"mulberrybeam/connection/intentencoder"
	"mulberrybeam/connection/objectcaller"
	"mulberrybeam/connection/pacer"
	"mulberrybeam/connection/servicecaller"
	enginefake "mulberrybeam/process/standin/engine"
	platformfake "mulberrybeam/process/standin/platform"
	servicefake "mulberrybeam/process/standin/service"
	"mulberrybeam/request/forwarder"
)

// orderedPolicy is a routing policy that picks "e1" for the first attempt and
// "e2" for the second.
type orderedPolicy struct{}

func (orderedPolicy) Pick(_ mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	for _, id := range []mulberrybeam.TargetID{"e1", "e2"} {
		if _, known := view.Tables().Targets[id]; known && !slices.Contains(query.Tried, id) {
			return mulberrybeam.Route{Target: id}, nil
		}
	}
	return mulberrybeam.Route{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, NotRun: true}
}

// grantingPermits is a permit client that grants every request.
type grantingPermits struct{ mulberrybeam.PermitClient }

func (grantingPermits) Ask(context.Context, mulberrybeam.TargetID, mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, error) {
	return mulberrybeam.AskPermitReply{Granted: true, Valid: 1e9}, nil
}

func (grantingPermits) Release(context.Context, mulberrybeam.TargetID, mulberrybeam.ReleasePermit) {}

// startServerWithTargets starts a server that uses real connections to an object
// API and to the targets "e1" and "e2" at the given addresses.
func startServerWithTargets(t *testing.T, self mulberrybeam.ProcessID, platform string, addresses ...string) *testServer {
	t.Helper()
	objects, closeObjects := objectcaller.New("http://"+platform, "e", objectcaller.WithPacer(func(s *pacer.Settings) {
		s.BackoffBase, s.BackoffCap, s.WriteRate = time.Millisecond, 10*time.Millisecond, 20000
	}))
	t.Cleanup(closeObjects)
	engines, closeEngines := enginecaller.New()
	services, closeServices := servicecaller.New()
	t.Cleanup(closeEngines)
	t.Cleanup(closeServices)
	e := startServerWith(t, self, []forwarder.Option{
		forwarder.WithRouting(orderedPolicy{}, nil), forwarder.WithTargets(engines, services, nil), forwarder.WithPermits(grantingPermits{}),
		forwarder.WithObjects(objects, intentencoder.Codec()),
	})
	snapshot := *e.snapshot.Load()
	tables := *snapshot.Tables
	environment := *tables.Environment
	environment.Limits.QueueTimeout = time.Minute
	tables.Environment, tables.TargetsByService = &environment, map[mulberrybeam.ServiceName][]mulberrybeam.TargetID{"orders": {"e1", "e2"}}
	snapshot.Tables, tables.Targets = &tables, map[mulberrybeam.TargetID]mulberrybeam.Target{}
	snapshot.Targets = map[mulberrybeam.TargetID]mulberrybeam.TargetState{}
	for i, address := range addresses {
		id := mulberrybeam.TargetID([]string{"e1", "e2"}[i])
		tables.Targets[id] = mulberrybeam.Target{ID: id, Address: address, WarmLimit: 8}
		snapshot.Targets[id] = mulberrybeam.TargetState{Phase: mulberrybeam.PhaseWarm}
	}
	e.snapshot.Store(&snapshot)
	return e
}

// Guards against answers with lost, repeated or foreign tokens, or without an
// end, when an engine fails. Requests take the whole path over real connections,
// from the caller to the engines.
func TestAnswersSurviveEngineFaults(t *testing.T) {
	cases := []struct {
		name      string
		inject    func(*enginefake.Faults)
		remaining func(enginefake.Faults) int
	}{
		{"none", func(*enginefake.Faults) {}, func(enginefake.Faults) int { return 0 }},
		{"refuse", func(f *enginefake.Faults) { f.RefuseNext = 1 }, func(f enginefake.Faults) int { return f.RefuseNext }},
		{"fail", func(f *enginefake.Faults) { f.FailNext = 1 }, func(f enginefake.Faults) int { return f.FailNext }},
		{"break", func(f *enginefake.Faults) { f.BreakNext, f.BreakAfter = 1, 2 }, func(f enginefake.Faults) int { return f.BreakNext }},
		{"duplicate", func(f *enginefake.Faults) { f.DuplicateNext, f.BreakAfter = 1, 2 }, func(f enginefake.Faults) int { return f.DuplicateNext }},
		{"misdeliver", func(f *enginefake.Faults) { f.MisdeliverNext, f.BreakAfter = 1, 2 }, func(f enginefake.Faults) int { return f.MisdeliverNext }},
		{"lose", func(f *enginefake.Faults) { f.LoseNext, f.BreakAfter = 1, 2 }, func(f enginefake.Faults) int { return f.LoseNext }},
		{"no end", func(f *enginefake.Faults) { f.NoEndNext = 1 }, func(f enginefake.Faults) int { return f.NoEndNext }},
	}
	want := ""
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			faulty, stop, err := enginefake.New(enginefake.WithVersion("m", "v1"))
			is.NoErr(err)
			t.Cleanup(stop)
			healthy, stopHealthy, err := enginefake.New(enginefake.WithVersion("m", "v1"))
			is.NoErr(err)
			t.Cleanup(stopHealthy)
			e := startServerWithTargets(t, "h/1", "127.0.0.1:1", faulty.Address(), healthy.Address())
			faulty.SetFaults(c.inject)
			stream := newEventReader(e.send("POST", "/v1/chat/completions", strings.Replace(promptBody, `"stream"`, `"max_tokens":6,"stream"`, 1)))
			got := ""
			for text := ""; text != "[DONE]" && text != "error" && text != "EOF"; {
				_, text = stream.next(t)
				got += text
			}
			is.Equal(c.remaining(faulty.Faults()), 0) // the fault occurred
			if want == "" {
				want = got
			}
			is.Equal(got, want) // same answer as without a fault
			is.True(strings.HasSuffix(got, "[DONE]") && len(got) > len("[DONE]"))
		})
	}
}

// Guards against a non-repeatable call that the HTTP client or the forwarder
// sends again when a target breaks the connection after running the call.
func TestNonRepeatableCallRunsOnce(t *testing.T) {
	is := is.New(t)
	first, stop, err := servicefake.New()
	is.NoErr(err)
	t.Cleanup(stop)
	second, stopSecond, err := servicefake.New()
	is.NoErr(err)
	t.Cleanup(stopSecond)
	platform, stopPlatform, err := platformfake.New()
	is.NoErr(err)
	t.Cleanup(stopPlatform)
	e := startServerWithTargets(t, "h/1", platform.Address(), first.Address(), second.Address())
	place := func() (int, string, string) {
		key := uuid.Must(uuid.NewV7()).String()
		response := e.send("POST", "/v1/services/orders/place", `{"oars":2}`, "Idempotency-Key", key)
		if response.StatusCode == 200 {
			return 200, "", key
		}
		return response.StatusCode, readError(t, response).Error.Code, key
	}
	status, _, key := place() // leaves an idle connection, which the fault then breaks
	is.Equal([]int{status, first.RunsByKey(key)}, []int{200, 1})
	first.SetFaults(func(f *servicefake.Faults) { f.BreakAfterNext = 1 })
	status, code, key := place()
	is.Equal(status, 409)
	is.Equal(code, string(mulberrybeam.CodeOutcomeUnknown))
	is.Equal([]int{first.RunsByKey(key), second.RunsByKey(key)}, []int{1, 0})
	is.Equal(first.Count("broken-after-run"), 1) // the fault occurred
	first.SetFaults(func(f *servicefake.Faults) { f.RefuseNext = 1 })
	status, _, key = place()
	is.Equal([]int{status, first.RunsByKey(key), second.RunsByKey(key)}, []int{200, 0, 1})
}

// Guards against a second run of an idempotency key, and against a false not-run,
// when callers send the same keys to two processes while the object API loses
// answers and the service breaks connections.
func TestConcurrentCallersRunEachKeyOnce(t *testing.T) {
	is := is.New(t)
	platform, stopPlatform, err := platformfake.New()
	is.NoErr(err)
	t.Cleanup(stopPlatform)
	target, stop, err := servicefake.New()
	is.NoErr(err)
	t.Cleanup(stop)
	entries := []*testServer{
		startServerWithTargets(t, "h/1", platform.Address(), target.Address()),
		startServerWithTargets(t, "h/2", platform.Address(), target.Address()),
	}
	var keys []string
	for range 20 {
		keys = append(keys, uuid.Must(uuid.NewV7()).String())
	}
	var callers sync.WaitGroup
	var answered, rejected atomic.Int64
	for caller := range 8 {
		callers.Go(func() {
			for i, key := range keys {
				switch (5*caller + i) % 12 {
				case 0:
					platform.SetFaults(func(f *platformfake.Faults) { f.LoseAnswersNext++ })
				case 1:
					target.SetFaults(func(f *servicefake.Faults) { f.BreakAfterNext++ })
				case 2:
					target.SetFaults(func(f *servicefake.Faults) { f.RefuseNext++ })
				}
				response := entries[(caller+i)%2].send("POST", "/v1/services/orders/place", "{}", "Idempotency-Key", key)
				if response.StatusCode == http.StatusOK {
					answered.Add(1)
					continue
				}
				rejected.Add(1)
				if *readError(t, response).Error.NotRun && target.RunsByID(response.Header.Get("X-Request-Id")) > 0 {
					t.Errorf("a call ran although its error response says not-run")
				}
			}
		})
	}
	callers.Wait()
	for _, key := range keys {
		is.True(target.RunsByKey(key) <= 1)
	}
	is.True(platform.Faults().LoseAnswersNext == 0 && target.Count("broken-after-run") > 0 && target.Count("refused") > 0) // the faults occurred
	is.True(answered.Load() > 0 && rejected.Load() > 0)
}
