// Package chooser decides which target of a service gets a request.
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
	// weakErrorShare is the share of failures from which a target is left
	// out while others can take the load.
	weakErrorShare = 0.3
	// slowFactor is how much slower than the median a target must be to be
	// left out.
	slowFactor = 3
	// trialShare is the part of requests that may still try a target that
	// is left out, so that its recovery is seen.
	trialShare = 0.02
	// hopCost stands for the way to another zone and its price.
	hopCost = 4 * time.Millisecond
	// usualLatency is assumed of a target that has not answered yet.
	usualLatency = 15 * time.Millisecond
	// otherEngineCost stands for the transfer of stored context that the
	// first engine may still have, and otherZoneCost for transfers that take
	// twice as long between zones, both in tokens to be read.
	otherEngineCost = 6000
	otherZoneCost   = 8000
	// unsureShare is the part of the shared tokens that is expected to be
	// read again when they come from an engine in place of a store.
	unsureShare = 0.05
	// heldWeight is the cost of a token in memory against that of one to be
	// read, and fullWeight that of one beyond fullShare of the memory, for
	// which others must finish first.
	heldWeight = 0.25
	fullWeight = 3
	fullShare  = 0.85
	// maxUnread is the tokens that an engine may still have to read when it
	// gets a request that could wait. An engine reads them in about 0.3 s.
	maxUnread = 12000
	// moveShare is the part of engines with new weights from which the
	// others get no new requests.
	moveShare = 0.4
	// noTargetPause is the usual wait until a target may be free.
	noTargetPause = 30 * time.Millisecond
)

// Query is what a choice depends on.
type Query struct {
	Rule    *mulberrybeam.Rule
	Service mulberrybeam.ServiceName
	Zone    mulberrybeam.ZoneName
	Self    mulberrybeam.ProcessID
	// SharedPart is the last prompt part that other requests share, empty
	// for a plain call.
	SharedPart string
	// SharedTokens are those of all shared parts, and Stored says that a
	// store has their context.
	SharedTokens int
	Stored       bool
	// ContextZone is where the part's context is kept, empty for nowhere.
	ContextZone mulberrybeam.ZoneName
	// PromptTokens is the prompt's length, and Memory an engine's room.
	PromptTokens int
	Memory       int
	Model        mulberrybeam.ModelName
	// Strict leaves out engines without the named weights.
	Strict bool
	Tried  []mulberrybeam.InstanceID
	// MayWait says that the request can wait for an engine with room.
	MayWait bool
	// ColdOvershoot and ColdSlack widen a cold target's rate.
	ColdOvershoot float64
	ColdSlack     int
}

// View is what the process knows of targets.
type View interface {
	Gauge(id mulberrybeam.InstanceID) mulberrybeam.Gauge
}

// Choice is a target for an attempt.
type Choice struct {
	Target mulberrybeam.FleetTarget
	// ColdLimit bounds this process's requests a second to the target, 0
	// when it is warm.
	ColdLimit int
	Reason    string
	// First is the engine that all processes prefer for the prompt's shared
	// parts, so that it may have their context. It is zero when the target is
	// that engine itself.
	First mulberrybeam.FleetTarget
}

// candidate is a target with what is known of it.
type candidate struct {
	target mulberrybeam.FleetTarget
	gauge  mulberrybeam.Gauge
}

// Choose returns a target, or a Failure with CodeNoTarget.
func Choose(now time.Duration, random *rand.Rand, fleet *mulberrybeam.Fleet, view View, query Query) (Choice, error) {
	known := candidates(now, fleet, view, query)
	if len(known) == 0 {
		return Choice{}, noTarget(query.Service, "no target is left")
	}
	warm := slices.Clone(known)
	warm = slices.DeleteFunc(warm, func(c candidate) bool { return c.cold(now) })
	warm = current(fleet, query, warm)
	if len(warm) > 0 {
		warm = sound(random, warm)
		if query.SharedPart == "" {
			return Choice{Target: cheapest(warm, query.Zone).target, Reason: "least expected wait"}, nil
		}
		return home(warm, query)
	}
	return chooseCold(fleet, query, known)
}

