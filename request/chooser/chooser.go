// Package chooser selects the target of a service for a request.
package chooser

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// maxErrorRate is the error rate above which a target is excluded while
	// others can take the load.
	maxErrorRate = 0.3
	// slowLatencyFactor is the multiple of the median latency above which a
	// target is excluded.
	slowLatencyFactor = 3
	// recoveryProbeRatio is the fraction of requests that may still try an
	// excluded target, so that its recovery is detected.
	recoveryProbeRatio = 0.02
	// crossZoneCost represents the latency and the traffic cost of a call to
	// another zone.
	crossZoneCost = 4 * time.Millisecond
	// defaultLatency is assumed for a target that has not answered yet.
	defaultLatency = 15 * time.Millisecond
	// contextTransferTokens is the cost of transferring stored context that the
	// first engine may still hold, and crossZoneTransferTokens that of a
	// transfer between zones, which takes twice as long. Both are in prompt
	// tokens to prefill.
	contextTransferTokens   = 6000
	crossZoneTransferTokens = 8000
	// recomputeRatio is the fraction of the shared tokens that are expected to
	// be prefilled again if their context comes from an engine instead of a
	// store.
	recomputeRatio = 0.05
	// heldTokenWeight is the cost of a token held in memory, relative to that
	// of a token to prefill. excessTokenWeight is the relative cost of a token
	// beyond usableMemoryRatio of the memory, for which other requests must
	// finish first.
	heldTokenWeight   = 0.25
	excessTokenWeight = 3
	usableMemoryRatio = 0.85
	// maxBacklogTokens is the maximum number of tokens that an engine may still
	// have to prefill when it gets a request that could wait instead, and
	// maxPrefillTokens the maximum with the request's own. An engine prefills
	// between the tokens of the streams that it runs, so that more at once would
	// make long pauses in them. A longer prompt goes to an engine without
	// backlog.
	maxBacklogTokens = 12000
	maxPrefillTokens = 16000
	// upgradedRatio is the fraction of engines that must have the new weights
	// before the other engines get no more new requests.
	upgradedRatio = 0.4
	// noTargetRetryAfter is the suggested retry delay when no target is
	// available: the usual time until one may be free.
	noTargetRetryAfter = 30 * time.Millisecond
)

// Query is the input of a choice.
type Query struct {
	Rule    *mulberrybeam.Rule
	Service mulberrybeam.ServiceName
	Zone    mulberrybeam.ZoneName
	Self    mulberrybeam.ProcessID
	// SharedPart is the ID of the last prompt part that other requests share.
	// It is empty for a plain call.
	SharedPart string
	// SharedTokens is the number of tokens in all shared parts. Stored reports
	// that a store holds their context.
	SharedTokens int
	Stored       bool
	// ContextZone is the zone in which the context of SharedPart is stored, or
	// empty if it is not stored.
	ContextZone mulberrybeam.ZoneName
	// PromptTokens is the length of the prompt. MemoryTokens is the number of tokens
	// that fit into an engine's memory.
	PromptTokens int
	MemoryTokens int
	Model        mulberrybeam.ModelName
	// MinVersion excludes engines that report an older weight version. 0 excludes none.
	MinVersion int
	Tried      []mulberrybeam.InstanceID
	// Usable reports whether the request may use a target. Nil allows all.
	Usable func(target *mulberrybeam.FleetTarget) bool
	// MayWait reports that the request can wait until an engine has capacity.
	MayWait bool
	// ColdOvershoot is a factor on a cold target's rate, and ColdSlack a number
	// of requests allowed on top of it.
	ColdOvershoot float64
	ColdSlack     int
	// Shares keeps the shares of fragile targets between choices of one process. It may
	// be nil.
	Shares *ShareCache
}

// View provides what the process knows about targets.
type View interface {
	TargetStats(id mulberrybeam.InstanceID) mulberrybeam.TargetStats
}

// Choice is the target selected for an attempt.
type Choice struct {
	Target mulberrybeam.FleetTarget
	// ColdLimit is the maximum number of requests per second that this process
	// may send to the target, or 0 if the target is warm.
	ColdLimit int
	// Fragile reports that the target is fragile, and Shares how many shares of it this
	// process has itself.
	Fragile bool
	Shares  int
	Reason  string
	// PreferredEngine is the engine that all processes prefer for the prompt's shared
	// parts, and which may therefore hold their context. It is zero if Target
	// is that engine.
	PreferredEngine mulberrybeam.FleetTarget
}

