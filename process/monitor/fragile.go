package monitor

import (
	"slices"
	"strings"
	"time"

	"mulberrybeam"
)

const (
	// fragileTTL is how long a target counts as fragile after the last response that
	// stated it. It is longer than a target that fell over is away.
	fragileTTL = 5 * time.Second
	// withholdTime is how long a share of a fragile target is not used after its request
	// was refused. Refusals are counted over a second; the rest covers differences
	// between the times that requests take to the target.
	withholdTime = 1250 * time.Millisecond
)

// fragileState is what is known of the fragility of one target.
type fragileState struct {
	// until is when the last statement of maxRefusals ends, and heardUntil when the last
	// one ends that the target made to this process.
	until       time.Duration
	heardUntil  time.Duration
	maxRefusals int
	// announced is set while the target has said to this process that it is fragile and
	// the end of that has not been announced.
	announced bool
	// withheldUntil are the times until which shares are withheld, in order.
	withheldUntil []time.Duration
	// ownShares is the number of shares of this process when it last sent a request, lent
	// are those that it lends, and borrowed those of others, the oldest first.
	ownShares int
	lent      []loan
	borrowed  []loan
}

// isFragile reports whether the target counts as fragile.
func (f *fragileState) isFragile(now time.Duration) bool {
	return now < f.until
}

// trimWithheld removes the shares that are not withheld any more.
func (f *fragileState) trimWithheld(now time.Duration) {
	f.withheldUntil = slices.DeleteFunc(f.withheldUntil, func(until time.Duration) bool { return until <= now })
}

// fill adds the state to the statistics of the target.
func (f *fragileState) fill(stats *mulberrybeam.TargetStats, now time.Duration) {
	if !f.isFragile(now) {
		return
	}
	f.trimWithheld(now)
	stats.FragileUntil, stats.MaxRefusals = f.until, f.maxRefusals
	stats.WithheldShares, stats.BorrowedShares, stats.LentShares = len(f.withheldUntil), len(f.borrowed), len(f.lent)
	if len(f.withheldUntil) > 0 {
		stats.NextShareAt = f.withheldUntil[0]
	}
}

// RecordFragility records what a response states. A response that states nothing does not
// end the last statement before its time. RecordFragility returns true if a target that
// has stated nothing before does so, states another bound, or states nothing any more.
func (m *Monitor) RecordFragility(id mulberrybeam.InstanceID, fragility mulberrybeam.Fragility) bool {
	if _, known := m.targets.Load(id); !known && !fragility.Stated {
		return false
	}
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	f, now := &state.fragile, state.usedAt
	if !fragility.Stated {
		ends := f.announced && !f.isFragile(now)
		f.announced = f.announced && !ends
		return ends
	}
	changes := !f.announced || f.maxRefusals != fragility.MaxRefusals
	f.announced, f.maxRefusals, f.until, f.heardUntil = true, fragility.MaxRefusals, now+fragileTTL, now+fragileTTL
	m.noteFragile(f.until)
	return changes
}

// ReceiveFragile records the fragile targets that a peer has heard of, unless this process
// knows a newer statement. It returns those that did not count as fragile.
func (m *Monitor) ReceiveFragile(fragile []mulberrybeam.SharedFragility) (unknown []mulberrybeam.SharedFragility) {
	for _, shared := range fragile {
		if shared.Age >= fragileTTL {
			continue
		}
		state := m.lockTarget(shared.Target)
		f, now := &state.fragile, state.usedAt
		if !f.isFragile(now) {
			unknown = append(unknown, shared)
		}
		if until := now - shared.Age + fragileTTL; until > f.until {
			f.maxRefusals, f.until = shared.MaxRefusals, until
			m.noteFragile(until)
		}
		state.mutex.Unlock()
	}
	return unknown
}

// Fragile returns the fragile targets that this process has heard of from the targets,
// sorted by target ID.
func (m *Monitor) Fragile() []mulberrybeam.SharedFragility {
	now := m.now()
	var fragile []mulberrybeam.SharedFragility
	for id, state := range m.allTargets() {
		state.mutex.Lock()
		f := &state.fragile
		if now < f.heardUntil {
			fragile = append(fragile, mulberrybeam.SharedFragility{Target: id, MaxRefusals: f.maxRefusals, Age: now + fragileTTL - f.heardUntil})
		}
		state.mutex.Unlock()
	}
	slices.SortFunc(fragile, func(a, b mulberrybeam.SharedFragility) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return fragile
}

// FragileCounts are the number of targets that count as fragile, and those of their shares
// that are withheld, lent and borrowed.
type FragileCounts struct{ Targets, Withheld, Lent, Borrowed int }

// FragileCounts returns the current numbers.
func (m *Monitor) FragileCounts() (counts FragileCounts) {
	now := m.now()
	for _, state := range m.allTargets() {
		state.mutex.Lock()
		if state.fragile.isFragile(now) {
			state.fragile.trimWithheld(now)
			counts.Targets++
			counts.Withheld += len(state.fragile.withheldUntil)
			counts.Lent += len(state.fragile.lent)
			counts.Borrowed += len(state.fragile.borrowed)
		}
		state.mutex.Unlock()
	}
	return counts
}

// ReserveShare is like Reserve for a fragile target of which this process has a number of
// shares itself. It also returns false if all of them and those that it borrows are in use,
// withheld or lent.
func (m *Monitor) ReserveShare(id mulberrybeam.InstanceID, load mulberrybeam.TargetLoad, limit, shares int) bool {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	state.fragile.ownShares = shares
	if state.usedShares() >= shares+len(state.fragile.borrowed) {
		return false
	}
	return state.reserve(load, limit)
}

// Withhold keeps the share of a request that was refused or interrupted from use for a
// while. It has no effect on targets that are not fragile.
func (m *Monitor) Withhold(id mulberrybeam.InstanceID) {
	state := m.lockTarget(id)
	defer state.mutex.Unlock()
	if f := &state.fragile; f.isFragile(state.usedAt) {
		f.trimWithheld(state.usedAt)
		f.withheldUntil = append(f.withheldUntil, state.usedAt+withholdTime)
	}
}

// usedShares returns the number of shares that requests hold, that are withheld, or that are
// lent.
func (s *targetStats) usedShares() int {
	s.fragile.trimWithheld(s.usedAt)
	return s.OwnLoad.Requests + len(s.fragile.withheldUntil) + len(s.fragile.lent)
}
