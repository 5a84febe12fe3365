package judge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/judge"
)

// traffic is a kind of responses of one version on one route.
type traffic struct {
	route  string
	isNew  bool
	target mulberrybeam.InstanceID
	// perSecond responses fail or are slow with a probability, from a time on.
	perSecond float64
	failing   float64
	slow      float64
	from      time.Duration
}

// usualBucket begins at 16 ms.
const usualBucket = 8

// run feeds a judge for ten seconds and returns the last verdict and the number
// of bad responses before the version was judged bad.
func run(seed uint64, kinds []traffic, targets int) (judge.Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 1))
	j := judge.New()
	totals := make([]mulberrybeam.RolloutCounts, len(kinds))
	bad := 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for i, kind := range kinds {
			totals[i].Route, totals[i].New, totals[i].Target = kind.route, kind.isNew, kind.target
			for range int(kind.perSecond/10 + random.Float64()) {
				totals[i].Responses++
				active := now >= kind.from
				bucket := usualBucket + random.IntN(3)
				switch {
				case active && random.Float64() < kind.failing:
					totals[i].Failures++
					bad++
					continue
				case active && random.Float64() < kind.slow:
					bucket += 5
					bad++
				}
				totals[i].FirstResponse[bucket]++
			}
		}
		j.Observe(now, totals, targets)
		if verdict := j.Verdict(); verdict.Bad {
			return verdict, bad
		}
	}
	return j.Verdict(), bad
}

// Guards against a version that is judged wrongly, or bad only after more than
// 50 bad responses.
func TestVerdicts(t *testing.T) {
	old := traffic{route: "a", perSecond: 200, failing: 0.002}
	flaky := traffic{route: "a", perSecond: 200, failing: 0.05}
	for name, test := range map[string]struct {
		kinds     []traffic
		bad, good bool
	}{
		"no responses":          {nil, false, false},
		"few responses":         {[]traffic{old, {route: "a", isNew: true, perSecond: 1}}, false, false},
		"few failures":          {[]traffic{old, {route: "a", isNew: true, perSecond: 1, failing: 0.1}}, false, false},
		"good":                  {[]traffic{old, {route: "a", isNew: true, perSecond: 20, failing: 0.002}}, false, true},
		"as flaky as the old":   {[]traffic{flaky, {route: "a", isNew: true, perSecond: 40, failing: 0.05}}, false, true},
		"fails sometimes":       {[]traffic{old, {route: "a", isNew: true, perSecond: 20, failing: 0.25}}, true, false},
		"fails always":          {[]traffic{old, {route: "a", isNew: true, perSecond: 5, failing: 1}}, true, false},
		"fails later":           {[]traffic{old, {route: "a", isNew: true, perSecond: 40, failing: 0.3, from: 5 * time.Second}}, true, false},
		"slow sometimes":        {[]traffic{old, {route: "a", isNew: true, perSecond: 20, slow: 0.3}}, true, false},
		"as slow as the old":    {[]traffic{{route: "a", perSecond: 200, slow: 0.2}, {route: "a", isNew: true, perSecond: 40, slow: 0.2}}, false, true},
		"fails on one route":    {[]traffic{old, {route: "a", isNew: true, perSecond: 40}, {route: "b", isNew: true, perSecond: 4, failing: 0.6}}, true, false},
		"one target fails":      {[]traffic{old, {route: "a", isNew: true, target: "t1", perSecond: 20}, {route: "a", isNew: true, target: "t2", perSecond: 20, failing: 0.5}}, false, false},
		"all targets fail":      {[]traffic{old, {route: "a", isNew: true, target: "t1", perSecond: 20, failing: 0.3}, {route: "a", isNew: true, target: "t2", perSecond: 20, failing: 0.3}}, true, false},
		"without old responses": {[]traffic{{route: "a", isNew: true, perSecond: 20}}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			targets := 1
			for _, kind := range test.kinds {
				if kind.target != "" {
					targets = 2
				}
			}
			for seed := range uint64(20) {
				verdict, bad := run(seed, test.kinds, targets)
				if verdict.Bad != test.bad || verdict.Good != test.good {
					t.Errorf("seed %d: bad %t, good %t, want %t and %t: %s", seed, verdict.Bad, verdict.Good, test.bad, test.good, verdict.Text)
				}
				if verdict.Bad && bad > 50 {
					t.Errorf("seed %d: bad after %d bad responses", seed, bad)
				}
			}
		})
	}
}

// Guards against a wave of load that is taken for slowness of the new version once
// the old one gets no requests.
func TestSlownessNeedsOldResponses(t *testing.T) {
	j := judge.New()
	old := mulberrybeam.RolloutCounts{Route: "a", Responses: 100, FirstResponse: [mulberrybeam.LatencyBuckets]uint64{usualBucket: 100}}
	late := mulberrybeam.RolloutCounts{Route: "a", New: true, Responses: 100, FirstResponse: [mulberrybeam.LatencyBuckets]uint64{usualBucket + 6: 100}}
	j.Observe(0, []mulberrybeam.RolloutCounts{old}, 1)
	j.Observe(4*time.Second, []mulberrybeam.RolloutCounts{old, late}, 1)
	if verdict := j.Verdict(); verdict.Bad {
		t.Errorf("bad: %s", verdict.Text)
	}
}
