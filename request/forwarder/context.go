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

// maxLinkWait bounds the wait of one export or prefetch for its link, so that
// a busy link does not hold up the transfers of the others for long.
const maxLinkWait = 2 * time.Second

// export is a context to write to a store after its request, or, when
// prefetch is set, a context to load before the next one.
type export struct {
	request    *mulberrybeam.Request
	target     mulberrybeam.Target
	store      mulberrybeam.Store
	generation uint64
	prefetch   *mulberrybeam.Manifest
}

// moves is what this process moves over the links of stores. Only traffic
// goroutines take its mutex.
type moves struct {
	mutex   sync.Mutex
	links   map[mulberrybeam.StoreID]placer.Link
	fetches placer.Flights
	waiting int
}

// storesOf returns the declared stores.
func storesOf(tables *mulberrybeam.Tables) []mulberrybeam.Store {
	return slices.Collect(maps.Values(tables.Stores))
}

// keptContexts returns the usable kept contexts of a prompt, longest first. A
// store that does not answer in time counts as empty.
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

// importBound is how long an import may take: as long as computing the same
// tokens would. A link may have become slower than its declared rate.
func importBound(a *attempt) time.Duration {
	if a.target.PrefillRate <= 0 {
		return importTimeout
	}
	saved := time.Duration(float64(a.route.ImportedTokens) / a.target.PrefillRate * float64(time.Second))
	return min(max(saved, minImportTime), importTimeout)
}

// routeText explains a route to operators.
func routeText(route mulberrybeam.Route) string {
	if route.Source != mulberrybeam.SourceImport {
		return fmt.Sprintf("%s; %s: %d cached, %d recomputed tokens", route.Reason, route.Source, route.CachedTokens, route.RecomputedTokens)
	}
	return fmt.Sprintf("%s; %s from %s: %d cached, %d imported, %d recomputed tokens",
		route.Reason, route.Source, route.Import.Store, route.CachedTokens, route.ImportedTokens, route.RecomputedTokens)
}

// importContext has the engine load a kept context. After a failure the engine
// recomputes it. A permit bounds the import too, with time left for the send.
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

// fetch loads a kept context into an engine when its link allows it. It
// returns why it did not.
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
		return "the context is being fetched for another request"
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

// askLink says whether a transfer may use a store's link now.
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

// wait counts the prompts that wait for a link.
func (f *Forwarder) wait(change int) {
	f.moves.mutex.Lock()
	defer f.moves.mutex.Unlock()
	f.moves.waiting += change
}

// exportLater queues the context of a completed prompt, unless a store has it.
func (f *Forwarder) exportLater(r *run, a *attempt) {
	if len(r.request.Keys) == 0 || f.Stores == nil {
		return
	}
	store, generation, needed := placer.Export(r.request.Keys, storesOf(f.Snapshot().Tables), r.kept)
	if needed {
		f.enqueue(export{request: r.request, target: a.target, store: store, generation: generation})
	}
}

// Prefetch has the context of an expected prompt loaded by a warm engine, at
// low priority. It does nothing when no store has the context.
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

// enqueue drops work when the queue is full; nobody waits for it.
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

// move runs one queued export or prefetch. It waits for its link once.
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
