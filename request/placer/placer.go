// Package placer decides where kept contexts are looked for and put, which of
// the manifests found may be used, and when a transfer may use a store's link.
//
// It keeps no index of contexts: rendezvous hashing names the two stores of a
// context, and a store's manifests say what it has.
package placer

import (
	"cmp"
	"slices"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Candidates is the number of stores that may have a context.
const Candidates = 2

// Stores returns the stores to ask for the contexts of a prompt and to put
// them in, the preferred one first. All contexts that begin with the same
// block have the same stores, so that one question to a store covers all
// prefixes of a prompt.
func Stores(keys []mulberrybeam.BlockKey, declared []mulberrybeam.Store) []mulberrybeam.Store {
	if len(keys) == 0 {
		return nil
	}
	ids := make([]mulberrybeam.StoreID, len(declared))
	for i, store := range declared {
		ids[i] = store.ID
	}
	top := ranker.Top(string(keys[0][:]), ids, Candidates)
	stores := make([]mulberrybeam.Store, 0, len(top))
	for _, id := range top {
		stores = append(stores, declared[slices.Index(ids, id)])
	}
	return stores
}

// Usable returns the manifests that describe whole contexts of leading keys
// in their newest generation, the longest first. Among equally long ones those
// in memory come first.
//
// A manifest of an older generation than another one of the same key is left
// out, as its data may be about to be removed.
func Usable(keys []mulberrybeam.BlockKey, found []mulberrybeam.Manifest) []mulberrybeam.Manifest {
	newest := map[mulberrybeam.BlockKey]uint64{}
	for _, manifest := range found {
		newest[manifest.Key] = max(newest[manifest.Key], manifest.Generation)
	}
	var usable []mulberrybeam.Manifest
	for _, manifest := range found {
		if whole(manifest, keys) && manifest.Generation == newest[manifest.Key] {
			usable = append(usable, manifest)
		}
	}
	slices.SortStableFunc(usable, func(a, b mulberrybeam.Manifest) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(tierOrder(a.Tier), tierOrder(b.Tier)))
	})
	return usable
}

// whole checks a manifest against the keys. The key of the last block covers
// all blocks before it.
func whole(manifest mulberrybeam.Manifest, keys []mulberrybeam.BlockKey) bool {
	return manifest.Bytes > 0 && manifest.Generation > 0 &&
		manifest.Blocks > 0 && manifest.Blocks <= len(keys) && keys[manifest.Blocks-1] == manifest.Key
}

func tierOrder(tier mulberrybeam.Tier) int {
	if tier == mulberrybeam.TierMemory {
		return 0
	}
	return 1
}

// Export says where a finished prompt's context goes, and false when there is
// nothing to export: no whole block, no store, or a kept context that covers
// all whole blocks already. The generation is above all that were found for
// the key.
func Export(keys []mulberrybeam.BlockKey, declared []mulberrybeam.Store, found []mulberrybeam.Manifest) (store mulberrybeam.Store, generation uint64, needed bool) {
	stores := Stores(keys, declared)
	if len(stores) == 0 {
		return mulberrybeam.Store{}, 0, false
	}
	if usable := Usable(keys, found); len(usable) > 0 && usable[0].Blocks == len(keys) {
		return mulberrybeam.Store{}, 0, false
	}
	for _, manifest := range found {
		if manifest.Key == keys[len(keys)-1] {
			generation = max(generation, manifest.Generation)
		}
	}
	return stores[0], generation + 1, true
}
