package forwarder

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/request/keyer"
	"mulberrybeam/request/placer"
)

// maxLinkWait limits the time an export waits for its link, so that a busy link
// does not block the queued transfers over other links for long.
const maxLinkWait = 2 * time.Second

// transfer is a queued transfer: the context of a completed request to write
// to a store, or, if prefetch is set, a context to load for an expected
// request.
type transfer struct {
	request    *mulberrybeam.Request
	target     mulberrybeam.Target
	store      mulberrybeam.Store
	generation uint64
	prefetch   *mulberrybeam.Manifest
}

// transferState is the state of this process's transfers over the links of
// stores. The control loop never locks its mutex.
type transferState struct {
	mutex          sync.Mutex
	links          map[mulberrybeam.StoreID]placer.Link
	fetches        placer.Fetches
	waitingPrompts int
}

// declaredStores returns the stores declared in the configuration.
func declaredStores(tables *mulberrybeam.Tables) []mulberrybeam.Store {
	return slices.Collect(maps.Values(tables.Stores))
}

// findStoredContexts returns the usable stored contexts of a prompt, longest
// first. A store that does not respond in time counts as empty.
func (f *Forwarder) findStoredContexts(ctx context.Context, request *mulberrybeam.Request) []mulberrybeam.Manifest {
	if len(request.Keys) == 0 || f.Stores == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var found []mulberrybeam.Manifest
	for _, store := range placer.Stores(request.Keys, declaredStores(f.Snapshot().Tables)) {
		group.Go(func() {
			manifests, err := f.Stores.Manifests(ctx, store, request.Keys)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			found = append(found, manifests...)
		})
	}
	group.Wait()
	return placer.Usable(request.Keys, found)
}

// importTimeLimit returns the time limit of an import, which is the time that
// it would take to recompute the same tokens. It is needed because a link may
// be slower than its declared rate.
func importTimeLimit(a *attempt) time.Duration {
	if a.target.PrefillRate <= 0 {
		return importTimeout
	}
	saved := time.Duration(float64(a.route.ImportedTokens) / a.target.PrefillRate * float64(time.Second))
	return min(max(saved, minImportTime), importTimeout)
}

// describeRoute describes a route for the timeline.
func describeRoute(route mulberrybeam.Route) string {
	if route.Source != mulberrybeam.SourceImport {
		return fmt.Sprintf("%s; %s: %d cached, %d recomputed tokens", route.Reason, route.Source, route.CachedTokens, route.RecomputedTokens)
	}
	return fmt.Sprintf("%s; %s from %s: %d cached, %d imported, %d recomputed tokens",
		route.Reason, route.Source, route.Import.Store, route.CachedTokens, route.ImportedTokens, route.RecomputedTokens)
}

