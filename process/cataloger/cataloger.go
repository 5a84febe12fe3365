// Package cataloger keeps what the stores of kept context have. It follows each
// store's events and has context of replaced weights removed.
package cataloger

import (
	"sync"
	"time"

	"mulberrybeam"
)

const (
	// fresh is how long after a store's last answer its content counts. A
	// store that restarts is away for longer, so that a part that is written
	// anew is not taken for the old one.
	fresh = 1900 * time.Millisecond
	// claimTime is how long another request leaves a part's writing to the
	// one before it.
	claimTime = 2500 * time.Millisecond
	// fillShare is the part of a store that is filled. What is being written
	// is not known to all processes.
	fillShare = 0.97
)

// Cataloger holds the content of stores. Its methods may be called from any
// goroutine of traffic or of the stores' feeds. Control never takes its lock.
type Cataloger struct {
	now func() time.Duration

	mutex  sync.Mutex
	stores map[string]*content
	holder map[mulberrybeam.PartKey]string
	claims map[mulberrybeam.PartKey]time.Duration
	// clock is the engines' clock at local time 0, 0 while it is not known.
	clock mulberrybeam.EngineClock
}

// content is what one store has.
type content struct {
	boot     uint64
	capacity int
	used     int
	parts    map[mulberrybeam.PartKey]int
	// confirmedAt is when the store last answered.
	confirmedAt time.Duration
	known       bool
}

// New returns an empty catalog.
func New(now func() time.Duration) *Cataloger {
	return &Cataloger{
		now: now, stores: map[string]*content{}, holder: map[mulberrybeam.PartKey]string{}, claims: map[mulberrybeam.PartKey]time.Duration{},
	}
}

// Holder returns the store that surely has a part whole.
func (c *Cataloger) Holder(key mulberrybeam.PartKey) (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, found := c.holder[key]
	if !found || !c.isFresh(c.stores[address]) {
		return "", false
	}
	return address, true
}

// Writable says whether a store answers and has room for tokens more.
func (c *Cataloger) Writable(address string, tokens int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	return s != nil && c.isFresh(s) && float64(s.used+tokens) <= fillShare*float64(s.capacity)
}

// Claim says whether this process should have a part written now.
func (c *Cataloger) Claim(key mulberrybeam.PartKey) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if until, claimed := c.claims[key]; claimed && now < until {
		return false
	}
	if _, held := c.holder[key]; held {
		// The store has it but does not answer.
		return false
	}
	c.claims[key] = now + claimTime
	return true
}

func (c *Cataloger) isFresh(s *content) bool {
	return s != nil && s.known && c.now()-s.confirmedAt < fresh
}

// Clock returns the present reading of the engines' clock, or false when no
// store has told it yet.
func (c *Cataloger) Clock() (mulberrybeam.EngineClock, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clock + mulberrybeam.EngineClock(c.now()), c.clock != 0
}

// replace takes a whole list of a store.
func (c *Cataloger) replace(address string, list mulberrybeam.PartList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil {
		return
	}
	c.empty(address, s)
	s.boot, s.known, s.confirmedAt = list.Boot, true, c.now()
	for _, part := range list.Parts {
		c.add(address, s, part)
	}
}

// apply takes changes of a store and says whether they follow on what is
// known.
func (c *Cataloger) apply(address string, changes mulberrybeam.PartChanges) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil {
		return false
	}
	if changes.Boot != s.boot || changes.Lost {
		c.empty(address, s)
		s.known = false
		return false
	}
	s.confirmedAt = c.now()
	if changes.Clock > 0 {
		c.clock = changes.Clock - mulberrybeam.EngineClock(s.confirmedAt)
	}
	for _, change := range changes.Changes {
		if change.Stored {
			c.add(address, s, change)
		} else {
			c.remove(address, s, change.Key)
		}
	}
	return true
}

func (c *Cataloger) add(address string, s *content, part mulberrybeam.PartChange) {
	s.used += part.Tokens - s.parts[part.Key]
	s.parts[part.Key] = part.Tokens
	c.holder[part.Key] = address
	delete(c.claims, part.Key)
}

func (c *Cataloger) remove(address string, s *content, key mulberrybeam.PartKey) {
	s.used -= s.parts[key]
	delete(s.parts, key)
	if c.holder[key] == address {
		delete(c.holder, key)
	}
}

func (c *Cataloger) empty(address string, s *content) {
	for key := range s.parts {
		c.remove(address, s, key)
	}
}

// removed takes parts out that the process itself has removed, since the
// store's events may not arrive.
func (c *Cataloger) removed(address string, boot uint64, keys []mulberrybeam.PartKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil || s.boot != boot {
		return
	}
	for _, key := range keys {
		c.remove(address, s, key)
	}
}

// lose forgets the content of a store that does not answer, so that it is
// listed anew.
func (c *Cataloger) lose(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s := c.stores[address]; s != nil {
		c.empty(address, s)
		s.known = false
	}
}

// track starts the record of a store.
func (c *Cataloger) track(store mulberrybeam.ContextStore) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stores[store.Address] == nil {
		c.stores[store.Address] = &content{capacity: store.Capacity, parts: map[mulberrybeam.PartKey]int{}}
	}
}

func (c *Cataloger) drop(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s := c.stores[address]; s != nil {
		c.empty(address, s)
		delete(c.stores, address)
	}
}

// selectParts returns the parts of a store that match, and its boot number.
func (c *Cataloger) selectParts(address string, match func(mulberrybeam.PartKey) bool) ([]mulberrybeam.PartKey, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil || !s.known {
		return nil, 0
	}
	var keys []mulberrybeam.PartKey
	for key := range s.parts {
		if match(key) {
			keys = append(keys, key)
		}
	}
	return keys, s.boot
}

// sweep drops claims that have ended.
func (c *Cataloger) sweep() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for key, until := range c.claims {
		if now >= until {
			delete(c.claims, key)
		}
	}
}
