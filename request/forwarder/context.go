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

// export is a queued transfer: the context of a completed request to write to a
// store, or, if prefetch is set, a context to load for an expected request.
type export struct {
	request    *mulberrybeam.Request
	target     mulberrybeam.Target
	store      mulberrybeam.Store
	generation uint64
	prefetch   *mulberrybeam.Manifest
}

// moves is the state of this process's transfers over the links of stores. The
// control loop never locks its mutex.
type moves struct {
	mutex   sync.Mutex
	links   map[mulberrybeam.StoreID]placer.Link
	fetches placer.Flights
	waiting int
}

// storesOf returns the stores declared in the configuration.
func storesOf(tables *mulberrybeam.Tables) []mulberrybeam.Store {
	return slices.Collect(maps.Values(tables.Stores))
}

// keptContexts returns the usable stored contexts of a prompt, longest first. A
// store that does not respond in time counts as empty.
func (f *Forwarder) keptContexts(ctx context.Context, request *mulberrybeam.Request) []mulberrybeam.Manifest {
	if len(request.Keys) == 0 || f.Stores == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var found []mulberrybeam.Manifest
	for _, store := range placer.Stores(request.Keys, storesOf(f.Snapshot().Tables)) {
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

// importBound returns the time limit of an import, which is the time that it
// would take to recompute the same tokens. It is needed because a link may be
// slower than its declared rate.
func importBound(a *attempt) time.Duration {
	if a.target.PrefillRate <= 0 {
		return importTimeout
	}
	saved := time.Duration(float64(a.route.ImportedTokens) / a.target.PrefillRate * float64(time.Second))
	return min(max(saved, minImportTime), importTimeout)
}

// routeText describes a route in the event log.
func routeText(route mulberrybeam.Route) string {
	if route.Source != mulberrybeam.SourceImport {
		return fmt.Sprintf("%s; %s: %d cached, %d recomputed tokens", route.Reason, route.Source, route.CachedTokens, route.RecomputedTokens)
	}
	return fmt.Sprintf("%s; %s from %s: %d cached, %d imported, %d recomputed tokens",
		route.Reason, route.Source, route.Import.Store, route.CachedTokens, route.ImportedTokens, route.RecomputedTokens)
}

// importContext has the engine import a stored context. If that fails, the engine
// recomputes it. With a permit, the import may take at most half of the permit's
// remaining validity, so that there is time left for the send.
func (f *Forwarder) importContext(ctx context.Context, snapshot *mulberrybeam.Snapshot, r *run, a *attempt) {
	store, found := snapshot.Tables.Stores[a.route.Import.Store]
	if !found {
		return
	}
	bound := importBound(a)
	if a.permit.needed {
		bound = min(bound, (a.permit.sendBefore-f.Clock())/2)
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if reason := f.fetch(ctx, snapshot, r.request, a.target, store, a.route.Import, r.request.Priority); reason != "" {
		f.note(mulberrybeam.EntryRoute, r.request, string(store.ID), "context is recomputed: "+reason)
		return
	}
	a.imported = a.route.ImportedTokens
}

// fetch has an engine load a stored context if the store's link has capacity. It
// returns an empty string, or the reason why the context was not loaded.
func (f *Forwarder) fetch(
	ctx context.Context, snapshot *mulberrybeam.Snapshot, request *mulberrybeam.Request, target mulberrybeam.Target,
	store mulberrybeam.Store, manifest mulberrybeam.Manifest, priority mulberrybeam.Priority,
) string {
	now := f.Clock()
	flight := placer.Flight{Request: request.ID, Target: target.ID, Until: now + importTimeout}
	f.moves.mutex.Lock()
	_, own := f.moves.fetches.Begin(now, manifest.Key, flight)
	f.moves.mutex.Unlock()
	if !own {
		return "context is already being fetched for another request"
	}
	defer func() {
		f.moves.mutex.Lock()
		defer f.moves.mutex.Unlock()
		f.moves.fetches.End(manifest.Key, request.ID)
	}()
	if verdict := f.askLink(snapshot, store, priority, manifest.Bytes); !verdict.Go {
		return verdict.Reason
	}
	if priority < mulberrybeam.PriorityPrefetch {
		f.wait(1)
		defer f.wait(-1)
	}
	if _, err := f.Engines.ImportContext(ctx, target, store, manifest, request.Keys[:min(manifest.Blocks, len(request.Keys))]); err != nil {
		return err.Error()
	}
	f.use.moved(store.ID, manifest.Bytes)
	return ""
}

// askLink decides whether a transfer may use a store's link now, and updates the
// state of the link.
func (f *Forwarder) askLink(snapshot *mulberrybeam.Snapshot, store mulberrybeam.Store, priority mulberrybeam.Priority, bytes int64) placer.Verdict {
	use := placer.Use{
		Rate: store.LinkRate, Others: snapshot.LinkUse[store.ID], Own: f.use.link(store.ID), Members: len(snapshot.Members),
	}
	f.moves.mutex.Lock()
	defer f.moves.mutex.Unlock()
	use.WaitingPrompts = f.moves.waiting
	link, verdict := placer.Decide(f.Clock(), f.moves.links[store.ID], use, placer.Transfer{Priority: priority, Bytes: bytes})
	f.moves.links[store.ID] = link
	return verdict
}

// wait adjusts the number of prompts that wait for an import.
func (f *Forwarder) wait(change int) {
	f.moves.mutex.Lock()
	defer f.moves.mutex.Unlock()
	f.moves.waiting += change
}

// exportLater queues the context of a completed prompt for export, unless a
// store already has it.
func (f *Forwarder) exportLater(r *run, a *attempt) {
	if len(r.request.Keys) == 0 || f.Stores == nil {
		return
	}
	store, generation, needed := placer.Export(r.request.Keys, storesOf(f.Snapshot().Tables), r.kept)
	if needed {
		f.enqueue(export{request: r.request, target: a.target, store: store, generation: generation})
	}
}

// Prefetch queues a low-priority transfer that loads the context of an expected
// prompt into a warm engine. It does nothing if no store has the context.
func (f *Forwarder) Prefetch(ctx context.Context, request *mulberrybeam.Request) error {
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		return notReady()
	}
	r := &run{request: request, random: newRandom(), kept: f.keptContexts(ctx, request)}
	if len(r.kept) == 0 {
		return nil
	}
	route, err := f.pick(snapshot, r)
	if err != nil {
		return failureOf(err)
	}
	store, found := snapshot.Tables.Stores[route.Import.Store]
	if found && route.Source == mulberrybeam.SourceImport && snapshot.Targets[route.Target].Phase == mulberrybeam.PhaseWarm {
		f.enqueue(export{request: request, target: snapshot.Tables.Targets[route.Target], store: store, prefetch: &route.Import})
	}
	return nil
}

// enqueue queues a transfer. It drops the transfer if the queue is full, since no
// request depends on it.
func (f *Forwarder) enqueue(work export) {
	select {
	case f.exports <- work:
	default:
	}
}

func (f *Forwarder) exportLoop(ctx context.Context) {
	for {
		select {
		case work := <-f.exports:
			f.move(ctx, work)
		case <-ctx.Done():
			return
		}
	}
}

// move runs one queued transfer. An export waits at most once for its link.
func (f *Forwarder) move(ctx context.Context, work export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	snapshot, keys := f.Snapshot(), work.request.Keys
	if work.prefetch != nil {
		reason := f.fetch(ctx, snapshot, work.request, work.target, work.store, *work.prefetch, mulberrybeam.PriorityPrefetch)
		if reason == "" {
			f.Index.Sent(f.Clock(), work.target.ID, "", keys[:min(work.prefetch.Blocks, len(keys))])
		}
		return
	}
	bytes := int64(len(keys)) * keyer.BlockBytes
	verdict := f.askLink(snapshot, work.store, mulberrybeam.PriorityExport, bytes)
	if !verdict.Go && pauser.Pause(ctx, min(verdict.Wait, maxLinkWait)) {
		verdict = f.askLink(f.Snapshot(), work.store, mulberrybeam.PriorityExport, bytes)
	}
	if !verdict.Go {
		f.note(mulberrybeam.EntryCompletion, work.request, string(work.store.ID), "context not exported: "+verdict.Reason)
		return
	}
	manifest, err := f.Engines.ExportContext(ctx, work.target, work.store, keys, work.generation)
	if err != nil {
		f.note(mulberrybeam.EntryCompletion, work.request, string(work.store.ID), "context not exported: "+err.Error())
		return
	}
	f.use.moved(work.store.ID, manifest.Bytes)
}
