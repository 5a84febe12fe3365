package router_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/router"
)

var policies = map[string]mulberrybeam.Picker{
	"estimating":   router.New(),
	"random":       router.NewRandom(),
	"least-loaded": router.NewLeastLoaded(),
	"prefix-only":  router.NewPrefixOnly(),
}

// Guards against policies that pick an ineligible target, or return an error
// although a target is eligible and the fleet is small enough for the probes to
// examine all targets.
func TestPoliciesPickOnlyEligibleTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(0, 12).Draw(t, "size"))
		query := rapid.SampledFrom([]mulberrybeam.RouteQuery{prompt(3), serviceCall()}).Draw(t, "query")
		list := f.tables.EnginesByModel["m"]
		if query.Request.Service != "" {
			list = f.tables.TargetsByService["orders"]
		}
		f.holders = []mulberrybeam.TargetID{"undeclared", "e0", "s0"} // one of e0 and s0 is of the wrong kind
		eligible := map[mulberrybeam.TargetID]bool{}
		for _, id := range list {
			eligible[id] = false
			switch rapid.SampledFrom([]string{"usable", "tried", "leaving", "report", "full", "cold", "orphan", "zone"}).Draw(t, string(id)) {
			case "usable":
				eligible[id] = true
				f.inFlight[id] = 7
			case "tried":
				query.Tried = append(query.Tried, id)
			case "leaving":
				f.updateState(id, func(s *mulberrybeam.TargetState) { s.Phase = mulberrybeam.PhaseLeaving })
			case "report":
				f.updateState(id, func(s *mulberrybeam.TargetState) { s.Report.Leaving = true })
			case "full":
				f.inFlight[id] = 8
			case "cold":
				eligible[id] = true
				f.updateState(id, func(s *mulberrybeam.TargetState) { s.Phase = mulberrybeam.PhaseCold })
			case "orphan":
				f.updateState(id, func(s *mulberrybeam.TargetState) { s.Phase, s.Owner = "", "" })
			case "zone":
				target := f.tables.Targets[id]
				target.Zone = "out"
				f.tables.Targets[id] = target
				f.tables.Zones["out"] = mulberrybeam.Zone{Name: "out", State: mulberrybeam.ZoneOut}
			}
			f.holders = append(f.holders, id)
		}
		f.holders = rapid.Permutation(f.holders).Draw(t, "holders")
		for name, policy := range policies {
			route, err := policy.Pick(turn(rapid.Uint64().Draw(t, "seed"), 0), f, query)
			var failure *mulberrybeam.Failure
			switch anyEligible := slices.ContainsFunc(list, func(id mulberrybeam.TargetID) bool { return eligible[id] }); {
			case !anyEligible && (!errors.As(err, &failure) || failure.Code != mulberrybeam.CodeNoTarget || !failure.NotRun || failure.RetryAfter <= 0):
				t.Fatalf("%s: no target is eligible: got target %q and error %v", name, route.Target, err)
			case anyEligible && (err != nil || !eligible[route.Target]):
				t.Fatalf("%s: picked %q, eligible targets are %v: %v", name, route.Target, eligible, err)
			case anyEligible && route.NeedsPermit != (f.states[route.Target].Phase == mulberrybeam.PhaseCold):
				t.Fatalf("%s: target %q: NeedsPermit = %v", name, route.Target, route.NeedsPermit)
			case anyEligible && route.CachedTokens+route.ImportedTokens+route.RecomputedTokens != query.Request.PromptTokens:
				t.Fatalf("%s: the token counts do not add up to the prompt: %+v", name, route)
			}
		}
	})
}

// Guards against estimates that omit one of their terms. In the fleet, e0 is in
// the zone of the query, e1 in another zone, and e2 in another region.
func TestEstimate(t *testing.T) {
	kept := mulberrybeam.Manifest{Store: "store", Blocks: 8, Bytes: 100_000, Key: prompt(10).Request.Keys[7], Tier: mulberrybeam.TierMemory}
	wrongKey := kept
	wrongKey.Key[5]++
	cases := []struct {
		name   string
		change func(*fleet)
		kept   mulberrybeam.Manifest
		want   mulberrybeam.TargetID
		source mulberrybeam.Source
		time   time.Duration
	}{
		{"prefers the same zone", nil, mulberrybeam.Manifest{}, "e0", mulberrybeam.SourceRecompute, 512 * time.Millisecond},
		{"cache outweighs zone", func(f *fleet) { f.cached["e2"] = 5 }, mulberrybeam.Manifest{}, "e2", mulberrybeam.SourceCache, 286 * time.Millisecond},
		{"requests ahead by report", func(f *fleet) { f.setReport("e0", 0, 1) }, mulberrybeam.Manifest{}, "e1", mulberrybeam.SourceRecompute, 513 * time.Millisecond},
		{"own requests ahead", func(f *fleet) { f.inFlight["e0"], f.inFlight["e1"] = 2, 2 }, mulberrybeam.Manifest{}, "e2", mulberrybeam.SourceRecompute, 542 * time.Millisecond},
		{"import", nil, kept, "e0", mulberrybeam.SourceImport, 203400 * time.Microsecond},
		{"import over a link in use", func(f *fleet) { f.linkUse = 0.5e6 }, kept, "e0", mulberrybeam.SourceImport, 303400 * time.Microsecond},
		{"recompute when the link is full", func(f *fleet) { f.linkUse = 1e6 }, kept, "e0", mulberrybeam.SourceRecompute, 512 * time.Millisecond},
		{"manifest of another context", nil, wrongKey, "e0", mulberrybeam.SourceRecompute, 512 * time.Millisecond},
		{"cold", func(f *fleet) {
			f.updateState("e0", func(s *mulberrybeam.TargetState) { s.Phase = mulberrybeam.PhaseCold })
		}, mulberrybeam.Manifest{}, "e1", mulberrybeam.SourceRecompute, 513 * time.Millisecond},
		{"other weight version", func(f *fleet) {
			f.updateState("e0", func(s *mulberrybeam.TargetState) {
				s.Report.WeightVersions = map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{"m": "v0"}
			})
		}, mulberrybeam.Manifest{}, "e1", mulberrybeam.SourceRecompute, 513 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			if c.change != nil {
				c.change(f)
			}
			query := prompt(10)
			query.StoredContexts = []mulberrybeam.Manifest{c.kept}
			route, err := router.New(router.WithColdPenalty(250*time.Millisecond, 0), router.WithPairHoldProbabilities(0, 0)).Pick(turn(1, 0), f, query)
			is.NoErr(err)
			is.Equal(route.Target, c.want)
			is.Equal(route.Source, c.source)
			is.Equal(route.FirstToken.Round(time.Microsecond), c.time)
		})
	}
}

