// Package indexer keeps an approximate index of the blocks in the prefix caches
// of targets. It is built from the requests that this process sends and from the
// cache events of targets.
//
// A wrong entry makes an estimate worse but never affects correctness, since the
// engine looks the keys up in its own cache. A process gets cache events only
// from the targets that it polls. From these events it learns how long blocks
// stay in a cache, and it ignores entries of any target that are older. The
// index is shared by the goroutines that handle requests and those that fetch
// cache events; control code must not call it.
package indexer

import (
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// DefaultBlocks is the default limit of blocks in the index. At 103 bytes
	// per block (see BenchmarkIndex), a full index takes 27 MB.
	DefaultBlocks = 1 << 18
	// MaxHolders is the number of targets kept for a block. A prefix that all
	// prompts of a workspace share may be held by more targets, of which the
	// most recently used are kept.
	MaxHolders = 4
	// residenceWeight is the weight of one removed block in the moving average
	// of the residence, which adapts to a new load within a few hundred
	// removals.
	residenceWeight = 1.0 / 128
)

// none marks the end of a list of entries and an unused holder. It is never the
// tenure of a target.
const none = ^uint32(0)

// Indexer is the index of one process. Its methods are safe for concurrent use.
type Indexer struct {
	mutex     sync.RWMutex
	maxBlocks int
	blocks    map[mulberrybeam.BlockKey]uint32
	entries   []entry
	newest    uint32
	oldest    uint32
	free      uint32
	beliefs   map[mulberrybeam.TargetID]*belief
	// targets maps valid tenures to their targets.
	targets    map[uint32]mulberrybeam.TargetID
	nextTenure uint32
	// residence is the moving average of the time from the last known use of
	// a block to its removal, 0 before the first removal.
	residence time.Duration
}

// holder is a target that holds a block.
type holder struct {
	tenure uint32
	// since is the time of the last known use, in seconds since process start.
	since uint32
}

// entry is one block. newer and older link the entries in the order of their
// last use. In the free list, entries are linked by older.
type entry struct {
	key     mulberrybeam.BlockKey
	holders [MaxHolders]holder
	newer   uint32
	older   uint32
}

// belief is the state of one target. Entries refer to a target by its tenure, so
// that a new tenure invalidates all entries of the target in constant time.
type belief struct {
	tenure   uint32
	instance mulberrybeam.InstanceID
	previous mulberrybeam.InstanceID
	sequence uint64
}

// Option configures an Indexer.
type Option func(*Indexer)

// WithBlocks sets the maximum number of blocks in the index, which is at least
// 1.
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

// Sent records that a target has computed or imported the context of keys.
// instance is the instance that answered, or empty if it is not known. now is the
// monotonic time since process start.
func (x *Indexer) Sent(now time.Duration, target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, keys []mulberrybeam.BlockKey) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	known := x.belief(target)
	if instance != "" && !x.meet(target, known, instance) {
		return
	}
	// The first block is added last and so becomes the most recently used. The
	// end of a context is evicted before its beginning, without which the rest
	// is useless.
	for i := len(keys) - 1; i >= 0; i-- {
		x.add(keys[i], holder{known.tenure, seconds(now)})
	}
}

// Apply applies one cache event. A gap in the sequence or a new instance
// invalidates all entries of the target. Events that are duplicate, late or from
// the previous instance are ignored.
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

// Drop invalidates all entries of a target, for example after a connection to it
// broke.
func (x *Indexer) Drop(target mulberrybeam.TargetID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if known := x.beliefs[target]; known != nil {
		x.drop(target, known)
	}
}

// Forget removes the state of a target that is no longer declared.
func (x *Indexer) Forget(target mulberrybeam.TargetID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if known := x.beliefs[target]; known != nil {
		delete(x.targets, known.tenure)
		delete(x.beliefs, target)
	}
}

// Describes reports whether the entries of a target are about this instance.
// Another process may have been the first to see the target restart.
func (x *Indexer) Describes(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID) bool {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	known := x.beliefs[target]
	return known != nil && known.instance == instance
}

// CachedBlocks returns the number of leading keys that a target probably holds.
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

// Holders returns up to MaxHolders targets that probably hold the longest prefix
// of keys that any target holds, most recently used first.
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

// Residence returns the moving average of the time from the last known use of a
// block to its removal, or 0 before the first removal.
func (x *Indexer) Residence() time.Duration {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return x.residence
}

// Sequence returns the sequence number of the last event that was applied for a
// target. The caller fetches the events after it.
func (x *Indexer) Sequence(target mulberrybeam.TargetID) uint64 {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	if known := x.beliefs[target]; known != nil {
		return known.sequence
	}
	return 0
}

// trusted reports whether a holder probably still has its block.
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

// meet compares the instance that sent a report with the known one. A new
// instance invalidates all entries of the target. It returns false for the
// previous instance, whose late reports are ignored.
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

// drop invalidates all entries of a target by giving it a new tenure.
func (x *Indexer) drop(target mulberrybeam.TargetID, known *belief) {
	delete(x.targets, known.tenure)
	known.tenure = x.nextTenure
	x.targets[known.tenure] = target
	x.nextTenure++
	if x.nextTenure == none {
		x.nextTenure = 0
	}
}
