package server_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/enginecaller"
	"mulberrybeam/connection/intentencoder"
	"mulberrybeam/connection/servicecaller"
	enginefake "mulberrybeam/process/standin/engine"
	servicefake "mulberrybeam/process/standin/service"
	"mulberrybeam/request/forwarder"
)

// inOrder picks "e1" and then "e2".
type inOrder struct{}

func (inOrder) Pick(_ mulberrybeam.Turn, _ mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	for _, id := range []mulberrybeam.TargetID{"e1", "e2"} {
		if !slices.Contains(query.Tried, id) {
			return mulberrybeam.Route{Target: id}, nil
		}
	}
	return mulberrybeam.Route{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, NotRun: true}
}

// granting grants every permit.
type granting struct{ mulberrybeam.PermitClient }

func (granting) Ask(context.Context, mulberrybeam.TargetID, mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, error) {
	return mulberrybeam.AskPermitReply{Granted: true, Valid: 1e9}, nil
}

func (granting) Release(context.Context, mulberrybeam.TargetID, mulberrybeam.ReleasePermit) {}

// accepting is an object API that accepts every write.
type accepting struct{ mulberrybeam.ObjectClient }

func (accepting) Create(_ context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	object.Version = "1"
	return object, nil
}

func (accepting) Update(_ context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	return object, nil
}

// startOver starts a server over two targets at addresses.
func startOver(t *testing.T, addresses ...string) *entry {
	t.Helper()
	engines, closeEngines := enginecaller.New()
	services, closeServices := servicecaller.New()
	t.Cleanup(closeEngines)
	t.Cleanup(closeServices)
	e := startWith(t, "h/1", []forwarder.Option{
		forwarder.WithRouting(inOrder{}, nil), forwarder.WithTargets(engines, services, nil), forwarder.WithPermits(granting{}),
		forwarder.WithObjects(accepting{}, intentencoder.Codec()),
	})
	changed := *e.snapshot.Load()
	tables := *changed.Tables
	changed.Tables, tables.Targets = &tables, map[mulberrybeam.TargetID]mulberrybeam.Target{}
	changed.Targets = map[mulberrybeam.TargetID]mulberrybeam.TargetState{}
	for i, address := range addresses {
		id := mulberrybeam.TargetID([]string{"e1", "e2"}[i])
		tables.Targets[id] = mulberrybeam.Target{ID: id, Address: address, WarmLimit: 8}
		changed.Targets[id] = mulberrybeam.TargetState{Phase: mulberrybeam.PhaseWarm}
	}
	e.snapshot.Store(&changed)
	return e
}

// Guards against faults that show only on the whole path from the caller to
// engines over real connections: an answer has each token once and its end.
func TestWholePathSurvivesFaultsOfAnEngine(t *testing.T) {
	cases := []struct {
		name string
		set  func(*enginefake.Faults)
		used func(enginefake.Faults) int
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
			good, stopGood, err := enginefake.New(enginefake.WithVersion("m", "v1"))
			is.NoErr(err)
			t.Cleanup(stopGood)
			e := startOver(t, faulty.Address(), good.Address())
			faulty.SetFaults(c.set)
			stream := eventsOf(e.send("POST", "/v1/chat/completions", strings.Replace(prompt, `"stream"`, `"max_tokens":6,"stream"`, 1)))
			got := ""
			for text := ""; text != "[DONE]" && text != "error" && text != "EOF"; {
				_, text = stream.next(t)
				got += text
			}
			is.Equal(c.used(faulty.Faults()), 0) // the fault occurred
			if want == "" {
				want = got
			}
			is.Equal(got, want) // as without a fault
			is.True(strings.HasSuffix(got, "[DONE]") && len(got) > len("[DONE]"))
		})
	}
}

// Guards against a non-repeatable call that the HTTP client or the forwarder
// sends a second time when a target breaks the connection after the run.
func TestWholePathRunsANonRepeatableCallOnce(t *testing.T) {
	is := is.New(t)
	first, stop, err := servicefake.New()
	is.NoErr(err)
	t.Cleanup(stop)
	second, stopSecond, err := servicefake.New()
	is.NoErr(err)
	t.Cleanup(stopSecond)
	e := startOver(t, first.Address(), second.Address())
	place := func() (int, string, string) {
		key := uuid.Must(uuid.NewV7()).String()
		response := e.send("POST", "/v1/services/orders/place", `{"oars":2}`, "Idempotency-Key", key)
		if response.StatusCode == 200 {
			return 200, "", key
		}
		return response.StatusCode, readRefusal(t, response).Error.Code, key
	}
	status, _, key := place() // leaves an idle connection to break
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
