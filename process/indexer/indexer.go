// Package indexer keeps what this process believes the prefix caches of the
// targets to hold, from its own sends and from the targets' cache events.
//
// A wrong belief costs an estimate, never correctness: the engine looks the
// keys up in its own cache. The index is shared between traffic goroutines
// and the goroutines that fetch cache events; control code must not call it.
package indexer

import (
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// DefaultBlocks bounds the blocks in the index. At the 108 bytes a block
	// that BenchmarkEntry measured this is 28 MB.
	DefaultBlocks = 1 << 18
	// MaxHolders is the number of targets remembered for a block. A prefix
	// that all prompts of a workspace share spreads over more targets; the
	// latest ones are kept.
	MaxHolders = 8
	// BeliefTime is how long an own send is believed to be in the cache of a
	// target whose cache events another process fetches. Prompts return after
	// minutes, when a bounded cache has mostly been filled by others.
	BeliefTime = time.Minute
	// FollowTime is how long after the last answer to a question for cache
	// events this process counts as the one that fetches them.
	FollowTime = 5 * time.Second
)

// none ends the lists of entries, and no target has it as tenure.
const none = ^uint32(0)

// Indexer is the index of one process. Its methods may be called from several
// goroutines.
type Indexer struct {
	mutex     sync.RWMutex
	now       func() time.Duration
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
}

// entry is one block. newer and older link the entries by recency; free
// entries are linked by older.
type entry struct {
	key     mulberrybeam.BlockKey
	holders [MaxHolders]uint32
	newer   uint32
	older   uint32
	// noted is when the block was last added, in seconds.
	noted uint32
}

// belief is what is known of one target. Entries name a target by its tenure;
// a new tenure drops everything believed of it in constant time.
type belief struct {
	tenure   uint32
	instance mulberrybeam.InstanceID
	previous mulberrybeam.InstanceID
	sequence uint64
	// followed says that this process has fetched cache events, the last
	// time at followedAt.
	followed   bool
	followedAt time.Duration
}

// Option changes a setting of an Indexer.
type Option func(*Indexer)

// WithBlocks bounds the number of blocks in the index, 1 at least.
func WithBlocks(blocks int) Option {
	return func(x *Indexer) { x.maxBlocks = max(1, blocks) }
}

// WithClock sets the monotonic clock.
func WithClock(now func() time.Duration) Option { return func(x *Indexer) { x.now = now } }

// New returns an empty index.
func New(options ...Option) *Indexer {
	begin := time.Now()
	x := &Indexer{
		now:       func() time.Duration { return time.Since(begin) },
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
// instance is the one that answered, or empty when it is not known.
func (x *Indexer) Sent(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, keys []mulberrybeam.BlockKey) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	known := x.belief(target)
	if instance != "" && !x.meet(target, known, instance) {
		return
	}
	// The first block becomes the most recent, so that the end of a context
	// leaves the index before its beginning, without which it is useless.
	now := x.now()
	for i := len(keys) - 1; i >= 0; i-- {
		x.add(keys[i], known.tenure, now)
	}
}

// Apply takes one cache event. A gap in the sequence or a new instance drops
// what was believed of the target; an event that is a duplicate, late, or of
// the instance before is ignored.
func (x *Indexer) Apply(event mulberrybeam.CacheEvent) {
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
		x.remove(key, known.tenure)
	}
	now := x.now()
	for i := len(event.Stored) - 1; i >= 0; i-- {
		x.add(event.Stored[i], known.tenure, now)
	}
}

// Follow notes that the target answered a question for its cache events.
func (x *Indexer) Follow(target mulberrybeam.TargetID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	known := x.belief(target)
	known.followed, known.followedAt = true, x.now()
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

// CachedBlocks counts the leading keys that a target is believed to hold.
func (x *Indexer) CachedBlocks(target mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	known := x.beliefs[target]
	if known == nil {
		return 0
	}
	now := x.now()
	for i, key := range keys {
		at, found := x.blocks[key]
		if !found || x.entries[at].find(known.tenure) < 0 || !x.believed(&x.entries[at], known, now) {
			return i
		}
	}
	return len(keys)
}

// believed says whether a target that held a block is believed to hold it
// still. Without its cache events nothing tells that it removed the block.
func (x *Indexer) believed(e *entry, known *belief, now time.Duration) bool {
	follows := known.followed && now-known.followedAt <= FollowTime
	return follows || now-time.Duration(e.noted)*time.Second <= BeliefTime
}

// Holders returns up to MaxHolders targets that are believed to hold the
// longest part of keys that any target holds, the latest first.
func (x *Indexer) Holders(keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	now := x.now()
	for i := len(keys) - 1; i >= 0; i-- {
		at, found := x.blocks[keys[i]]
		if !found {
			continue
		}
		var holders []mulberrybeam.TargetID
		for _, tenure := range x.entries[at].holders {
			if target, valid := x.targets[tenure]; valid && x.believed(&x.entries[at], x.beliefs[target], now) {
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

// Instance returns the instance that the beliefs of a target are about, empty
// when it is not known.
func (x *Indexer) Instance(target mulberrybeam.TargetID) mulberrybeam.InstanceID {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	if known := x.beliefs[target]; known != nil {
		return known.instance
	}
	return ""
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
