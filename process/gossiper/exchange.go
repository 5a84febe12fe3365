package gossiper

import "mulberrybeam"

// exchangeRound increments this process's heartbeat and starts exchanges: with
// random members of the zone, with other zones if this process is a relay, and
// every few rounds with a process that is unreachable.
func (g *Gossiper) exchangeRound() {
	g.self.Heartbeat++
	g.round++
	g.nextRoundAt = g.turn.Now + ExchangeInterval
	g.lastRoundAt = g.turn.Now
	g.pushPending = false
	full := g.round%roundsPerFullExchange == 0
	peers := g.pickPeers(g.peerCount())
	for _, peer := range peers {
		g.sendExchange(peer, g.newExchange(full))
	}
	if len(peers) == 0 || g.round%roundsPerReconnect == 0 {
		if unreachable, found := g.pickUnreachable(); found {
			g.sendExchange(unreachable, g.newExchange(true))
		}
	}
	g.startRemoteExchanges()
}

// messageBytes returns the size limit of the facts in a message within the zone.
func (g *Gossiper) messageBytes() int {
	if len(g.announced.members) > largeZoneSize {
		return g.exchangeBytes
	}
	return int(smallZoneBytesRatio * float64(g.exchangeBytes))
}

// peerCount returns the number of members to exchange with. The relays of a
// large zone contact one fewer: they also exchange with other zones and would
// exceed their byte budget, and many other members contact them anyway.
func (g *Gossiper) peerCount() int {
	if len(g.announced.members) > largeZoneSize && len(g.activeRelays.order) > 0 && g.isRelay() {
		return peersPerRound - 1
	}
	return peersPerRound
}

// pushRound sends new facts without waiting for the next round. The messages
// contain no members, so the replies contain none either.
func (g *Gossiper) pushRound() {
	g.pushPending = false
	g.lastRoundAt = g.turn.Now
	for _, peer := range g.pickPeers(peersPerRound) {
		g.sendExchange(peer, mulberrybeam.Exchange{
			From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
			Facts: g.facts.nextFacts(g.turn.Now, g.messageBytes()),
		})
	}
	if g.isRelay() {
		g.pushRemote(g.self.Revision > g.pushedRevision)
	}
	g.pushedRevision = g.self.Revision
}

// newExchange returns the message that starts a regular exchange. A full one
// contains complete records and a digest of the stored facts.
func (g *Gossiper) newExchange(full bool) mulberrybeam.Exchange {
	message := mulberrybeam.Exchange{
		From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
		Members: g.memberRecords(full),
		Relays:  g.relayRecords(full),
		Facts:   g.facts.nextFacts(g.turn.Now, g.messageBytes()),
	}
	if full {
		message.Digest = g.facts.digest(g.turn.Now)
	}
	return message
}

func (g *Gossiper) sendExchange(peer mulberrybeam.Member, message mulberrybeam.Exchange) {
	ticket := mulberrybeam.Ticket(g.turn.Rand.Uint64())
	timeout := zoneTimeout
	if peer.Zone != g.self.Zone {
		timeout = remoteTimeout
	}
	message.Joining = !g.joined && peer.Zone == g.self.Zone
	g.pendingExchanges[ticket] = pendingExchange{to: peer.ID, zone: peer.Zone, facts: message.Facts}
	g.emit(mulberrybeam.Call{To: peer.ID, Address: peer.Address, Message: message, Ticket: ticket, Timeout: timeout})
}

// pickPeers returns up to count random members that are neither dead nor have
// left.
func (g *Gossiper) pickPeers(count int) []mulberrybeam.Member {
	var candidates []mulberrybeam.Member
	for _, member := range g.members.all() {
		if member.State != mulberrybeam.MemberDead && member.State != mulberrybeam.MemberLeft {
			candidates = append(candidates, member.Member)
		}
	}
	for i := range min(count, len(candidates)) {
		j := i + g.turn.Rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:min(count, len(candidates))]
}

