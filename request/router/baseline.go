package router

import (
	"math"

	"mulberrybeam"
)

// Random is the baseline that picks any usable target, warm ones first. Its
// cost does not depend on the number of targets.
type Random struct {
	policy
}

// NewRandom returns the random baseline.
func NewRandom(options ...Option) *Random {
	return &Random{policy: newPolicy(options)}
}

// Pick returns a random usable target.
func (r *Random) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := r.newSearch(turn, view, query)
	s.first(newWalk(turn.Rand, len(s.targets)), r.Choices+r.Probes)
	return s.result()
}

// LeastLoaded is the baseline that picks the target with the fewest requests
// by report and own count among all. Its cost grows with the number of
// targets. It also serves to find the target with the least other work for a
// suspected request.
type LeastLoaded struct {
	policy
}

// NewLeastLoaded returns the least loaded baseline.
func NewLeastLoaded(options ...Option) *LeastLoaded {
	return &LeastLoaded{policy: newPolicy(options)}
}

// Pick returns the usable target with the least load.
func (l *LeastLoaded) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := l.newSearch(turn, view, query)
	var least, c candidate
	lowest := math.Inf(1)
	steps := newWalk(turn.Rand, len(s.targets))
	for place, more := steps.next(); more; place, more = steps.next() {
		if !s.admit(s.targets[place], "least loaded", &c) {
			continue
		}
		load := s.reported(&c) + float64(c.own)
		if c.cold {
			load += float64(c.target.WarmLimit)
		}
		if load < lowest {
			least, lowest = c, load
		}
	}
	if !math.IsInf(lowest, 1) {
		s.estimate(&least)
	}
	return s.result()
}

// PrefixOnly is the baseline that looks only at the context: the target known
// to hold the longest prefix, else the context's rendezvous pair, whatever
// their load.
type PrefixOnly struct {
	policy
}

// NewPrefixOnly returns the prefix only baseline.
func NewPrefixOnly(options ...Option) *PrefixOnly {
	return &PrefixOnly{policy: newPolicy(options)}
}

// Pick returns the target with the most context.
func (p *PrefixOnly) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := p.newSearch(turn, view, query)
	if s.tables != nil && len(query.Request.Keys) > 0 {
		holders := view.Holders(query.Request.Keys)
		for _, holder := range holders[:min(len(holders), maxHolders)] {
			s.add(holder, "holds the prefix")
		}
		first, second := p.pair(s.tables, query.Request)
		s.add(first, "first of the context's pair")
		s.add(second, "second of the context's pair")
	}
	if s.count > 0 {
		s.estimate(&s.found[0])
		return s.result()
	}
	s.first(newWalk(turn.Rand, len(s.targets)), p.Choices+p.Probes)
	return s.result()
}

// first takes the first usable target of a walk, a warm one if there is one
// within the given number of steps.
func (s *search) first(steps walk, limit int) {
	var c, cold candidate
	for range limit {
		place, more := steps.next()
		if !more {
			break
		}
		if !s.admit(s.targets[place], "random choice", &c) {
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
