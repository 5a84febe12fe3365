package gossiper

import (
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// useTTL is how long a statement of the own use holds, and useRestate
	// the time after which it is repeated although it did not change much.
	useTTL     = 10 * time.Second
	useRestate = 4 * time.Second
	// useChange is the relative change that is stated at once.
	useChange = 0.2
	// statedShare is the part of a process's floor share of a workspace's
	// limit from which on its demand is stated. A process below it does not
	// need more than the floor, and 2,200 workspaces at each of 380
	// processes would exceed the budget.
	statedShare = 0.5
)

// uses is what facts say of crashes, links and workspaces. The maps are
// replaced and never written to after a snapshot may hold them.
type uses struct {
	tables  *mulberrybeam.Tables
	stated  map[factKey]statement
	crashes map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact
	links   map[mulberrybeam.StoreID]float64
	shares  map[mulberrybeam.WorkspaceName]float64
	stale   bool
}

// statement is the last statement of an own rate.
type statement struct {
	rate float64
	at   time.Duration
}

func newUses() uses {
	return uses{
		stated:  map[factKey]statement{},
		crashes: map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact{},
		links:   map[mulberrybeam.StoreID]float64{},
		shares:  map[mulberrybeam.WorkspaceName]float64{},
	}
}

// state spreads a statement of this process. It is stamped unless its maker
// did so.
func (g *Gossiper) state(fact mulberrybeam.Fact) {
	if fact.Stamp == (mulberrybeam.Stamp{}) {
		fact.Stamp = g.stamps.Next(g.turn.Wall)
	} else {
		g.stamps.See(fact.Stamp, g.turn.Wall)
	}
	if g.facts.accept(fact, g.turn.Now, g.self.Zone) {
		g.arrived(fact)
	}
}

// acceptAll takes in facts of a peer and raises those that are news.
func (g *Gossiper) acceptAll(facts []mulberrybeam.Fact, from mulberrybeam.ZoneName) {
	for _, fact := range facts {
		if !g.stamps.See(fact.Stamp, g.turn.Wall) {
			g.note(mulberrybeam.EntryMember, string(fact.Stamp.Process), "fact refused: its stamp is too far ahead of the wall clock")
			continue
		}
		if g.facts.accept(fact, g.turn.Now, from) {
			g.arrived(fact)
			g.emit(mulberrybeam.Raise{Event: mulberrybeam.FactChanged{Fact: fact}})
		}
	}
}

func (g *Gossiper) arrived(fact mulberrybeam.Fact) {
	g.urgent = g.urgent || priorities[fact.Kind] <= urgentPriority
	switch fact.Kind {
	case mulberrybeam.FactCrash:
		// A crash bars a request at once, not at the next review.
		g.recomputeCrashes()
		g.emit(mulberrybeam.Publish{})
	case mulberrybeam.FactLink, mulberrybeam.FactDemand:
		g.uses.stale = true
	}
}

func (g *Gossiper) expire() {
	if g.facts.expire(g.turn.Now) {
		g.uses.stale = true
		g.recomputeCrashes()
	}
}

// measure states the own use of links and workspaces.
func (g *Gossiper) measure(event mulberrybeam.UseMeasured) {
	for _, id := range sortedKeys(event.Links) {
		rate := event.Links[id]
		g.stateRate(rate, mulberrybeam.Fact{
			Kind: mulberrybeam.FactLink, Key: string(id) + "/" + string(g.self.ID), TTL: useTTL,
			Link: &mulberrybeam.LinkFact{Store: id, Process: g.self.ID, Rate: rate},
		})
	}
	for _, name := range sortedKeys(event.Workspaces) {
		rate := event.Workspaces[name]
		if rate < g.statedFrom(name) {
			rate = 0
		}
		g.stateRate(rate, mulberrybeam.Fact{
			Kind: mulberrybeam.FactDemand, Key: string(name) + "/" + string(g.self.ID), TTL: useTTL,
			Demand: &mulberrybeam.DemandFact{Workspace: name, Process: g.self.ID, Rate: rate},
		})
	}
}

// stateRate states a rate when it changed or when the last statement gets old.
// A rate of 0 is stated once.
func (g *Gossiper) stateRate(rate float64, fact mulberrybeam.Fact) {
	last, stated := g.uses.stated[keyOf(fact)]
	change := max(rate-last.rate, last.rate-rate)
	switch {
	case rate == 0 && !stated:
		return
	case change > useChange*last.rate:
	case g.turn.Now-last.at >= useRestate:
	default:
		return
	}
	if rate == 0 {
		delete(g.uses.stated, keyOf(fact))
	} else {
		g.uses.stated[keyOf(fact)] = statement{rate: rate, at: g.turn.Now}
	}
	g.state(fact)
}

func (g *Gossiper) statedFrom(name mulberrybeam.WorkspaceName) float64 {
	if g.uses.tables == nil {
		return 0
	}
	return g.uses.tables.Workspaces[name].RequestsPerSecond * g.floorShare() * statedShare
}

// floorShare is 1 / live processes. A process knows the number only of its
// own zone and takes the other zones that it hears of to be as large.
func (g *Gossiper) floorShare() float64 {
	live := 0
	for _, member := range g.announced.members {
		if member.State == mulberrybeam.MemberAlive || member.State == mulberrybeam.MemberSuspect {
			live++
		}
	}
	zones := map[mulberrybeam.ZoneName]bool{g.self.Zone: true}
	for _, relay := range g.active.byID {
		zones[relay.Zone] = true
	}
	return 1 / float64(max(1, live)*len(zones))
}

// recompute derives the use of links and the shares from the facts that hold.
//
// A process that states demand gets its part of all stated demand; one that
// does not gets the floor of 1 / live processes. Within one part of the fleet
// the shares of those that state demand add up to 1, and those of the others
// to less than 1, which they use up only until their own demand is stated and
// spread. In a partition each part divides the whole limit, so the worst
// overshoot is one full limit per part beyond the first, plus the floors.
func (g *Gossiper) recompute() {
	if !g.uses.stale {
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
	floor := g.floorShare()
	shares := map[mulberrybeam.WorkspaceName]float64{}
	if g.uses.tables != nil {
		for name := range g.uses.tables.Workspaces {
			shares[name] = floor
		}
	}
	for name, rate := range own {
		if rate > 0 {
			shares[name] = rate / total[name]
		}
	}
	g.uses.links, g.uses.shares = links, shares
	g.uses.stale = false
	g.emit(mulberrybeam.Publish{})
}

// recomputeCrashes counts the crash facts of each fingerprint that hold and
// are not cleared.
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
	g.uses.crashes = crashes
}

func sortedKeys[K ~string](rates map[K]float64) []K {
	keys := make([]K, 0, len(rates))
	for key := range rates {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
