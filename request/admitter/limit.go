package admitter

import "time"

// Parameters of the adaptive limit.
const (
	// slowFactor times the baseline is the wait above which a first token
	// counts as slow.
	slowFactor = 2.0
	// minSlowWait is the wait up to which a first token never counts as slow,
	// because variations of short waits do not indicate load.
	minSlowWait = 100 * time.Millisecond
	// minBaseline is the lower bound of the baseline, for the same reason.
	minBaseline = 10 * time.Millisecond
	// baselineDrift is the fraction by which a longer wait raises the
	// baseline towards it, so that the baseline follows a permanently slower
	// target: one that is five times slower no longer counts as slow after
	// about 470 requests.
	baselineDrift = 0.001
	// slowShrinkFactor and refusalShrinkFactor multiply the limit after a
	// slow first token and after a refusal.
	slowShrinkFactor    = 0.9
	refusalShrinkFactor = 0.7
	// minShrinkInterval is the minimum time between two reductions of the
	// limit, so that a burst of refusals reduces it only once.
	minShrinkInterval = 100 * time.Millisecond
)

// Limit is the adaptive limit on concurrent requests to one target.
type Limit struct {
	// Current is the maximum number of requests that the process may have
	// in flight at the target.
	Current float64
	Max     float64
	// Baseline is the estimated time to first token without queueing at the
	// target, minus the expected time of the prompt itself.
	Baseline time.Duration
	// ShrunkAt is the time of the last reduction, if Shrunk is set.
	ShrunkAt time.Duration
	Shrunk   bool
}

// Outcome is the result of one request at a target.
type Outcome struct {
	// Refused is set if the target refused the request for lack of capacity.
	Refused bool
	// FirstToken is the time to first token, or 0 if no token arrived.
	FirstToken time.Duration
	// ExpectedFirstToken is the time to first token that the request would have at an
	// idle target. Without it, long prompts would count as slow.
	ExpectedFirstToken time.Duration
	// InFlight is the number of the process's requests at the target,
	// including this one.
	InFlight int
}

// NewLimit returns the initial limit for a target that accepts at most limit
// requests. It starts at half of that because other entry hosts send requests
// to the target as well.
func NewLimit(limit int) Limit {
	highest := max(1, float64(limit))
	return Limit{Current: max(1, highest/2), Max: highest}
}

// UpdateLimit returns the limit after one request. The limit grows by one per Current
// successful requests and shrinks after a refusal or a slow first token.
func UpdateLimit(limit Limit, now time.Duration, outcome Outcome) Limit {
	if outcome.Refused {
		return shrink(limit, now, refusalShrinkFactor)
	}
	if outcome.FirstToken <= 0 {
		return limit
	}
	wait := max(minBaseline, outcome.FirstToken-outcome.ExpectedFirstToken)
	if limit.Baseline == 0 || wait < limit.Baseline {
		limit.Baseline = wait
	}
	slow := wait > minSlowWait && float64(wait) > slowFactor*float64(limit.Baseline)
	limit.Baseline += time.Duration(baselineDrift * float64(wait-limit.Baseline))
	halfUsed := float64(outcome.InFlight) >= limit.Current/2
	switch {
	case slow && halfUsed:
		// Shrink only if this process uses at least half of its limit.
		// Otherwise it does not cause the load and shrinking would not help.
		return shrink(limit, now, slowShrinkFactor)
	case !slow && halfUsed:
		limit.Current = min(limit.Max, limit.Current+1/limit.Current)
	}
	return limit
}

func shrink(limit Limit, now time.Duration, factor float64) Limit {
	if limit.Shrunk && now-limit.ShrunkAt < max(minShrinkInterval, limit.Baseline) {
		return limit
	}
	limit.Current = max(1, limit.Current*factor)
	limit.ShrunkAt, limit.Shrunk = now, true
	return limit
}
