// Package indexer keeps an approximate index of the blocks in the prefix caches
// of targets. It is built from the requests that this process sends and from
// the cache events of targets.
//
// A wrong entry makes an estimate worse but never affects correctness, since
// the engine looks the keys up in its own cache. A process gets cache events
// only from the targets that it polls. From these events it learns how long
// blocks stay in a cache, and it ignores entries of any target that are older.
// The index is shared by the goroutines that handle requests and those that
// fetch cache events; control code must not call it.
package indexer

import (
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// DefaultMaxBlocks is the default limit of blocks in the index. At 103 bytes
	// per block (see BenchmarkIndex), a full index takes 27 MB.
	DefaultMaxBlocks = 1 << 18
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
// generation of a target.
const none = ^uint32(0)

// Indexer is the index of one process. Its methods are safe for concurrent use.
type Indexer struct {
	mutex     sync.RWMutex
	maxBlocks int
	blocks    map[mulberrybeam.BlockKey]uint32
	entries   []entry
	newest    uint32
	oldest    uint32
	firstFree uint32
	states    map[mulberrybeam.TargetID]*targetState
	// targetByGeneration maps valid generations to their targets.
	targetByGeneration map[uint32]mulberrybeam.TargetID
	nextGeneration     uint32
	// residence is the moving average of the time from the last known use of
	// a block to its removal, 0 before the first removal.
	residence time.Duration
}

// holder is a target that holds a block.
type holder struct {
	generation uint32
	// lastUsed is the time of the last known use, in seconds since process
	// start.
	lastUsed uint32
}

// entry is one block. newer and older link the entries in the order of their
// last use. In the free list, entries are linked by older.
type entry struct {
	key     mulberrybeam.BlockKey
	holders [MaxHolders]holder
	newer   uint32
	older   uint32
}

// targetState is the state of one target. Entries refer to a target by its
// generation, so that a new generation invalidates all entries of the target in
// constant time.
type targetState struct {
	generation uint32
	instance   mulberrybeam.InstanceID
	previous   mulberrybeam.InstanceID
	sequence   uint64
}

// Option configures an Indexer.
type Option func(*Indexer)

// WithMaxBlocks sets the maximum number of blocks in the index, which is at least
// 1.
func WithMaxBlocks(blocks int) Option {
	return func(ix *Indexer) { ix.maxBlocks = max(1, blocks) }
}

// New returns an empty index.
func New(options ...Option) *Indexer {
	ix := &Indexer{
		maxBlocks:          DefaultMaxBlocks,
		blocks:             map[mulberrybeam.BlockKey]uint32{},
		newest:             none,
		oldest:             none,
		firstFree:          none,
		states:             map[mulberrybeam.TargetID]*targetState{},
		targetByGeneration: map[uint32]mulberrybeam.TargetID{},
	}
	for _, option := range options {
		option(ix)
	}
	return ix
}

// RecordSent records that a target has computed or imported the context of keys.
// instance is the instance that answered, or empty if it is not known. now is
// the monotonic time since process start.
func (ix *Indexer) RecordSent(now time.Duration, target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, keys []mulberrybeam.BlockKey) {
	ix.mutex.Lock()
	defer ix.mutex.Unlock()
	state := ix.state(target)
	if instance != "" && !ix.acceptInstance(target, state, instance) {
		return
	}
	// The first block is added last and so becomes the most recently used. The
	// end of a context is evicted before its beginning, without which the rest
	// is useless.
	for i := len(keys) - 1; i >= 0; i-- {
		ix.addHolder(keys[i], holder{state.generation, wholeSeconds(now)})
	}
}

// Apply applies one cache event. A gap in the sequence or a new instance
// invalidates all entries of the target. Events that are duplicate, late or
// from the previous instance are ignored.
func (ix *Indexer) Apply(now time.Duration, event mulberrybeam.CacheEvent) {
	ix.mutex.Lock()
	defer ix.mutex.Unlock()
	state := ix.state(event.Target)
	if !ix.acceptInstance(event.Target, state, event.Instance) || event.Sequence <= state.sequence {
		return
	}
	if event.Sequence != state.sequence+1 {
		ix.invalidate(event.Target, state)
	}
	state.sequence = event.Sequence
	for _, key := range event.Removed {
		ix.removeHolder(key, state.generation, now)
	}
	for i := len(event.Stored) - 1; i >= 0; i-- {
		ix.addHolder(event.Stored[i], holder{state.generation, wholeSeconds(now)})
	}
}

// Invalidate invalidates all entries of a target, for example after a connection to
// it broke.
func (ix *Indexer) Invalidate(target mulberrybeam.TargetID) {
	ix.mutex.Lock()
	defer ix.mutex.Unlock()
	if state := ix.states[target]; state != nil {
		ix.invalidate(target, state)
	}
}

// RemoveTarget removes the state of a target that is no longer declared.
func (ix *Indexer) RemoveTarget(target mulberrybeam.TargetID) {
	ix.mutex.Lock()
	defer ix.mutex.Unlock()
	if state := ix.states[target]; state != nil {
		delete(ix.targetByGeneration, state.generation)
		delete(ix.states, target)
	}
}

// Tracks reports whether the entries of a target are about this instance.
// Another process may have been the first to see the target restart.
func (ix *Indexer) Tracks(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID) bool {
	ix.mutex.RLock()
	defer ix.mutex.RUnlock()
	state := ix.states[target]
	return state != nil && state.instance == instance
}

// CachedBlocks returns the number of leading keys that a target probably holds.
func (ix *Indexer) CachedBlocks(now time.Duration, target mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int {
	ix.mutex.RLock()
	defer ix.mutex.RUnlock()
	state := ix.states[target]
	if state == nil {
		return 0
	}
	for i, key := range keys {
		entryIndex, found := ix.blocks[key]
		if !found {
			return i
		}
		holderIndex := ix.entries[entryIndex].findHolder(state.generation)
		if holderIndex < 0 || !ix.probablyHeld(now, ix.entries[entryIndex].holders[holderIndex]) {
			return i
		}
	}
	return len(keys)
}

// Holders returns up to MaxHolders targets that probably hold the longest
// prefix of keys that any target holds, most recently used first.
func (ix *Indexer) Holders(now time.Duration, keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID {
	ix.mutex.RLock()
	defer ix.mutex.RUnlock()
	for i := len(keys) - 1; i >= 0; i-- {
		entryIndex, found := ix.blocks[keys[i]]
		if !found {
			continue
		}
		var holders []mulberrybeam.TargetID
		for _, holder := range ix.entries[entryIndex].holders {
			if target, valid := ix.targetByGeneration[holder.generation]; valid && ix.probablyHeld(now, holder) {
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
func (ix *Indexer) Blocks() int {
	ix.mutex.RLock()
	defer ix.mutex.RUnlock()
	return len(ix.blocks)
}

// AverageResidence returns the moving average of the time from the last known use of a
// block to its removal, or 0 before the first removal.
func (ix *Indexer) AverageResidence() time.Duration {
	ix.mutex.RLock()
	defer ix.mutex.RUnlock()
	return ix.residence
}

// LastSequence returns the sequence number of the last event that was applied for a
// target. The caller fetches the events after it.
func (ix *Indexer) LastSequence(target mulberrybeam.TargetID) uint64 {
	ix.mutex.RLock()
	defer ix.mutex.RUnlock()
	if state := ix.states[target]; state != nil {
		return state.sequence
	}
	return 0
}

// probablyHeld reports whether a holder probably still has its block.
func (ix *Indexer) probablyHeld(now time.Duration, h holder) bool {
	return ix.residence == 0 || age(now, h) <= ix.residence
}

func age(now time.Duration, h holder) time.Duration {
	return now - time.Duration(h.lastUsed)*time.Second
}

func wholeSeconds(now time.Duration) uint32 {
	return uint32(now / time.Second)
}

func (ix *Indexer) state(target mulberrybeam.TargetID) *targetState {
	state := ix.states[target]
	if state == nil {
		state = &targetState{generation: none}
		ix.states[target] = state
		ix.invalidate(target, state)
	}
	return state
}

// acceptInstance compares the instance that sent a report with the known one. A
// new instance invalidates all entries of the target. It returns false for the
// previous instance, whose late reports are ignored.
func (ix *Indexer) acceptInstance(target mulberrybeam.TargetID, state *targetState, instance mulberrybeam.InstanceID) bool {
	switch instance {
	case state.instance:
		return true
	case state.previous:
		return false
	}
	if state.instance != "" {
		ix.invalidate(target, state)
	}
	state.previous = state.instance
	state.instance = instance
	state.sequence = 0
	return true
}

// invalidate drops all entries of a target by giving it a new generation.
func (ix *Indexer) invalidate(target mulberrybeam.TargetID, state *targetState) {
	delete(ix.targetByGeneration, state.generation)
	state.generation = ix.nextGeneration
	ix.targetByGeneration[state.generation] = target
	ix.nextGeneration++
	if ix.nextGeneration == none {
		ix.nextGeneration = 0
	}
}
