package cataloger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/request/fetcher"
	"mulberrybeam/version/ranker"
)

const (
	// pollWait is the longest time that one call for changes waits. It is
	// well within fresh.
	pollWait = 800 * time.Millisecond
	// settle lets changes that come together cost one call.
	settle = 200 * time.Millisecond
	// waitingHosts is how many hosts may wait at a store all the time, out of
	// the dozen calls that it holds. With more hosts each waits shortPoll,
	// the shortest that is not a probe, and then leaves room for the others.
	waitingHosts = 10
	shortPoll    = 200 * time.Millisecond
	// refusedPause is the wait after a call that the store had no room for.
	refusedPause = 100 * time.Millisecond
	// lostPause is the wait after a call that failed.
	lostPause = 400 * time.Millisecond
	// relistAfter is when a store is listed anew, since a few events never
	// arrive.
	relistAfter = 15 * time.Second
	// manageInterval is the time between two looks at the deployment and at
	// replaced weights.
	manageInterval = time.Second
	// replacedFor is how long all engines must have new weights before
	// context of the old ones is removed. A fetch takes less.
	replacedFor = 1500 * time.Millisecond
	// removalTurn is the time after which the next process removes it.
	removalTurn = 3 * time.Second
	// maxRemoved bounds the parts of one call.
	maxRemoved = 500
)

// Follower keeps a catalog up to date.
type Follower struct {
	Catalog *Cataloger
	Client  mulberrybeam.PartClient
	Self    mulberrybeam.ProcessID
	// Fleet returns the latest fleet.
	Fleet func() *mulberrybeam.Fleet
	Note  func(subject, text string)
	// replacedAt is since when all engines of a model have its weights.
	replacedAt map[mulberrybeam.WeightGoal]time.Duration
	// feeds are the goroutines that follow stores.
	feeds sync.WaitGroup
}

// Run follows the deployment's stores until ctx ends. It returns when no call is
// in flight any more.
func (f *Follower) Run(ctx context.Context) {
	f.replacedAt = map[mulberrybeam.WeightGoal]time.Duration{}
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	defer f.feeds.Wait()
	for {
		select {
		case <-ctx.Done():
			for _, stop := range running {
				stop()
			}
			return
		case <-ticker.C:
		}
		fleet := f.Fleet()
		if fleet == nil || !fleet.Complete {
			continue
		}
		f.adjust(ctx, fleet, running)
		f.Catalog.sweep()
		f.removeReplaced(ctx, fleet)
	}
}

// adjust starts feeds of new stores and ends those of stores that are gone.
func (f *Follower) adjust(ctx context.Context, fleet *mulberrybeam.Fleet, running map[string]context.CancelFunc) {
	declared := map[string]bool{}
	for _, store := range fleet.ContextStores {
		declared[store.Address] = true
		if running[store.Address] != nil {
			continue
		}
		feed, stop := context.WithCancel(ctx)
		running[store.Address] = stop
		f.Catalog.track(store)
		f.feeds.Go(func() { f.follow(feed, store.Address) })
	}
	for address, stop := range running {
		if !declared[address] {
			stop()
			delete(running, address)
			f.Catalog.drop(address)
		}
	}
}

// follow lists a store and applies its changes until ctx ends.
func (f *Follower) follow(ctx context.Context, address string) {
	lost := false
	for ctx.Err() == nil {
		err := f.session(ctx, address, func() {
			if lost {
				f.Note(address, "context store answers again")
			}
			lost = false
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Catalog.lose(address)
			if !lost {
				f.Note(address, "context store lost: "+err.Error())
			}
			lost = true
			pauser.Pause(ctx, lostPause)
		}
	}
}

// session lists a store and follows it until it must be listed anew, or until
// a call fails.
func (f *Follower) session(ctx context.Context, address string, listed func()) error {
	list, err := f.Client.Parts(ctx, address)
	if refused(err) {
		pauser.Pause(ctx, refusedPause+rand.N(refusedPause))
		return nil
	}
	if err != nil {
		return err
	}
	f.Catalog.replace(address, list)
	listed()
	next := list.Next
	rhythm := f.rhythm()
	for end := f.Catalog.now() + rhythm.relist; ctx.Err() == nil && f.Catalog.now() < end; {
		changes, err := f.Client.PartChanges(ctx, address, next, rhythm.wait)
		if refused(err) {
			pauser.Pause(ctx, refusedPause+rand.N(refusedPause))
			continue
		}
		if err != nil {
			return err
		}
		if !f.Catalog.apply(address, changes) {
			return nil
		}
		next = changes.Next
		if rhythm.rest > 0 || len(changes.Changes) > 0 {
			pauser.Pause(ctx, max(rhythm.rest, settle))
		}
	}
	return nil
}

// rhythm is how a host asks stores for changes.
type rhythm struct {
	// wait is how long one call waits, rest the pause after it, and relist
	// the time between two lists.
	wait, rest, relist time.Duration
}

// rhythm shares the calls that a store holds between the entry hosts.
func (f *Follower) rhythm() rhythm {
	hosts := len(f.Fleet().EntryHosts)
	if hosts <= waitingHosts {
		return rhythm{wait: pollWait, relist: relistAfter}
	}
	crowd := time.Duration(hosts) / waitingHosts
	return rhythm{wait: shortPoll, rest: time.Duration(hosts) * shortPoll / waitingHosts, relist: relistAfter * max(crowd, 1)}
}

// refused says whether a store had no room for a call.
func refused(err error) bool {
	return err != nil && mulberrybeam.CodeOf(err) == mulberrybeam.CodeOverloaded
}

// removeReplaced removes context of replaced weights once no engine has them.
// One process does it for each store, and the others follow after a while.
func (f *Follower) removeReplaced(ctx context.Context, fleet *mulberrybeam.Fleet) {
	now := f.Catalog.now()
	for model, goal := range fleet.Weights {
		if !replacedEverywhere(fleet, goal) {
			delete(f.replacedAt, goal)
			continue
		}
		since, known := f.replacedAt[goal]
		if !known {
			f.replacedAt[goal] = now
			continue
		}
		for _, store := range fleet.ContextStores {
			order := ranker.Top(store.Address, fleet.EntryHosts, len(fleet.EntryHosts))
			turn := max(slices.Index(order, f.Self), 0)
			if now-since < replacedFor+time.Duration(turn)*removalTurn {
				continue
			}
			f.remove(ctx, store.Address, model, goal.Version)
		}
	}
}

func (f *Follower) remove(ctx context.Context, address string, model mulberrybeam.ModelName, version int) {
	keys, boot := f.Catalog.selectParts(address, func(key mulberrybeam.PartKey) bool {
		made, ours := fetcher.VersionOf(key.Salt)
		return key.Model == model && ours && made < version
	})
	if len(keys) == 0 {
		return
	}
	keys = keys[:min(len(keys), maxRemoved)]
	if err := f.Client.FreeParts(ctx, address, boot, keys); err != nil {
		f.Note(address, "context of replaced weights not removed: "+err.Error())
		return
	}
	f.Catalog.removed(address, boot, keys)
	f.Note(address, fmt.Sprintf("%d parts of replaced weights of %s removed", len(keys), model))
}

// replacedEverywhere says whether all engines of a model have its weights.
func replacedEverywhere(fleet *mulberrybeam.Fleet, goal mulberrybeam.WeightGoal) bool {
	for _, targets := range fleet.Targets {
		for _, target := range targets {
			if version, serves := target.Versions[goal.Model]; serves && version < goal.Version {
				return false
			}
		}
	}
	return true
}
