package gossiper

import (
	"cmp"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

const (
	// defaultTTL holds for facts that state no time to live.
	defaultTTL = time.Minute
	// defaultExchangeBytes bounds the facts of one exchange. A process
	// takes part in about 8 messages a second, sent and received, so that
	// facts stay below 5 KB/s of its budget of 13 KB/s.
	defaultExchangeBytes = 550
	// digestWindow bounds the entries of one full comparison. Larger
	// stores are compared window by window.
	digestWindow = 64
	// factBytes estimates the fixed part of an encoded fact: stamp, times,
	// numbers and names that repeat within an exchange. Decisions know
	// nothing of the encoding; BenchmarkFleet shows what comes of it.
	factBytes = 40
)

// priorities order facts from the most to the least urgent. Facts that stop
// work come first; load reports, which are restated twice a second, last.
var priorities = map[mulberrybeam.FactKind]int{
	mulberrybeam.FactDrain:  0,
	mulberrybeam.FactCrash:  1,
	mulberrybeam.FactPhase:  2,
	mulberrybeam.FactSlot:   3,
	mulberrybeam.FactDemand: 4,
	mulberrybeam.FactLink:   5,
	mulberrybeam.FactLoad:   6,
}

// urgentPriority is the highest priority number whose facts do not wait for
// the next round.
const urgentPriority = 2

// repaired says whether full comparisons cover a kind. Restatements repair
// the others sooner than a comparison would.
func repaired(kind mulberrybeam.FactKind) bool { return priorities[kind] <= 3 }

type factKey struct {
	kind mulberrybeam.FactKind
	key  string
}

func keyOf(fact mulberrybeam.Fact) factKey { return factKey{fact.Kind, fact.Key} }

func compareKeys(a, b factKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
}

// held is a fact with the local time until which it holds.
type held struct {
	fact  mulberrybeam.Fact
	until time.Duration
	// sends is the number of exchanges that still carry it.
	sends int
	// arrival orders facts by the time at which they came.
	arrival uint64
}

// remaining returns the fact as it is sent: its time to live is what is left
// of it, so that passing a fact on never prolongs it.
func (h *held) remaining(now time.Duration) mulberrybeam.Fact {
	fact := h.fact
	fact.TTL = h.until - now
	return fact
}

// store keeps the facts that hold.
type store struct {
	byKey    map[factKey]*held
	news     map[factKey]*held
	zones    map[mulberrybeam.ZoneName]map[factKey]*held
	arrivals uint64
	cursor   factKey
}

func newStore() store {
	return store{
		byKey: map[factKey]*held{}, news: map[factKey]*held{},
		zones: map[mulberrybeam.ZoneName]map[factKey]*held{},
	}
}

// accept keeps a fact unless a fact with an equal or higher stamp is known.
// Facts from another zone are not sent back to it.
func (s *store) accept(fact mulberrybeam.Fact, now time.Duration, from mulberrybeam.ZoneName) bool {
	if fact.TTL <= 0 {
		fact.TTL = defaultTTL
	}
	key := keyOf(fact)
	if existing := s.byKey[key]; existing != nil && stamper.Compare(fact.Stamp, existing.fact.Stamp) <= 0 {
		return false
	}
	s.arrivals++
	entry := &held{fact: fact, until: now + fact.TTL, sends: transmitBudget, arrival: s.arrivals}
	s.byKey[key] = entry
	s.news[key] = entry
	for zone, waiting := range s.zones {
		if zone != from {
			waiting[key] = entry
		}
	}
	return true
}

// expire drops the facts whose time to live has passed and returns whether
// any of them counts for a snapshot.
func (s *store) expire(now time.Duration) bool {
	dropped := false
	for key, entry := range s.byKey {
		if entry.until > now {
			continue
		}
		dropped = dropped || key.kind == mulberrybeam.FactCrash || key.kind == mulberrybeam.FactLink || key.kind == mulberrybeam.FactDemand
		delete(s.byKey, key)
		delete(s.news, key)
		for _, waiting := range s.zones {
			delete(waiting, key)
		}
	}
	return dropped
}

// fresh returns new facts for one exchange, the most urgent first, and counts
// the exchange.
func (s *store) fresh(now time.Duration, limit int) []mulberrybeam.Fact {
	return s.freshExcept(now, limit, nil)
}

// freshExcept leaves out facts that the other side has just sent.
func (s *store) freshExcept(now time.Duration, limit int, except []mulberrybeam.Fact) []mulberrybeam.Fact {
	candidates := make(map[factKey]*held, len(s.news))
	for key, entry := range s.news {
		candidates[key] = entry
	}
	for _, fact := range except {
		if entry := candidates[keyOf(fact)]; entry != nil && entry.fact.Stamp == fact.Stamp {
			delete(candidates, keyOf(fact))
		}
	}
	chosen := choose(candidates, now, limit)
	for _, fact := range chosen {
		entry := s.byKey[keyOf(fact)]
		entry.sends--
		if entry.sends == 0 {
			delete(s.news, keyOf(fact))
		}
	}
	return chosen
}

// choose returns the facts that fit into the limit in bytes: by priority,
// then the latest first.
func choose(candidates map[factKey]*held, now time.Duration, limit int) []mulberrybeam.Fact {
	ordered := make([]*held, 0, len(candidates))
	for _, entry := range candidates {
		if entry.until > now {
			ordered = append(ordered, entry)
		}
	}
	slices.SortFunc(ordered, func(a, b *held) int {
		return cmp.Or(cmp.Compare(priorities[a.fact.Kind], priorities[b.fact.Kind]), cmp.Compare(b.arrival, a.arrival))
	})
	var chosen []mulberrybeam.Fact
	for _, entry := range ordered {
		limit -= sizeOf(entry.fact)
		// One fact is always sent, so that a fact above the limit spreads.
		if limit < 0 && len(chosen) > 0 {
			break
		}
		chosen = append(chosen, entry.remaining(now))
	}
	return chosen
}

// sizeOf estimates the encoded bytes of a fact. Processes, targets that are
// the key, and names of models and zones repeat within an exchange, where the
// encoding writes them once.
func sizeOf(fact mulberrybeam.Fact) int {
	size := factBytes + len(fact.Key)
	switch {
	case fact.Load != nil:
		size += len(fact.Load.Instance)
	case fact.Phase != nil:
		size += len(fact.Phase.Instance)
	case fact.Slot != nil:
		size += len(fact.Slot.Address)
	case fact.Crash != nil:
		size += len(fact.Crash.Fingerprint)
	}
	return size
}

// digest returns the next window of the facts in the order of their keys. The
// windows overlap by one entry, so that they leave no gaps.
func (s *store) digest(now time.Duration) []mulberrybeam.FactDigest {
	keys := s.repairedKeys(now)
	if len(keys) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(keys, s.cursor, compareKeys)
	if at >= len(keys)-1 {
		at = 0
	}
	window := keys[at:min(len(keys), at+digestWindow)]
	s.cursor = window[len(window)-1]
	list := make([]mulberrybeam.FactDigest, len(window))
	for i, key := range window {
		list[i] = mulberrybeam.FactDigest{Kind: key.kind, Key: key.key, Stamp: s.byKey[key].fact.Stamp}
	}
	return list
}

func (s *store) repairedKeys(now time.Duration) []factKey {
	var keys []factKey
	for key, entry := range s.byKey {
		if repaired(key.kind) && entry.until > now {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// compare returns the facts that the sender of a digest lacks within its
// range of keys, and those that it has and this process lacks.
func (s *store) compare(now time.Duration, digest []mulberrybeam.FactDigest, limit int) (lacking []mulberrybeam.Fact, wanted []mulberrybeam.FactDigest) {
	theirs := make(map[factKey]mulberrybeam.Stamp, len(digest))
	for _, entry := range digest {
		key := factKey{entry.Kind, entry.Key}
		theirs[key] = entry.Stamp
		own := s.byKey[key]
		if own == nil || stamper.Compare(own.fact.Stamp, entry.Stamp) < 0 {
			wanted = append(wanted, mulberrybeam.FactDigest{Kind: entry.Kind, Key: entry.Key})
		}
	}
	first := factKey{digest[0].Kind, digest[0].Key}
	last := factKey{digest[len(digest)-1].Kind, digest[len(digest)-1].Key}
	newer := map[factKey]*held{}
	for _, key := range s.repairedKeys(now) {
		stamp, listed := theirs[key]
		inRange := compareKeys(first, key) <= 0 && compareKeys(key, last) <= 0
		if listed && stamper.Compare(s.byKey[key].fact.Stamp, stamp) > 0 || !listed && inRange {
			newer[key] = s.byKey[key]
		}
	}
	return choose(newer, now, limit), wanted
}

// wanted returns the facts that a peer asked for.
func (s *store) wanted(now time.Duration, list []mulberrybeam.FactDigest, limit int) []mulberrybeam.Fact {
	candidates := map[factKey]*held{}
	for _, entry := range list {
		key := factKey{entry.Kind, entry.Key}
		if own := s.byKey[key]; own != nil {
			candidates[key] = own
		}
	}
	return choose(candidates, now, limit)
}

// startRemote begins to keep the facts that wait to be sent to a zone. All
// facts wait at first.
func (s *store) startRemote(zone mulberrybeam.ZoneName) {
	if s.zones[zone] != nil {
		return
	}
	s.zones[zone] = make(map[factKey]*held, len(s.byKey))
	for key, entry := range s.byKey {
		s.zones[zone][key] = entry
	}
}

// stopRemote forgets what waits, when the process is no relay.
func (s *store) stopRemote() { clear(s.zones) }

// waits says whether an urgent fact waits to be sent to a zone.
func (s *store) waits(zone mulberrybeam.ZoneName) bool {
	for key := range s.zones[zone] {
		if priorities[key.kind] <= urgentPriority {
			return true
		}
	}
	return false
}

// remote returns the facts that wait to be sent to a zone.
func (s *store) remote(now time.Duration, zone mulberrybeam.ZoneName, limit int) []mulberrybeam.Fact {
	return choose(s.zones[zone], now, limit)
}

// deliveredRemote takes facts off those that wait, unless replaced since.
func (s *store) deliveredRemote(zone mulberrybeam.ZoneName, facts []mulberrybeam.Fact) {
	for _, fact := range facts {
		if entry := s.zones[zone][keyOf(fact)]; entry != nil && entry.fact.Stamp == fact.Stamp {
			delete(s.zones[zone], keyOf(fact))
		}
	}
}
