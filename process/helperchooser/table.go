// Package helperchooser decides through which entry host a host that reaches no target
// passes its requests on, and which requests of others a host accepts. Table and Intake
// decide; the Chooser shares them among requests.
package helperchooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"mulberrybeam"
)

const (
	// heardTTL is how long a datagram of a host shows that it is alive, and isolatedTTL
	// how long it counts as isolated after it said so.
	heardTTL    = 1500 * time.Millisecond
	isolatedTTL = 1500 * time.Millisecond
	// silentAfter is how long a helper may leave requests unanswered, with none answered
	// in between, until it gets no more. It is longer than a first token usually takes.
	silentAfter = 1500 * time.Millisecond
	// maxAtHelper and maxPassed limit the requests that are passed on at a time, to one
	// helper and to all.
	maxAtHelper = 32
	maxPassed   = 128
	// Pauses after a helper refused or could not be used. They double each time.
	minRefusedPause     = 300 * time.Millisecond
	maxRefusedPause     = 3 * time.Second
	minUnreachablePause = time.Second
	maxUnreachablePause = 10 * time.Second
	// maxFailures is the number of failures at helpers in a row after which only one
	// request at a time is passed on, at intervals that double.
	maxFailures      = 5
	minTrialInterval = 250 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	// otherZoneCost and unheardCost are in requests at a helper. Bytes between zones
	// cost, and a host without datagrams may be gone.
	otherZoneCost = 4
	unheardCost   = 8
)

// peer is what is known of a helper.
type peer struct {
	heardAt, isolatedAt time.Duration
	heard, isolated     bool
	// active are the requests at the helper, and waiting those that it has not begun to
	// answer, since waitingSince or an answer in between.
	active, waiting        int
	waitingSince           time.Duration
	pauseUntil, pauseAfter time.Duration
}

// Table chooses helpers. It reads no clock and is not safe for concurrent use.
type Table struct {
	zone  mulberrybeam.ZoneName
	peers map[mulberrybeam.ProcessID]*peer
	// active are the requests at helpers, and waiting those that none has begun to answer.
	active, waiting int
	// failures counts those in a row, and trialAt is when the next request may be passed
	// on after too many.
	failures      int
	trialAt       time.Duration
	trialInterval time.Duration
}

// NewTable returns the Table of a host in a zone.
func NewTable(zone mulberrybeam.ZoneName) *Table {
	return &Table{zone: zone, peers: map[mulberrybeam.ProcessID]*peer{}}
}

// Hear records a datagram of a host, which says whether it is isolated.
func (t *Table) Hear(now time.Duration, id mulberrybeam.ProcessID, isolated bool) {
	p := t.peer(id)
	p.heard, p.heardAt = true, now
	if isolated {
		p.isolatedAt = now
	}
	p.isolated = isolated
}

// Begin returns a helper that is not among tried and counts the request, or false if none
// is worth asking.
func (t *Table) Begin(now time.Duration, random *rand.Rand, helpers []mulberrybeam.Helper, tried []mulberrybeam.ProcessID) (mulberrybeam.Helper, bool) {
	if t.active >= maxPassed || t.failures >= maxFailures && (now < t.trialAt || t.waiting > 0) {
		return mulberrybeam.Helper{}, false
	}
	best, lowest, ties := -1, 0, 0
	for i, helper := range helpers {
		if slices.Contains(tried, helper.ID) {
			continue
		}
		p := t.peer(helper.ID)
		if !p.usable(now) {
			continue
		}
		cost := p.active
		if helper.Zone != t.zone {
			cost += otherZoneCost
		}
		if !p.heard || now-p.heardAt > heardTTL {
			cost += unheardCost
		}
		switch {
		case best < 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			if ties++; random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return mulberrybeam.Helper{}, false
	}
	if t.failures >= maxFailures {
		t.trialInterval = min(max(2*t.trialInterval, minTrialInterval), maxTrialInterval)
		t.trialAt = now + t.trialInterval
	}
	p := t.peer(helpers[best].ID)
	if p.waiting == 0 {
		p.waitingSince = now
	}
	p.waiting++
	p.active++
	t.waiting++
	t.active++
	return helpers[best], true
}

// usable reports whether a helper may get a request.
func (p *peer) usable(now time.Duration) bool {
	switch {
	case p.isolated && now-p.isolatedAt <= isolatedTTL:
	case now < p.pauseUntil:
	case p.active >= maxAtHelper:
	case p.waiting > 0 && now-p.waitingSince > silentAfter:
	default:
		return true
	}
	return false
}

// Answer records that a helper began to answer a request, and whether it helped: a long
// stream shows that at its beginning.
func (t *Table) Answer(now time.Duration, id mulberrybeam.ProcessID, helped bool) {
	p := t.peer(id)
	p.waiting--
	t.waiting--
	p.waitingSince = now
	if helped {
		p.pauseUntil, p.pauseAfter = 0, 0
		t.failures, t.trialInterval = 0, 0
	}
}

// End records how a request ended at a helper, and whether the helper had begun to answer
// it.
func (t *Table) End(now time.Duration, id mulberrybeam.ProcessID, answered bool, outcome mulberrybeam.HelperOutcome) {
	p := t.peer(id)
	p.active--
	t.active--
	if !answered {
		p.waiting--
		t.waiting--
	}
	switch outcome {
	case mulberrybeam.HelperAnswered, mulberrybeam.HelperUnneeded:
		return
	case mulberrybeam.HelperIsolated:
		p.isolated, p.isolatedAt = true, now
	case mulberrybeam.HelperRefused:
		p.pause(now, minRefusedPause, maxRefusedPause)
	case mulberrybeam.HelperUnreachable, mulberrybeam.HelperFailed:
		if answered {
			// The target may have broken its answer off. A helper that is gone refuses
			// the next request.
			return
		}
		p.pause(now, minUnreachablePause, maxUnreachablePause)
	}
	t.failures = min(t.failures+1, maxFailures)
}

func (p *peer) pause(now, shortest, longest time.Duration) {
	p.pauseAfter = min(max(2*p.pauseAfter, shortest), longest)
	p.pauseUntil = now + p.pauseAfter
}

func (t *Table) peer(id mulberrybeam.ProcessID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// RemoveIdle removes hosts that were not heard of for long and have no request.
func (t *Table) RemoveIdle(now time.Duration) {
	for id, p := range t.peers {
		if p.active == 0 && now > p.pauseUntil && now-max(p.heardAt, p.isolatedAt, p.waitingSince) > time.Minute {
			delete(t.peers, id)
		}
	}
}

// Reports returns how many hosts were heard of lately, and how many of them said that they
// reach no target.
func (t *Table) Reports(now time.Duration) (heard, isolated int) {
	for _, p := range t.peers {
		if p.heard && now-p.heardAt <= heardTTL {
			heard++
			if p.isolated {
				isolated++
			}
		}
	}
	return heard, isolated
}
