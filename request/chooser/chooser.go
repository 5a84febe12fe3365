// Package chooser decides which target of a service gets a request.
package chooser

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// homes is how many engines, in rendezvous order, a shared prompt may be
	// kept at. More would keep each prompt in more of the engines' memory.
	homes = 2
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
	// waitingWeight is how much a waiting request counts against running
	// ones at an engine.
	waitingWeight = 4
	// tokensPerLoad is the prompt tokens that count as much as one running
	// request.
	tokensPerLoad = 2000
	// homeSlack is the load by which an engine may exceed the least loaded
	// one of its zone before a shared prompt is read anew elsewhere.
	homeSlack = 14
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
	Model      mulberrybeam.ModelName
	// Strict leaves out engines without the named weights.
	Strict bool
	Tried  []mulberrybeam.InstanceID
	// ColdOvershoot and ColdSlack widen a cold target's rate.
	ColdOvershoot float64
	ColdSlack     int
}

// View is what the process knows of targets.
type View interface {
	Gauge(id mulberrybeam.InstanceID, now time.Duration) mulberrybeam.Gauge
}

// Choice is a target for an attempt.
type Choice struct {
	Target mulberrybeam.FleetTarget
	// ColdLimit bounds this process's requests a second to the target, 0
	// when it is warm.
	ColdLimit int
	Reason    string
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
		chosen, reason := pick(warm, query)
		return Choice{Target: chosen.target, Reason: reason}, nil
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
		gauge := view.Gauge(target.ID, now)
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

func pick(warm []candidate, query Query) (candidate, string) {
	if query.SharedPart == "" {
		return cheapest(warm, query.Zone), "least expected wait"
	}
	return home(warm, query.SharedPart)
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
	load := float64(c.gauge.InFlight+c.gauge.Others()) / float64(slots)
	wait := time.Duration(float64(latency) * (1 + load*load))
	if c.target.Zone != zone {
		wait += hopCost
	}
	return wait
}

// home returns the first engine in rendezvous order for the shared part that
// is not overloaded. All processes derive the same order, so that requests
// that share a prompt meet where it is kept.
func home(warm []candidate, part string) (candidate, string) {
	ranked := slices.Clone(warm)
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Compare(ranker.Score(part, string(b.target.ID)), ranker.Score(part, string(a.target.ID)))
	})
	least := slices.MinFunc(warm, func(a, b candidate) int { return cmp.Compare(a.load(), b.load()) })
	for i, c := range ranked[:min(homes, len(ranked))] {
		if c.load() <= least.load()+homeSlack {
			return c, fmt.Sprintf("home %d of the shared prompt", i+1)
		}
	}
	return least, "least loaded, the homes of the shared prompt are busy"
}

// load is an engine's load in running requests.
func (c candidate) load() int {
	waiting := max(c.gauge.Load.Waiting, 0)
	return c.gauge.InFlight + c.gauge.Others() + waitingWeight*waiting + c.gauge.PromptTokens/tokensPerLoad
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