// Guards against contexts that spread over the fleet because no host knows what
// the others have sent, and against a rendezvous pair that gets all requests
// regardless of its queue.
func TestPairIsPreferredUntilItsQueueOutweighsTheContext(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	for id := range f.tables.Targets {
		target := f.tables.Targets[id]
		target.Zone = "a"
		f.tables.Targets[id] = target
	}
	pick := func() mulberrybeam.TargetID {
		route, err := policies["estimating"].Pick(turn(1, 0), f, prompt(10))
		is.NoErr(err)
		is.Equal(route.RecomputedTokens, 2560) // the credit does not count as cached tokens
		return route.Target
	}
	first := pick()
	f.setReport(first, 0, 1)
	is.Equal(pick(), first) // half of 2,560 tokens outweighs 512 tokens ahead
	f.setReport(first, 0, 3)
	second := pick()
	is.True(second != first)
	f.setReport(second, 0, 2)
	is.True(pick() != first && pick() != second)

	f.setReport(first, 0, 1)
	f.updateState(first, func(s *mulberrybeam.TargetState) { s.Phase = mulberrybeam.PhaseCold })
	route, err := router.New(router.WithColdPenalty(0, 1)).Pick(turn(1, 0), f, prompt(10))
	is.NoErr(err)
	is.True(route.Target != first) // a cold target has lost its cache
}

// Guards against a target that attracts all requests because its load reports
// have stopped.
func TestOldReportFallsBackToTheMeanOfTheCandidates(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.setReport("e0", 0, 4)
	f.setReport("e1", 0, 4)
	f.updateState("e1", func(s *mulberrybeam.TargetState) { s.ReportedAt = 10 * time.Second })
	route, err := router.New(router.WithPairHoldProbabilities(0, 0)).Pick(turn(1, 10*time.Second), f, prompt(1))
	is.NoErr(err)
	is.Equal(route.Target, mulberrybeam.TargetID("e0")) // equal load, but closer
	is.Equal(route.FirstToken.Round(time.Millisecond), time.Duration((4*512+256)*time.Second/5000).Round(time.Millisecond))
}

// Guards against counting the load report of an earlier instance as the load of
// a new one.
func TestReportOfAnotherInstanceDoesNotCount(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.setReport("e0", 0, 4)
	f.updateState("e0", func(s *mulberrybeam.TargetState) { s.Instance = "2" })
	route, err := router.New().Pick(turn(1, 0), f, prompt(1))
	is.NoErr(err)
	is.Equal(route.FirstToken, 256*time.Second/5000)
}

// Guards against cold targets that get no load and therefore never become warm.
func TestSomeRequestsGoToColdTargets(t *testing.T) {
	f := newFleet(2)
	f.updateState("e0", func(s *mulberrybeam.TargetState) { s.Phase = mulberrybeam.PhaseCold })
	cold := 0
	for seed := range uint64(1000) {
		route, _ := router.New(router.WithPairHoldProbabilities(0, 0)).Pick(turn(seed, 0), f, prompt(1))
		if route.NeedsPermit {
			cold++
		}
	}
	is.New(t).True(cold > 30 && cold < 125) // half to twice the expected fraction of 1 in 16
}

// Guards against a cost that grows with the number of targets. The limits are 6
// candidates (2 holders, the rendezvous pair and 2 random choices), and 38
// targets including the 32 probes.
func TestExaminedTargetsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{20, 91, 640} {
		f := newFleet(size)
		f.holders = []mulberrybeam.TargetID{"e1", "e2", "e3", "e4"}
		_, err := policies["estimating"].Pick(turn(1, 0), f, prompt(4))
		is.NoErr(err)
		is.True(f.examined <= 6)
		f.examined = 0
		for id := range f.states {
			f.inFlight[id] = 8
		}
		_, err = policies["estimating"].Pick(turn(1, 0), f, prompt(4))
		is.True(err != nil)
		is.True(f.examined <= 38)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{20, 91, 640} {
		f := newFleet(size)
		f.holders = []mulberrybeam.TargetID{"e1", "e2"}
		f.cached["e1"], f.cached["e2"] = 16, 8
		full := newFleet(size)
		for id := range full.states {
			full.inFlight[id] = 8
		}
		run := func(name string, policy mulberrybeam.Picker, f *fleet, query mulberrybeam.RouteQuery) {
			b.Run(fmt.Sprintf("%s/targets=%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				turn := turn(1, 0)
				for b.Loop() {
					_, _ = policy.Pick(turn, f, query)
				}
			})
		}
		for name, policy := range policies {
			run(name, policy, f, prompt(32))
		}
		run("estimating-service", policies["estimating"], f, serviceCall())
		run("estimating-full", policies["estimating"], full, prompt(32))
	}
}
