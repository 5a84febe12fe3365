package gossiper

import (
	"slices"
	"time"

	"mulberrybeam"
)

// relayRetryDelay is how long a relay that did not answer is not contacted.
const relayRetryDelay = 5 * time.Second

// remoteExchangeRounds is the number of rounds in which the relays of a zone,
// together, start one exchange with each other zone. Since both zones of a pair
// start one every 2 s, the pair exchanges once per second on average.
const remoteExchangeRounds = 2

// remoteSizeDivisor divides the size limit of the facts in messages to other
// zones. A relay sends and receives up to 12 such messages per second in
// addition to those within its zone.
const remoteSizeDivisor = 4

// startRemoteExchanges starts an exchange with one relay of each other zone, if
// this process is a relay. The relays of the zone take turns.
func (g *Gossiper) startRemoteExchanges() {
	position, count := g.relayPosition()
	if position < 0 {
		g.facts.untrackZones()
		return
	}
	for i, zone := range g.otherZones() {
		g.facts.trackZone(zone)
		period := remoteExchangeRounds * count
		if (g.round+i+position*remoteExchangeRounds)%period != 0 {
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
		Facts:  g.facts.unsentTo(g.turn.Now, peer.Zone, g.exchangeBytes/remoteSizeDivisor),
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
		Facts:    g.facts.unsentTo(g.turn.Now, message.Zone, g.exchangeBytes/remoteSizeDivisor),
	}
	g.facts.markDelivered(message.Zone, reply.Facts)
	if len(message.Digest) > 0 {
		facts, wanted := g.facts.compareDigest(g.turn.Now, message.Digest, g.exchangeBytes)
		reply.Facts, reply.Wanted = append(reply.Facts, facts...), wanted
	}
	g.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

func (g *Gossiper) markDelivered(sent pendingExchange) { g.facts.markDelivered(sent.zone, sent.facts) }

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