// candidates returns the targets that the request may go to.
func candidates(now time.Duration, fleet *mulberrybeam.Fleet, view View, query Query) []candidate {
	var found []candidate
	for _, target := range fleet.Targets[query.Service] {
		if slices.Contains(query.Tried, target.ID) || !allowed(fleet, query.Rule, target.Zone) {
			continue
		}
		if query.Strict && outdated(fleet, query.Model, target) {
			continue
		}
		gauge := view.Gauge(target.ID)
		if now < gauge.AvoidUntil {
			continue
		}
		found = append(found, candidate{target, gauge})
	}
	return found
}

func allowed(fleet *mulberrybeam.Fleet, rule *mulberrybeam.Rule, zone mulberrybeam.ZoneName) bool {
	return len(rule.Regions) == 0 || slices.Contains(rule.Regions, fleet.Regions[zone])
}

func outdated(fleet *mulberrybeam.Fleet, model mulberrybeam.ModelName, target mulberrybeam.FleetTarget) bool {
	version, known := target.Versions[model]
	return known && version < fleet.Weights[model].Version
}

func (c candidate) cold(now time.Duration) bool {
	return now < c.target.ColdUntil || now < c.gauge.SuspectUntil
}

// current leaves out engines that change over to new weights soon, so that they
// have little to finish, and all with old weights once enough others have the
// new ones.
func current(fleet *mulberrybeam.Fleet, query Query, warm []candidate) []candidate {
	staying := slices.Clone(warm)
	staying = slices.DeleteFunc(staying, func(c candidate) bool { return fleet.Leaving[c.target.ID] })
	if len(staying) > 0 {
		warm = staying
	}
	fresh := slices.Clone(warm)
	fresh = slices.DeleteFunc(fresh, func(c candidate) bool { return outdated(fleet, query.Model, c.target) })
	if float64(len(fresh)) >= moveShare*float64(len(fleet.Targets[query.Service])) {
		return fresh
	}
	return warm
}

// sound leaves out targets that fail or are much slower than the others, as
// long as half of them remain.
func sound(random *rand.Rand, warm []candidate) []candidate {
	median := medianLatency(warm)
	kept := make([]candidate, 0, len(warm))
	for _, c := range warm {
		weak := c.gauge.ErrorShare > weakErrorShare || median > 0 && c.gauge.Latency > slowFactor*median
		if !weak || random.Float64() < trialShare {
			kept = append(kept, c)
		}
	}
	if 2*len(kept) < len(warm) {
		return warm
	}
	return kept
}

func medianLatency(warm []candidate) time.Duration {
	var latencies []time.Duration
	for _, c := range warm {
		if c.gauge.Latency > 0 {
			latencies = append(latencies, c.gauge.Latency)
		}
	}
	if len(latencies) < 3 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// cheapest returns the target with the least expected time to answer.
func cheapest(warm []candidate, zone mulberrybeam.ZoneName) candidate {
	return slices.MinFunc(warm, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.wait(zone), b.wait(zone)), cmp.Compare(a.target.ID, b.target.ID))
	})
}

// wait estimates the time to an answer of a plain service.
func (c candidate) wait(zone mulberrybeam.ZoneName) time.Duration {
	latency := c.gauge.Latency
	if latency == 0 {
		latency = usualLatency
	}
	slots := max(c.target.Slots, 1)
	load := float64(c.gauge.Load().Requests) / float64(slots)
	wait := time.Duration(float64(latency) * (1 + load*load))
	if c.target.Zone != zone {
		wait += hopCost
	}
	return wait
}

