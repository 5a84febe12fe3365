package gossiper

import "mulberrybeam"

// exchangeRound increments this process's heartbeat and starts exchanges: with
// random members of the zone, with other zones if this process is a relay, and
// every few rounds with a process that is unreachable.
func (g *Gossiper) exchangeRound() {
	g.self.Heartbeat++
	g.round++
	g.nextRound = g.turn.Now + ExchangeInterval
	g.lastRound = g.turn.Now
	g.urgent = false
	full := g.round%fullEvery == 0
	peers := g.pick(g.peersOfRound())
	for _, peer := range peers {
		g.send(peer, g.offer(full))
	}
	if len(peers) == 0 || g.round%lostEvery == 0 {
		if lost, found := g.pickLost(); found {
			g.send(lost, g.offer(true))
		}
	}
	g.remoteRound()
}

// peersOfRound returns the number of members to exchange with. The relays of a
// large zone contact one fewer: they also exchange with other zones and would
// exceed their byte budget, and many other members contact them anyway.
func (g *Gossiper) peersOfRound() int {
	if len(g.announced.members) > largeZone && len(g.active.order) > 0 && g.isRelay() {
		return peersPerRound - 1
	}
	return peersPerRound
}

// pushRound sends new facts without waiting for the next round. The messages
// contain no members, so the replies contain none either.
func (g *Gossiper) pushRound() {
	g.urgent = false
	g.lastRound = g.turn.Now
	for _, peer := range g.pick(peersPerRound) {
		g.send(peer, mulberrybeam.Exchange{
			From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
			Facts: g.facts.fresh(g.turn.Now, g.exchangeBytes),
		})
	}
	if g.isRelay() {
		g.pushRemote(g.self.Revision > g.pushedRevision)
	}
	g.pushedRevision = g.self.Revision
}

// offer returns the message that starts a regular exchange. A full one contains
// complete records and a digest of the stored facts.
func (g *Gossiper) offer(full bool) mulberrybeam.Exchange {
	message := mulberrybeam.Exchange{
		From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
		Members: g.memberRows(full),
		Relays:  g.relayRows(full),
		Facts:   g.facts.fresh(g.turn.Now, g.exchangeBytes),
	}
	if full {
		message.Digest = g.facts.digest(g.turn.Now)
	}
	return message
}

func (g *Gossiper) send(peer mulberrybeam.Member, message mulberrybeam.Exchange) {
	ticket := mulberrybeam.Ticket(g.turn.Rand.Uint64())
	timeout := zoneTimeout
	if peer.Zone != g.self.Zone {
		timeout = remoteTimeout
	}
	message.Joining = !g.joined && peer.Zone == g.self.Zone
	g.pending[ticket] = exchange{to: peer.ID, zone: peer.Zone, facts: message.Facts}
	g.emit(mulberrybeam.Call{To: peer.ID, Address: peer.Address, Message: message, Ticket: ticket, Timeout: timeout})
}

