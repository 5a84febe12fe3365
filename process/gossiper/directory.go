package gossiper

import (
	"errors"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// directoryCheckInterval is the longest interval between two checks
	// that this process is still listed in its directory; jitter shortens
	// it by up to a third. entryRemovalDelay is how long a listed process
	// must be down before the holder of slot 0 removes its entry.
	directoryCheckInterval = 10 * time.Minute
	entryRemovalDelay      = 10 * time.Minute
	// conflictBackoff limits the random delay after a write conflict, which
	// spreads out the retries of processes that write the same object. It
	// doubles with each conflict, because all processes of a zone may
	// restart at once.
	conflictBackoff = 500 * time.Millisecond
	// initialBackoff and maxBackoff limit the exponential backoff with full
	// jitter after a failed call to the object API.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// maxJoinBackoff replaces maxBackoff until a peer of the zone has sent
	// its facts. The process is not ready before that, and the additional
	// calls are few because few processes start during an outage.
	maxJoinBackoff = 4 * time.Second
)

// directoryState is the state of the calls to the object API about the
// directory objects. There is one object per zone, which lists the processes of
// the zone.
type directoryState struct {
	ticket     mulberrybeam.Ticket
	inFlight   bool
	op         mulberrybeam.ObjectOp
	nextCallAt time.Duration
	failures   int
	// downSince has the time since which each listed process has been down.
	downSince map[mulberrybeam.ProcessID]time.Duration
}

func (g *Gossiper) pollDirectory() {
	if g.decode == nil || g.directory.inFlight || g.turn.Now < g.directory.nextCallAt {
		return
	}
	g.callDirectory(mulberrybeam.OpList, mulberrybeam.Object{Kind: mulberrybeam.ObjectDirectory})
}

func (g *Gossiper) callDirectory(op mulberrybeam.ObjectOp, object mulberrybeam.Object) {
	g.directory.ticket = mulberrybeam.Ticket(g.turn.Rand.Uint64())
	g.directory.inFlight, g.directory.op = true, op
	g.emit(mulberrybeam.CallObject{Op: op, Object: object, Ticket: g.directory.ticket})
}

func (g *Gossiper) handleDirectoryReply(event mulberrybeam.ObjectReplied) {
	if !g.directory.inFlight || event.Ticket != g.directory.ticket {
		return
	}
	g.directory.inFlight = false
	if event.Err != nil {
		g.scheduleDirectoryRetry(event.Err)
		return
	}
	g.directory.failures = 0
	g.directory.nextCallAt = g.turn.Now + directoryCheckInterval - jitter(g.turn, directoryCheckInterval/3)
	if g.directory.op == mulberrybeam.OpList {
		g.applyDirectories(event.Items)
	}
}

// scheduleDirectoryRetry schedules a new listing of the directories after a
// failed call. The listing also covers a write that succeeded although its
// reply was lost, since it then contains the entry of this process.
func (g *Gossiper) scheduleDirectoryRetry(err error) {
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) && (failure.Code == mulberrybeam.CodeConflict || failure.Code == mulberrybeam.CodeExists) {
		g.directory.nextCallAt = g.turn.Now + jitter(g.turn, conflictBackoff<<min(g.directory.failures, 4))
		g.directory.failures++
		return
	}
	limit := maxBackoff
	if !g.joined {
		limit = maxJoinBackoff
	}
	backoff := min(limit, initialBackoff<<min(g.directory.failures, 10))
	g.directory.failures++
	g.directory.nextCallAt = g.turn.Now + jitter(g.turn, backoff)
}

// applyDirectories uses the processes listed for each zone as seeds, and
// updates the directory of this process's zone if its entries must change.
func (g *Gossiper) applyDirectories(objects []mulberrybeam.Object) {
	own := mulberrybeam.Object{Kind: mulberrybeam.ObjectDirectory, Name: string(g.self.Zone)}
	var entries []mulberrybeam.Member
	for _, object := range objects {
		members, err := g.decode(object.Data)
		if err != nil {
			// Nothing is lost: each process of the zone writes its
			// own entry again.
			g.logEntry(mulberrybeam.EntryPlatform, object.Name, "cannot decode directory: "+err.Error())
		}
		zone := mulberrybeam.ZoneName(object.Name)
		for i := range members {
			members[i].Zone = zone
		}
		if len(members) > 0 {
			g.seeds[zone] = append(slices.Clone(members), g.configuredSeeds[zone]...)
		}
		if zone == g.self.Zone {
			own, entries = object, members
		}
	}
	desired := g.desiredEntries(entries)
	if slices.Equal(desired, entries) {
		return
	}
	own.Data = g.encode(desired)
	if own.Version == "" {
		g.callDirectory(mulberrybeam.OpCreate, own)
		return
	}
	g.callDirectory(mulberrybeam.OpUpdate, own)
}

// desiredEntries returns the entries that the directory should have. The entry
// of this process replaces those of earlier processes on the same host or
// address, and is left out while the process is leaving. If this process holds
// slot 0, expired entries are removed as well.
func (g *Gossiper) desiredEntries(entries []mulberrybeam.Member) []mulberrybeam.Member {
	own := mulberrybeam.Member{ID: g.self.ID, Zone: g.self.Zone, Address: g.self.Address}
	expired := g.expiredEntries(entries)
	desired := slices.DeleteFunc(slices.Clone(entries), func(entry mulberrybeam.Member) bool {
		return entry != own && (hostOf(entry.ID) == hostOf(own.ID) || entry.Address == own.Address || expired[entry.ID])
	})
	if g.self.State == mulberrybeam.MemberAlive && !slices.Contains(desired, own) {
		desired = append(desired, own)
	}
	return desired
}

// expiredEntries returns the listed processes that have been down for at least
// entryRemovalDelay. The result is empty unless this process holds slot 0.
func (g *Gossiper) expiredEntries(entries []mulberrybeam.Member) map[mulberrybeam.ProcessID]bool {
	expired := map[mulberrybeam.ProcessID]bool{}
	downSince := map[mulberrybeam.ProcessID]time.Duration{}
	for _, entry := range entries {
		member := g.members.byID[entry.ID]
		if entry.ID == g.self.ID || member != nil && member.State != mulberrybeam.MemberDead && member.State != mulberrybeam.MemberLeft {
			continue
		}
		since, wasDown := g.directory.downSince[entry.ID]
		if !wasDown {
			since = g.turn.Now
		}
		if member != nil {
			since = min(since, member.lastIncreaseAt)
		}
		downSince[entry.ID] = since
		if g.slotHeldUntil > g.turn.Now && g.turn.Now-since >= entryRemovalDelay {
			expired[entry.ID] = true
		}
	}
	g.directory.downSince = downSince
	return expired
}
