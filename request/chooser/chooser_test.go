package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/chooser"
)

// view maps targets to their load and health.
type view map[mulberrybeam.InstanceID]mulberrybeam.TargetStats

func (v view) TargetStats(id mulberrybeam.InstanceID) mulberrybeam.TargetStats { return v[id] }

const now = time.Minute

func fleet(count int) *mulberrybeam.Fleet {
	f := &mulberrybeam.Fleet{
		Deployment: &mulberrybeam.Deployment{Pools: map[mulberrybeam.ServiceName]mulberrybeam.Pool{"s": {ColdRate: 14, ColdTime: 3 * time.Second}}},
		Targets:    map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{},
		Weights:    map[mulberrybeam.ModelName]mulberrybeam.DesiredWeights{},
		EntryHosts: []mulberrybeam.ProcessID{"self"},
		Regions:    map[mulberrybeam.ZoneName]mulberrybeam.RegionName{"a": "north", "b": "south"},
	}
	for i := range count {
		f.Targets["s"] = append(f.Targets["s"], mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{
			ID: mulberrybeam.InstanceID(fmt.Sprint("t", i)), Zone: "a", Slots: 4, Versions: map[mulberrybeam.ModelName]int{"m": 1},
		}})
	}
	return f
}

func choose(f *mulberrybeam.Fleet, v view, change func(*chooser.Query)) (chooser.Choice, error) {
	query := chooser.Query{
		Rule: &mulberrybeam.Rule{}, Service: "s", Zone: "a", Self: "self", Model: "m", ColdOvershoot: 1.5, ColdSlack: 5,
	}
	if change != nil {
		change(&query)
	}
	return chooser.Choose(now, rand.New(rand.NewPCG(1, 1)), f, v, query)
}

// Guards against requests to targets that are excluded, or that are less
// suitable than another.
func TestExcludedTargets(t *testing.T) {
	cases := []struct {
		name   string
		fleet  func(*mulberrybeam.Fleet)
		view   view
		change func(*chooser.Query)
		want   mulberrybeam.InstanceID
	}{
		{name: "tried", change: func(q *chooser.Query) { q.Tried = []mulberrybeam.InstanceID{"t0"} }, want: "t1"},
		{name: "refused", view: view{"t0": {AvoidUntil: now + 1}}, want: "t1"},
		{name: "cold", fleet: func(f *mulberrybeam.Fleet) { f.Targets["s"][0].ColdUntil = now + 1 }, want: "t1"},
		{name: "suspected of a cold start", view: view{"t0": {SuspectUntil: now + 1}}, want: "t1"},
		{name: "old weights", fleet: func(f *mulberrybeam.Fleet) {
			f.Weights["m"] = mulberrybeam.DesiredWeights{Version: 2}
			f.Targets["s"][1].Versions = map[mulberrybeam.ModelName]int{"m": 2}
		}, want: "t1"},
		{name: "upgraded soon", fleet: func(f *mulberrybeam.Fleet) { f.Leaving = map[mulberrybeam.InstanceID]bool{"t0": true} }, want: "t1"},
		{name: "another region", fleet: func(f *mulberrybeam.Fleet) { f.Targets["s"][1].Zone = "b" }, change: func(q *chooser.Query) {
			q.Rule = &mulberrybeam.Rule{Regions: []mulberrybeam.RegionName{"south"}}
		}, want: "t1"},
		{name: "another zone", fleet: func(f *mulberrybeam.Fleet) { f.Targets["s"][0].Zone = "b" }, want: "t1"},
		{name: "loaded by peers", view: view{"t0": {PeerLoad: mulberrybeam.TargetLoad{Requests: 4}}}, want: "t1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := fleet(2)
			if c.fleet != nil {
				c.fleet(f)
			}
			choice, err := choose(f, c.view, c.change)
			is.NoErr(err)
			is.Equal(choice.Target.ID, c.want)
			is.Equal(choice.ColdLimit, 0)
		})
	}
}

// Guards against requests that run on old weights after the deadline for
// replacing them.
func TestStrictExcludesOldWeights(t *testing.T) {
	is := is.New(t)
	f := fleet(2)
	f.Weights["m"] = mulberrybeam.DesiredWeights{Version: 2}
	_, err := choose(f, nil, func(q *chooser.Query) { q.MinVersion = 2 })
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNoTarget)
	_, err = choose(f, nil, nil)
	is.NoErr(err)
}

