package gossiper

import (
	"slices"
	"time"

	"mulberrybeam"
)

// avoidFor is how long a relay that did not answer is not contacted.
const avoidFor = 5 * time.Second

// remoteRounds is the number of rounds in which the relays of a zone, together,
// start one exchange with each other zone. Since both zones of a pair start one
// every 2 s, the pair exchanges once per second on average.
const remoteRounds = 2

// remoteShare divides the size limit of the facts in messages to other zones. A
// relay sends and receives up to 12 such messages per second in addition to
// those within its zone.
const remoteShare = 4

// remoteRound starts an exchange with one relay of each other zone, if this
// process is a relay. The relays of the zone take turns.
func (g *Gossiper) remoteRound() {
	turn, relays := g.relayTurn()
	if turn < 0 {
		g.facts.stopRemote()
		return
	}
	for i, zone := range g.otherZones() {
		g.facts.startRemote(zone)
		period := remoteRounds * relays
		if (g.round+i+turn*remoteRounds)%period != 0 {
			continue
		}
		if peer, found := g.pickRemote(zone); found {
			g.sendRemote(peer, g.round%fullEvery < period)
		}
	}
}

// pushRemote contacts one relay of each other zone for which an urgent fact is
// pending, or of all other zones if revised is set.
func (g *Gossiper) pushRemote(revised bool) {
	for _, zone := range g.otherZones() {
		if !revised && !g.facts.waits(zone) {
			continue
		}
		if peer, found := g.pickRemote(zone); found {
			g.sendRemote(peer, false)
		}
	}
}

func (g *Gossiper) sendRemote(peer mulberrybeam.Member, full bool) {
	message := mulberrybeam.Exchange{
		From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
		Relays: g.ownRelayRows(),
		Facts:  g.facts.remote(g.turn.Now, peer.Zone, g.exchangeBytes/remoteShare),
	}
	if full {
		message.Digest = g.facts.digest(g.turn.Now)
	}
	g.send(peer, message)
}

func (g *Gossiper) answerRemote(ticket mulberrybeam.Ticket, message mulberrybeam.Exchange) {
	g.mergeAll(nil, message.Relays)
	g.sawRevision(message.From, message.Revision)
	g.acceptAll(message.Facts, message.Zone)
	reply := mulberrybeam.ExchangeReply{
		Revision: g.self.Revision,
		Relays:   g.ownRelayRows(),
		Facts:    g.facts.remote(g.turn.Now, message.Zone, g.exchangeBytes/remoteShare),
	}
	g.facts.deliveredRemote(message.Zone, reply.Facts)
	if len(message.Digest) > 0 {
		facts, wanted := g.facts.compare(g.turn.Now, message.Digest, g.exchangeBytes)
		reply.Facts, reply.Wanted = append(reply.Facts, facts...), wanted
	}
	g.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

func (g *Gossiper) delivered(sent exchange) { g.facts.deliveredRemote(sent.zone, sent.facts) }

// relayTurn returns the position of this process among the relays of its zone,
// or -1 if it is not one of them, and the number of relays.
func (g *Gossiper) relayTurn() (turn, relays int) {
	ids := RelaysOf(g.self.Zone, g.announced.members)
	return slices.Index(ids, g.self.ID), len(ids)
}

func (g *Gossiper) isRelay() bool {
	turn, _ := g.relayTurn()
	return turn >= 0
}

// ownRelayRows returns the complete records of this zone's relays, which may
// include this process.
func (g *Gossiper) ownRelayRows() []mulberrybeam.Member {
	var list []mulberrybeam.Member
	for _, id := range RelaysOf(g.self.Zone, g.announced.members) {
		if member := g.members.byID[id]; member != nil {
			list = append(list, member.Member)
		} else if id == g.self.ID {
			list = append(list, g.self)
		}
	}
	return list
}

// otherZones returns the other zones that have a seed or an active relay.
func (g *Gossiper) otherZones() []mulberrybeam.ZoneName {
	zones := []mulberrybeam.ZoneName{}
	for zone := range g.seeds {
		zones = append(zones, zone)
	}
	for _, relay := range g.active.byID {
		zones = append(zones, relay.Zone)
	}
	slices.Sort(zones)
	return slices.DeleteFunc(slices.Compact(zones), func(zone mulberrybeam.ZoneName) bool { return zone == g.self.Zone })
}

// pickRemote returns a random active relay of another zone. If there is none or
// all are being avoided, it returns a seed of that zone instead, and without
// seeds a relay that is being avoided.
func (g *Gossiper) pickRemote(zone mulberrybeam.ZoneName) (mulberrybeam.Member, bool) {
	var candidates []mulberrybeam.Member
	for _, relay := range g.active.all() {
		if relay.Zone == zone && relay.avoidUntil <= g.turn.Now {
			candidates = append(candidates, relay.Member)
		}
	}
	if len(candidates) == 0 {
		candidates = g.seeds[zone]
	}
	if len(candidates) == 0 {
		for _, relay := range g.active.all() {
			if relay.Zone == zone {
				candidates = append(candidates, relay.Member)
			}
		}
	}
	if len(candidates) == 0 {
		return mulberrybeam.Member{}, false
	}
	picked := candidates[g.turn.Rand.IntN(len(candidates))]
	picked.Zone = zone
	return picked, true
}
