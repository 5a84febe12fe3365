package forwarder

import (
	"cmp"
	"context"
	"encoding/hex"
	"slices"
	"sync"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// storeCandidates is how many stores may hold a context.
const storeCandidates = 2

// export is a context to write to a store after its request, or, when
// prefetch is set, a context to load before the next one.
type export struct {
	request  *mulberrybeam.Request
	target   mulberrybeam.Target
	prefetch *mulberrybeam.Manifest
}

// storesOf returns the stores that may hold a context, the first one first.
func storesOf(tables *mulberrybeam.Tables, keys []mulberrybeam.BlockKey) []mulberrybeam.Store {
	ids := make([]mulberrybeam.StoreID, 0, len(tables.Stores))
	for id := range tables.Stores {
		ids = append(ids, id)
	}
	var stores []mulberrybeam.Store
	for _, id := range ranker.Top(hex.EncodeToString(keys[0][:]), ids, storeCandidates) {
		stores = append(stores, tables.Stores[id])
	}
	return stores
}

// keptContexts returns the kept contexts of a prompt, longest first. A store
// that does not answer in time counts as empty.
func (f *Forwarder) keptContexts(ctx context.Context, request *mulberrybeam.Request) []mulberrybeam.Manifest {
	if len(request.Keys) == 0 || f.Stores == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var kept []mulberrybeam.Manifest
	for _, store := range storesOf(f.Snapshot().Tables, request.Keys) {
		group.Go(func() {
			found, err := f.Stores.Manifests(ctx, store, request.Keys)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			kept = append(kept, found...)
		})
	}
	group.Wait()
	slices.SortStableFunc(kept, func(a, b mulberrybeam.Manifest) int { return cmp.Compare(b.Blocks, a.Blocks) })
	return kept
}

// importContext has the engine load a kept context. After a failure the engine
// recomputes it. A permit bounds the import too.
func (f *Forwarder) importContext(ctx context.Context, snapshot *mulberrybeam.Snapshot, r *run, a *attempt) {
	if a.permit.needed {
		bounded, cancel := context.WithTimeout(ctx, (a.permit.sendBefore-f.Clock())/2)
		defer cancel()
		ctx = bounded
	}
	store, found := snapshot.Tables.Stores[a.route.Import.Store]
	if !found {
		return
	}
	if _, err := f.load(ctx, a.target, store, a.route.Import, r.request.Keys); err != nil {
		f.note(mulberrybeam.EntryRoute, r.request, string(store.ID), "context is recomputed: "+err.Error())
	}
}

func (f *Forwarder) load(ctx context.Context, target mulberrybeam.Target, store mulberrybeam.Store, manifest mulberrybeam.Manifest, keys []mulberrybeam.BlockKey) (int, error) {
	blocks := min(manifest.Blocks, len(keys))
	tokens, err := f.Engines.ImportContext(ctx, target, store, manifest, keys[:blocks])
	if err == nil {
		f.use.moved(store.ID, manifest.Bytes)
	}
	return tokens, err
}

// exportLater queues the context of a completed prompt, unless a store has it.
func (f *Forwarder) exportLater(r *run, a *attempt) {
	keys := r.request.Keys
	if len(keys) == 0 || f.Stores == nil {
		return
	}
	for _, manifest := range r.kept {
		if manifest.Key == keys[len(keys)-1] {
			return
		}
	}
	f.enqueue(export{request: r.request, target: a.target})
}

// Prefetch has the context of an expected prompt loaded by a warm engine, at
// low priority. It does nothing when no store has the context.
func (f *Forwarder) Prefetch(ctx context.Context, request *mulberrybeam.Request) error {
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		return &mulberrybeam.Failure{Code: mulberrybeam.CodeNotReady, Step: mulberrybeam.StepAccept, Message: "no configuration is in force", NotRun: true}
	}
	r := &run{request: request, random: newRandom(), kept: f.keptContexts(ctx, request)}
	if len(r.kept) == 0 {
		return nil
	}
	route, err := f.pick(snapshot, r)
	if err != nil {
		return failureOf(err)
	}
	if route.Source == mulberrybeam.SourceImport && snapshot.Targets[route.Target].Phase == mulberrybeam.PhaseWarm {
		f.enqueue(export{request: request, target: snapshot.Tables.Targets[route.Target], prefetch: &route.Import})
	}
	return nil
}

// enqueue drops work when the queue is full; it is never waited for.
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

// move runs one queued import or export, unless the link is needed for waiting
// prompts.
func (f *Forwarder) move(ctx context.Context, work export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	snapshot := f.Snapshot()
	keys := work.request.Keys
	for _, store := range storesOf(snapshot.Tables, keys) {
		if snapshot.LinkUse[store.ID]+f.use.link(store.ID) > exportLinkShare*store.LinkRate {
			continue
		}
		if work.prefetch != nil {
			if store.ID == work.prefetch.Store {
				_, _ = f.load(ctx, work.target, store, *work.prefetch, keys)
			}
			continue
		}
		// The wall time makes generations rise over processes.
		manifest, err := f.Engines.ExportContext(ctx, work.target, store, keys, uint64(f.Wall().UnixMilli()))
		if err == nil {
			f.use.moved(store.ID, manifest.Bytes)
			return
		}
		f.note(mulberrybeam.EntryCompletion, work.request, string(store.ID), "context not exported: "+err.Error())
	}
}
