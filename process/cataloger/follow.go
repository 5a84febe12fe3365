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
	// pollWait is the time that a store may hold back the response to one call
	// for changes. It is well within fresh.
	pollWait = 800 * time.Millisecond
	// settle is the pause after changes, so that changes which occur close
	// together are fetched with one call.
	settle = 200 * time.Millisecond
	// waitingHosts is the number of hosts that may always have a call waiting
	// at a store, which holds a dozen calls. If there are more hosts, each
	// call waits only shortPoll, the shortest wait that does not count as a
	// probe, and the host then pauses to leave room for the others.
	waitingHosts = 10
	shortPoll    = 200 * time.Millisecond
	// refusedPause is the shortest wait after a store refused a call because
	// it had too many.
	refusedPause = 100 * time.Millisecond
	// lostPause is the wait after a call failed.
	lostPause = 400 * time.Millisecond
	// relistAfter is the time after which a store is listed again, since a few
	// events are never delivered.
	relistAfter = 15 * time.Second
	// manageInterval is the interval at which the deployment is checked for
	// added or removed stores and for replaced weights.
	manageInterval = time.Second
	// replacedFor is how long all engines must have had new weights before
	// parts of the old ones are removed. A fetch that is in progress ends
	// within this time.
	replacedFor = 1500 * time.Millisecond
	// removalTurn is the time after which the next process in order removes
	// these parts if the one before it has not.
	removalTurn = 3 * time.Second
	// maxRemoved is the maximum number of parts removed by one call.
	maxRemoved = 500
)

// Follower keeps a catalog up to date with the context stores.
type Follower struct {
	Catalog *Cataloger
	Client  mulberrybeam.PartClient
	Self    mulberrybeam.ProcessID
	// Fleet returns the latest fleet.
	Fleet func() *mulberrybeam.Fleet
	// Note records a timeline entry.
	Note func(subject, text string)
	// replacedAt is when this process first saw all engines of a model with
	// its goal's weights.
	replacedAt map[mulberrybeam.WeightGoal]time.Duration
	// feeds waits for the goroutines that follow stores.
	feeds sync.WaitGroup
}

// Run follows the deployment's stores until ctx ends. It returns after all calls
// in flight have ended.
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

// adjust starts feeds for stores that were added to the deployment and stops
// those of stores that were removed from it.
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

// follow keeps the content of one store up to date until ctx ends.
func (f *Follower) follow(ctx context.Context, address string) {
	lost := false
	for ctx.Err() == nil {
		err := f.session(ctx, address, func() {
			if lost {
				f.Note(address, "context store is reachable again")
			}
			lost = false
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Catalog.lose(address)
			if !lost {
				f.Note(address, "context store is unreachable: "+err.Error())
			}
			lost = true
			pauser.Pause(ctx, lostPause)
		}
	}
}

// session lists a store and applies its changes until the store must be listed
// again or a call fails. It calls listed after the list was applied.
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

// rhythm is the schedule on which a host asks stores for changes.
type rhythm struct {
	// wait is how long one call may wait for changes, rest the pause after
	// the call, and relist the time between two lists.
	wait, rest, relist time.Duration
}

// rhythm returns a schedule that divides the number of calls that a store can
// hold among the entry hosts.
func (f *Follower) rhythm() rhythm {
	hosts := len(f.Fleet().EntryHosts)
	if hosts <= waitingHosts {
		return rhythm{wait: pollWait, relist: relistAfter}
	}
	crowd := time.Duration(hosts) / waitingHosts
	return rhythm{wait: shortPoll, rest: time.Duration(hosts) * shortPoll / waitingHosts, relist: relistAfter * max(crowd, 1)}
}

// refused reports whether a store refused a call because it had too many.
func refused(err error) bool {
	return err != nil && mulberrybeam.CodeOf(err) == mulberrybeam.CodeOverloaded
}

// removeReplaced removes parts that were computed with replaced weights once no
// engine has those weights any more. For each store, one process does so first;
// the others follow one after the other in case it failed.
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

// remove removes parts of a model from a store that were computed with weights
// older than version.
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
		f.Note(address, "removing parts of replaced weights failed: "+err.Error())
		return
	}
	f.Catalog.removed(address, boot, keys)
	f.Note(address, fmt.Sprintf("removed %d parts of replaced weights of model %s", len(keys), model))
}

// replacedEverywhere reports whether no engine of a model has weights older than
// its goal.
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
