// Package judge compares the responses of the old and the new version of a
// service by a sequential test, and decides whether the new version is bad or
// good.
package judge

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// referenceHalfLife is the time in which old responses lose half of their
	// weight, so that both versions are compared in the same period. At least
	// minReference responses are kept.
	referenceHalfLife = 4 * time.Second
	minReference      = 50
	// priorWeight and priorRate are the weight and the rate of bad responses that
	// the old version is assumed to have before it has responded.
	priorWeight = 20
	priorRate   = 0.01
	// A version is tolerable if its rate of bad responses is at most toleratedRatio
	// times that of the old one, or minTolerated, and bad from badRatio times that
	// rate on, or minBad.
	toleratedRatio, badRatio = 1.5, 3
	minTolerated, minBad     = 0.01, 0.06
	maxTolerated, maxBad     = 0.3, 0.95
	// badThreshold is the log likelihood ratio at which a version is bad. The
	// probability of a false alarm is about exp(-badThreshold) for each time that
	// the sum leaves zero.
	badThreshold = 12
	// doubtThreshold is the sum of a route from which on the version is not judged
	// good.
	doubtThreshold = 2
	// goodThreshold is the log likelihood ratio below which a version is good, for
	// an error of 1%.
	goodThreshold = -4.6
	// plainQuantile and streamQuantile are the quantiles of the old version's first
	// responses that those of the new one are compared with. Prompts often meet
	// new engines that lack their prefix, which few of the old ones do.
	plainQuantile  = 0.5
	streamQuantile = 0.9
	// slowBuckets is the number of buckets above the quantile's from which on a
	// response is slow, a factor of 2 to 2.8.
	slowBuckets = 3
	// minSlowBucket begins at 11 ms. Below, a call to another zone would count as
	// slow.
	minSlowBucket = 7
	// maxReferenceAge is the time without old responses after which responses are not
	// slow: when all requests are at the new version, a wave of load would be taken
	// for its slowness.
	maxReferenceAge = 3 * time.Second
	// minLatencies is the number of old responses needed to tell slow ones.
	minLatencies = 10
)

// Judge judges one rollout. Only the control goroutine may use it.
type Judge struct {
	routes map[string]*route
	// ratio is the log likelihood ratio of all responses of the new version.
	ratio    float64
	old, new uint64
	// targets is the number of targets of the new version.
	targets int
}

// route is the evidence of one route.
type route struct {
	// old and new are the last counts, those of the new version by target.
	old mulberrybeam.RolloutCounts
	new map[mulberrybeam.InstanceID]mulberrybeam.RolloutCounts
	// latencies and failures are the weighted counts of the old version.
	latencies   [mulberrybeam.LatencyBuckets]float64
	failures    float64
	referenceAt time.Duration
	// sum is the CUSUM of log likelihood ratios, and without those of all targets but
	// one, by the one that is left out.
	sum      float64
	without  map[mulberrybeam.InstanceID]float64
	bad, all uint64
}

// Verdict is what the evidence shows.
type Verdict struct {
	Bad, Good bool
	// Doubt reports evidence against the version that is not sufficient.
	Doubt bool
	// OldResponses and NewResponses are the responses of the versions.
	OldResponses, NewResponses uint64
	// Text has the evidence of the route with the most of it.
	Text string
}

// New returns a Judge without evidence.
func New() *Judge { return &Judge{routes: map[string]*route{}} }

// Observe adds the increase of the total counts over all hosts since the last
// call. targets is the number of targets of the new version.
func (j *Judge) Observe(now time.Duration, totals []mulberrybeam.RolloutCounts, targets int) {
	j.targets = targets
	for _, total := range totals {
		if !total.New {
			j.routeOf(total.Route).observeOld(now, total)
		}
	}
	j.old, j.new = 0, 0
	for _, total := range totals {
		if !total.New {
			j.old += total.Responses
			continue
		}
		j.new += total.Responses
		j.ratio += j.routeOf(total.Route).observeNew(now, total)
	}
}

// Verdict returns the current verdict.
func (j *Judge) Verdict() Verdict {
	verdict := Verdict{OldResponses: j.old, NewResponses: j.new}
	worst := ""
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		if worst == "" || j.evidence(name) > j.evidence(worst) {
			worst = name
		}
	}
	if worst == "" {
		verdict.Text = "no responses"
		return verdict
	}
	r, evidence := j.routes[worst], j.evidence(worst)
	verdict.Bad = evidence > badThreshold+math.Log(float64(len(j.routes)))
	verdict.Doubt = evidence > doubtThreshold
	verdict.Good = j.ratio < goodThreshold && !verdict.Doubt
	verdict.Text = fmt.Sprintf("route %s: %d of %d responses bad, evidence %.1f; all routes: %d new and %d old responses, ratio %.1f",
		worst, r.bad, r.all, evidence, j.new, j.old, j.ratio)
	return verdict
}

