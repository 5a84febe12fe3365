package indexer

import (
	"time"

	"mulberrybeam"
)

// find returns the place of a tenure among the holders, or -1.
func (e *entry) find(tenure uint32) int {
	for i, holder := range e.holders {
		if holder == tenure {
			return i
		}
	}
	return -1
}

// add notes at a time that a tenure holds a block and makes the block the
// newest.
func (x *Indexer) add(key mulberrybeam.BlockKey, tenure uint32, now time.Duration) {
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
	e.noted = uint32(now / time.Second)
	place := e.find(tenure)
	if place < 0 {
		place = x.leastUseful(e)
	}
	copy(e.holders[1:place+1], e.holders[:place])
	e.holders[0] = tenure
}

// leastUseful returns the place of a holder whose tenure has ended, or else
// the last, which was noted longest ago.
func (x *Indexer) leastUseful(e *entry) int {
	for i, holder := range e.holders {
		if _, valid := x.targets[holder]; !valid {
			return i
		}
	}
	return MaxHolders - 1
}

// remove notes that a tenure no longer holds a block.
func (x *Indexer) remove(key mulberrybeam.BlockKey, tenure uint32) {
	at, found := x.blocks[key]
	if !found {
		return
	}
	e := &x.entries[at]
	place := e.find(tenure)
	if place < 0 {
		return
	}
	copy(e.holders[place:], e.holders[place+1:])
	e.holders[MaxHolders-1] = none
	if e.holders[0] == none {
		x.release(at)
	}
}

// allocate returns an entry without holders. A full index gives up its oldest
// block.
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
		x.entries[at].holders[i] = none
	}
	return at
}

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
