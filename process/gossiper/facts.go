package gossiper

import (
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// rateTTL is the time to live of a published rate. rateRefreshInterval
	// is the interval after which an almost unchanged rate is published
	// again.
	rateTTL             = 10 * time.Second
	rateRefreshInterval = 4 * time.Second
	// rateChangeThreshold is the relative change above which a rate is
	// published immediately.
	rateChangeThreshold = 0.2
	// demandThreshold is the lowest demand that is published, as a fraction
	// of the process's minimum share of a workspace's limit. A process
	// below it needs no more than the minimum share, and publishing the
	// demand of 2,200 workspaces by each of 380 processes would exceed the
	// byte budget.
	demandThreshold = 0.5
)

// factSummary holds values derived from the facts about crashes, store links
// and workspaces, and the rates that this process has published. Snapshots
// share the maps crashes, links and shares, which are therefore replaced and
// never modified.
type factSummary struct {
	tables    *mulberrybeam.Tables
	published map[factKey]publishedRate
	crashes   map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact
	links     map[mulberrybeam.StoreID]float64
	shares    map[mulberrybeam.WorkspaceName]float64
	// stale is set when links and shares must be recomputed.
	stale bool
}

// publishedRate is a rate of this process as last published.
type publishedRate struct {
	rate float64
	at   time.Duration
}

func newFactSummary() factSummary {
	return factSummary{
		published: map[factKey]publishedRate{},
		crashes:   map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact{},
		links:     map[mulberrybeam.StoreID]float64{},
		shares:    map[mulberrybeam.WorkspaceName]float64{},
	}
}

// publishFact publishes a fact of this process. A fact without a stamp gets
// one.
func (g *Gossiper) publishFact(fact mulberrybeam.Fact) {
	if fact.Stamp == (mulberrybeam.Stamp{}) {
		fact.Stamp = g.stamps.Next(g.turn.Wall)
	} else {
		g.stamps.Update(fact.Stamp, g.turn.Wall)
	}
	if g.facts.add(fact, g.turn.Now, origin{from: g.self.Zone}) {
		g.handleNewFact(fact)
	}
}

// mergeFacts stores the facts received from a peer and raises FactChanged for
// those that are newer than the stored ones.
func (g *Gossiper) mergeFacts(facts []mulberrybeam.Fact, from mulberrybeam.ZoneName) {
	for _, fact := range facts {
		if !g.stamps.Update(fact.Stamp, g.turn.Wall) {
			g.logEntry(mulberrybeam.EntryMember, string(fact.Stamp.Process), "rejected fact: its timestamp is too far ahead of the local wall clock")
			continue
		}
		if g.facts.add(fact, g.turn.Now, origin{from: from, zoneOnly: g.staysInZone(fact)}) {
			g.handleNewFact(fact)
			g.emit(mulberrybeam.EmitEvent{Event: mulberrybeam.FactChanged{Fact: fact}})
		}
	}
}

// staysInZone reports whether a received fact is not passed on to other zones.
// Load reports are passed on by the relays of the zone that they come from only:
// each pair of zones exchanges directly, and a zone that cannot reach the
// targets' zone has no use for their loads.
func (g *Gossiper) staysInZone(fact mulberrybeam.Fact) bool {
	return fact.Kind == mulberrybeam.FactLoad && g.members.byID[fact.Stamp.Process] == nil
}

// handleNewFact schedules what follows from a newly stored fact: an early push
// if it is urgent, and new derived values.
func (g *Gossiper) handleNewFact(fact mulberrybeam.Fact) {
	g.pushPending = g.pushPending || priorities[fact.Kind] <= urgentPriority
	switch fact.Kind {
	case mulberrybeam.FactCrash:
		// Requests suspected of causing crashes must be blocked
		// immediately, not at the next review.
		g.recomputeCrashes()
		g.emit(mulberrybeam.PublishSnapshot{})
	case mulberrybeam.FactLink, mulberrybeam.FactDemand:
		g.summary.stale = true
	}
}

// expireFacts removes expired facts and updates the values derived from them.
func (g *Gossiper) expireFacts() {
	if g.facts.expire(g.turn.Now) {
		g.summary.stale = true
		g.recomputeCrashes()
	}
}

// publishUse publishes this process's use of store links and its demand of
// workspaces.
func (g *Gossiper) publishUse(event mulberrybeam.UsageMeasured) {
	for _, id := range sortedKeys(event.Links) {
		rate := event.Links[id]
		g.publishRate(rate, mulberrybeam.Fact{
			Kind: mulberrybeam.FactLink, Key: string(id) + "/" + string(g.self.ID), TTL: rateTTL,
			Link: &mulberrybeam.LinkFact{Store: id, Process: g.self.ID, Rate: rate},
		})
	}
	for _, name := range sortedKeys(event.Workspaces) {
		rate := event.Workspaces[name]
		if rate < g.minPublishedDemand(name) {
			rate = 0
		}
		g.publishRate(rate, mulberrybeam.Fact{
			Kind: mulberrybeam.FactDemand, Key: string(name) + "/" + string(g.self.ID), TTL: rateTTL,
			Demand: &mulberrybeam.DemandFact{Workspace: name, Process: g.self.ID, Rate: rate},
		})
	}
}

