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
	// for changes. It is well within contentTTL.
	pollWait = 800 * time.Millisecond
	// batchDelay is the pause after changes, so that changes which occur close
	// together are fetched with one call.
	batchDelay = 200 * time.Millisecond
	// maxWaitingHosts is the number of hosts that may always have a call
	// waiting at a store, which holds a dozen calls. If there are more hosts,
	// each call waits only shortPollWait, the shortest wait that does not count
	// as a probe, and the host then pauses to leave room for the others.
	maxWaitingHosts = 10
	shortPollWait   = 200 * time.Millisecond
	// overloadedPause is the shortest wait after a store refused a call because
	// it had too many.
	overloadedPause = 100 * time.Millisecond
	// retryPause is the wait after a call failed.
	retryPause = 400 * time.Millisecond
	// relistInterval is the time after which a store is listed again, since a
	// few events are never delivered.
	relistInterval = 15 * time.Second
	// reconcileInterval is the interval at which the deployment is checked for
	// added or removed stores and for replaced weights.
	reconcileInterval = time.Second
	// removalDelay is how long all engines must have had new weights before
	// parts of the old ones are removed. A fetch that is in progress ends
	// within this time.
	removalDelay = 1500 * time.Millisecond
	// takeoverDelay is the time after which the next process in order removes
	// these parts if the one before it has not.
	takeoverDelay = 3 * time.Second
	// maxRemovedParts is the maximum number of parts removed by one call.
	maxRemovedParts = 500
)

// Follower keeps a catalog up to date with the context stores.
type Follower struct {
	Catalog *Cataloger
	Client  mulberrybeam.PartClient
	Self    mulberrybeam.ProcessID
	// Fleet returns the latest fleet.
	Fleet func() *mulberrybeam.Fleet
	// RecordEntry records a timeline entry.
	RecordEntry func(subject, text string)
	// replacedSince is when this process first saw all engines of a model with
	// the desired weights.
	replacedSince map[mulberrybeam.DesiredWeights]time.Duration
	// feeds waits for the goroutines that follow stores.
	feeds sync.WaitGroup
}

// Run follows the deployment's stores until ctx ends. It returns after all
// calls in flight have ended.
func (f *Follower) Run(ctx context.Context) {
	f.replacedSince = map[mulberrybeam.DesiredWeights]time.Duration{}
	stopFeeds := map[string]context.CancelFunc{}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer f.feeds.Wait()
	for {
		select {
		case <-ctx.Done():
			for _, stop := range stopFeeds {
				stop()
			}
			return
		case <-ticker.C:
		}
		fleet := f.Fleet()
		if fleet == nil || !fleet.Complete {
			continue
		}
		f.updateFeeds(ctx, fleet, stopFeeds)
		f.Catalog.removeExpiredClaims()
		f.removeReplaced(ctx, fleet)
	}
}

// updateFeeds starts feeds for stores that were added to the deployment and
// stops those of stores that were removed from it.
func (f *Follower) updateFeeds(ctx context.Context, fleet *mulberrybeam.Fleet, stopFeeds map[string]context.CancelFunc) {
	declared := map[string]bool{}
	for _, store := range fleet.ContextStores {
		declared[store.Address] = true
		if stopFeeds[store.Address] != nil {
			continue
		}
		feedCtx, stop := context.WithCancel(ctx)
		stopFeeds[store.Address] = stop
		f.Catalog.addStore(store)
		f.feeds.Go(func() { f.followStore(feedCtx, store.Address) })
	}
	for address, stop := range stopFeeds {
		if !declared[address] {
			stop()
			delete(stopFeeds, address)
			f.Catalog.removeStore(address)
		}
	}
}

