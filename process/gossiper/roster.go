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
	// relaysPerZone is the number of relays per zone.
	relaysPerZone = 2
	// relayActiveTime is how long a relay of another zone stays active
	// without an increase of its heartbeat. Most processes receive its
	// heartbeat only in full exchanges.
	relayActiveTime = time.Minute
	// deadRetention is how long a dead member is kept and retried, long
	// enough for a partition of an hour. departedRetention is how long a
	// member is kept after it left or was superseded by a newer process on
	// its host.
	deadRetention     = 2 * time.Hour
	departedRetention = 10 * time.Minute
	// supersededDelay is how much older the last heartbeat of a process may
	// be than that of another process on the same host. The margin is
	// needed because peers still learn heartbeats of a terminated process
	// from each other for a while.
	supersededDelay = SuspectAfter
)

// trackedMember is a member with the local state of its failure detection.
type trackedMember struct {
	mulberrybeam.Member
	// short is the short id.
	short mulberrybeam.ProcessID
	// lastIncreaseAt is the local time of the last heartbeat increase,
	// moved forward by later pauses of this process.
	lastIncreaseAt time.Duration
	// lastHeardAt is the same time without compensation for pauses.
	lastHeardAt time.Duration
	// completeSends is the number of messages that are still to carry the
	// complete record.
	completeSends int
	// superseded is set when a newer process runs on the same host.
	superseded bool
	// avoidUntil is until when a relay that did not answer is not
	// contacted.
	avoidUntil time.Duration
}

// roster is a set of members. It keeps them sorted by id, so that random
// choices are reproducible from the seed.
type roster struct {
	byID  map[mulberrybeam.ProcessID]*trackedMember
	order []mulberrybeam.ProcessID
	// byShort maps short ids to ids. A short id that several members share
	// is mapped to the empty id.
	byShort map[mulberrybeam.ProcessID]mulberrybeam.ProcessID
}

func newRoster() roster {
	return roster{
		byID:    map[mulberrybeam.ProcessID]*trackedMember{},
		byShort: map[mulberrybeam.ProcessID]mulberrybeam.ProcessID{},
	}
}

func (r *roster) add(member mulberrybeam.Member, now time.Duration) *trackedMember {
	added := &trackedMember{Member: member, lastIncreaseAt: now, lastHeardAt: now, completeSends: transmitLimit}
	r.insert(added)
	return added
}

