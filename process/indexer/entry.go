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
func (x *Indexer) addHolder(key mulberrybeam.BlockKey, added holder) {
	entryIndex, found := x.blocks[key]
	if found {
		x.unlink(entryIndex)
	} else {
		entryIndex = x.allocateEntry()
		x.entries[entryIndex].key = key
		x.blocks[key] = entryIndex
	}
	x.linkNewest(entryIndex)
	e := &x.entries[entryIndex]
	holderIndex := e.findHolder(added.generation)
	if holderIndex < 0 {
		holderIndex = x.replaceableHolder(e)
	}
	copy(e.holders[1:holderIndex+1], e.holders[:holderIndex])
	e.holders[0] = added
}

// replaceableHolder returns the index of the holder to replace: one whose
// generation is no longer valid, or else the last, which is the least recently
// used.
func (x *Indexer) replaceableHolder(e *entry) int {
	for i, holder := range e.holders {
		if _, valid := x.targetByGeneration[holder.generation]; !valid {
			return i
		}
	}
	return MaxHolders - 1
}

// removeHolder records that a target no longer holds a block, and updates the
// average residence. A block without holders leaves the index.
func (x *Indexer) removeHolder(key mulberrybeam.BlockKey, generation uint32, now time.Duration) {
	entryIndex, found := x.blocks[key]
	if !found {
		return
	}
	e := &x.entries[entryIndex]
	holderIndex := e.findHolder(generation)
	if holderIndex < 0 {
		return
	}
	residence := max(time.Second, age(now, e.holders[holderIndex]))
	if x.residence == 0 {
		x.residence = residence
	}
	x.residence += time.Duration(residenceWeight * float64(residence-x.residence))
	copy(e.holders[holderIndex:], e.holders[holderIndex+1:])
	e.holders[MaxHolders-1] = holder{generation: none}
	if e.holders[0].generation == none {
		x.releaseEntry(entryIndex)
	}
}

// allocateEntry returns the index of an entry without holders. If the index is
// full, it evicts the least recently used block.
func (x *Indexer) allocateEntry() uint32 {
	if len(x.blocks) >= x.maxBlocks {
		x.releaseEntry(x.oldest)
	}
	entryIndex := x.firstFree
	if entryIndex == none {
		x.entries = append(x.entries, entry{})
		entryIndex = uint32(len(x.entries) - 1)
	} else {
		x.firstFree = x.entries[entryIndex].older
	}
	for i := range x.entries[entryIndex].holders {
		x.entries[entryIndex].holders[i] = holder{generation: none}
	}
	return entryIndex
}

// releaseEntry removes a block from the index and puts its entry on the free
// list.
func (x *Indexer) releaseEntry(entryIndex uint32) {
	x.unlink(entryIndex)
	delete(x.blocks, x.entries[entryIndex].key)
	x.entries[entryIndex].older = x.firstFree
	x.firstFree = entryIndex
}

func (x *Indexer) linkNewest(entryIndex uint32) {
	e := &x.entries[entryIndex]
	e.newer, e.older = none, x.newest
	if x.newest == none {
		x.oldest = entryIndex
	} else {
		x.entries[x.newest].newer = entryIndex
	}
	x.newest = entryIndex
}

func (x *Indexer) unlink(entryIndex uint32) {
	e := &x.entries[entryIndex]
	if e.newer == none {
		x.newest = e.older
	} else {
		x.entries[e.newer].older = e.older
	}
	if e.older == none {
		x.oldest = e.newer
	} else {
		x.entries[e.older].newer = e.newer
	}
}
