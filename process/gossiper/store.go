package gossiper

import (
	"cmp"
	"maps"
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
	// factOverheadBytes is the estimated size of the fixed part of an
	// encoded fact: stamp, times, numbers, and names that repeat within a
	// message. It is an estimate because this package does not depend on
	// the encoding; BenchmarkFleet shows the actual traffic.
	factOverheadBytes = 40
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

// inDigests reports whether digests cover facts of a kind. Facts of other kinds
// are republished so often that a lost one is replaced sooner than by a digest.
func inDigests(kind mulberrybeam.FactKind) bool { return priorities[kind] <= 3 }

type factKey struct {
	kind mulberrybeam.FactKind
	key  string
}

func keyOf(fact mulberrybeam.Fact) factKey { return factKey{fact.Kind, fact.Key} }

func compareKeys(a, b factKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
}

// storedFact is a fact with the state of its distribution.
type storedFact struct {
	fact mulberrybeam.Fact
	// expiresAt is the local time at which the fact expires.
	expiresAt time.Duration
	// remainingSends is the number of messages within the zone that are
	// still to carry the fact.
	remainingSends int
	// arrival is a sequence number in the order of arrival.
	arrival uint64
	// zoneOnly is set if the fact is not passed on to other zones.
	zoneOnly bool
}

// withRemainingTTL returns the fact as it is sent, with the remaining time to
// live, so that forwarding a fact never extends its life.
func (f *storedFact) withRemainingTTL(now time.Duration) mulberrybeam.Fact {
	fact := f.fact
	fact.TTL = f.expiresAt - now
	return fact
}

// sendQueue has the facts that are still to be sent to one audience: the
// members of the zone, or the relays of another zone.
type sendQueue struct {
	facts map[factKey]*storedFact
	// lastSent orders the keys by when a fact was last sent. Facts that are
	// replaced faster than the queue drains take turns, because the one whose
	// key was sent longest ago goes first.
	lastSent map[factKey]uint64
	sends    uint64
}

func newSendQueue() *sendQueue {
	return &sendQueue{facts: map[factKey]*storedFact{}, lastSent: map[factKey]uint64{}}
}

// recordSend moves a key behind all others.
func (q *sendQueue) recordSend(key factKey) {
	q.sends++
	q.lastSent[key] = q.sends
}

// forget removes a key that has expired.
func (q *sendQueue) forget(key factKey) {
	delete(q.facts, key)
	delete(q.lastSent, key)
}

// factStore keeps the facts that have not expired.
type factStore struct {
	byKey map[factKey]*storedFact
	// unsent has the facts that are still to be sent within the zone.
	unsent *sendQueue
	// unsentByZone has the facts that are still to be sent to each other
	// zone, if this process is a relay.
	unsentByZone map[mulberrybeam.ZoneName]*sendQueue
	lastArrival  uint64
	// digestCursor is the key of the last entry of the previous digest.
	digestCursor factKey
}

func newFactStore() factStore {
	return factStore{
		byKey: map[factKey]*storedFact{}, unsent: newSendQueue(),
		unsentByZone: map[mulberrybeam.ZoneName]*sendQueue{},
	}
}

// origin says where a fact comes from.
type origin struct {
	// from is the zone of the process that sent the fact. It is not sent back
	// there.
	from mulberrybeam.ZoneName
	// zoneOnly is set if the fact is not passed on to other zones.
	zoneOnly bool
}

// add stores a fact, unless one with an equal or higher stamp is stored, and
// reports whether it did.
func (s *factStore) add(fact mulberrybeam.Fact, now time.Duration, source origin) bool {
	if fact.TTL <= 0 {
		fact.TTL = defaultTTL
	}
	key := keyOf(fact)
	if existing := s.byKey[key]; existing != nil && stamper.Compare(fact.Stamp, existing.fact.Stamp) <= 0 {
		return false
	}
	s.lastArrival++
	entry := &storedFact{fact: fact, expiresAt: now + fact.TTL, remainingSends: transmitLimit, arrival: s.lastArrival, zoneOnly: source.zoneOnly}
	s.byKey[key] = entry
	s.unsent.facts[key] = entry
	for zone, queue := range s.unsentByZone {
		if zone != source.from && !entry.zoneOnly {
			queue.facts[key] = entry
		}
	}
	return true
}

// expire removes the facts whose time to live has passed, and reports whether
// derived values of the snapshot depended on any of them.
func (s *factStore) expire(now time.Duration) bool {
	dropped := false
	for key, entry := range s.byKey {
		if entry.expiresAt > now {
			continue
		}
		dropped = dropped || key.kind == mulberrybeam.FactCrash || key.kind == mulberrybeam.FactLink || key.kind == mulberrybeam.FactDemand
		delete(s.byKey, key)
		s.unsent.forget(key)
		for _, queue := range s.unsentByZone {
			queue.forget(key)
		}
	}
	return dropped
}

// nextFacts returns new facts for one message, the most urgent first, and
// counts the message against their transmitLimit.
func (s *factStore) nextFacts(now time.Duration, limit int) []mulberrybeam.Fact {
	return s.nextFactsExcept(now, limit, nil)
}

// nextFactsExcept is like nextFacts, but leaves out facts that the receiver has
// just sent.
func (s *factStore) nextFactsExcept(now time.Duration, limit int, except []mulberrybeam.Fact) []mulberrybeam.Fact {
	candidates := maps.Clone(s.unsent.facts)
	for _, fact := range except {
		if entry := candidates[keyOf(fact)]; entry != nil && entry.fact.Stamp == fact.Stamp {
			delete(candidates, keyOf(fact))
		}
	}
	selected := selectFacts(candidates, now, limit, s.unsent.lastSent)
	for _, fact := range selected {
		key := keyOf(fact)
		s.unsent.recordSend(key)
		entry := s.byKey[key]
		entry.remainingSends--
		if entry.remainingSends == 0 {
			delete(s.unsent.facts, key)
		}
	}
	return selected
}

// selectFacts returns the unexpired facts that fit into the limit in bytes,
// ordered by priority, then by when their key was last sent, and then from
// latest to earliest arrival. lastSent may be nil.
func selectFacts(candidates map[factKey]*storedFact, now time.Duration, limit int, lastSent map[factKey]uint64) []mulberrybeam.Fact {
	ordered := make([]*storedFact, 0, len(candidates))
	for _, entry := range candidates {
		if entry.expiresAt > now {
			ordered = append(ordered, entry)
		}
	}
	slices.SortFunc(ordered, func(a, b *storedFact) int {
		return cmp.Or(
			cmp.Compare(priorities[a.fact.Kind], priorities[b.fact.Kind]),
			cmp.Compare(lastSent[keyOf(a.fact)], lastSent[keyOf(b.fact)]),
			cmp.Compare(b.arrival, a.arrival),
		)
	})
	var selected []mulberrybeam.Fact
	for _, entry := range ordered {
		limit -= estimatedSize(entry.fact)
		// At least one fact is sent, so that a fact larger than the
		// limit spreads as well.
		if limit < 0 && len(selected) > 0 {
			break
		}
		selected = append(selected, entry.withRemainingTTL(now))
	}
	return selected
}

// estimatedSize estimates the encoded size of a fact. It leaves out process
// ids, target ids that equal the key, and names of models and zones, since they
// repeat within a message and the encoding writes them only once.
func estimatedSize(fact mulberrybeam.Fact) int {
	size := factOverheadBytes + len(fact.Key)
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

// digest returns the next window of the facts, sorted by key. Consecutive
// windows share one entry, so that their ranges of keys leave no gaps.
func (s *factStore) digest(now time.Duration) []mulberrybeam.FactDigest {
	keys := s.digestKeys(now)
	if len(keys) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(keys, s.digestCursor, compareKeys)
	if at >= len(keys)-1 {
		at = 0
	}
	window := keys[at:min(len(keys), at+digestWindow)]
	s.digestCursor = window[len(window)-1]
	list := make([]mulberrybeam.FactDigest, len(window))
	for i, key := range window {
		list[i] = mulberrybeam.FactDigest{Kind: key.kind, Key: key.key, Stamp: s.byKey[key].fact.Stamp}
	}
	return list
}

// digestKeys returns the sorted keys of the unexpired facts that digests cover.
func (s *factStore) digestKeys(now time.Duration) []factKey {
	var keys []factKey
	for key, entry := range s.byKey {
		if inDigests(key.kind) && entry.expiresAt > now {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// compareDigest returns the facts that the sender of a digest lacks within the
// digest's range of keys, and the keys of those that this process lacks. Facts
// with a lower stamp count as lacking.
func (s *factStore) compareDigest(now time.Duration, digest []mulberrybeam.FactDigest, limit int) (missing []mulberrybeam.Fact, wanted []mulberrybeam.FactDigest) {
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
	newer := map[factKey]*storedFact{}
	for _, key := range s.digestKeys(now) {
		stamp, listed := theirs[key]
		inRange := compareKeys(first, key) <= 0 && compareKeys(key, last) <= 0
		if listed && stamper.Compare(s.byKey[key].fact.Stamp, stamp) > 0 || !listed && inRange {
			newer[key] = s.byKey[key]
		}
	}
	return selectFacts(newer, now, limit, nil), wanted
}

// lookup returns the facts that a peer asked for.
func (s *factStore) lookup(now time.Duration, list []mulberrybeam.FactDigest, limit int) []mulberrybeam.Fact {
	candidates := map[factKey]*storedFact{}
	for _, entry := range list {
		key := factKey{entry.Kind, entry.Key}
		if own := s.byKey[key]; own != nil {
			candidates[key] = own
		}
	}
	return selectFacts(candidates, now, limit, nil)
}

// trackZone starts to track the facts that are to be sent to a zone, initially
// all of them.
func (s *factStore) trackZone(zone mulberrybeam.ZoneName) {
	if s.unsentByZone[zone] != nil {
		return
	}
	queue := newSendQueue()
	for key, entry := range s.byKey {
		if !entry.zoneOnly {
			queue.facts[key] = entry
		}
	}
	s.unsentByZone[zone] = queue
}

// untrackZones stops tracking the facts for other zones, when the process is
// not a relay.
func (s *factStore) untrackZones() { clear(s.unsentByZone) }

// hasUrgentFacts reports whether an urgent fact is to be sent to a zone.
func (s *factStore) hasUrgentFacts(zone mulberrybeam.ZoneName) bool {
	queue := s.unsentByZone[zone]
	if queue == nil {
		return false
	}
	for key := range queue.facts {
		if priorities[key.kind] <= urgentPriority {
			return true
		}
	}
	return false
}

// unsentTo returns facts that are to be sent to a zone, up to the limit in
// bytes.
func (s *factStore) unsentTo(now time.Duration, zone mulberrybeam.ZoneName, limit int) []mulberrybeam.Fact {
	queue := s.unsentByZone[zone]
	if queue == nil {
		return nil
	}
	return selectFacts(queue.facts, now, limit, queue.lastSent)
}

// markDelivered removes facts from those to be sent to a zone, unless they
// have been replaced since.
func (s *factStore) markDelivered(zone mulberrybeam.ZoneName, facts []mulberrybeam.Fact) {
	queue := s.unsentByZone[zone]
	if queue == nil {
		return
	}
	for _, fact := range facts {
		key := keyOf(fact)
		if s.byKey[key] == nil {
			continue
		}
		queue.recordSend(key)
		if entry := queue.facts[key]; entry != nil && entry.fact.Stamp == fact.Stamp {
			delete(queue.facts, key)
		}
	}
}