// Choose returns a target, or a Failure with CodeNoTarget.
func Choose(now time.Duration, random *rand.Rand, fleet *mulberrybeam.Fleet, view View, query Query) (Choice, error) {
	b := bufferPool.Get().(*buffers)
	defer b.release()
	pauseEnd := b.findCandidates(now, fleet, view, query)
	switch {
	case len(b.eligible) > 0:
	case pauseEnd > 0:
		failure := noTarget(query.Service, "all targets that are left asked for a pause")
		if b.fragile {
			failure.Message += " or are fragile and have no free share for this process"
		}
		failure.RetryAfter = pauseEnd - now
		return Choice{}, failure
	default:
		return Choice{}, noTarget(query.Service, "no target is left")
	}
	choice, err := b.choose(now, random, fleet, query)
	if b.fragile {
		choice.Fragile, choice.Shares = b.sharesOf(now, choice.Target.ID)
	}
	return choice, err
}

// choose returns one of the eligible targets.
func (b *buffers) choose(now time.Duration, random *rand.Rand, fleet *mulberrybeam.Fleet, query Query) (Choice, error) {
	b.warm = b.warm[:0]
	for i := range b.eligible {
		if c := &b.eligible[i]; !c.isCold(now) {
			b.warm = append(b.warm, c)
		}
	}
	warm := preferUpgraded(fleet, query, b.warm)
	if len(warm) > 0 {
		warm = b.preferHealthy(random, warm)
		if query.SharedPart == "" {
			return Choice{Target: *shortestWait(warm, query.Zone).target, Reason: "least expected wait"}, nil
		}
		return chooseEngine(warm, query)
	}
	return chooseCold(fleet, query, b.eligible)
}

func regionAllowed(fleet *mulberrybeam.Fleet, rule *mulberrybeam.Rule, zone mulberrybeam.ZoneName) bool {
	return len(rule.Regions) == 0 || slices.Contains(rule.Regions, fleet.Regions[zone])
}

// hasWeightsBefore reports whether an engine reports an older version of a model.
func hasWeightsBefore(version int, model mulberrybeam.ModelName, target *mulberrybeam.FleetTarget) bool {
	reported, known := target.Versions[model]
	return known && reported < version
}

func (c *candidate) isCold(now time.Duration) bool {
	return now < c.target.ColdUntil || now < c.stats.SuspectUntil
}

// preferUpgraded excludes engines that will soon be upgraded to new weights, so
// that they have little left to finish, and excludes all engines with old
// weights once enough others have the new ones.
func preferUpgraded(fleet *mulberrybeam.Fleet, query Query, warm []*candidate) []*candidate {
	leaving := func(c *candidate) bool { return fleet.Leaving[c.target.ID] }
	if slices.ContainsFunc(warm, func(c *candidate) bool { return !leaving(c) }) {
		warm = slices.DeleteFunc(warm, leaving)
	}
	outdated := 0
	for _, c := range warm {
		c.kept = !hasWeightsBefore(fleet.Weights[query.Model].Version, query.Model, c.target)
		if !c.kept {
			outdated++
		}
	}
	if float64(len(warm)-outdated) >= upgradedRatio*float64(len(fleet.Targets[query.Service])) {
		return keep(warm)
	}
	return warm
}

// keep returns the candidates that are marked.
func keep(marked []*candidate) []*candidate {
	return slices.DeleteFunc(marked, func(c *candidate) bool { return !c.kept })
}

// preferHealthy excludes targets that fail or are much slower than the others,
// as long as at least half of the targets remain.
func (b *buffers) preferHealthy(random *rand.Rand, warm []*candidate) []*candidate {
	median := b.medianLatency(warm)
	kept := 0
	for _, c := range warm {
		unhealthy := c.stats.ErrorRate > maxErrorRate || median > 0 && c.stats.Latency > slowLatencyFactor*median
		c.kept = !unhealthy || random.Float64() < recoveryProbeRatio
		if c.kept {
			kept++
		}
	}
	if 2*kept < len(warm) {
		return warm
	}
	return keep(warm)
}

func (b *buffers) medianLatency(warm []*candidate) time.Duration {
	b.latencies = b.latencies[:0]
	for _, c := range warm {
		if c.stats.Latency > 0 {
			b.latencies = append(b.latencies, c.stats.Latency)
		}
	}
	if len(b.latencies) < 3 {
		return 0
	}
	return nthSmallest(b.latencies, len(b.latencies)/2)
}

// shortestWait returns the target with the shortest expected wait.
func shortestWait(warm []*candidate, zone mulberrybeam.ZoneName) *candidate {
	return lowest(warm, func(c *candidate) time.Duration { return c.expectedWait(zone) })
}

// lowest returns the candidate with the lowest value, and of several the one with
// the lowest ID.
func lowest[V cmp.Ordered](candidates []*candidate, value func(*candidate) V) *candidate {
	best := candidates[0]
	bestValue := value(best)
	for _, c := range candidates[1:] {
		v := value(c)
		if order := cmp.Compare(v, bestValue); order < 0 || order == 0 && c.target.ID < best.target.ID {
			best, bestValue = c, v
		}
	}
	return best
}

