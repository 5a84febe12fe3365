// Package placer decides in which stores contexts are looked up and stored, which
// of the found manifests may be used, and when a transfer may use the link of a
// store.
//
// It has no index of contexts: rendezvous hashing selects the two stores of a
// context, and the manifests of a store tell which contexts it holds.
package placer

import (
	"cmp"
	"slices"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// StoresPerContext is the number of stores that may hold a given context.
const StoresPerContext = 2

// Stores returns the stores in which the contexts of a prompt are looked up and
// stored, the preferred one first. All contexts that start with the same block
// have the same stores, so that one query to a store covers all prefixes of a
// prompt.
func Stores(keys []mulberrybeam.BlockKey, declared []mulberrybeam.Store) []mulberrybeam.Store {
	if len(keys) == 0 {
		return nil
	}
	ids := make([]mulberrybeam.StoreID, len(declared))
	for i, store := range declared {
		ids[i] = store.ID
	}
	top := ranker.Top(string(keys[0][:]), ids, StoresPerContext)
	stores := make([]mulberrybeam.Store, 0, len(top))
	for _, id := range top {
		stores = append(stores, declared[slices.Index(ids, id)])
	}
	return stores
}

// Usable returns the manifests of complete contexts that match a prefix of keys,
// in their newest generation, the longest first. Of equally long contexts, those
// in memory come first.
//
// A manifest is left out if another one of the same key has a newer generation,
// because its data may be about to be removed.
func Usable(keys []mulberrybeam.BlockKey, found []mulberrybeam.Manifest) []mulberrybeam.Manifest {
	newest := map[mulberrybeam.BlockKey]uint64{}
	for _, manifest := range found {
		newest[manifest.Key] = max(newest[manifest.Key], manifest.Generation)
	}
	var usable []mulberrybeam.Manifest
	for _, manifest := range found {
		if coversPrefix(manifest, keys) && manifest.Generation == newest[manifest.Key] {
			usable = append(usable, manifest)
		}
	}
	slices.SortStableFunc(usable, func(a, b mulberrybeam.Manifest) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(tierRank(a.Tier), tierRank(b.Tier)))
	})
	return usable
}

// coversPrefix reports whether a manifest is complete and matches a prefix of
// keys. It compares only the key of the last block, which covers all blocks
// before it.
func coversPrefix(manifest mulberrybeam.Manifest, keys []mulberrybeam.BlockKey) bool {
	return manifest.Bytes > 0 && manifest.Generation > 0 &&
		manifest.Blocks > 0 && manifest.Blocks <= len(keys) && keys[manifest.Blocks-1] == manifest.Key
}

func tierRank(tier mulberrybeam.Tier) int {
	if tier == mulberrybeam.TierMemory {
		return 0
	}
	return 1
}

// Export returns the store and the generation for exporting the context of a
// finished prompt. needed is false if there is nothing to export: no whole block,
// no store, or a stored context that already covers all whole blocks. The
// generation is higher than all those found for the key.
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