// pickUnreachable returns a random member that is dead or has left, or a seed
// of this zone that is not a live member.
func (g *Gossiper) pickUnreachable() (mulberrybeam.Member, bool) {
	var unreachable []mulberrybeam.Member
	excluded := map[string]bool{g.self.Address: true}
	for _, member := range g.members.all() {
		if member.State != mulberrybeam.MemberDead && member.State != mulberrybeam.MemberLeft {
			excluded[member.Address] = true
		}
	}
	for _, candidate := range append(membersOf(g.members), g.seeds[g.self.Zone]...) {
		if !excluded[candidate.Address] {
			excluded[candidate.Address] = true
			candidate.Zone = g.self.Zone
			unreachable = append(unreachable, candidate)
		}
	}
	if len(unreachable) == 0 {
		return mulberrybeam.Member{}, false
	}
	return unreachable[g.turn.Rand.IntN(len(unreachable))], true
}

// memberRecords returns the records of this process and of the members that
// were in contact recently. Records are short, as recordOf describes, unless full is set
// or the member is new.
func (g *Gossiper) memberRecords(full bool) []mulberrybeam.Member {
	list := []mulberrybeam.Member{newRecord(g.self, true)}
	for _, member := range g.members.all() {
		if !g.recentlyHeard(member) {
			continue
		}
		list = append(list, g.recordOf(member, full || member.completeSends > 0))
		member.completeSends = max(0, member.completeSends-1)
	}
	return list
}

// recentlyHeard reports whether this process heard from a member recently
// enough to pass its record on. The time during which this process itself was
// paused counts, since what it heard before is outdated.
func (g *Gossiper) recentlyHeard(member *trackedMember) bool {
	return g.turn.Now-member.lastHeardAt <= SuspectAfter && !member.superseded
}

// recordOf returns the record of a member. Unless complete is set, the record
// is short: it has the short id, the heartbeat modulo heartbeatCycle, the state
// if not alive, and the revision if it differs from the sender's. If another
// member has the same short id, or the sender has a revision and the member has
// none, the record has the id, heartbeat and revision in full.
func (g *Gossiper) recordOf(member *trackedMember, complete bool) mulberrybeam.Member {
	record := newRecord(member.Member, complete)
	ambiguous := g.members.byShort[member.short] != member.ID || member.Revision == 0 && g.self.Revision != 0
	if complete || ambiguous {
		return record
	}
	record.ID = member.short
	record.Heartbeat = member.Heartbeat % heartbeatCycle
	if record.Revision == g.self.Revision {
		record.Revision = 0
	}
	return record
}

// newRecord returns a copy of a member without its zone, and without its state
// if it is alive. The addresses are included only if complete is set.
func newRecord(member mulberrybeam.Member, complete bool) mulberrybeam.Member {
	record := mulberrybeam.Member{ID: member.ID, Heartbeat: member.Heartbeat, Revision: member.Revision}
	if member.State != mulberrybeam.MemberAlive {
		record.State = member.State
	}
	if complete {
		record.Address = member.Address
		record.CallerAddress = member.CallerAddress
	}
	return record
}

// relayRecords returns the active relays of other zones: all of them if full is
// set, otherwise only the new ones.
func (g *Gossiper) relayRecords(full bool) []mulberrybeam.Member {
	var list []mulberrybeam.Member
	for _, relay := range g.activeRelays.all() {
		if full || relay.completeSends > 0 {
			list = append(list, relay.Member)
			relay.completeSends = max(0, relay.completeSends-1)
		}
	}
	return list
}

