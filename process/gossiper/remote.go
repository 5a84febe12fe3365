package gossiper

import (
	"slices"
	"time"

	"mulberrybeam"
)

// relayRetryDelay is how long a relay that did not answer is not contacted.
const relayRetryDelay = 5 * time.Second

// In remoteExchangeRounds rounds the relays of a zone, together, start one
// exchange with each other zone. If there are at most maxZonesEachRound other
// zones, they start one in each round, so that load reports arrive before their
// targets count as silent.
const (
	remoteExchangeRounds = 2
	maxZonesEachRound    = 3
)

// remoteBytesRatio is the size limit of the facts that a relay sends to all
// other zones in one round, as a multiple of the limit of one message within
// its zone. The other zones share it, so that a relay's traffic does not grow
// with the number of zones.
const remoteBytesRatio = 1.5

// startRemoteExchanges starts an exchange with one relay of each other zone, if
// this process is a relay. The relays of the zone take turns.
func (g *Gossiper) startRemoteExchanges() {
	position, count := g.relayPosition()
	if position < 0 {
		g.facts.untrackZones()
		return
	}
	zones := g.otherZones()
	rounds := remoteExchangeRounds
	if len(zones) <= maxZonesEachRound {
		rounds = 1
	}
	for i, zone := range zones {
		g.facts.trackZone(zone)
		period := rounds * count
		if (g.round+i+position*rounds)%period != 0 {
			continue
		}
		if peer, found := g.pickRemote(zone); found {
			g.sendRemoteExchange(peer, g.round%roundsPerFullExchange < period)
		}
	}
}

// pushRemote contacts one relay of each other zone for which an urgent fact is
// pending, or of all other zones if newRevision is set.
func (g *Gossiper) pushRemote(newRevision bool) {
	for _, zone := range g.otherZones() {
		if !newRevision && !g.facts.hasUrgentFacts(zone) {
			continue
		}
		if peer, found := g.pickRemote(zone); found {
			g.sendRemoteExchange(peer, false)
		}
	}
}

func (g *Gossiper) sendRemoteExchange(peer mulberrybeam.Member, full bool) {
	message := mulberrybeam.Exchange{
		From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
		Relays: g.ownRelayRecords(),
		Facts:  g.facts.unsentTo(g.turn.Now, peer.Zone, g.remoteBytes()),
	}
	if full {
		message.Digest = g.facts.digest(g.turn.Now)
	}
	g.sendExchange(peer, message)
}

func (g *Gossiper) handleRemoteExchange(ticket mulberrybeam.Ticket, message mulberrybeam.Exchange) {
	g.mergeRecords(nil, message.Relays)
	g.reportRevision(message.From, message.Revision)
	g.mergeFacts(message.Facts, message.Zone)
	reply := mulberrybeam.ExchangeReply{
		Revision: g.self.Revision,
		Relays:   g.ownRelayRecords(),
		Facts:    g.facts.unsentTo(g.turn.Now, message.Zone, g.remoteBytes()),
	}
	g.facts.markDelivered(message.Zone, reply.Facts)
	if len(message.Digest) > 0 {
		facts, wanted := g.facts.compareDigest(g.turn.Now, message.Digest, g.messageBytes())
		reply.Facts, reply.Wanted = append(reply.Facts, facts...), wanted
	}
	g.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

func (g *Gossiper) markDelivered(sent pendingExchange) { g.facts.markDelivered(sent.zone, sent.facts) }

// remoteBytes returns the size limit of the facts in a message to another zone.
func (g *Gossiper) remoteBytes() int {
	share := remoteBytesRatio / float64(max(1, len(g.otherZones())))
	return int(min(share, 1) * float64(g.messageBytes()))
}

// relayPosition returns the position of this process among the relays of its
// zone, or -1 if it is not one of them, and the number of relays.
func (g *Gossiper) relayPosition() (position, count int) {
	ids := RelaysOf(g.self.Zone, g.announced.members)
	return slices.Index(ids, g.self.ID), len(ids)
}

func (g *Gossiper) isRelay() bool {
	position, _ := g.relayPosition()
	return position >= 0
}

// ownRelayRecords returns the complete records of this zone's relays, which may
// include this process.
func (g *Gossiper) ownRelayRecords() []mulberrybeam.Member {
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
	for _, relay := range g.activeRelays.byID {
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
	for _, relay := range g.activeRelays.all() {
		if relay.Zone == zone && relay.avoidUntil <= g.turn.Now {
			candidates = append(candidates, relay.Member)
		}
	}
	if len(candidates) == 0 {
		candidates = g.seeds[zone]
	}
	if len(candidates) == 0 {
		for _, relay := range g.activeRelays.all() {
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
