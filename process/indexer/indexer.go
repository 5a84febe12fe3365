// Package indexer keeps what this process believes the prefix caches of the
// targets to hold, from its own sends and from the targets' cache events.
//
// A wrong belief costs an estimate, never correctness: the engine looks the
// keys up in its own cache. Since a process gets the events of only the targets
// that it observes, it learns from them how long blocks stay in a cache, and
// counts older beliefs of any target as gone. The index is shared between traffic goroutines
// and the goroutines that fetch cache events; control code must not call it.
package indexer

import (
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// DefaultBlocks bounds the blocks in the index. At the 103 bytes a block
	// that BenchmarkIndex measured this is 27 MB.
	DefaultBlocks = 1 << 18
	// MaxHolders is the number of targets remembered for a block. A prefix
	// that all prompts of a workspace share spreads over more targets; the
	// latest ones are kept.
	MaxHolders = 4
	// residenceWeight is the weight of one removed block in the average
	// residence, so that a few hundred removals follow a change of load.
	residenceWeight = 1.0 / 128
)

// none ends the lists of entries, and no target has it as tenure.
const none = ^uint32(0)

// Indexer is the index of one process. Its methods may be called from several
// goroutines.
type Indexer struct {
	mutex     sync.RWMutex
	maxBlocks int
	blocks    map[mulberrybeam.BlockKey]uint32
	entries   []entry
	newest    uint32
	oldest    uint32
	free      uint32
	beliefs   map[mulberrybeam.TargetID]*belief
	// targets finds the target of a tenure that is still valid.
	targets    map[uint32]mulberrybeam.TargetID
	nextTenure uint32
	// residence is the average time from the last known use of a block to
	// its removal, 0 before the first removal.
	residence time.Duration
}

// holder is a target that holds a block.
type holder struct {
	tenure uint32
	// since is the last known use, in seconds of the process's time.
	since uint32
}

// entry is one block. newer and older link the entries by recency; free
// entries are linked by older.
type entry struct {
	key     mulberrybeam.BlockKey
	holders [MaxHolders]holder
	newer   uint32
	older   uint32
}

// belief is what is known of one target. Entries name a target by its tenure;
// a new tenure drops everything believed of it in constant time.
type belief struct {
	tenure   uint32
	instance mulberrybeam.InstanceID
	previous mulberrybeam.InstanceID
	sequence uint64
}

// Option changes a setting of an Indexer.
type Option func(*Indexer)

// WithBlocks bounds the number of blocks in the index, 1 at least.
func WithBlocks(blocks int) Option {
	return func(x *Indexer) { x.maxBlocks = max(1, blocks) }
}

// New returns an empty index.
func New(options ...Option) *Indexer {
	x := &Indexer{
		maxBlocks: DefaultBlocks,
		blocks:    map[mulberrybeam.BlockKey]uint32{},
		newest:    none,
		oldest:    none,
		free:      none,
		beliefs:   map[mulberrybeam.TargetID]*belief{},
		targets:   map[uint32]mulberrybeam.TargetID{},
	}
	for _, option := range options {
		option(x)
	}
	return x
}

// Sent notes that a target has computed or imported the context of keys. The
// instance is the one that answered, or empty when it is not known. Times are
// monotonic since process start.
func (x *Indexer) Sent(now time.Duration, target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, keys []mulberrybeam.BlockKey) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	known := x.belief(target)
	if instance != "" && !x.meet(target, known, instance) {
		return
	}
	// The first block becomes the most recent, so that the end of a context
	// leaves the index before its beginning, without which it is useless.
	for i := len(keys) - 1; i >= 0; i-- {
		x.add(keys[i], holder{known.tenure, seconds(now)})
	}
}

// Apply takes one cache event. A gap in the sequence or a new instance drops
// what was believed of the target; an event that is a duplicate, late, or of
// the instance before is ignored.
func (x *Indexer) Apply(now time.Duration, event mulberrybeam.CacheEvent) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	known := x.belief(event.Target)
	if !x.meet(event.Target, known, event.Instance) || event.Sequence <= known.sequence {
		return
	}
	if event.Sequence != known.sequence+1 {
		x.drop(event.Target, known)
	}
	known.sequence = event.Sequence
	for _, key := range event.Removed {
		x.remove(key, known.tenure, now)
	}
	for i := len(event.Stored) - 1; i >= 0; i-- {
		x.add(event.Stored[i], holder{known.tenure, seconds(now)})
	}
}