// home returns the engine with the least cost for a shared prompt: its load,
// and what it costs to get the prompt's context there. All processes derive the
// same first engine for a prompt, so that requests meet where its context was
// used last.
func home(warm []candidate, query Query) (Choice, error) {
	first := slices.MaxFunc(warm, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.preference(query), b.preference(query)), cmp.Compare(a.target.ID, b.target.ID))
	})
	best := slices.MinFunc(warm, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost(query, first), b.cost(query, first)), cmp.Compare(a.target.ID, b.target.ID))
	})
	switch {
	case query.MayWait && best.full(query):
		return Choice{}, noTarget(query.Service, "no engine has room")
	case best.crowded(query):
		return Choice{}, noTarget(query.Service, "the memory of all engines is taken")
	case best.target.ID == first.target.ID:
		return Choice{Target: best.target, Reason: "first engine for the shared prompt"}, nil
	case best.target.Zone == query.ContextZone:
		return Choice{Target: best.target, First: first.target, Reason: "less loaded engine near the prompt's store"}, nil
	}
	return Choice{Target: best.target, First: first.target, Reason: "less loaded engine in another zone"}, nil
}

// preference orders engines for a prompt: by rendezvous, those near the
// prompt's store before the others.
func (c candidate) preference(query Query) uint64 {
	score := ranker.Score(query.SharedPart, string(c.target.ID)) >> 1
	if c.target.Zone == query.ContextZone {
		score |= 1 << 63
	}
	return score
}

// full says whether the request would wait at the engine. While it waits here
// it can still go to another engine, and context of its prompt may reach a
// store.
func (c candidate) full(query Query) bool {
	return c.crowded(query) || query.Memory > 0 && c.gauge.Load().Unread > maxUnread
}

// crowded says whether requests take so much of the engine's memory that one
// more would displace them or the context that they use again. An engine that
// gets more all the same reads displaced context again and stays slow long
// after the crowd has passed.
func (c candidate) crowded(query Query) bool {
	return c.gauge.Load().Held > 0 && c.excess(query) > 0
}

// excess is the tokens by which the request would exceed the part of the
// engine's memory that is filled, 0 when it would not.
func (c candidate) excess(query Query) float64 {
	if query.Memory == 0 {
		return 0
	}
	return max(float64(c.gauge.Load().Held+query.PromptTokens)-fullShare*float64(query.Memory), 0)
}

// cost is what it takes an engine to start the request, in tokens to be read.
func (c candidate) cost(query Query, first candidate) float64 {
	load := c.gauge.Load()
	cost := float64(load.Unread) + heldWeight*float64(load.Held) + fullWeight*c.excess(query)
	switch {
	case c.target.ID == first.target.ID:
	case query.Stored:
		cost += otherEngineCost
	default:
		// The first engine may still be reading the shared parts, or have
		// dropped them.
		cost += otherEngineCost + unsureShare*float64(query.SharedTokens)
	}
	if query.ContextZone != "" && c.target.Zone != query.ContextZone {
		cost += otherZoneCost
	}
	return cost
}

// chooseCold returns a cold target that this process may use. The target's
// rate is shared by all entry processes.
func chooseCold(fleet *mulberrybeam.Fleet, query Query, known []candidate) (Choice, error) {
	for _, c := range known {
		limit := ColdLimit(fleet, query, c.target.ID)
		if limit > 0 && c.gauge.ColdSends < limit {
			return Choice{Target: c.target, ColdLimit: limit, Reason: "all targets are cold"}, nil
		}
	}
	return Choice{}, noTarget(query.Service, "all targets are cold and their rate is used up")
}

// ColdLimit is this process's part of the requests per second that a cold
// target takes. When there are more processes than requests, the first ones in
// rendezvous order get one each.
func ColdLimit(fleet *mulberrybeam.Fleet, query Query, id mulberrybeam.InstanceID) int {
	// coldMargin leaves room for requests that are delayed on the way and
	// arrive together.
	const coldMargin = 0.6
	pool := fleet.Deployment.Pools[query.Service]
	total := int(coldMargin * (pool.ColdRate*query.ColdOvershoot + float64(query.ColdSlack)))
	hosts := len(fleet.EntryHosts)
	if total >= hosts {
		return total / hosts
	}
	if slices.Contains(ranker.Top(string(id), fleet.EntryHosts, total), query.Self) {
		return 1
	}
	return 0
}

func noTarget(service mulberrybeam.ServiceName, message string) error {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, Peer: string(service),
		Message: message, NotRun: true, RetryAfter: noTargetPause,
	}
}