// expectedWait estimates the time until a plain service answers.
func (c *candidate) expectedWait(zone mulberrybeam.ZoneName) time.Duration {
	latency := c.stats.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	slots := max(c.target.Slots, 1)
	load := float64(c.load.Requests) / float64(slots)
	wait := time.Duration(float64(latency) * (1 + load*load))
	if c.target.Zone != zone {
		wait += crossZoneCost
	}
	return wait
}

// chooseEngine returns the engine with the lowest cost for a shared prompt. The
// cost covers the engine's load and the transfer of the prompt's context to it.
// All processes derive the same first engine for a prompt, so requests that
// share the prompt are routed to where its context was last used.
func chooseEngine(warm []*candidate, query Query) (Choice, error) {
	first := firstEngine(warm, query)
	if query.MayWait {
		warm = slices.DeleteFunc(warm, func(c *candidate) bool { return c.wouldQueue(query) })
		if len(warm) == 0 {
			return Choice{}, noTarget(query.Service, "no engine has capacity")
		}
	}
	best := lowest(warm, func(c *candidate) float64 { return c.startCost(query, first) })
	switch {
	case best.memoryFull(query):
		return Choice{}, noTarget(query.Service, "the context memory of all engines is full")
	case best.target.ID == first.target.ID:
		return Choice{Target: *best.target, Reason: "first engine for the shared prompt"}, nil
	case best.target.Zone == query.ContextZone:
		return Choice{Target: *best.target, PreferredEngine: *first.target, Reason: "less loaded engine in the zone of the prompt's store"}, nil
	}
	return Choice{Target: *best.target, PreferredEngine: *first.target, Reason: "less loaded engine in another zone"}, nil
}

// firstEngine returns the engine with the highest preference for a prompt.
func firstEngine(warm []*candidate, query Query) *candidate {
	first := warm[0]
	highest := first.preference(query)
	for _, c := range warm[1:] {
		preference := c.preference(query)
		if preference > highest || preference == highest && c.target.ID > first.target.ID {
			first, highest = c, preference
		}
	}
	return first
}

// preference is the rank of an engine for a prompt, highest first: engines in
// the zone of the prompt's store before all others, each group in rendezvous
// order.
func (c *candidate) preference(query Query) uint64 {
	score := ranker.Score(query.SharedPart, string(c.target.ID)) >> 1
	if c.target.Zone == query.ContextZone {
		score |= 1 << 63
	}
	return score
}

// wouldQueue reports whether the request would have to wait at the engine.
// Waiting in this process instead lets it still go to another engine, and gives
// the prompt's context time to reach a store.
func (c *candidate) wouldQueue(query Query) bool {
	if c.memoryFull(query) {
		return true
	}
	backlog := c.load.PrefillTokens
	if query.MemoryTokens == 0 || backlog == 0 {
		return false
	}
	return backlog > maxBacklogTokens || backlog+query.prefillTokens() > maxPrefillTokens
}

// prefillTokens returns the number of tokens of the prompt that an engine has to
// prefill if the stored context arrives.
func (q Query) prefillTokens() int {
	if q.Stored {
		return q.PromptTokens - q.SharedTokens
	}
	return q.PromptTokens
}

// memoryFull reports whether the requests take so much of the engine's memory
// that one more would evict them or the context that they reuse. An engine that
// accepts more nevertheless has to prefill the evicted context again and stays
// slow long after the peak.
func (c *candidate) memoryFull(query Query) bool {
	return c.load.HeldTokens > 0 && c.excessTokens(query) > 0
}

// excessTokens is the number of tokens by which the request would exceed the
// usable part of the engine's memory, or 0 if it fits.
func (c *candidate) excessTokens(query Query) float64 {
	if query.MemoryTokens == 0 {
		return 0
	}
	return max(float64(c.load.HeldTokens+query.PromptTokens)-usableMemoryRatio*float64(query.MemoryTokens), 0)
}

// startCost is the cost of starting the request on the engine, in prompt tokens
// to prefill.
func (c *candidate) startCost(query Query, first *candidate) float64 {
	load := c.load
	cost := float64(load.PrefillTokens) + heldTokenWeight*float64(load.HeldTokens) + excessTokenWeight*c.excessTokens(query)
	switch {
	case c.target.ID == first.target.ID:
	case query.Stored:
		cost += contextTransferTokens
	default:
		// The first engine may still be prefilling the shared parts, or may
		// have evicted them.
		cost += contextTransferTokens + recomputeRatio*float64(query.SharedTokens)
	}
	if query.ContextZone != "" && c.target.Zone != query.ContextZone {
		cost += crossZoneTransferTokens
	}
	return cost
}

func noTarget(service mulberrybeam.ServiceName, message string) *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(service),
		Message: message, NotRun: true, RetryAfter: noTargetRetryAfter,
	}
}