// pick returns up to count random members that are neither dead nor have left.
func (g *Gossiper) pick(count int) []mulberrybeam.Member {
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

// pickLost returns a random member that is dead or has left, or a seed of this
// zone that is not a live member.
func (g *Gossiper) pickLost() (mulberrybeam.Member, bool) {
	var lost []mulberrybeam.Member
	taken := map[string]bool{g.self.Address: true}
	for _, member := range g.members.all() {
		if member.State != mulberrybeam.MemberDead && member.State != mulberrybeam.MemberLeft {
			taken[member.Address] = true
		}
	}
	for _, candidate := range append(rows(g.members), g.seeds[g.self.Zone]...) {
		if !taken[candidate.Address] {
			taken[candidate.Address] = true
			candidate.Zone = g.self.Zone
			lost = append(lost, candidate)
		}
	}
	if len(lost) == 0 {
		return mulberrybeam.Member{}, false
	}
	return lost[g.turn.Rand.IntN(len(lost))], true
}

// memberRows returns the records of this process and of the members heard from
// recently. Records are short, as rowOf describes, unless full is set or the
// member is new.
func (g *Gossiper) memberRows(full bool) []mulberrybeam.Member {
	list := []mulberrybeam.Member{row(g.self, true)}
	for _, member := range g.members.all() {
		if !g.spreads(member) {
			continue
		}
		list = append(list, g.rowOf(member, full || member.sends > 0))
		member.sends = max(0, member.sends-1)
	}
	return list
}

// spreads reports whether this process heard from a member recently enough to
// pass its record on. The time during which this process itself was paused
// counts, since what it heard before is outdated.
func (g *Gossiper) spreads(member *known) bool {
	return g.turn.Now-member.heardAt <= SuspectAfter && !member.superseded
}

// rowOf returns the record of a member. The record is complete if whole is set.
// Otherwise it is short: it has the short id, the heartbeat modulo
// heartbeatCycle, the state if not alive, and the revision if it differs from
// the sender's. A member that shares its short id with another one, or has no
// revision while the sender has one, gets its id, heartbeat and revision in full.
func (g *Gossiper) rowOf(member *known, whole bool) mulberrybeam.Member {
	list := row(member.Member, whole)
	ambiguous := g.members.byShort[member.short] != member.ID || member.Revision == 0 && g.self.Revision != 0
	if whole || ambiguous {
		return list
	}
	list.ID = member.short
	list.Heartbeat = member.Heartbeat % heartbeatCycle
	if list.Revision == g.self.Revision {
		list.Revision = 0
	}
	return list
}

// row returns a copy of a member without its zone, and without its state if it
// is alive. The addresses are included only if whole is set.
func row(member mulberrybeam.Member, whole bool) mulberrybeam.Member {
	short := mulberrybeam.Member{ID: member.ID, Heartbeat: member.Heartbeat, Revision: member.Revision}
	if member.State != mulberrybeam.MemberAlive {
		short.State = member.State
	}
	if whole {
		short.Address = member.Address
		short.CallerAddress = member.CallerAddress
	}
	return short
}

// relayRows returns the active relays of other zones: all of them if full is
// set, otherwise only the new ones.
func (g *Gossiper) relayRows(full bool) []mulberrybeam.Member {
	var list []mulberrybeam.Member
	for _, relay := range g.active.all() {
		if full || relay.sends > 0 {
			list = append(list, relay.Member)
			relay.sends = max(0, relay.sends-1)
		}
	}
	return list
}

// answer applies a received Exchange and replies with what its sender lacks.
func (g *Gossiper) answer(ticket mulberrybeam.Ticket, message mulberrybeam.Exchange) {
	if message.Zone != g.self.Zone {
		g.answerRemote(ticket, message)
		return
	}
	message.Members = g.expand(message.Members, message.Revision)
	g.mergeAll(message.Members, message.Relays)
	g.sawRevision(message.From, message.Revision)
	g.acceptAll(message.Facts, g.self.Zone)
	reply := mulberrybeam.ExchangeReply{Revision: g.self.Revision}
	if len(message.Members) > 0 {
		reply.Members = g.newerRows(message.Members)
		reply.Relays = g.relayRows(false)
	}
	if message.Joining {
		reply.Facts = choose(g.facts.byKey, g.turn.Now, joinBytes)
	} else {
		reply.Facts = g.facts.freshExcept(g.turn.Now, g.exchangeBytes, message.Facts)
	}
	if len(message.Digest) > 0 {
		facts, wanted := g.facts.compare(g.turn.Now, message.Digest, g.exchangeBytes)
		reply.Facts, reply.Wanted = append(reply.Facts, facts...), wanted
	}
	g.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

// newerRows returns the records of this process and of the members that the
// sender lacks or knows with a lower heartbeat.
func (g *Gossiper) newerRows(theirs []mulberrybeam.Member) []mulberrybeam.Member {
	heartbeats := make(map[mulberrybeam.ProcessID]uint64, len(theirs))
	for _, their := range theirs {
		heartbeats[their.ID] = their.Heartbeat
	}
	list := []mulberrybeam.Member{row(g.self, heartbeats[g.self.ID] == 0)}
	for _, member := range g.members.all() {
		heartbeat, listed := heartbeats[member.ID]
		if g.spreads(member) && heartbeat < member.Heartbeat {
			list = append(list, g.rowOf(member, !listed))
		}
	}
	return list
}

// conclude applies the reply to an Exchange, and sends the facts that the peer
// asked for.
func (g *Gossiper) conclude(event mulberrybeam.ReplyReceived) {
	sent, own := g.pending[event.Ticket]
	if !own {
		return
	}
	delete(g.pending, event.Ticket)
	reply, matches := event.Message.(mulberrybeam.ExchangeReply)
	if event.Err != nil || !matches {
		g.failed(sent)
		return
	}
	g.mergeAll(g.expand(reply.Members, reply.Revision), reply.Relays)
	g.sawRevision(sent.to, reply.Revision)
	g.acceptAll(reply.Facts, sent.zone)
	if sent.zone != g.self.Zone {
		g.delivered(sent)
	} else {
		g.joined = true
	}
	if peer, found := g.addressOf(sent.to); found && len(reply.Wanted) > 0 {
		g.send(peer, mulberrybeam.Exchange{
			From: g.self.ID, Zone: g.self.Zone, Revision: g.self.Revision,
			Facts: g.facts.wanted(g.turn.Now, reply.Wanted, g.exchangeBytes),
		})
	}
}

// failed makes pickRemote avoid a relay that did not answer.
func (g *Gossiper) failed(sent exchange) {
	if relay := g.relays.byID[sent.to]; relay != nil {
		relay.avoidUntil = g.turn.Now + avoidFor
	}
}

// mergeAll merges received records. Members whose record was newer are also
// checked for a revision higher than this process's.
func (g *Gossiper) mergeAll(members, relays []mulberrybeam.Member) {
	for _, row := range members {
		if g.merge(row) {
			g.sawRevision(row.ID, row.Revision)
		}
	}
	for _, row := range relays {
		g.merge(row)
	}
}

// sawRevision raises RevisionSeen if a peer has a higher revision than this
// process.
func (g *Gossiper) sawRevision(id mulberrybeam.ProcessID, revision mulberrybeam.Revision) {
	if revision <= g.self.Revision {
		return
	}
	if peer, found := g.addressOf(id); found {
		g.emit(mulberrybeam.Raise{Event: mulberrybeam.RevisionSeen{From: id, Address: peer.Address, Revision: revision}})
	}
}

// addressOf returns a member of this zone or a relay of another zone.
func (g *Gossiper) addressOf(id mulberrybeam.ProcessID) (mulberrybeam.Member, bool) {
	for _, roster := range []roster{g.members, g.relays} {
		if member := roster.byID[id]; member != nil {
			return member.Member, true
		}
	}
	return mulberrybeam.Member{}, false
}
