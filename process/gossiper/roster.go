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
	// relayCount is the number of relays per zone.
	relayCount = 2
	// relayHolds is how long a relay of another zone stays active without an
	// increase of its heartbeat. Most processes receive its heartbeat only in
	// full exchanges.
	relayHolds = time.Minute
	// forgetLost is how long a dead member is kept and retried, long enough
	// for a partition of an hour. forgetLeft is how long a member is kept
	// after it left or was superseded by a newer process on its host.
	forgetLost = 2 * time.Hour
	forgetLeft = 10 * time.Minute
	// supersededAfter is how much older the last heartbeat of a process may
	// be than that of another process on the same host. The margin is needed
	// because peers still learn heartbeats of a terminated process from each
	// other for a while.
	supersededAfter = SuspectAfter
)

// known is a member with the local state of its failure detection.
type known struct {
	mulberrybeam.Member
	// short is the short id.
	short mulberrybeam.ProcessID
	// risenAt is the local time of the last heartbeat increase, moved forward
	// by later pauses of this process.
	risenAt time.Duration
	// heardAt is the same time without compensation for pauses.
	heardAt time.Duration
	// sends is the number of messages that are still to carry the complete
	// record.
	sends int
	// superseded is set when a newer process runs on the same host.
	superseded bool
	// avoidUntil is until when a relay that did not answer is not contacted.
	avoidUntil time.Duration
}

// roster is a set of members. It keeps them sorted by id, so that random choices
// are reproducible from the seed.
type roster struct {
	byID  map[mulberrybeam.ProcessID]*known
	order []mulberrybeam.ProcessID
	// byShort maps a short id to the empty id if several members share it.
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

// all returns the members sorted by id.
func (r *roster) all() []*known {
	list := make([]*known, len(r.order))
	for i, id := range r.order {
		list[i] = r.byID[id]
	}
	return list
}

// shortMark is the prefix of short ids. It cannot occur in a process id, which
// starts with a host name.
const shortMark = "\x00"

// shortID returns a hash of an id. Records of members that the receiver knows
// use it, since ids of 20 to 40 bytes would take up most of a message.
func shortID(id mulberrybeam.ProcessID) mulberrybeam.ProcessID {
	short := binary.BigEndian.AppendUint32([]byte(shortMark), uint32(xxhash.Sum64String(string(id))))
	return mulberrybeam.ProcessID(short)
}

// expand restores the ids, heartbeats and revisions of short records. It drops
// records whose short id is unknown or ambiguous; full exchanges carry complete
// records.
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

// heartbeatCycle is the modulus of heartbeats in short records. It corresponds to
// 18 hours, while the heartbeats known to two processes differ by seconds. The
// remainder takes three bytes when encoded, a full heartbeat five.
const heartbeatCycle = 1 << 16

// nearest returns the heartbeat closest to the known one that equals place
// modulo heartbeatCycle.
func nearest(place, knownBeat uint64) uint64 {
	closest := int64(knownBeat) + int64(int16(uint16(place)-uint16(knownBeat)))
	if closest < 0 {
		return place
	}
	return uint64(closest)
}

// RelaysOf returns the ids of the relays of a zone: the two of the given members
// that are alive and rank highest by rendezvous hashing.
func RelaysOf(zone mulberrybeam.ZoneName, members []mulberrybeam.Member) []mulberrybeam.ProcessID {
	var alive []mulberrybeam.ProcessID
	for _, member := range members {
		if member.Zone == zone && member.State == mulberrybeam.MemberAlive {
			alive = append(alive, member.ID)
		}
	}
	return ranker.Top(string(zone), alive, relayCount)
}

// merge applies the record of a process and reports whether it was newer than
// what was known.
func (g *Gossiper) merge(row mulberrybeam.Member) bool {
	if row.ID == g.self.ID {
		// A higher heartbeat comes from an earlier process with the same
		// id. Peers would ignore this process until it exceeds that.
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

// mergeNew adds an unknown member. It ignores records without an address and
// those of members that have left.
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

// review updates the states of all members, removes those that have been down
// for long, and selects the active relays.
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

// judge updates the state of a member, or removes it, by the time since its
// last heartbeat increase.
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

// addSeed keeps the address of a removed relay as a seed, so that its zone can be
// contacted again after a partition.
func (g *Gossiper) addSeed(relay mulberrybeam.Member) {
	for _, seed := range g.seeds[relay.Zone] {
		if seed.Address == relay.Address {
			return
		}
	}
	g.seeds[relay.Zone] = append(g.seeds[relay.Zone], relay)
}

// activeRelays returns, for each other zone, the relays with the most recent
// heartbeats. Former relays stay in the roster for a while: if processes forgot
// their heartbeats, the record of a former relay would look new and circulate
// forever.
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

// announcement has the members and relays as last published.
type announcement struct {
	members []mulberrybeam.Member
	relays  []mulberrybeam.Member
}

// announce reviews the members. It raises MembersChanged if a member, address or
// state changed, and publishes a snapshot also if only a revision did.
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
			g.note(mulberrybeam.EntryMember, string(member.ID), "state changed to "+string(member.State))
		}
	}
}

// rows returns copies of the members of a roster, sorted by id.
func rows(roster roster) []mulberrybeam.Member {
	list := make([]mulberrybeam.Member, len(roster.order))
	for i, id := range roster.order {
		list[i] = roster.byID[id].Member
	}
	return list
}

// same reports whether two sorted lists have the same members with the same
// states and addresses, and whether their revisions are equal as well.
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

// hostOf returns the host part of a process id.
func hostOf(id mulberrybeam.ProcessID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}