// evidence returns the sum of a route without the target that has most of it. One
// faulty target is no evidence against a version that has several.
func (j *Judge) evidence(name string) float64 {
	r := j.routes[name]
	if j.targets <= 1 {
		return r.sum
	}
	lowest := r.sum
	for _, sum := range r.without {
		lowest = min(lowest, sum)
	}
	return lowest
}

func (j *Judge) routeOf(name string) *route {
	r := j.routes[name]
	if r == nil {
		r = &route{
			new:     map[mulberrybeam.InstanceID]mulberrybeam.RolloutCounts{},
			without: map[mulberrybeam.InstanceID]float64{},
		}
		j.routes[name] = r
	}
	return r
}

func (r *route) observeOld(now time.Duration, total mulberrybeam.RolloutCounts) {
	last := r.old
	if total.Responses <= last.Responses {
		return
	}
	r.old = total
	r.decay(now)
	r.failures += float64(total.Failures - min(last.Failures, total.Failures))
	for i := range total.FirstResponse {
		r.latencies[i] += float64(total.FirstResponse[i] - min(last.FirstResponse[i], total.FirstResponse[i]))
	}
}

func (r *route) decay(now time.Duration) {
	weight := math.Exp2(-float64(now-r.referenceAt) / float64(referenceHalfLife))
	r.referenceAt = now
	if all := r.answered() + r.failures; all > 0 {
		weight = max(weight, min(minReference/all, 1))
	}
	r.failures *= weight
	for i := range r.latencies {
		r.latencies[i] *= weight
	}
}

// answered returns the weighted number of old responses that were not failures.
func (r *route) answered() float64 {
	answered := 0.0
	for _, weight := range r.latencies {
		answered += weight
	}
	return answered
}

// observeNew adds new responses and returns their log likelihood ratio.
func (r *route) observeNew(now time.Duration, total mulberrybeam.RolloutCounts) float64 {
	last := r.new[total.Target]
	if total.Responses <= last.Responses {
		return 0
	}
	r.new[total.Target] = total
	slowFrom := r.slowFrom(now, total.Streaming)
	responses := total.Responses - last.Responses
	bad := total.Failures - min(last.Failures, total.Failures)
	for i := slowFrom; i < mulberrybeam.LatencyBuckets; i++ {
		bad += total.FirstResponse[i] - min(last.FirstResponse[i], total.FirstResponse[i])
	}
	bad = min(bad, responses)
	r.bad += bad
	r.all += responses
	tolerated, intolerable := r.rates(slowFrom)
	ratio := float64(bad)*math.Log(intolerable/tolerated) + float64(responses-bad)*math.Log((1-intolerable)/(1-tolerated))
	if _, known := r.without[total.Target]; !known && total.Target != "" {
		r.without[total.Target] = r.sum
	}
	r.sum = max(r.sum+ratio, 0)
	for id, sum := range r.without {
		if id != total.Target {
			r.without[id] = max(sum+ratio, 0)
		}
	}
	return ratio
}

// slowFrom returns the first bucket of slow responses.
func (r *route) slowFrom(now time.Duration, streaming bool) int {
	quantile := plainQuantile
	if streaming {
		quantile = streamQuantile
	}
	answered := r.answered()
	if answered < minLatencies || now-r.referenceAt > maxReferenceAge {
		return mulberrybeam.LatencyBuckets
	}
	seen := 0.0
	for i, weight := range r.latencies {
		if seen += weight; seen >= quantile*answered {
			return max(i+slowBuckets, minSlowBucket)
		}
	}
	return mulberrybeam.LatencyBuckets
}

// rates returns the rate of bad responses that is tolerable and the rate that is
// not.
func (r *route) rates(slowFrom int) (tolerated, intolerable float64) {
	bad := r.failures
	for i := slowFrom; i < mulberrybeam.LatencyBuckets; i++ {
		bad += r.latencies[i]
	}
	all := r.answered() + r.failures + priorWeight
	rate := (bad + priorWeight*priorRate) / all
	// The standard error keeps few old responses from being taken for a low rate.
	rate += math.Sqrt(rate * (1 - rate) / all)
	tolerated = min(max(toleratedRatio*rate, minTolerated), maxTolerated)
	return tolerated, min(max(badRatio*tolerated, minBad), maxBad)
}
