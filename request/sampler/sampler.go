// Package sampler decides which version of a service's targets a request may
// use while a rollout runs.
package sampler

import (
	"math"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Query is the input of a decision.
type Query struct {
	Now     time.Duration
	Rollout *mulberrybeam.FleetRollout
	Request mulberrybeam.RequestID
	// Fingerprint replaces the ID of a request that has none.
	Fingerprint mulberrybeam.Fingerprint
	// First reports that the request has not been sent to any target. Later
	// attempts of a sampled request use the old version.
	First bool
}

// Side is the set of targets that a request may use.
type Side int

// Sides of a rollout.
const (
	// Any stands for all targets, because no rollout runs.
	Any Side = iota
	// Old and New stand for the targets of the old and the new version.
	Old
	New
)

// Decide returns the targets that a request may use. reserve is called if the
// request is in the sample, and returns whether the account allows it.
func Decide(query Query, reserve func() bool) Side {
	rollout := query.Rollout
	switch {
	case rollout == nil:
		return Any
	case rollout.Stage == mulberrybeam.StageFinal:
		return New
	case query.Now >= rollout.ValidUntil:
		return Old
	case rollout.Stage == mulberrybeam.StageFull:
		return New
	case rollout.Stage != mulberrybeam.StageSample && rollout.Stage != mulberrybeam.StageLoad:
		return Old
	case !query.First || fraction(query) >= rollout.Share || !reserve():
		return Old
	}
	return New
}

// MayContinue reports whether a stream that began at the new version may go on there.
func MayContinue(query Query) bool {
	stage := query.Rollout.Stage
	return stage == mulberrybeam.StageFinal || query.Now < query.Rollout.ValidUntil &&
		(stage == mulberrybeam.StageSample || stage == mulberrybeam.StageLoad || stage == mulberrybeam.StageFull)
}

// fraction maps a request to a number from 0 to 1 that all hosts agree on, and
// that differs between orders.
func fraction(query Query) float64 {
	request := string(query.Request)
	if request == "" {
		request = string(query.Fingerprint[:])
	}
	return float64(ranker.Score(strconv.FormatUint(query.Rollout.Order, 10), request)) / math.MaxUint64
}

// Allows reports whether a target is on a side of a rollout.
func Allows(side Side, rollout *mulberrybeam.FleetRollout, target *mulberrybeam.FleetTarget) bool {
	switch side {
	case Old:
		return target.Software != rollout.To || rollout.Known
	case New:
		return target.Software == rollout.To && (rollout.Targets == nil || rollout.Targets[target.ID])
	}
	return true
}