// Guards against a cold target that gets more requests from all entry hosts
// together than it accepts.
func TestColdRateIsShared(t *testing.T) {
	for _, hosts := range []int{1, 7, 9, 80, 380} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			f := fleet(1)
			f.Targets["s"][0].ColdUntil = now + time.Second
			f.EntryHosts = nil
			for i := range hosts {
				f.EntryHosts = append(f.EntryHosts, mulberrybeam.ProcessID(fmt.Sprint("h", i)))
			}
			total := 0
			for _, host := range f.EntryHosts {
				query := chooser.Query{Service: "s", Self: host, ColdOvershoot: 1.5, ColdSlack: 5}
				total += chooser.ColdLimit(f, query, "t0")
			}
			is.True(total > 0)
			is.True(total <= 26)
		})
	}
}

// Guards against a cold target that gets requests beyond this host's share.
func TestColdTargetsWhenAllAreCold(t *testing.T) {
	is := is.New(t)
	f := fleet(2)
	f.Targets["s"][0].ColdUntil, f.Targets["s"][1].ColdUntil = now+1, now+1
	choice, err := choose(f, view{"t0": {ColdSends: 15}}, nil)
	is.NoErr(err)
	is.Equal(choice.Target.ID, mulberrybeam.InstanceID("t1"))
	is.Equal(choice.ColdLimit, 15)
	_, err = choose(f, view{"t0": {ColdSends: 15}, "t1": {ColdSends: 15}}, nil)
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNoTarget)
}

// Guards against picking a target that fails or is slow, and against finding no
// target because all of them fail.
func TestUnhealthyTargets(t *testing.T) {
	is := is.New(t)
	f := fleet(4)
	slow, normal := mulberrybeam.TargetStats{Latency: time.Second}, mulberrybeam.TargetStats{Latency: 10 * time.Millisecond, OwnLoad: mulberrybeam.TargetLoad{Requests: 3}}
	choice, err := choose(f, view{"t0": {ErrorRate: 0.9}, "t1": slow, "t2": normal, "t3": normal}, nil)
	is.NoErr(err)
	is.True(choice.Target.ID == "t2" || choice.Target.ID == "t3")
	_, err = choose(f, view{"t0": {ErrorRate: 0.9}, "t1": {ErrorRate: 0.9}, "t2": {ErrorRate: 0.9}, "t3": {ErrorRate: 0.9}}, nil)
	is.NoErr(err)
}

// prompt sets the fields for a prompt that is mostly shared.
func prompt(q *chooser.Query) {
	q.SharedPart, q.SharedTokens, q.PromptTokens, q.MemoryTokens = "p", 9000, 12000, 90000
}

// Guards against requests with a shared prompt that are spread over engines,
// and against an engine that gets them beyond its memory.
func TestSharedPrompts(t *testing.T) {
	is := is.New(t)
	f := fleet(6)
	first, err := choose(f, nil, prompt)
	is.NoErr(err)
	again, err := choose(f, view{first.Target.ID: {OwnLoad: mulberrybeam.TargetLoad{Requests: 1, HeldTokens: 12000, PrefillTokens: 3000}}}, prompt)
	is.NoErr(err)
	is.Equal(again.Target.ID, first.Target.ID)
	full := view{first.Target.ID: {PeerLoad: mulberrybeam.TargetLoad{Requests: 8, HeldTokens: 88000}}}
	other, err := choose(f, full, prompt)
	is.NoErr(err)
	is.True(other.Target.ID != first.Target.ID)
}

// Guards against a choice that does not name the engine that may hold the
// prompt's context, which would then be prefilled again.
func TestFirstEngineIsNamed(t *testing.T) {
	is := is.New(t)
	f := fleet(6)
	first, err := choose(f, nil, prompt)
	is.NoErr(err)
	is.Equal(first.PreferredEngine.ID, mulberrybeam.InstanceID(""))
	busy := view{first.Target.ID: {OwnLoad: mulberrybeam.TargetLoad{Requests: 4, HeldTokens: 48000, PrefillTokens: 30000}}}
	other, err := choose(f, busy, prompt)
	is.NoErr(err)
	is.True(other.Target.ID != first.Target.ID)
	is.Equal(other.PreferredEngine.ID, first.Target.ID)
}

