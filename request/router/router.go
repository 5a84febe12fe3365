// Package router selects the target of a request.
//
// Router, the estimating policy, compares the estimated time to first token of
// a few candidates. Random, LeastLoaded and PrefixOnly are baselines to compare
// it with. All policies apply the same rules on which targets are eligible,
// read only the view that they are given, and are safe for concurrent use.
package router

import (
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/partitioner"
)

// Settings holds the parameters of the routing policies.
type Settings struct {
	// Choices is the number of random candidates (d in "power of d choices").
	Choices int
	// Probes is the maximum number of further random targets to examine if no
	// candidate is warm and below its limits.
	Probes int
	// HalfLife is the age at which a load report has lost half its weight.
	HalfLife time.Duration
	// QueueTokens is the number of prefill tokens assumed for each request
	// ahead.
	QueueTokens float64
	// RunningWeight and OwnWeight are the fractions of a request ahead that are
	// counted for a request reported as running and for one of this process's
	// own requests in flight. Running requests have finished their prefill and
	// only share the batch; own requests may still be waiting for it.
	RunningWeight float64
	OwnWeight     float64
	// PrefillRate is the prefill rate, in tokens per second, of engines that
	// declare none.
	PrefillRate float64
	// ServiceTime is the time that a plain service is assumed to take for each
	// call ahead.
	ServiceTime time.Duration
	// ZoneDelay and RegionDelay are the round-trip times to another zone of the
	// same region and to another region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// MemoryDelay and DiskDelay are the times until a store sends the first
	// byte from its memory tier and from its disk tier.
	MemoryDelay time.Duration
	DiskDelay   time.Duration
	// MinLinkShare is the minimum fraction of a link's rate assumed to be
	// available to one more import, however busy the link is.
	MinLinkShare float64
	// FirstHoldProbability and SecondHoldProbability are the probabilities that the first and the
	// second engine of the rendezvous pair hold a prompt's context although the
	// index has no entry for it. All entry hosts prefer the same pair, but a
	// host's index covers only its own requests and the events of the targets
	// that it observes.
	FirstHoldProbability  float64
	SecondHoldProbability float64
	// ColdPenalty is added for a cold target, and again for every ColdLimit own
	// requests in flight at the target.
	ColdPenalty time.Duration
	// ColdWaiverRatio is the fraction of requests for which ColdPenalty is waived.
	// Otherwise a cold target would receive no load, and so would never become
	// warm, until the warm targets are overloaded.
	ColdWaiverRatio float64
	// VersionPenalty is added if the target reports another weight version,
	// because it would have to load the right one first.
	VersionPenalty time.Duration
	// OverloadPenalty is added if the target is estimated to have at least as
	// many requests as its warm limit.
	OverloadPenalty time.Duration
	// RetryAfter is the retry delay in the Failure that is returned when no
	// target is found.
	RetryAfter time.Duration
}

// DefaultSettings returns the settings that apply without options.
func DefaultSettings() Settings {
	return Settings{
		Choices:               2,
		Probes:                32, // current deployments have fewer engines per model
		HalfLife:              2 * time.Second,
		QueueTokens:           512,
		RunningWeight:         0.1,
		PrefillRate:           5000,
		ServiceTime:           20 * time.Millisecond,
		ZoneDelay:             time.Millisecond,
		RegionDelay:           30 * time.Millisecond,
		MemoryDelay:           time.Millisecond,
		DiskDelay:             10 * time.Millisecond,
		MinLinkShare:          0.1,
		FirstHoldProbability:  0.5,
		SecondHoldProbability: 0.25,
		OwnWeight:             0.25,
		ColdPenalty:           250 * time.Millisecond,
		ColdWaiverRatio:       1.0 / 16,
		VersionPenalty:        500 * time.Millisecond, // engines load weights faster than this
		OverloadPenalty:       500 * time.Millisecond,
		RetryAfter:            250 * time.Millisecond,
	}
}

// Option changes the settings of a policy.
type Option func(*Settings)

// maxChoices is the upper limit of Choices. More random candidates improve the
// choice only slightly.
const maxChoices = 4

// WithChoices sets the number of random candidates, from 1 to 4.
func WithChoices(choices int) Option {
	return func(s *Settings) { s.Choices = min(max(1, choices), maxChoices) }
}