func (r *roster) insert(member *trackedMember) {
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
func (r *roster) all() []*trackedMember {
	list := make([]*trackedMember, len(r.order))
	for i, id := range r.order {
		list[i] = r.byID[id]
	}
	return list
}

// shortIDPrefix is the prefix of short ids. It cannot occur in a process id,
// which starts with a host name.
const shortIDPrefix = "\x00"

// shortID returns a hash of an id. Records of members that the receiver knows
// use it, since ids of 20 to 40 bytes would take up most of a message.
func shortID(id mulberrybeam.ProcessID) mulberrybeam.ProcessID {
	hash := binary.BigEndian.AppendUint32([]byte(shortIDPrefix), uint32(xxhash.Sum64String(string(id))))
	return mulberrybeam.ProcessID(hash)
}

// expandRecords restores the ids, heartbeats and revisions of short records. It
// drops records whose short id is unknown or ambiguous; full exchanges carry
// complete records.
func (g *Gossiper) expandRecords(records []mulberrybeam.Member, revision mulberrybeam.Revision) []mulberrybeam.Member {
	expanded := make([]mulberrybeam.Member, 0, len(records))
	for _, record := range records {
		if strings.HasPrefix(string(record.ID), shortIDPrefix) {
			record.ID = g.members.byShort[record.ID]
			if record.Revision == 0 {
				record.Revision = revision
			}
			if member := g.members.byID[record.ID]; member != nil {
				record.Heartbeat = nearestHeartbeat(record.Heartbeat, member.Heartbeat)
			}
		}
		if record.ID != "" {
			expanded = append(expanded, record)
		}
	}
	return expanded
}

// heartbeatCycle is the modulus of heartbeats in short records. It corresponds
// to 18 hours, while the heartbeats known to two processes differ by seconds.
// The remainder takes three bytes when encoded, a full heartbeat five.
const heartbeatCycle = 1 << 16

// nearestHeartbeat returns the heartbeat closest to the known one that equals
// the remainder modulo heartbeatCycle.
func nearestHeartbeat(remainder, reference uint64) uint64 {
	closest := int64(reference) + int64(int16(uint16(remainder)-uint16(reference)))
	if closest < 0 {
		return remainder
	}
	return uint64(closest)
}

// RelaysOf returns the ids of the relays of a zone: the two of the given
// members that are alive and rank highest by rendezvous hashing.
func RelaysOf(zone mulberrybeam.ZoneName, members []mulberrybeam.Member) []mulberrybeam.ProcessID {
	var alive []mulberrybeam.ProcessID
	for _, member := range members {
		if member.Zone == zone && member.State == mulberrybeam.MemberAlive {
			alive = append(alive, member.ID)
		}
	}
	return ranker.Top(string(zone), alive, relaysPerZone)
}

// mergeRecord applies the record of a process and reports whether it was newer
// than what was known.
func (g *Gossiper) mergeRecord(record mulberrybeam.Member) bool {
	if record.ID == g.self.ID {
		// A higher heartbeat comes from an earlier process with the
		// same id. Peers would ignore this process until it exceeds
		// that.
		g.self.Heartbeat = max(g.self.Heartbeat, record.Heartbeat)
		return false
	}
	roster := &g.members
	if record.Zone != "" && record.Zone != g.self.Zone {
		roster = &g.relays
	}
	if record.State == "" {
		record.State = mulberrybeam.MemberAlive
	}
	existing := roster.byID[record.ID]
	if existing == nil {
		return g.addMember(roster, record)
	}
	if record.Heartbeat <= existing.Heartbeat || existing.State == mulberrybeam.MemberLeft {
		return false
	}
	if record.State != existing.State && record.State != mulberrybeam.MemberAlive {
		existing.completeSends = transmitLimit
	}
	g.reviewPending = g.reviewPending || record.State != existing.State || record.Revision != existing.Revision
	existing.Heartbeat, existing.Revision = record.Heartbeat, record.Revision
	existing.lastIncreaseAt, existing.lastHeardAt = g.turn.Now, g.turn.Now
	existing.State = record.State
	if record.CallerAddress != "" {
		existing.CallerAddress = record.CallerAddress
	}
	return true
}

// addMember adds an unknown member. It ignores records without an address and
// those of members that have left.
func (g *Gossiper) addMember(roster *roster, record mulberrybeam.Member) bool {
	if record.Address == "" || record.State == mulberrybeam.MemberLeft {
		return false
	}
	if record.Zone == "" {
		record.Zone = g.self.Zone
	}
	roster.add(record, g.turn.Now)
	g.reviewPending = true
	return true
}

// reviewMembers updates the states of all members, removes those that have been
// down for long, and selects the active relays.
func (g *Gossiper) reviewMembers() {
	latest := map[string]time.Duration{hostOf(g.self.ID): g.turn.Now}
	for _, member := range g.members.all() {
		latest[hostOf(member.ID)] = max(latest[hostOf(member.ID)], member.lastIncreaseAt)
	}
	for _, member := range g.members.all() {
		member.superseded = member.lastIncreaseAt+supersededDelay < latest[hostOf(member.ID)]
		g.updateState(member)
	}
	for _, relay := range g.relays.all() {
		if g.turn.Now-relay.lastIncreaseAt > departedRetention {
			g.relays.remove(relay.ID)
			g.addSeed(relay.Member)
		}
	}
	g.activeRelays = g.selectActiveRelays()
}

// updateState derives the state of a member from the time since its last
// heartbeat increase, and removes a member that has been down for long.
func (g *Gossiper) updateState(member *trackedMember) {
	silence := g.turn.Now - member.lastIncreaseAt
	left := member.State == mulberrybeam.MemberLeft
	if silence > deadRetention || silence > departedRetention && (left || member.superseded) {
		g.members.remove(member.ID)
		return
	}
	state := member.State
	switch {
	case left:
	case silence > DeadAfter || member.superseded:
		state = mulberrybeam.MemberDead
	case silence > SuspectAfter:
		state = mulberrybeam.MemberSuspect
	}
	member.State = state
}

// addSeed keeps the address of a removed relay as a seed, so that its zone can
// be contacted again after a partition.
func (g *Gossiper) addSeed(relay mulberrybeam.Member) {
	for _, seed := range g.seeds[relay.Zone] {
		if seed.Address == relay.Address {
			return
		}
	}
	g.seeds[relay.Zone] = append(g.seeds[relay.Zone], relay)
}

// selectActiveRelays returns, for each other zone, the relays with the most
// recent heartbeats. Former relays stay in the roster for a while: if processes
// forgot their heartbeats, the record of a former relay would look new and
// circulate forever.
func (g *Gossiper) selectActiveRelays() roster {
	byZone := map[mulberrybeam.ZoneName][]*trackedMember{}
	for _, relay := range g.relays.all() {
		if g.turn.Now-relay.lastIncreaseAt <= relayActiveTime && relay.State != mulberrybeam.MemberLeft {
			byZone[relay.Zone] = append(byZone[relay.Zone], relay)
		}
	}
	active := newRoster()
	for _, relays := range byZone {
		slices.SortStableFunc(relays, func(a, b *trackedMember) int { return cmp.Compare(b.lastIncreaseAt, a.lastIncreaseAt) })
		for _, relay := range relays[:min(len(relays), relaysPerZone)] {
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

// announceChanges reviews the members. It raises MembersChanged if a member,
// address or state changed, and publishes a snapshot also if only a revision
// did.
func (g *Gossiper) announceChanges() {
	g.reviewMembers()
	members := append([]mulberrybeam.Member{g.self}, membersOf(g.members)...)
	relays := membersOf(g.activeRelays)
	sameMembers, sameRevisions := compareMembers(members, g.announced.members)
	sameRelays, _ := compareMembers(relays, g.announced.relays)
	if sameMembers && sameRelays && sameRevisions {
		return
	}
	if !sameMembers {
		g.logStateChanges(members)
	}
	g.announced = announcement{members: members, relays: relays}
	if !sameMembers || !sameRelays {
		g.summary.stale = true
		g.emit(mulberrybeam.EmitEvent{Event: mulberrybeam.MembersChanged{
			Members: slices.Clone(members), Relays: slices.Clone(relays),
		}})
	}
	g.emit(mulberrybeam.PublishSnapshot{})
}

func (g *Gossiper) logStateChanges(members []mulberrybeam.Member) {
	states := make(map[mulberrybeam.ProcessID]mulberrybeam.MemberState, len(members))
	for _, old := range g.announced.members {
		states[old.ID] = old.State
	}
	for _, member := range members {
		if states[member.ID] != member.State {
			g.logEntry(mulberrybeam.EntryMember, string(member.ID), "state changed to "+string(member.State))
		}
	}
}

// membersOf returns copies of the members of a roster, sorted by id.
func membersOf(roster roster) []mulberrybeam.Member {
	list := make([]mulberrybeam.Member, len(roster.order))
	for i, id := range roster.order {
		list[i] = roster.byID[id].Member
	}
	return list
}

// compareMembers reports whether two sorted lists have the same members with
// the same states and addresses, and whether their revisions are equal as well.
func compareMembers(a, b []mulberrybeam.Member) (members, revisions bool) {
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
