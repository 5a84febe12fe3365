package router

import (
	"fmt"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// maxCandidates is the room for holders, the pair and the random choices of
// one search. Probes and the baselines look at one target at a time.
const maxCandidates = maxHolders + 2 + maxChoices

// candidate is a target that may be used for the request.
type candidate struct {
	target mulberrybeam.Target
	state  mulberrybeam.TargetState
	// own is the number of this process's requests in flight there.
	own       int
	cold      bool
	reason    string
	penalized bool
	// rank orders candidates: the estimate less the credit for what the
	// target probably holds.
	rank  time.Duration
	route mulberrybeam.Route
}

// search is the state of one Pick.
type search struct {
	Settings
	turn    mulberrybeam.Turn
	view    mulberrybeam.RouteView
	query   mulberrybeam.RouteQuery
	tables  *mulberrybeam.Tables
	targets []mulberrybeam.TargetID
	// found has the candidates in the first count places. It is an array so
	// that a search needs no memory of its own.
	found [maxCandidates]candidate
	count int
	best  candidate
	// chosen says that best is set.
	chosen bool
	// meanReported is the load that is assumed where reports are too old.
	meanReported float64
	// pairFirst and pairSecond are the rendezvous pair, empty in policies
	// that give no credit to it.
	pairFirst, pairSecond mulberrybeam.TargetID
	// waiveCold says that cold targets get no penalty this time.
	waiveCold bool
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
	s.waiveCold = turn.Rand.Float64() < p.ColdShare
	return s
}

// add makes a target a candidate unless it is one or must not be used.
func (s *search) add(id mulberrybeam.TargetID, reason string) {
	for i := range s.count {
		if s.found[i].target.ID == id {
			return
		}
	}
	if s.count < maxCandidates && s.admit(id, reason, &s.found[s.count]) {
		s.count++
	}
}

// admit fills a candidate, or returns false for a target that must not be
// used.
func (s *search) admit(id mulberrybeam.TargetID, reason string, c *candidate) bool {
	if slices.Contains(s.query.Tried, id) {
		return false
	}
	target, declared := s.tables.Targets[id]
	if !declared || !s.serves(target) || s.tables.Zones[target.Zone].State == mulberrybeam.ZoneOut {
		return false
	}
	state, own := s.view.Target(id), s.view.InFlight(id)
	cold := state.Phase != mulberrybeam.PhaseWarm
	switch {
	case state.Phase == mulberrybeam.PhaseLeaving || state.Report.Leaving,
		own >= target.WarmLimit,
		cold && state.Owner == "": // nobody can give a permit
		return false
	}
	*c = candidate{target: target, state: state, own: own, cold: cold, reason: reason}
	return true
}

// isolatedChoices bounds the targets looked at for a suspected request.
const isolatedChoices = 8

// isolated picks by the request's fingerprint, so that all entry hosts pick
// the same target and its owner lets one copy of the request run at a time.
// Otherwise two hosts could run copies of it at two targets before either
// hears of the other's crash.
func (s *search) isolated() (mulberrybeam.Route, error) {
	key := string(s.query.Request.Fingerprint[:])
	var c candidate
	for _, id := range ranker.Top(key, s.targets, isolatedChoices) {
		if s.admit(id, "suspected of a crash: first by its fingerprint", &c) {
			s.estimate(&c)
			return s.result()
		}
	}
	return s.result()
}

// serves checks targets that the index names: it may know the engine of
// another revision, which no longer has the model.
func (s *search) serves(target mulberrybeam.Target) bool {
	if s.query.Request.Service != "" {
		return target.Service == s.query.Request.Service
	}
	return slices.Contains(target.Models, s.query.Request.Model)
}

func (s *search) result() (mulberrybeam.Route, error) {
	if !s.chosen {
		return mulberrybeam.Route{}, s.failure()
	}
	return s.best.route, nil
}

func (s *search) failure() error {
	message := "no configuration is in force"
	if s.tables != nil {
		message = fmt.Sprintf("none of %d targets can take the request: all seen were tried, leaving, at their limit or cold without an owner", len(s.targets))
	}
	return &mulberrybeam.Failure{
		Code:       mulberrybeam.CodeNoTarget,
		Step:       mulberrybeam.StepRoute,
		Message:    message,
		NotRun:     true,
		RetryAfter: s.RetryAfter,
	}
}

func (s *search) distance(zone mulberrybeam.ZoneName) time.Duration {
	return s.between(s.query.Zone, zone)
}

func (s *search) between(one, other mulberrybeam.ZoneName) time.Duration {
	switch {
	case one == other:
		return 0
	case s.tables.RegionOf[one] == s.tables.RegionOf[other]:
		return s.ZoneDelay
	}
	return s.RegionDelay
}