// WithHalfLife sets the age at which a load report has lost half its weight.
func WithHalfLife(halfLife time.Duration) Option {
	return func(s *Settings) { s.HalfLife = halfLife }
}

// WithZoneDelay sets the round-trip times to another zone and to another
// region.
func WithZoneDelay(zone, region time.Duration) Option {
	return func(s *Settings) { s.ZoneDelay, s.RegionDelay = zone, region }
}

// WithQueueTokens sets the number of prefill tokens assumed for each request
// ahead.
func WithQueueTokens(tokens float64) Option {
	return func(s *Settings) { s.QueueTokens = tokens }
}

// WithPairHoldProbabilities sets the probabilities that the first and the second engine of
// a prompt's rendezvous pair hold its context.
func WithPairHoldProbabilities(first, second float64) Option {
	return func(s *Settings) { s.FirstHoldProbability, s.SecondHoldProbability = first, second }
}

// WithQueueWeights sets the fractions of a request ahead that are counted for a
// running request and for an own request in flight.
func WithQueueWeights(running, own float64) Option {
	return func(s *Settings) { s.RunningWeight, s.OwnWeight = running, own }
}

// WithColdPenalty sets the penalty of cold targets and the fraction of requests
// for which it is waived.
func WithColdPenalty(penalty time.Duration, waived float64) Option {
	return func(s *Settings) { s.ColdPenalty, s.ColdWaiverRatio = penalty, waived }
}

// policy is the part that all policies have in common.
type policy struct {
	Settings
	pairs *atomic.Pointer[partitioner.Partitioner]
}

func newPolicy(options []Option) policy {
	p := policy{Settings: DefaultSettings(), pairs: &atomic.Pointer[partitioner.Partitioner]{}}
	for _, option := range options {
		option(&p.Settings)
	}
	return p
}

// rendezvousPair returns the rendezvous pair for the first block key of the
// prompt.
func (p *policy) rendezvousPair(tables *mulberrybeam.Tables, request *mulberrybeam.Request) (first, second mulberrybeam.TargetID) {
	if len(request.Keys) == 0 {
		return "", ""
	}
	pairs := p.pairs.Load()
	if pairs == nil || pairs.Tables != tables {
		pairs = partitioner.New(tables, pairs)
		p.pairs.Store(pairs)
	}
	return pairs.Pair(request.Model, request.Keys[0])
}

// Router is the estimating policy. Its cost does not depend on the number of
// targets.
type Router struct {
	policy
}

// New returns the estimating policy.
func New(options ...Option) *Router {
	return &Router{policy: newPolicy(options)}
}

// maxHolders is the maximum number of candidates taken from the targets
// believed to hold the prefix.
const maxHolders = 2

// Pick returns the route with the lowest estimated time to first token, or a
// Failure with CodeNoTarget.
func (r *Router) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := r.newSearch(turn, view, query)
	if s.tables == nil {
		return mulberrybeam.Route{}, s.noTarget()
	}
	if query.Isolated {
		return s.pickIsolated()
	}
	if len(query.Request.Keys) > 0 {
		holders := view.Holders(query.Request.Keys)
		for _, holder := range holders[:min(len(holders), maxHolders)] {
			s.addCandidate(holder, "prefix is cached on the target")
		}
		s.pairFirst, s.pairSecond = r.rendezvousPair(s.tables, query.Request)
		s.addCandidate(s.pairFirst, "first rendezvous choice for the context")
		s.addCandidate(s.pairSecond, "second rendezvous choice for the context")
	}
	steps := newWalk(turn.Rand, len(s.targets))
	for range r.Choices {
		if index, ok := steps.next(); ok {
			s.addCandidate(s.targets[index], "random choice")
		}
	}
	s.setMeanReportedLoad()
	for i := range s.count {
		s.estimate(&s.candidates[i])
	}
	s.probe(&steps)
	return s.result()
}

// probe examines further random targets until it finds one that is warm and
// below its limits.
func (s *search) probe(steps *walk) {
	var c candidate
	for range s.Probes {
		if s.hasBest && !s.best.penalized {
			return
		}
		index, ok := steps.next()
		if !ok {
			return
		}
		if s.fillCandidate(s.targets[index], "probe: all candidates were full or cold", &c) {
			s.estimate(&c)
		}
	}
}
