package indexer

import (
	"time"

	"mulberrybeam"
)

// find returns the index of the holder with a tenure, or -1.
func (e *entry) find(tenure uint32) int {
	for i, holder := range e.holders {
		if holder.tenure == tenure {
			return i
		}
	}
	return -1
}

// add records that a target holds a block and makes the block the most recently
// used.
func (x *Indexer) add(key mulberrybeam.BlockKey, by holder) {
	at, found := x.blocks[key]
	if found {
		x.unlink(at)
	} else {
		at = x.allocate()
		x.entries[at].key = key
		x.blocks[key] = at
	}
	x.linkNewest(at)
	e := &x.entries[at]
	place := e.find(by.tenure)
	if place < 0 {
		place = x.leastUseful(e)
	}
	copy(e.holders[1:place+1], e.holders[:place])
	e.holders[0] = by
}

// leastUseful returns the index of the holder to replace: one whose tenure is no
// longer valid, or else the last, which is the least recently used.
func (x *Indexer) leastUseful(e *entry) int {
	for i, holder := range e.holders {
		if _, valid := x.targets[holder.tenure]; !valid {
			return i
		}
	}
	return MaxHolders - 1
}

// remove records that a target no longer holds a block, and updates the average
// residence. A block without holders leaves the index.
func (x *Indexer) remove(key mulberrybeam.BlockKey, tenure uint32, now time.Duration) {
	at, found := x.blocks[key]
	if !found {
		return
	}
	e := &x.entries[at]
	place := e.find(tenure)
	if place < 0 {
		return
	}
	stayed := max(time.Second, age(now, e.holders[place]))
	if x.residence == 0 {
		x.residence = stayed
	}
	x.residence += time.Duration(residenceWeight * float64(stayed-x.residence))
	copy(e.holders[place:], e.holders[place+1:])
	e.holders[MaxHolders-1] = holder{tenure: none}
	if e.holders[0].tenure == none {
		x.release(at)
	}
}

// allocate returns the index of an entry without holders. If the index is full,
// it evicts the least recently used block.
func (x *Indexer) allocate() uint32 {
	if len(x.blocks) >= x.maxBlocks {
		x.release(x.oldest)
	}
	at := x.free
	if at == none {
		x.entries = append(x.entries, entry{})
		at = uint32(len(x.entries) - 1)
	} else {
		x.free = x.entries[at].older
	}
	for i := range x.entries[at].holders {
		x.entries[at].holders[i] = holder{tenure: none}
	}
	return at
}

// release removes a block from the index and puts its entry on the free list.
func (x *Indexer) release(at uint32) {
	x.unlink(at)
	delete(x.blocks, x.entries[at].key)
	x.entries[at].older = x.free
	x.free = at
}

func (x *Indexer) linkNewest(at uint32) {
	e := &x.entries[at]
	e.newer, e.older = none, x.newest
	if x.newest == none {
		x.oldest = at
	} else {
		x.entries[x.newest].newer = at
	}
	x.newest = at
}

func (x *Indexer) unlink(at uint32) {
	e := &x.entries[at]
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
