package admitter

import "time"

// Constants of the adaptive limit.
const (
	// slowFactor is how far above the baseline a first token counts as slow.
	slowFactor = 2.0
	// minSlow is the wait below which a first token never counts as slow,
	// since the variation of short waits says nothing about load.
	minSlow = 100 * time.Millisecond
	// minWait bounds the baseline from below for the same reason.
	minWait = 10 * time.Millisecond
	// baselineDrift lets the baseline follow a target that became slower
	// for good: after about 470 requests a target that is five times slower
	// no longer counts as slow.
	baselineDrift = 0.001
	slowShrink    = 0.9
	refusalShrink = 0.7
	// minCooldown keeps the refusals of one burst from shrinking the limit
	// more than once.
	minCooldown = 100 * time.Millisecond
)

// Limit is an adaptive concurrency limit towards one target.
type Limit struct {
	// Current bounds the process's requests in flight at the target.
	Current float64
	Max     float64
	// Baseline is the wait for the first token at the target without
	// queueing, beyond the time that the prompt itself needs.
	Baseline time.Duration
	// ShrunkAt is when the limit last shrank.
	ShrunkAt time.Duration
	Shrunk   bool
}

// Outcome is how one request ended at a target.
type Outcome struct {
	// Refused says that the target refused for lack of capacity.
	Refused bool
	// FirstToken is the time to first token, 0 when none came.
	FirstToken time.Duration
	// Expected is the part of FirstToken that the request needs at an idle
	// target. Without it long prompts would count as slow.
	Expected time.Duration
	// InFlight counts the process's requests at the target, this one
	// included.
	InFlight int
}

// NewLimit returns the limit towards a target that bears at most limit
// requests. It begins at half of that, because other entry hosts send too.
func NewLimit(limit int) Limit {
	highest := max(1, float64(limit))
	return Limit{Current: max(1, highest/2), Max: highest}
}

// Next returns the limit after one request. It grows by one for each round of
// Current successes and shrinks on a refusal or a slow first token.
func Next(limit Limit, now time.Duration, outcome Outcome) Limit {
	if outcome.Refused {
		return shrink(limit, now, refusalShrink)
	}
	if outcome.FirstToken <= 0 {
		return limit
	}
	wait := max(minWait, outcome.FirstToken-outcome.Expected)
	if limit.Baseline == 0 || wait < limit.Baseline {
		limit.Baseline = wait
	}
	slow := wait > minSlow && float64(wait) > slowFactor*float64(limit.Baseline)
	limit.Baseline += time.Duration(baselineDrift * float64(wait-limit.Baseline))
	used := float64(outcome.InFlight) >= limit.Current/2
	switch {
	case slow && used:
		// Without own load the cause is elsewhere and shrinking would not help.
		return shrink(limit, now, slowShrink)
	case !slow && used:
		limit.Current = min(limit.Max, limit.Current+1/limit.Current)
	}
	return limit
}

func shrink(limit Limit, now time.Duration, factor float64) Limit {
	if limit.Shrunk && now-limit.ShrunkAt < max(minCooldown, limit.Baseline) {
		return limit
	}
	limit.Current = max(1, limit.Current*factor)
	limit.ShrunkAt, limit.Shrunk = now, true
	return limit
}
