package gossiper

import (
	"errors"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// recheckAfter is the longest interval between two checks that this
	// process is still listed in its directory; jitter shortens it by up to a
	// third. goneAfter is how long a listed process must be down before the
	// holder of slot 0 removes its entry.
	recheckAfter = 10 * time.Minute
	goneAfter    = 10 * time.Minute
	// conflictDelay limits the random delay after a write conflict, which
	// spreads out the retries of processes that write the same object. It
	// doubles with each conflict, because all processes of a zone may restart
	// at once.
	conflictDelay = 500 * time.Millisecond
	// firstBackoff and maxBackoff limit the exponential backoff with full
	// jitter after a failed call to the object API.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// aloneBackoff replaces maxBackoff until a peer of the zone has sent its
	// facts. The process is not ready before that, and the additional calls
	// are few because few processes start during an outage.
	aloneBackoff = 4 * time.Second
)

// directory is the state of the calls to the object API about the directory
// objects. There is one object per zone, which lists the processes of the zone.
type directory struct {
	ticket   mulberrybeam.Ticket
	busy     bool
	op       mulberrybeam.ObjectOp
	next     time.Duration
	failures int
	// absent has the time since which each listed process has been down.
	absent map[mulberrybeam.ProcessID]time.Duration
}

func (g *Gossiper) directoryTick() {
	if g.decode == nil || g.directory.busy || g.turn.Now < g.directory.next {
		return
	}
	g.callDirectory(mulberrybeam.OpList, mulberrybeam.Object{Kind: mulberrybeam.ObjectDirectory})
}

func (g *Gossiper) callDirectory(op mulberrybeam.ObjectOp, object mulberrybeam.Object) {
	g.directory.ticket = mulberrybeam.Ticket(g.turn.Rand.Uint64())
	g.directory.busy, g.directory.op = true, op
	g.emit(mulberrybeam.CallObject{Op: op, Object: object, Ticket: g.directory.ticket})
}

func (g *Gossiper) directoryReplied(event mulberrybeam.ObjectReplied) {
	if !g.directory.busy || event.Ticket != g.directory.ticket {
		return
	}
	g.directory.busy = false
	if event.Err != nil {
		g.directoryFailed(event.Err)
		return
	}
	g.directory.failures = 0
	g.directory.next = g.turn.Now + recheckAfter - jitter(g.turn, recheckAfter/3)
	if g.directory.op == mulberrybeam.OpList {
		g.readDirectories(event.Items)
	}
}

// directoryFailed schedules a new listing of the directories after a failed
// call. The listing also covers a write that succeeded although its reply was
// lost, since it then contains the entry of this process.
func (g *Gossiper) directoryFailed(err error) {
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) && (failure.Code == mulberrybeam.CodeConflict || failure.Code == mulberrybeam.CodeExists) {
		g.directory.next = g.turn.Now + jitter(g.turn, conflictDelay<<min(g.directory.failures, 4))
		g.directory.failures++
		return
	}
	longest := maxBackoff
	if !g.joined {
		longest = aloneBackoff
	}
	backoff := min(longest, firstBackoff<<min(g.directory.failures, 10))
	g.directory.failures++
	g.directory.next = g.turn.Now + jitter(g.turn, backoff)
}

// readDirectories uses the processes listed for each zone as seeds, and updates
// the directory of this process's zone if its entries must change.
func (g *Gossiper) readDirectories(objects []mulberrybeam.Object) {
	own := mulberrybeam.Object{Kind: mulberrybeam.ObjectDirectory, Name: string(g.self.Zone)}
	var entries []mulberrybeam.Member
	for _, object := range objects {
		members, err := g.decode(object.Data)
		if err != nil {
			// Nothing is lost: each process of the zone writes its own
			// entry again.
			g.note(mulberrybeam.EntryPlatform, object.Name, "cannot decode directory: "+err.Error())
		}
		zone := mulberrybeam.ZoneName(object.Name)
		for i := range members {
			members[i].Zone = zone
		}
		if len(members) > 0 {
			g.seeds[zone] = append(slices.Clone(members), g.settled[zone]...)
		}
		if zone == g.self.Zone {
			own, entries = object, members
		}
	}
	wanted := g.wantedEntries(entries)
	if slices.Equal(wanted, entries) {
		return
	}
	own.Data = g.encode(wanted)
	if own.Version == "" {
		g.callDirectory(mulberrybeam.OpCreate, own)
		return
	}
	g.callDirectory(mulberrybeam.OpUpdate, own)
}

// wantedEntries returns the entries that the directory should have. The entry
// of this process replaces those of earlier processes on the same host or
// address, and is left out while the process is leaving. If this process holds
// slot 0, expired entries are removed as well.
func (g *Gossiper) wantedEntries(entries []mulberrybeam.Member) []mulberrybeam.Member {
	own := mulberrybeam.Member{ID: g.self.ID, Zone: g.self.Zone, Address: g.self.Address}
	gone := g.goneEntries(entries)
	wanted := slices.DeleteFunc(slices.Clone(entries), func(entry mulberrybeam.Member) bool {
		return entry != own && (hostOf(entry.ID) == hostOf(own.ID) || entry.Address == own.Address || gone[entry.ID])
	})
	if g.self.State == mulberrybeam.MemberAlive && !slices.Contains(wanted, own) {
		wanted = append(wanted, own)
	}
	return wanted
}

// goneEntries returns the listed processes that have been down for at least
// goneAfter. The result is empty unless this process holds slot 0.
func (g *Gossiper) goneEntries(entries []mulberrybeam.Member) map[mulberrybeam.ProcessID]bool {
	gone := map[mulberrybeam.ProcessID]bool{}
	absent := map[mulberrybeam.ProcessID]time.Duration{}
	for _, entry := range entries {
		member := g.members.byID[entry.ID]
		if entry.ID == g.self.ID || member != nil && member.State != mulberrybeam.MemberDead && member.State != mulberrybeam.MemberLeft {
			continue
		}
		since, before := g.directory.absent[entry.ID]
		if !before {
			since = g.turn.Now
		}
		if member != nil {
			since = min(since, member.risenAt)
		}
		absent[entry.ID] = since
		if g.zoneSlot > g.turn.Now && g.turn.Now-since >= goneAfter {
			gone[entry.ID] = true
		}
	}
	g.directory.absent = absent
	return gone
}