// Guards against engines that get requests beyond their memory: the context in
// use is evicted and prefilled again, and the engine stays slow for tens of
// seconds after a peak. Also guards against a prompt almost as large as the
// memory that is not even sent to an idle engine.
func TestNoEngineGetsMoreThanItsMemory(t *testing.T) {
	is := is.New(t)
	prompt := func(tokens int) func(*chooser.Query) {
		return func(q *chooser.Query) {
			q.SharedPart, q.PromptTokens, q.MemoryTokens = "p", tokens, 90000
		}
	}
	half := mulberrybeam.TargetStats{PeerLoad: mulberrybeam.TargetLoad{Requests: 4, HeldTokens: 45000}}
	_, err := choose(fleet(2), view{"t0": half, "t1": half}, prompt(12000))
	is.NoErr(err)
	_, err = choose(fleet(2), view{"t0": half, "t1": half}, prompt(44000))
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNoTarget)
	choice, err := choose(fleet(2), view{"t0": half}, prompt(88000))
	is.NoErr(err)
	is.Equal(choice.Target.ID, mulberrybeam.InstanceID("t1"))
	busy := mulberrybeam.TargetStats{OwnLoad: mulberrybeam.TargetLoad{Requests: 4, HeldTokens: 45000, PrefillTokens: 40000}}
	_, err = choose(fleet(2), view{"t0": busy, "t1": busy}, prompt(12000))
	is.NoErr(err) // the request cannot wait any longer, and its context fits
}

// Guards against sending a request that could wait to an engine while all
// engines are full.
func TestWaitsWhileAllEnginesAreFull(t *testing.T) {
	is := is.New(t)
	full := mulberrybeam.TargetStats{PeerLoad: mulberrybeam.TargetLoad{Requests: 8, HeldTokens: 88000}}
	v := view{"t0": full, "t1": full}
	prompt := func(mayWait bool) func(*chooser.Query) {
		return func(q *chooser.Query) {
			q.SharedPart, q.PromptTokens, q.MemoryTokens, q.MayWait = "p", 12000, 90000, mayWait
		}
	}
	for _, mayWait := range []bool{true, false} {
		_, err := choose(fleet(2), v, prompt(mayWait))
		is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNoTarget)
	}
	loaded := mulberrybeam.TargetStats{PeerLoad: mulberrybeam.TargetLoad{Requests: 4, HeldTokens: 45000, PrefillTokens: 40000}}
	v = view{"t0": loaded, "t1": loaded}
	_, err := choose(fleet(2), v, prompt(true))
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNoTarget)
}

// Load pattern: a burst of long prompts whose context is in no store, while the
// engines stream other answers. Guards against an engine that gets several long
// prompts at once: it prefills them between the tokens of its streams, whose
// callers then wait for a token longer than they should.
func TestLongPromptsAreSpreadInABurst(t *testing.T) {
	const engines, prompts, promptTokens, limit = 6, 5, 12000, 16000
	is := is.New(t)
	f := fleet(engines)
	v := view{}
	for i := range engines {
		v[mulberrybeam.InstanceID(fmt.Sprint("t", i))] = mulberrybeam.TargetStats{OwnLoad: mulberrybeam.TargetLoad{Requests: 2, HeldTokens: 8000}}
	}
	ask := func(tokens int, stored bool) (chooser.Choice, error) {
		return choose(f, v, func(q *chooser.Query) {
			q.SharedPart, q.SharedTokens, q.PromptTokens, q.MemoryTokens, q.MayWait = "p", tokens*3/4, tokens, 107000, true
			q.Stored = stored
		})
	}
	add := func(id mulberrybeam.InstanceID, prefill int) {
		stats := v[id]
		stats.OwnLoad = stats.OwnLoad.Plus(mulberrybeam.TargetLoad{Requests: 1, PrefillTokens: prefill, HeldTokens: promptTokens})
		v[id] = stats
	}
	for range prompts {
		choice, err := ask(promptTokens, false)
		is.NoErr(err)
		add(choice.Target.ID, promptTokens)
	}
	// The last engine already prefills a short prompt.
	for id, stats := range v {
		if stats.OwnLoad.PrefillTokens == 0 {
			add(id, 6000)
		}
	}
	for id, stats := range v {
		t.Log(id, stats.OwnLoad)
		is.True(stats.OwnLoad.PrefillTokens <= limit)
	}
	_, err := ask(promptTokens, false)
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNoTarget) // waits, rather than joining another long prompt
	_, err = ask(promptTokens, true)
	is.NoErr(err) // the stored context leaves little to prefill
	_, err = ask(2000, false)
	is.NoErr(err) // a short prompt fits
}

// Guards against a prompt longer than the limit that waits although an engine
// has nothing to prefill.
func TestPromptLongerThanTheLimitGoesToAnEngineWithoutBacklog(t *testing.T) {
	is := is.New(t)
	choice, err := choose(fleet(2), view{"t0": {OwnLoad: mulberrybeam.TargetLoad{Requests: 1, PrefillTokens: 500, HeldTokens: 500}}}, func(q *chooser.Query) {
		q.SharedPart, q.SharedTokens, q.PromptTokens, q.MemoryTokens, q.MayWait = "p", 20000, 30000, 107000, true
	})
	is.NoErr(err)
	is.Equal(choice.Target.ID, mulberrybeam.InstanceID("t1"))
}
