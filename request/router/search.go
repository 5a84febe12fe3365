package router

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// maxCandidates is the capacity for the holders, the pair and the random
// choices of one search. Probes and the baselines examine one target at a time.
const maxCandidates = maxHolders + 2 + maxChoices

// candidate is a target that is eligible for the request.
type candidate struct {
	target mulberrybeam.Target
	state  mulberrybeam.TargetState
	// ownInFlight is the number of this process's requests in flight at the
	// target.
	ownInFlight int
	cold        bool
	reason      string
	penalized   bool
	// rank orders the candidates, lowest first: the estimated time to first
	// token minus the credit for context that the target probably holds.
	rank  time.Duration
	route mulberrybeam.Route
}

// search is the state of one call to Pick.
type search struct {
	Settings
	turn    mulberrybeam.Turn
	view    mulberrybeam.RouteView
	query   mulberrybeam.RouteQuery
	tables  *mulberrybeam.Tables
	targets []mulberrybeam.TargetID
	// candidates holds the candidates in its first count elements. It is an
	// array so that a search needs no allocation.
	candidates [maxCandidates]candidate
	count      int
	best       candidate
	// hasBest reports whether best is set.
	hasBest bool
	// meanReportedLoad is the load assumed for targets whose reports are too old.
	meanReportedLoad float64
	// pairFirst and pairSecond are the rendezvous pair. They are empty in
	// policies that give the pair no credit.
	pairFirst, pairSecond mulberrybeam.TargetID
	// waiveColdPenalty reports that cold targets get no penalty in this search.
	waiveColdPenalty bool
}

func (p *policy) newSearch(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) search {
	s := search{Settings: p.Settings, turn: turn, view: view, query: query, tables: view.Tables()}
	if s.tables == nil {
		return s
	}
	if query.Request.Service != "" {
		s.targets = s.tables.TargetsByService[query.Request.Service]
	} else {
		s.targets = s.tables.EnginesByModel[query.Request.Model]
	}
	s.waiveColdPenalty = turn.Rand.Float64() < p.ColdWaiverRatio
	return s
}

// addCandidate adds a target to the candidates unless it is already one or is
// not eligible.
func (s *search) addCandidate(id mulberrybeam.TargetID, reason string) {
	for i := range s.count {
		if s.candidates[i].target.ID == id {
			return
		}
	}
	if s.count < maxCandidates && s.fillCandidate(id, reason, &s.candidates[s.count]) {
		s.count++
	}
}

// fillCandidate fills in the candidate for a target, or returns false if the
// target is not eligible.
func (s *search) fillCandidate(id mulberrybeam.TargetID, reason string, c *candidate) bool {
	if slices.Contains(s.query.Tried, id) {
		return false
	}
	target, declared := s.tables.Targets[id]
	if !declared || !s.canServe(target) || s.tables.Zones[target.Zone].State == mulberrybeam.ZoneOut {
		return false
	}
	state, own := s.view.Target(id), s.view.InFlight(id)
	cold := state.Phase != mulberrybeam.PhaseWarm
	switch {
	case state.Phase == mulberrybeam.PhaseLeaving || state.Report.Leaving,
		own >= target.WarmLimit,
		cold && state.Owner == "": // no process can grant a permit
		return false
	}
	*c = candidate{target: target, state: state, ownInFlight: own, cold: cold, reason: reason}
	return true
}

// maxIsolatedChoices is the maximum number of targets examined for a suspected
// request.
const maxIsolatedChoices = 8

// pickIsolated picks a target by the request's fingerprint, so that all entry
// hosts pick the same target and its owner lets only one copy of the request
// run at a time. Otherwise two hosts could run copies of it at two targets
// before either host learns of the other's crash.
func (s *search) pickIsolated() (mulberrybeam.Route, error) {
	key := string(s.query.Request.Fingerprint[:])
	var c candidate
	for _, id := range ranker.Top(key, s.targets, maxIsolatedChoices) {
		if s.fillCandidate(id, "suspected of crashing targets: chosen by fingerprint", &c) {
			s.estimate(&c)
			return s.result()
		}
	}
	return s.result()
}

// canServe reports whether a target can run the request. The index may return
// an engine of another configuration revision that no longer has the model.
func (s *search) canServe(target mulberrybeam.Target) bool {
	if s.query.Request.Service != "" {
		return target.Service == s.query.Request.Service
	}
	return slices.Contains(target.Models, s.query.Request.Model)
}

func (s *search) result() (mulberrybeam.Route, error) {
	if !s.hasBest {
		return mulberrybeam.Route{}, s.noTarget()
	}
	return s.best.route, nil
}

func (s *search) noTarget() error {
	message := "no configuration is in force"
	if s.tables != nil {
		message = fmt.Sprintf("none of %d targets can take the request: all targets examined were already tried, leaving, at their limit, or cold without an owner", len(s.targets))
	}
	return &mulberrybeam.Failure{
		Code:       mulberrybeam.CodeNoTarget,
		Step:       mulberrybeam.StepRoute,
		Message:    message,
		NotRun:     true,
		RetryAfter: s.RetryAfter,
	}
}

func (s *search) roundTrip(zone mulberrybeam.ZoneName) time.Duration {
	return s.roundTripBetween(s.query.Zone, zone)
}

func (s *search) roundTripBetween(a, b mulberrybeam.ZoneName) time.Duration {
	switch {
	case a == b:
		return 0
	case s.tables.RegionOf[a] == s.tables.RegionOf[b]:
		return s.ZoneDelay
	}
	return s.RegionDelay
}
