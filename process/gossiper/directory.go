package gossiper

import (
	"errors"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// recheckAfter is the time between two checks that the own entry is
	// still in the directory, and goneAfter that after which the holder of
	// slot 0 removes a process that is not live. A third of the time of
	// the checks is random.
	recheckAfter = 10 * time.Minute
	goneAfter    = 10 * time.Minute
	// conflictDelay spreads the processes that lost a race for the object.
	// It doubles with each loss, for a zone whose processes all restart.
	conflictDelay = 500 * time.Millisecond
	// firstBackoff and maxBackoff bound the full-jitter backoff after a
	// failure of the object API.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// aloneBackoff replaces maxBackoff in a process that has not heard of
	// all facts by a peer. It is not ready until it finds one, and few
	// processes start during an outage.
	aloneBackoff = 4 * time.Second
)

// directory is the state of the work on the directory objects.
type directory struct {
	ticket   mulberrybeam.Ticket
	busy     bool
	op       mulberrybeam.ObjectOp
	next     time.Duration
	failures int
	// absent is since when processes of the directory are not live.
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

// directoryFailed lists the directories again after a while. That also reads
// back a write whose answer was lost, since the list then has the own entry.
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

// readDirectories takes the processes of all zones as seeds and writes the own
// zone's directory if it needs a change.
func (g *Gossiper) readDirectories(objects []mulberrybeam.Object) {
	own := mulberrybeam.Object{Kind: mulberrybeam.ObjectDirectory, Name: string(g.self.Zone)}
	var entries []mulberrybeam.Member
	for _, object := range objects {
		members, err := g.decode(object.Data)
		if err != nil {
			// The directory holds nothing that its processes do not
			// write again.
			g.note(mulberrybeam.EntryPlatform, object.Name, "directory refused: "+err.Error())
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

// wantedEntries is the directory with this process in the place of earlier
// ones of its host, unless it is leaving, and, if this process holds slot 0, without those gone.
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
