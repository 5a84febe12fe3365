package indexer

import (
	"time"

	"mulberrybeam"
)

// findHolder returns the index of the holder with a generation, or -1.
func (e *entry) findHolder(generation uint32) int {
	for i, holder := range e.holders {
		if holder.generation == generation {
			return i
		}
	}
	return -1
}

// addHolder records that a target holds a block and makes the block the most
// recently used.
func (ix *Indexer) addHolder(key mulberrybeam.BlockKey, added holder) {
	entryIndex, found := ix.blocks[key]
	if found {
		ix.unlink(entryIndex)
	} else {
		entryIndex = ix.allocateEntry()
		ix.entries[entryIndex].key = key
		ix.blocks[key] = entryIndex
	}
	ix.linkNewest(entryIndex)
	e := &ix.entries[entryIndex]
	holderIndex := e.findHolder(added.generation)
	if holderIndex < 0 {
		holderIndex = ix.replaceableHolder(e)
	}
	copy(e.holders[1:holderIndex+1], e.holders[:holderIndex])
	e.holders[0] = added
}

// replaceableHolder returns the index of the holder to replace: one whose
// generation is no longer valid, or else the last, which is the least recently
// used.
func (ix *Indexer) replaceableHolder(e *entry) int {
	for i, holder := range e.holders {
		if _, valid := ix.targetByGeneration[holder.generation]; !valid {
			return i
		}
	}
	return MaxHolders - 1
}

// removeHolder records that a target no longer holds a block, and updates the
// average residence. A block without holders leaves the index.
func (ix *Indexer) removeHolder(key mulberrybeam.BlockKey, generation uint32, now time.Duration) {
	entryIndex, found := ix.blocks[key]
	if !found {
		return
	}
	e := &ix.entries[entryIndex]
	holderIndex := e.findHolder(generation)
	if holderIndex < 0 {
		return
	}
	residence := max(time.Second, age(now, e.holders[holderIndex]))
	if ix.residence == 0 {
		ix.residence = residence
	}
	ix.residence += time.Duration(residenceWeight * float64(residence-ix.residence))
	copy(e.holders[holderIndex:], e.holders[holderIndex+1:])
	e.holders[MaxHolders-1] = holder{generation: none}
	if e.holders[0].generation == none {
		ix.releaseEntry(entryIndex)
	}
}

// allocateEntry returns the index of an entry without holders. If the index is
// full, it evicts the least recently used block.
func (ix *Indexer) allocateEntry() uint32 {
	if len(ix.blocks) >= ix.maxBlocks {
		ix.releaseEntry(ix.oldest)
	}
	entryIndex := ix.firstFree
	if entryIndex == none {
		ix.entries = append(ix.entries, entry{})
		entryIndex = uint32(len(ix.entries) - 1)
	} else {
		ix.firstFree = ix.entries[entryIndex].older
	}
	for i := range ix.entries[entryIndex].holders {
		ix.entries[entryIndex].holders[i] = holder{generation: none}
	}
	return entryIndex
}

// releaseEntry removes a block from the index and puts its entry on the free
// list.
func (ix *Indexer) releaseEntry(entryIndex uint32) {
	ix.unlink(entryIndex)
	delete(ix.blocks, ix.entries[entryIndex].key)
	ix.entries[entryIndex].older = ix.firstFree
	ix.firstFree = entryIndex
}

func (ix *Indexer) linkNewest(entryIndex uint32) {
	e := &ix.entries[entryIndex]
	e.newer, e.older = none, ix.newest
	if ix.newest == none {
		ix.oldest = entryIndex
	} else {
		ix.entries[ix.newest].newer = entryIndex
	}
	ix.newest = entryIndex
}

func (ix *Indexer) unlink(entryIndex uint32) {
	e := &ix.entries[entryIndex]
	if e.newer == none {
		ix.newest = e.older
	} else {
		ix.entries[e.newer].older = e.older
	}
	if e.older == none {
		ix.oldest = e.newer
	} else {
		ix.entries[e.older].newer = e.newer
	}
}
