// Package cataloger keeps a catalog of the parts of prompts whose context is
// held by context stores. It follows the change feed of each store and removes
// parts that were computed with outdated weights.
package cataloger

import (
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
)

const (
	// contentTTL is how long the known content of a store is valid after its
	// last answer.
	contentTTL = 1900 * time.Millisecond
	// answerDelay is how long an answer of a store may be on its way.
	answerDelay = 300 * time.Millisecond
	// settleTime is how long no parts are written to a store whose new run this process
	// has noticed. Until then other processes may rely on the content of the run
	// before, and their fetches may be in progress; a fetch does not notice that the
	// part is being written again.
	settleTime = answerDelay + contentTTL + fetcher.MaxFetchTime
	// settledFillRatio is the part of a store's capacity that is not filled while it
	// settles. Only parts that were ordered before the restart arrive in that time.
	settledFillRatio = 0.25
	// claimTTL is how long the claim of one request keeps others from writing
	// the same part.
	claimTTL = 2500 * time.Millisecond
	// maxFillRatio is the part of a store's capacity that may be filled. The
	// rest is left for parts being written, which not all processes know of.
	maxFillRatio = 0.97
)

// Cataloger holds the known content of context stores. Its methods are safe for
// concurrent use by request goroutines and the feeds of the stores. The control
// goroutine never takes its lock.
type Cataloger struct {
	now func() time.Duration

	mutex sync.Mutex
	// stores is keyed by address.
	stores map[string]*storeContent
	// storeOfPart maps each part to the address of a store that has it.
	storeOfPart map[mulberrybeam.PartKey]string
	// claims maps parts being written to the end of their claim.
	claims map[mulberrybeam.PartKey]time.Duration
	// clock is the reading of the engines' clock at local monotonic time 0, or
	// 0 while it is not known.
	clock mulberrybeam.EngineClock
}

// storeContent is the known content of one store.
type storeContent struct {
	// boot identifies the run of the store that the content belongs to.
	boot uint64
	// capacity and used are in tokens.
	capacity int
	used     int
	// parts maps parts to their numbers of tokens.
	parts map[mulberrybeam.PartKey]int
	// confirmedAt is when the store last answered.
	confirmedAt time.Duration
	// settledAt is when parts may be written to this run of the store.
	settledAt time.Duration
	// listed is set from the time the store is listed until its content is
	// discarded.
	listed bool
}

// New returns an empty catalog.
func New(now func() time.Duration) *Cataloger {
	return &Cataloger{
		now: now, stores: map[string]*storeContent{}, storeOfPart: map[mulberrybeam.PartKey]string{}, claims: map[mulberrybeam.PartKey]time.Duration{},
	}
}

// StoreOf returns the address of a store that is known to have a complete part.
func (c *Cataloger) StoreOf(key mulberrybeam.PartKey) (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, found := c.storeOfPart[key]
	if !found || !c.isFresh(c.stores[address]) {
		return "", false
	}
	return address, true
}

// Writable reports whether a store answers, has not restarted lately and has room for this
// many more tokens.
func (c *Cataloger) Writable(address string, tokens int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	return s != nil && c.isFresh(s) && c.now() >= s.settledAt && float64(s.used+tokens) <= maxFillRatio*float64(s.capacity)
}

// Claim reports whether the caller should have a part written. If so, further
// calls return false until the claim expires or the part is stored.
func (c *Cataloger) Claim(key mulberrybeam.PartKey) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if until, claimed := c.claims[key]; claimed && now < until {
		return false
	}
	if _, held := c.storeOfPart[key]; held {
		// A store has the part but does not answer at present.
		return false
	}
	c.claims[key] = now + claimTTL
	return true
}

// isFresh reports whether the known content of a store is valid.
func (c *Cataloger) isFresh(s *storeContent) bool {
	return s != nil && s.listed && c.now()-s.confirmedAt < contentTTL
}

// Clock returns the current reading of the engines' clock, or false if no store
// has reported it yet.
func (c *Cataloger) Clock() (mulberrybeam.EngineClock, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clock + mulberrybeam.EngineClock(c.now()), c.clock != 0
}

// applyList replaces the content of a store with a complete list.
func (c *Cataloger) applyList(address string, list mulberrybeam.PartList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil {
		return
	}
	c.removeAllParts(address, s)
	isFirst, isNewRun := s.boot == 0, s.boot != list.Boot
	s.boot, s.listed, s.confirmedAt = list.Boot, true, c.now()
	for _, part := range list.Parts {
		c.addPart(address, s, part)
	}
	// A process that has just started does not know when the run began.
	if isNewRun && !(isFirst && float64(s.used) >= settledFillRatio*float64(s.capacity)) {
		s.settledAt = c.now() + settleTime
	}
}

// applyChanges applies changes of a store. It returns false if the store must
// be listed again, because it restarted or changes are missing.
func (c *Cataloger) applyChanges(address string, changes mulberrybeam.PartChanges) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil {
		return false
	}
	if changes.Boot != s.boot || changes.Lost {
		c.removeAllParts(address, s)
		s.listed = false
		return false
	}
	s.confirmedAt = c.now()
	if changes.Clock > 0 {
		c.clock = changes.Clock - mulberrybeam.EngineClock(s.confirmedAt)
	}
	for _, change := range changes.Changes {
		if change.Stored {
			c.addPart(address, s, change)
		} else {
			c.removePart(address, s, change.Key)
		}
	}
	return true
}

func (c *Cataloger) addPart(address string, s *storeContent, part mulberrybeam.PartChange) {
	s.used += part.Tokens - s.parts[part.Key]
	s.parts[part.Key] = part.Tokens
	c.storeOfPart[part.Key] = address
	delete(c.claims, part.Key)
}

func (c *Cataloger) removePart(address string, s *storeContent, key mulberrybeam.PartKey) {
	s.used -= s.parts[key]
	delete(s.parts, key)
	if c.storeOfPart[key] == address {
		delete(c.storeOfPart, key)
	}
}

func (c *Cataloger) removeAllParts(address string, s *storeContent) {
	for key := range s.parts {
		c.removePart(address, s, key)
	}
}

// applyRemoval applies a removal that this process requested itself, since the
// change events of the store may not arrive.
func (c *Cataloger) applyRemoval(address string, boot uint64, keys []mulberrybeam.PartKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil || s.boot != boot {
		return
	}
	for _, key := range keys {
		c.removePart(address, s, key)
	}
}

// discardContent discards the content of a store that does not answer. The
// store is listed again afterwards.
func (c *Cataloger) discardContent(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s := c.stores[address]; s != nil {
		c.removeAllParts(address, s)
		s.listed = false
	}
}

// addStore adds a store with unknown content.
func (c *Cataloger) addStore(store mulberrybeam.ContextStore) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stores[store.Address] == nil {
		c.stores[store.Address] = &storeContent{capacity: store.Capacity, parts: map[mulberrybeam.PartKey]int{}}
	}
}

// removeStore removes a store and its content.
func (c *Cataloger) removeStore(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s := c.stores[address]; s != nil {
		c.removeAllParts(address, s)
		delete(c.stores, address)
	}
}

// selectParts returns the parts of a store that match, and the boot number that
// they belong to.
func (c *Cataloger) selectParts(address string, match func(mulberrybeam.PartKey) bool) ([]mulberrybeam.PartKey, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.stores[address]
	if s == nil || !s.listed {
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

// removeExpiredClaims removes claims that have expired.
func (c *Cataloger) removeExpiredClaims() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for key, until := range c.claims {
		if now >= until {
			delete(c.claims, key)
		}
	}
}