// publishRate publishes a rate if it changed by more than rateChangeThreshold
// or was last published at least rateRefreshInterval ago. A rate of 0 is
// published only once, and only to replace an earlier one.
func (g *Gossiper) publishRate(rate float64, fact mulberrybeam.Fact) {
	last, published := g.summary.published[keyOf(fact)]
	change := max(rate-last.rate, last.rate-rate)
	switch {
	case rate == 0 && !published:
		return
	case change > rateChangeThreshold*last.rate:
	case g.turn.Now-last.at >= rateRefreshInterval:
	default:
		return
	}
	if rate == 0 {
		delete(g.summary.published, keyOf(fact))
	} else {
		g.summary.published[keyOf(fact)] = publishedRate{rate: rate, at: g.turn.Now}
	}
	g.publishFact(fact)
}

// minPublishedDemand returns the lowest demand of a workspace that is
// published.
func (g *Gossiper) minPublishedDemand(name mulberrybeam.WorkspaceName) float64 {
	if g.summary.tables == nil {
		return 0
	}
	return g.summary.tables.Workspaces[name].RequestsPerSecond * g.minShare() * demandThreshold
}

// minShare returns the minimum share, 1 / number of live processes. The
// number is an estimate: a process knows the members of its own zone only, and
// assumes that each other zone with an active relay has as many.
func (g *Gossiper) minShare() float64 {
	live := 0
	for _, member := range g.announced.members {
		if member.State == mulberrybeam.MemberAlive || member.State == mulberrybeam.MemberSuspect {
			live++
		}
	}
	zones := map[mulberrybeam.ZoneName]bool{g.self.Zone: true}
	for _, relay := range g.activeRelays.byID {
		zones[relay.Zone] = true
	}
	return 1 / float64(max(1, live)*len(zones))
}

// recomputeUse derives the link use and the workspace shares from the stored
// facts.
//
// The share of a process that publishes demand is its fraction of all published
// demand; any other process gets the minimum share of 1 / live processes. Among
// processes that can reach each other, the shares of those that publish demand
// add up to 1. Those of the others add up to less than 1, and are used up only
// until their demand is published and known everywhere. During a network
// partition each side divides the whole limit, so the worst overshoot is one
// full limit for each side beyond the first, plus the minimum shares.
func (g *Gossiper) recomputeUse() {
	if !g.summary.stale {
		return
	}
	links := map[mulberrybeam.StoreID]float64{}
	total := map[mulberrybeam.WorkspaceName]float64{}
	own := map[mulberrybeam.WorkspaceName]float64{}
	for _, entry := range g.facts.byKey {
		switch fact := entry.fact; {
		case fact.Link != nil && fact.Link.Process != g.self.ID:
			links[fact.Link.Store] += fact.Link.Rate
		case fact.Demand != nil:
			total[fact.Demand.Workspace] += fact.Demand.Rate
			if fact.Demand.Process == g.self.ID {
				own[fact.Demand.Workspace] = fact.Demand.Rate
			}
		}
	}
	minimum := g.minShare()
	shares := map[mulberrybeam.WorkspaceName]float64{}
	if g.summary.tables != nil {
		for name := range g.summary.tables.Workspaces {
			shares[name] = minimum
		}
	}
	for name, rate := range own {
		if rate > 0 {
			shares[name] = rate / total[name]
		}
	}
	g.summary.links, g.summary.shares = links, shares
	g.summary.stale = false
	g.emit(mulberrybeam.PublishSnapshot{})
}

// recomputeCrashes adds up the stored crash counts of each fingerprint. Facts
// with a count of 0 clear an earlier one. The target is that of the fact that
// arrived last.
func (g *Gossiper) recomputeCrashes() {
	crashes := map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact{}
	latest := map[mulberrybeam.Fingerprint]uint64{}
	for _, entry := range g.facts.byKey {
		fact := entry.fact.Crash
		if fact == nil || fact.Count == 0 {
			continue
		}
		sum := crashes[fact.Fingerprint]
		sum.Fingerprint = fact.Fingerprint
		sum.Count += fact.Count
		if entry.arrival >= latest[fact.Fingerprint] {
			latest[fact.Fingerprint] = entry.arrival
			sum.Target = fact.Target
		}
		crashes[fact.Fingerprint] = sum
	}
	g.summary.crashes = crashes
}

func sortedKeys[K ~string](rates map[K]float64) []K {
	keys := make([]K, 0, len(rates))
	for key := range rates {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