// followStore keeps the content of one store up to date until ctx ends.
func (f *Follower) followStore(ctx context.Context, address string) {
	unreachable := false
	for ctx.Err() == nil {
		err := f.listAndFollow(ctx, address, func() {
			if unreachable {
				f.RecordEntry(address, "context store is reachable again")
			}
			unreachable = false
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Catalog.discardContent(address)
			if !unreachable {
				f.RecordEntry(address, "context store is unreachable: "+err.Error())
			}
			unreachable = true
			pauser.Pause(ctx, retryPause)
		}
	}
}

// listAndFollow lists a store and applies its changes until the store must be
// listed again or a call fails. It calls onListed after the list was applied.
func (f *Follower) listAndFollow(ctx context.Context, address string, onListed func()) error {
	list, err := f.Client.Parts(ctx, address)
	if isOverloaded(err) {
		pauser.Pause(ctx, overloadedPause+rand.N(overloadedPause))
		return nil
	}
	if err != nil {
		return err
	}
	f.Catalog.applyList(address, list)
	onListed()
	next := list.Next
	schedule := f.schedule()
	for end := f.Catalog.now() + schedule.relist; ctx.Err() == nil && f.Catalog.now() < end; {
		changes, err := f.Client.PartChanges(ctx, address, next, schedule.wait)
		if isOverloaded(err) {
			pauser.Pause(ctx, overloadedPause+rand.N(overloadedPause))
			continue
		}
		if err != nil {
			return err
		}
		if !f.Catalog.applyChanges(address, changes) {
			return nil
		}
		next = changes.Next
		if schedule.pause > 0 || len(changes.Changes) > 0 {
			pauser.Pause(ctx, max(schedule.pause, batchDelay))
		}
	}
	return nil
}

// pollSchedule is the schedule on which a host asks stores for changes.
type pollSchedule struct {
	// wait is how long one call may wait for changes, pause the time between
	// two calls, and relist the time between two lists.
	wait, pause, relist time.Duration
}

// schedule returns a schedule that divides the number of calls that a store can
// hold among the entry hosts.
func (f *Follower) schedule() pollSchedule {
	hosts := len(f.Fleet().EntryHosts)
	if hosts <= maxWaitingHosts {
		return pollSchedule{wait: pollWait, relist: relistInterval}
	}
	hostsPerCall := time.Duration(hosts) / maxWaitingHosts
	return pollSchedule{wait: shortPollWait, pause: time.Duration(hosts) * shortPollWait / maxWaitingHosts, relist: relistInterval * max(hostsPerCall, 1)}
}

// isOverloaded reports whether a store refused a call because it had too many.
func isOverloaded(err error) bool {
	return err != nil && mulberrybeam.CodeOf(err) == mulberrybeam.CodeOverloaded
}

// removeReplaced removes parts that were computed with replaced weights once no
// engine has those weights any more. For each store, one process does so first;
// the others follow one after the other in case it failed.
func (f *Follower) removeReplaced(ctx context.Context, fleet *mulberrybeam.Fleet) {
	now := f.Catalog.now()
	for model, desired := range fleet.Weights {
		if !replacedEverywhere(fleet, desired) {
			delete(f.replacedSince, desired)
			continue
		}
		since, known := f.replacedSince[desired]
		if !known {
			f.replacedSince[desired] = now
			continue
		}
		for _, store := range fleet.ContextStores {
			ranked := ranker.Top(store.Address, fleet.EntryHosts, len(fleet.EntryHosts))
			rank := max(slices.Index(ranked, f.Self), 0)
			if now-since < removalDelay+time.Duration(rank)*takeoverDelay {
				continue
			}
			f.removeParts(ctx, store.Address, model, desired.Version)
		}
	}
}

// removeParts removes parts of a model from a store that were computed with
// weights older than version.
func (f *Follower) removeParts(ctx context.Context, address string, model mulberrybeam.ModelName, version int) {
	keys, boot := f.Catalog.selectParts(address, func(key mulberrybeam.PartKey) bool {
		partVersion, known := fetcher.VersionOf(key.Salt)
		return key.Model == model && known && partVersion < version
	})
	if len(keys) == 0 {
		return
	}
	keys = keys[:min(len(keys), maxRemovedParts)]
	if err := f.Client.FreeParts(ctx, address, boot, keys); err != nil {
		f.RecordEntry(address, "removing parts of replaced weights failed: "+err.Error())
		return
	}
	f.Catalog.applyRemoval(address, boot, keys)
	f.RecordEntry(address, fmt.Sprintf("removed %d parts of replaced weights of model %s", len(keys), model))
}

// replacedEverywhere reports whether no engine of a model has weights older
// than the desired ones.
func replacedEverywhere(fleet *mulberrybeam.Fleet, desired mulberrybeam.DesiredWeights) bool {
	for _, targets := range fleet.Targets {
		for _, target := range targets {
			if version, serves := target.Versions[desired.Model]; serves && version < desired.Version {
				return false
			}
		}
	}
	return true
}