// Drop forgets what is believed of a target's cache, for example after its
// connection broke.
func (x *Indexer) Drop(target mulberrybeam.TargetID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if known := x.beliefs[target]; known != nil {
		x.drop(target, known)
	}
}

// Forget removes a target that is no longer declared.
func (x *Indexer) Forget(target mulberrybeam.TargetID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if known := x.beliefs[target]; known != nil {
		delete(x.targets, known.tenure)
		delete(x.beliefs, target)
	}
}

// Describes says whether the beliefs about a target are about this instance.
// Another process may have seen the target restart first.
func (x *Indexer) Describes(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID) bool {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	known := x.beliefs[target]
	return known != nil && known.instance == instance
}

// CachedBlocks counts the leading keys that a target is believed to hold.
func (x *Indexer) CachedBlocks(now time.Duration, target mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	known := x.beliefs[target]
	if known == nil {
		return 0
	}
	for i, key := range keys {
		at, found := x.blocks[key]
		if !found {
			return i
		}
		place := x.entries[at].find(known.tenure)
		if place < 0 || !x.trusted(now, x.entries[at].holders[place]) {
			return i
		}
	}
	return len(keys)
}

// Holders returns up to MaxHolders targets that are believed to hold the
// longest part of keys that any target holds, the latest first.
func (x *Indexer) Holders(now time.Duration, keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	for i := len(keys) - 1; i >= 0; i-- {
		at, found := x.blocks[keys[i]]
		if !found {
			continue
		}
		var holders []mulberrybeam.TargetID
		for _, holder := range x.entries[at].holders {
			if target, valid := x.targets[holder.tenure]; valid && x.trusted(now, holder) {
				holders = append(holders, target)
			}
		}
		if len(holders) > 0 {
			return holders
		}
	}
	return nil
}

// Blocks returns the number of blocks in the index.
func (x *Indexer) Blocks() int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return len(x.blocks)
}

// Residence returns the average time from the last known use of a block to its
// removal, or 0 before the first removal.
func (x *Indexer) Residence() time.Duration {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return x.residence
}

// Sequence returns the sequence number of the last event applied for a
// target, to ask for the ones after it.
func (x *Indexer) Sequence(target mulberrybeam.TargetID) uint64 {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	if known := x.beliefs[target]; known != nil {
		return known.sequence
	}
	return 0
}

// trusted says whether a block is probably still there.
func (x *Indexer) trusted(now time.Duration, h holder) bool {
	return x.residence == 0 || age(now, h) <= x.residence
}

func age(now time.Duration, h holder) time.Duration {
	return now - time.Duration(h.since)*time.Second
}

func seconds(now time.Duration) uint32 {
	return uint32(now / time.Second)
}

func (x *Indexer) belief(target mulberrybeam.TargetID) *belief {
	known := x.beliefs[target]
	if known == nil {
		known = &belief{tenure: none}
		x.beliefs[target] = known
		x.drop(target, known)
	}
	return known
}

// meet compares the instance that reported something with the known one. It
// returns false for the instance before, whose late news are worthless.
func (x *Indexer) meet(target mulberrybeam.TargetID, known *belief, instance mulberrybeam.InstanceID) bool {
	switch instance {
	case known.instance:
		return true
	case known.previous:
		return false
	}
	if known.instance != "" {
		x.drop(target, known)
	}
	known.previous = known.instance
	known.instance = instance
	known.sequence = 0
	return true
}

func (x *Indexer) drop(target mulberrybeam.TargetID, known *belief) {
	delete(x.targets, known.tenure)
	known.tenure = x.nextTenure
	x.targets[known.tenure] = target
	x.nextTenure++
	if x.nextTenure == none {
		x.nextTenure = 0
	}
}
