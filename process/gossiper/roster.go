package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// relayCount is the number of relays of a zone.
	relayCount = 2
	// relayHolds is how long a relay of another zone is kept without an
	// increase of its heartbeat. Most processes hear of it only by full
	// comparisons.
	relayHolds = time.Minute
	// forgetLost is how long a dead member is tried again, which covers
	// partitions of an hour. forgetLeft is how long a member is kept that
	// left or whose host runs a newer process.
	forgetLost = 2 * time.Hour
	forgetLeft = 10 * time.Minute
	// supersededAfter is how much longer a process may be silent than
	// another process of the same host. The heartbeat of a process that
	// ended goes on rising at its peers until gossip has spread it.
	supersededAfter = SuspectAfter
)

// known is a member with the time of its last sign of life.
type known struct {
	mulberrybeam.Member
	// short is its short id.
	short mulberrybeam.ProcessID
	// risenAt is when its heartbeat last rose, in local time.
	risenAt time.Duration
	// heardAt is risenAt without the time that was excused.
	heardAt time.Duration
	// sends is the number of exchanges that still carry the whole record.
	sends int
	// superseded says that a newer process runs on its host.
	superseded bool
	// avoidUntil is set when it failed to answer.
	avoidUntil time.Duration
}

// roster keeps members in the order of their ids, so that random choices
// depend on the seed only.
type roster struct {
	byID  map[mulberrybeam.ProcessID]*known
	order []mulberrybeam.ProcessID
	// byShort has the empty id where two members share a short id.
	byShort map[mulberrybeam.ProcessID]mulberrybeam.ProcessID
}

func newRoster() roster {
	return roster{
		byID:    map[mulberrybeam.ProcessID]*known{},
		byShort: map[mulberrybeam.ProcessID]mulberrybeam.ProcessID{},
	}
}

func (r *roster) add(member mulberrybeam.Member, now time.Duration) *known {
	added := &known{Member: member, risenAt: now, heardAt: now, sends: transmitBudget}
	r.insert(added)
	return added
}

func (r *roster) insert(member *known) {
	r.byID[member.ID] = member
	member.short = shortID(member.ID)
	if _, taken := r.byShort[member.short]; taken {
		r.byShort[member.short] = ""
	} else {
		r.byShort[member.short] = member.ID
	}
	at, _ := slices.BinarySearch(r.order, member.ID)
	r.order = slices.Insert(r.order, at, member.ID)
}

func (r *roster) remove(id mulberrybeam.ProcessID) {
	delete(r.byID, id)
	if short := shortID(id); r.byShort[short] == id {
		delete(r.byShort, short)
	}
	at, found := slices.BinarySearch(r.order, id)
	if found {
		r.order = slices.Delete(r.order, at, at+1)
	}
}

// all returns the members in the order of their ids.
func (r *roster) all() []*known {
	list := make([]*known, len(r.order))
	for i, id := range r.order {
		list[i] = r.byID[id]
	}
	return list
}

// shortMark starts a short id. Process ids start with a host name.
const shortMark = "\x00"

// shortID is a hash of an id. Rows about members that the other side knows
// carry it, since ids of 20 to 40 bytes would make up most of an exchange.
func shortID(id mulberrybeam.ProcessID) mulberrybeam.ProcessID {
	short := binary.BigEndian.AppendUint32([]byte(shortMark), uint32(xxhash.Sum64String(string(id))))
	return mulberrybeam.ProcessID(short)
}

// expand completes short rows and leaves out those whose short id is unknown
// or shared. Full comparisons carry whole rows.
func (g *Gossiper) expand(rows []mulberrybeam.Member, revision mulberrybeam.Revision) []mulberrybeam.Member {
	expanded := make([]mulberrybeam.Member, 0, len(rows))
	for _, row := range rows {
		if strings.HasPrefix(string(row.ID), shortMark) {
			row.ID = g.members.byShort[row.ID]
			if row.Revision == 0 {
				row.Revision = revision
			}
			if member := g.members.byID[row.ID]; member != nil {
				row.Heartbeat = nearest(row.Heartbeat, member.Heartbeat)
			}
		}
		if row.ID != "" {
			expanded = append(expanded, row)
		}
	}
	return expanded
}

// heartbeatCycle is the number of heartbeats that a short row tells apart. It
// is 18 hours, far above the seconds by which two processes differ, and takes
// three bytes where a whole heartbeat takes five.
const heartbeatCycle = 1 << 16

// nearest is the heartbeat closest to the known one that has the same place in
// its cycle.
func nearest(place, knownBeat uint64) uint64 {
	closest := int64(knownBeat) + int64(int16(uint16(place)-uint16(knownBeat)))
	if closest < 0 {
		return place
	}
	return uint64(closest)
}

// RelaysOf returns the ids of a zone's relays, given its members: the two
// with the first rendezvous rank among those alive.
func RelaysOf(zone mulberrybeam.ZoneName, members []mulberrybeam.Member) []mulberrybeam.ProcessID {
	var alive []mulberrybeam.ProcessID
	for _, member := range members {
		if member.Zone == zone && member.State == mulberrybeam.MemberAlive {
			alive = append(alive, member.ID)
		}
	}
	return ranker.Top(string(zone), alive, relayCount)
}