// handleExchange applies a received Exchange and replies with what its sender
// lacks.
func (g *Gossiper) handleExchange(ticket mulberrybeam.Ticket, message mulberrybeam.Exchange) {
	if message.Zone != g.self.Zone {
		g.handleRemoteExchange(ticket, message)
		return
	}
	message.Members = g.expandRecords(message.Members, message.Revision)
	g.mergeRecords(message.Members, message.Relays)
	g.reportRevision(message.From, message.Revision)
	g.mergeFacts(message.Facts, g.self.Zone)
	reply := mulberrybeam.ExchangeReply{Revision: g.self.Revision}
	if len(message.Members) > 0 {
		reply.Members = g.newerRecords(message.Members)
		reply.Relays = g.relayRecords(false)
	}
	if message.Joining {
		reply.Facts = selectFacts(g.facts.byKey, g.turn.Now, maxJoinBytes, nil)
	} else {
		reply.Facts = g.facts.nextFactsExcept(g.turn.Now, g.messageBytes(), message.Facts)
	}
	if len(message.Digest) > 0 {
		facts, wanted := g.facts.compareDigest(g.turn.Now, message.Digest, g.messageBytes())
		reply.Facts, reply.Wanted = append(reply.Facts, facts...), wanted
	}
	g.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

// newerRecords returns the records of this process and of the members that the
// sender lacks or knows with a lower heartbeat.
func (g *Gossiper) newerRecords(received []mulberrybeam.Member) []mulberrybeam.Member {
	heartbeats := make(map[mulberrybeam.ProcessID]uint64, len(received))
	for _, record := range received {
		heartbeats[record.ID] = record.Heartbeat
	}
	list := []mulberrybeam.Member{newRecord(g.self, heartbeats[g.self.ID] == 0)}
	for _, member := range g.members.all() {
		heartbeat, listed := heartbeats[member.ID]
		if g.recentlyHeard(member) && heartbeat < member.Heartbeat {
			list = append(list, g.recordOf(member, !listed))
		}
	}
	return list
}

// handleExchangeReply applies the reply to an Exchange, and sends the facts
// that the peer asked for.
func (g *Gossiper) handleExchangeReply(event mulberrybeam.ReplyReceived) {
	sent, expected := g.pendingExchanges[event.Ticket]
	if !expected {
		return
	}
	delete(g.pendingExchanges, event.Ticket)
	reply, matches := event.Message.(mulberrybeam.ExchangeReply)
	if event.Err != nil || !matches {
		g.avoidRelay(sent)
		return
	}
	g.mergeRecords(g.expandRecords(reply.Members, reply.Revision), reply.Relays)
	g.reportRevision(sent.to, reply.Revision)
	g.mergeFacts(reply.Facts, sent.zone)
	if sent.zone != g.self.Zone {
		g.markDelivered(sent)
	} else {
		g.joined = true
	}
	if peer, found := g.findMember(sent.to); found && len(reply.Wanted) > 0 {
		g.sendExchange(peer, mulberrybeam.Exchange{
			From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
			Facts: g.facts.lookup(g.turn.Now, reply.Wanted, g.messageBytes()),
		})
	}
}

// avoidRelay makes pickRemote avoid a relay that did not answer.
func (g *Gossiper) avoidRelay(sent pendingExchange) {
	if relay := g.relays.byID[sent.to]; relay != nil {
		relay.avoidUntil = g.turn.Now + relayRetryDelay
	}
}

// mergeRecords merges received records. Members whose record was newer are also
// checked for a revision higher than this process's.
func (g *Gossiper) mergeRecords(members, relays []mulberrybeam.Member) {
	for _, record := range members {
		if g.mergeRecord(record) {
			g.reportRevision(record.ID, record.Revision)
		}
	}
	for _, record := range relays {
		g.mergeRecord(record)
	}
}

// reportRevision raises RevisionSeen if a peer has a higher revision than this
// process.
func (g *Gossiper) reportRevision(id mulberrybeam.ProcessID, revision mulberrybeam.Revision) {
	if revision <= g.self.Revision {
		return
	}
	if peer, found := g.findMember(id); found {
		g.emit(mulberrybeam.EmitEvent{Event: mulberrybeam.RevisionSeen{From: id, Address: peer.Address, Revision: revision}})
	}
}

// findMember returns a member of this zone or a relay of another zone.
func (g *Gossiper) findMember(id mulberrybeam.ProcessID) (mulberrybeam.Member, bool) {
	for _, roster := range []roster{g.members, g.relays} {
		if member := roster.byID[id]; member != nil {
			return member.Member, true
		}
	}
	return mulberrybeam.Member{}, false
}
