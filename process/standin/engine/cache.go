package engine

import (
	"container/list"
	"time"
)

// maxHistory is the number of cache events kept for publication, and of load
// samples kept for lagging reports. Older ones are dropped.
const maxHistory = 4096

// block is one entry of the prefix cache.
type block struct {
	key     string
	salt    string
	version string
}

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	sequence uint64
	at       time.Time
	stored   []string
	removed  []string
}

// prefixCache is a cache of context blocks with LRU eviction. Engine.mu guards
// it.
type prefixCache struct {
	limit int
	// dropEvery is the interval in events at which one is dropped; 0 drops
	// none.
	dropEvery int
	// recency lists the blocks, most recently used first.
	recency  *list.List
	blocks   map[string]*list.Element
	events   []cacheEvent
	sequence uint64
}

func newPrefixCache(limit, dropEvery int) *prefixCache {
	return &prefixCache{limit: limit, dropEvery: dropEvery, recency: list.New(), blocks: map[string]*list.Element{}}
}

// lookup returns the number of leading keys that are cached under a salt and
// their blocks, and marks these as recently used. The first key becomes the
// most recently used one, so that a prefix is evicted from its end.
func (c *prefixCache) lookup(salt string, keys []string) (int, []block) {
	var hits []block
	for _, key := range keys {
		element, found := c.blocks[salt+"/"+key]
		if !found {
			break
		}
		hits = append(hits, element.Value.(block))
	}
	for i := len(hits) - 1; i >= 0; i-- {
		c.recency.MoveToFront(c.blocks[salt+"/"+keys[i]])
	}
	return len(hits), hits
}

// store adds blocks, evicts the least recently used ones above the limit and
// publishes both changes as one event.
func (c *prefixCache) store(now time.Time, salt, version string, keys []string) {
	var stored, removed []string
	for i := len(keys) - 1; i >= 0; i-- {
		name := salt + "/" + keys[i]
		if element, found := c.blocks[name]; found {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[name] = c.recency.PushFront(block{key: keys[i], salt: salt, version: version})
		stored = append(stored, keys[i])
	}
	for c.recency.Len() > c.limit {
		oldest := c.recency.Remove(c.recency.Back()).(block)
		delete(c.blocks, oldest.salt+"/"+oldest.key)
		removed = append(removed, oldest.key)
	}
	if len(stored)+len(removed) > 0 {
		c.publish(now, stored, removed)
	}
}

func (c *prefixCache) publish(now time.Time, stored, removed []string) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{c.sequence, now, stored, removed})
	if len(c.events) > maxHistory {
		c.events = c.events[len(c.events)-maxHistory:]
	}
}

// eventsAfter returns the events after a sequence number that happened no later
// than until.
func (c *prefixCache) eventsAfter(sequence uint64, until time.Time) []cacheEvent {
	var events []cacheEvent
	for _, event := range c.events {
		if event.sequence > sequence && !event.at.After(until) {
			events = append(events, event)
		}
	}
	return events
}