// merge takes in a row about a process and says whether it was news.
func (g *Gossiper) merge(row mulberrybeam.Member) bool {
	if row.ID == g.self.ID {
		// Only an earlier process with the same id can be ahead.
		g.self.Heartbeat = max(g.self.Heartbeat, row.Heartbeat)
		return false
	}
	roster := &g.members
	if row.Zone != "" && row.Zone != g.self.Zone {
		roster = &g.relays
	}
	if row.State == "" {
		row.State = mulberrybeam.MemberAlive
	}
	existing := roster.byID[row.ID]
	if existing == nil {
		return g.mergeNew(roster, row)
	}
	if row.Heartbeat <= existing.Heartbeat || existing.State == mulberrybeam.MemberLeft {
		return false
	}
	if row.State != existing.State && row.State != mulberrybeam.MemberAlive {
		existing.sends = transmitBudget
	}
	g.changed = g.changed || row.State != existing.State || row.Revision != existing.Revision
	existing.Heartbeat, existing.Revision = row.Heartbeat, row.Revision
	existing.risenAt, existing.heardAt = g.turn.Now, g.turn.Now
	existing.State = row.State
	if row.CallerAddress != "" {
		existing.CallerAddress = row.CallerAddress
	}
	return true
}

func (g *Gossiper) mergeNew(roster *roster, row mulberrybeam.Member) bool {
	if row.Address == "" || row.State == mulberrybeam.MemberLeft {
		return false
	}
	if row.Zone == "" {
		row.Zone = g.self.Zone
	}
	roster.add(row, g.turn.Now)
	g.changed = true
	return true
}

// review brings the members' states up to date and forgets those long gone.
func (g *Gossiper) review() {
	heard := map[string]time.Duration{hostOf(g.self.ID): g.turn.Now}
	for _, member := range g.members.all() {
		heard[hostOf(member.ID)] = max(heard[hostOf(member.ID)], member.risenAt)
	}
	for _, member := range g.members.all() {
		member.superseded = member.risenAt+supersededAfter < heard[hostOf(member.ID)]
		g.judge(member)
	}
	for _, relay := range g.relays.all() {
		if g.turn.Now-relay.risenAt > forgetLeft {
			g.relays.remove(relay.ID)
			g.addSeed(relay.Member)
		}
	}
	g.active = g.activeRelays()
}

func (g *Gossiper) judge(member *known) {
	silent := g.turn.Now - member.risenAt
	left := member.State == mulberrybeam.MemberLeft
	if silent > forgetLost || silent > forgetLeft && (left || member.superseded) {
		g.members.remove(member.ID)
		return
	}
	state := member.State
	switch {
	case left:
	case silent > DeadAfter || member.superseded:
		state = mulberrybeam.MemberDead
	case silent > SuspectAfter:
		state = mulberrybeam.MemberSuspect
	}
	member.State = state
}

// addSeed keeps the address of a relay that is no longer heard of, to try it
// when the partition ends.
func (g *Gossiper) addSeed(relay mulberrybeam.Member) {
	for _, seed := range g.seeds[relay.Zone] {
		if seed.Address == relay.Address {
			return
		}
	}
	g.seeds[relay.Zone] = append(g.seeds[relay.Zone], relay)
}

// activeRelays returns the relays of each zone that were heard of last. The
// others stay in the roster for a while: without the memory of their
// heartbeats, processes would pass the record of a former relay round for ever.
func (g *Gossiper) activeRelays() roster {
	byZone := map[mulberrybeam.ZoneName][]*known{}
	for _, relay := range g.relays.all() {
		if g.turn.Now-relay.risenAt <= relayHolds && relay.State != mulberrybeam.MemberLeft {
			byZone[relay.Zone] = append(byZone[relay.Zone], relay)
		}
	}
	active := newRoster()
	for _, relays := range byZone {
		slices.SortStableFunc(relays, func(a, b *known) int { return cmp.Compare(b.risenAt, a.risenAt) })
		for _, relay := range relays[:min(len(relays), relayCount)] {
			active.insert(relay)
		}
	}
	return active
}

// announcement is what MembersChanged said last.
type announcement struct {
	members []mulberrybeam.Member
	relays  []mulberrybeam.Member
}

// announce raises MembersChanged when a member or a state changed, and asks
// for a snapshot also when only a revision did.
func (g *Gossiper) announce() {
	g.review()
	members := append([]mulberrybeam.Member{g.self}, rows(g.members)...)
	relays := rows(g.active)
	sameMembers, sameRevisions := same(members, g.announced.members)
	sameRelays, _ := same(relays, g.announced.relays)
	if sameMembers && sameRelays && sameRevisions {
		return
	}
	if !sameMembers {
		g.noteMembers(members)
	}
	g.announced = announcement{members: members, relays: relays}
	if !sameMembers || !sameRelays {
		g.uses.stale = true
		g.emit(mulberrybeam.Raise{Event: mulberrybeam.MembersChanged{
			Members: slices.Clone(members), Relays: slices.Clone(relays),
		}})
	}
	g.emit(mulberrybeam.Publish{})
}

func (g *Gossiper) noteMembers(members []mulberrybeam.Member) {
	states := make(map[mulberrybeam.ProcessID]mulberrybeam.MemberState, len(members))
	for _, old := range g.announced.members {
		states[old.ID] = old.State
	}
	for _, member := range members {
		if states[member.ID] != member.State {
			g.note(mulberrybeam.EntryMember, string(member.ID), "state "+string(member.State))
		}
	}
}

func rows(roster roster) []mulberrybeam.Member {
	list := make([]mulberrybeam.Member, len(roster.order))
	for i, id := range roster.order {
		list[i] = roster.byID[id].Member
	}
	return list
}

func same(a, b []mulberrybeam.Member) (members, revisions bool) {
	if len(a) != len(b) {
		return false, false
	}
	revisions = true
	for i := range a {
		if a[i].ID != b[i].ID || a[i].State != b[i].State || a[i].Address != b[i].Address {
			return false, false
		}
		revisions = revisions && a[i].Revision == b[i].Revision
	}
	return true, revisions
}

// hostOf is the host part of a process id.
func hostOf(id mulberrybeam.ProcessID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}
