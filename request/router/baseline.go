package router

import (
	"math"

	"mulberrybeam"
)

// Random is a baseline that picks a random eligible target, preferring warm
// ones. Its cost does not depend on the number of targets.
type Random struct {
	policy
}

// NewRandom returns the random baseline.
func NewRandom(options ...Option) *Random {
	return &Random{policy: newPolicy(options)}
}

// Pick returns a random eligible target.
func (r *Random) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := r.newSearch(turn, view, query)
	s.pickFirst(newWalk(turn.Rand, len(s.targets)), r.Choices+r.Probes)
	return s.result()
}

// LeastLoaded is a baseline that compares all targets and picks the one with
// the fewest requests, counting reported requests and own requests in flight.
// Its cost grows with the number of targets.
type LeastLoaded struct {
	policy
}

// NewLeastLoaded returns the least-loaded baseline.
func NewLeastLoaded(options ...Option) *LeastLoaded {
	return &LeastLoaded{policy: newPolicy(options)}
}

// Pick returns the eligible target with the least load.
func (l *LeastLoaded) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := l.newSearch(turn, view, query)
	var least, c candidate
	lowestLoad := math.Inf(1)
	steps := newWalk(turn.Rand, len(s.targets))
	for index, ok := steps.next(); ok; index, ok = steps.next() {
		if !s.fillCandidate(s.targets[index], "least loaded", &c) {
			continue
		}
		load := s.reportedLoad(&c) + float64(c.ownInFlight)
		if c.cold {
			load += float64(c.target.WarmLimit)
		}
		if load < lowestLoad {
			least, lowestLoad = c, load
		}
	}
	if !math.IsInf(lowestLoad, 1) {
		s.estimate(&least)
	}
	return s.result()
}

// PrefixOnly is a baseline that considers only the context, regardless of load:
// it picks a target believed to hold the longest prefix, or else a target of
// the context's rendezvous pair.
type PrefixOnly struct {
	policy
}

// NewPrefixOnly returns the prefix-only baseline.
func NewPrefixOnly(options ...Option) *PrefixOnly {
	return &PrefixOnly{policy: newPolicy(options)}
}

// Pick returns the target that holds the longest prefix.
func (p *PrefixOnly) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := p.newSearch(turn, view, query)
	if s.tables != nil && len(query.Request.Keys) > 0 {
		holders := view.Holders(query.Request.Keys)
		for _, holder := range holders[:min(len(holders), maxHolders)] {
			s.addCandidate(holder, "prefix is cached on the target")
		}
		first, second := p.rendezvousPair(s.tables, query.Request)
		s.addCandidate(first, "first rendezvous choice for the context")
		s.addCandidate(second, "second rendezvous choice for the context")
	}
	if s.count > 0 {
		s.estimate(&s.candidates[0])
		return s.result()
	}
	s.pickFirst(newWalk(turn.Rand, len(s.targets)), p.Choices+p.Probes)
	return s.result()
}

// pickFirst picks the first warm eligible target within limit steps of a walk,
// or else a cold eligible target seen in those steps.
func (s *search) pickFirst(steps walk, limit int) {
	var c, cold candidate
	for range limit {
		index, ok := steps.next()
		if !ok {
			break
		}
		if !s.fillCandidate(s.targets[index], "random choice", &c) {
			continue
		}
		if !c.cold {
			s.estimate(&c)
			return
		}
		cold = c
	}
	if cold.target.ID != "" {
		s.estimate(&cold)
	}
}