// importContext has the engine import a stored context. If that fails, the
// engine recomputes it. With a permit, the import may take at most half of the
// permit's remaining validity, so that there is time left for the send.
func (f *Forwarder) importContext(ctx context.Context, snapshot *mulberrybeam.Snapshot, r *run, a *attempt) {
	store, found := snapshot.Tables.Stores[a.route.Import.Store]
	if !found {
		return
	}
	timeLimit := importTimeLimit(a)
	if a.permit.needed {
		timeLimit = min(timeLimit, (a.permit.sendDeadline-f.Clock())/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	if reason := f.fetchContext(ctx, snapshot, r.request, a.target, store, a.route.Import, r.request.Priority); reason != "" {
		f.recordEvent(mulberrybeam.EntryRoute, r.request, string(store.ID), "context is recomputed: "+reason)
		return
	}
	a.importedTokens = a.route.ImportedTokens
}

// fetchContext has an engine load a stored context if the store's link has
// capacity. It returns an empty string, or the reason why the context was not
// loaded.
func (f *Forwarder) fetchContext(
	ctx context.Context, snapshot *mulberrybeam.Snapshot, request *mulberrybeam.Request, target mulberrybeam.Target,
	store mulberrybeam.Store, manifest mulberrybeam.Manifest, priority mulberrybeam.Priority,
) string {
	now := f.Clock()
	fetch := placer.Fetch{Request: request.ID, Target: target.ID, Until: now + importTimeout}
	f.transfers.mutex.Lock()
	_, started := f.transfers.fetches.Begin(now, manifest.Key, fetch)
	f.transfers.mutex.Unlock()
	if !started {
		return "context is already being fetched for another request"
	}
	defer func() {
		f.transfers.mutex.Lock()
		defer f.transfers.mutex.Unlock()
		f.transfers.fetches.End(manifest.Key, request.ID)
	}()
	if verdict := f.requestLink(snapshot, store, priority, manifest.Bytes); !verdict.Allowed {
		return verdict.Reason
	}
	if priority < mulberrybeam.PriorityPrefetch {
		f.addWaitingPrompts(1)
		defer f.addWaitingPrompts(-1)
	}
	if _, err := f.Engines.ImportContext(ctx, target, store, manifest, request.Keys[:min(manifest.Blocks, len(request.Keys))]); err != nil {
		return err.Error()
	}
	f.usage.countBytes(store.ID, manifest.Bytes)
	return ""
}

// requestLink decides whether a transfer may use a store's link now, and
// updates the state of the link.
func (f *Forwarder) requestLink(snapshot *mulberrybeam.Snapshot, store mulberrybeam.Store, priority mulberrybeam.Priority, bytes int64) placer.Verdict {
	use := placer.LinkUse{
		Rate: store.LinkRate, Others: snapshot.LinkUse[store.ID], Own: f.usage.linkRate(store.ID), Members: len(snapshot.Members),
	}
	f.transfers.mutex.Lock()
	defer f.transfers.mutex.Unlock()
	use.WaitingPrompts = f.transfers.waitingPrompts
	link, verdict := placer.Decide(f.Clock(), f.transfers.links[store.ID], use, placer.Transfer{Priority: priority, Bytes: bytes})
	f.transfers.links[store.ID] = link
	return verdict
}

// addWaitingPrompts adjusts the number of prompts that wait for an import.
func (f *Forwarder) addWaitingPrompts(change int) {
	f.transfers.mutex.Lock()
	defer f.transfers.mutex.Unlock()
	f.transfers.waitingPrompts += change
}

// queueExport queues the context of a completed prompt for export, unless a
// store already has it.
func (f *Forwarder) queueExport(r *run, a *attempt) {
	if len(r.request.Keys) == 0 || f.Stores == nil {
		return
	}
	store, generation, needed := placer.Export(r.request.Keys, declaredStores(f.Snapshot().Tables), r.storedContexts)
	if needed {
		f.queueTransfer(transfer{request: r.request, target: a.target, store: store, generation: generation})
	}
}

// Prefetch queues a low-priority transfer that loads the context of an expected
// prompt into a warm engine. It does nothing if no store has the context.
func (f *Forwarder) Prefetch(ctx context.Context, request *mulberrybeam.Request) error {
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		return notReady()
	}
	r := &run{request: request, random: newRandom(), storedContexts: f.findStoredContexts(ctx, request)}
	if len(r.storedContexts) == 0 {
		return nil
	}
	route, err := f.pickRoute(snapshot, r)
	if err != nil {
		return failureOf(err)
	}
	store, found := snapshot.Tables.Stores[route.Import.Store]
	if found && route.Source == mulberrybeam.SourceImport && snapshot.Targets[route.Target].Phase == mulberrybeam.PhaseWarm {
		f.queueTransfer(transfer{request: request, target: snapshot.Tables.Targets[route.Target], store: store, prefetch: &route.Import})
	}
	return nil
}

// queueTransfer queues a transfer. It drops the transfer if the queue is full,
// since no request depends on it.
func (f *Forwarder) queueTransfer(work transfer) {
	select {
	case f.transferQueue <- work:
	default:
	}
}

func (f *Forwarder) transferLoop(ctx context.Context) {
	for {
		select {
		case work := <-f.transferQueue:
			f.runTransfer(ctx, work)
		case <-ctx.Done():
			return
		}
	}
}

// runTransfer runs one queued transfer. An export waits at most once for its
// link.
func (f *Forwarder) runTransfer(ctx context.Context, work transfer) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	snapshot, keys := f.Snapshot(), work.request.Keys
	if work.prefetch != nil {
		reason := f.fetchContext(ctx, snapshot, work.request, work.target, work.store, *work.prefetch, mulberrybeam.PriorityPrefetch)
		if reason == "" {
			f.Index.RecordSent(f.Clock(), work.target.ID, "", keys[:min(work.prefetch.Blocks, len(keys))])
		}
		return
	}
	bytes := int64(len(keys)) * keyer.BlockBytes
	verdict := f.requestLink(snapshot, work.store, mulberrybeam.PriorityExport, bytes)
	if !verdict.Allowed && pauser.Pause(ctx, min(verdict.Wait, maxLinkWait)) {
		verdict = f.requestLink(f.Snapshot(), work.store, mulberrybeam.PriorityExport, bytes)
	}
	if !verdict.Allowed {
		f.recordEvent(mulberrybeam.EntryCompletion, work.request, string(work.store.ID), "context not exported: "+verdict.Reason)
		return
	}
	manifest, err := f.Engines.ExportContext(ctx, work.target, work.store, keys, work.generation)
	if err != nil {
		f.recordEvent(mulberrybeam.EntryCompletion, work.request, string(work.store.ID), "context not exported: "+err.Error())
		return
	}
	f.usage.countBytes(work.store.ID, manifest.Bytes)
}
