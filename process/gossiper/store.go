package gossiper

import (
	"cmp"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

const (
	// defaultTTL applies to facts without a time to live.
	defaultTTL = time.Minute
	// defaultExchangeBytes limits the size of the facts in one message. A
	// process sends and receives about 8 messages per second, so facts take
	// less than 5 KB/s of its budget of 13 KB/s.
	defaultExchangeBytes = 550
	// digestWindow is the maximum number of entries in a digest. A larger
	// store is compared in several exchanges, one window each.
	digestWindow = 64
	// factBytes is the estimated size of the fixed part of an encoded fact:
	// stamp, times, numbers, and names that repeat within a message. It is
	// an estimate because this package does not depend on the encoding;
	// BenchmarkFleet shows the actual traffic.
	factBytes = 40
)

// priorities order facts from most urgent to least urgent. Facts that stop work
// come first; load reports, which are repeated twice per second, come last.
var priorities = map[mulberrybeam.FactKind]int{
	mulberrybeam.FactDrain:  0,
	mulberrybeam.FactCrash:  1,
	mulberrybeam.FactPhase:  2,
	mulberrybeam.FactSlot:   3,
	mulberrybeam.FactDemand: 4,
	mulberrybeam.FactLink:   5,
	mulberrybeam.FactLoad:   6,
}

// urgentPriority is the highest priority number of facts that are sent without
// waiting for the next round.
const urgentPriority = 2

// repaired reports whether digests cover facts of a kind. Facts of other kinds
// are published again so often that this replaces a lost one sooner.
func repaired(kind mulberrybeam.FactKind) bool { return priorities[kind] <= 3 }

type factKey struct {
	kind mulberrybeam.FactKind
	key  string
}

func keyOf(fact mulberrybeam.Fact) factKey { return factKey{fact.Kind, fact.Key} }

func compareKeys(a, b factKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
}

// held is a stored fact.
type held struct {
	fact mulberrybeam.Fact
	// until is the local time at which the fact expires.
	until time.Duration
	// sends is the number of messages within the zone that are still to carry
	// the fact.
	sends int
	// arrival is a sequence number in the order of arrival.
	arrival uint64
}

// remaining returns the fact as it is sent, with the remaining time to live, so
// that forwarding a fact never extends its life.
func (h *held) remaining(now time.Duration) mulberrybeam.Fact {
	fact := h.fact
	fact.TTL = h.until - now
	return fact
}

// store keeps the facts that have not expired.
type store struct {
	byKey map[factKey]*held
	// news has the facts that are still to be sent within the zone.
	news map[factKey]*held
	// zones has the facts that are still to be sent to each other zone, if
	// this process is a relay.
	zones    map[mulberrybeam.ZoneName]map[factKey]*held
	arrivals uint64
	// cursor is the key of the last entry of the previous digest.
	cursor factKey
}

func newStore() store {
	return store{
		byKey: map[factKey]*held{}, news: map[factKey]*held{},
		zones: map[mulberrybeam.ZoneName]map[factKey]*held{},
	}
}

// accept stores a fact, unless one with an equal or higher stamp is stored, and
// reports whether it did. Facts from another zone are not sent back to it.
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

// expire removes the facts whose time to live has passed, and reports whether
// derived values of the snapshot depended on any of them.
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

// fresh returns new facts for one message, the most urgent first, and counts
// the message against their transmit budget.
func (s *store) fresh(now time.Duration, limit int) []mulberrybeam.Fact {
	return s.freshExcept(now, limit, nil)
}

// freshExcept is like fresh, but leaves out facts that the receiver has just
// sent.
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

// choose returns the unexpired facts that fit into the limit in bytes, ordered by
// priority and then from latest to earliest arrival.
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
		// At least one fact is sent, so that a fact larger than the limit
		// spreads as well.
		if limit < 0 && len(chosen) > 0 {
			break
		}
		chosen = append(chosen, entry.remaining(now))
	}
	return chosen
}

// sizeOf estimates the encoded size of a fact. It leaves out process ids, target
// ids that equal the key, and names of models and zones, since they repeat within
// a message and the encoding writes them only once.
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

// digest returns the next window of the facts, sorted by key. Consecutive windows
// share one entry, so that their ranges of keys leave no gaps.
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

// repairedKeys returns the sorted keys of the unexpired facts that digests cover.
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

// compare returns the facts that the sender of a digest lacks within the
// digest's range of keys, and the keys of those that this process lacks. Facts
// with a lower stamp count as lacking.
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

// startRemote starts to track the facts that are to be sent to a zone, initially
// all of them.
func (s *store) startRemote(zone mulberrybeam.ZoneName) {
	if s.zones[zone] != nil {
		return
	}
	s.zones[zone] = make(map[factKey]*held, len(s.byKey))
	for key, entry := range s.byKey {
		s.zones[zone][key] = entry
	}
}

// stopRemote stops tracking the facts for other zones, when the process is not a
// relay.
func (s *store) stopRemote() { clear(s.zones) }

// waits reports whether an urgent fact is to be sent to a zone.
func (s *store) waits(zone mulberrybeam.ZoneName) bool {
	for key := range s.zones[zone] {
		if priorities[key.kind] <= urgentPriority {
			return true
		}
	}
	return false
}

// remote returns facts that are to be sent to a zone, up to the limit in bytes.
func (s *store) remote(now time.Duration, zone mulberrybeam.ZoneName, limit int) []mulberrybeam.Fact {
	return choose(s.zones[zone], now, limit)
}

// deliveredRemote removes facts from those to be sent to a zone, unless they
// have been replaced since.
func (s *store) deliveredRemote(zone mulberrybeam.ZoneName, facts []mulberrybeam.Fact) {
	for _, fact := range facts {
		if entry := s.zones[zone][keyOf(fact)]; entry != nil && entry.fact.Stamp == fact.Stamp {
			delete(s.zones[zone], keyOf(fact))
		}
	}
}
