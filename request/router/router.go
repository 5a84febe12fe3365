// Package router selects the target of a request.
//
// Router is the estimating policy: it compares the estimated time to first
// token of a few candidates. Random, LeastLoaded and PrefixOnly are baselines
// to compare it with. All of them follow the same rules on which targets may
// be used at all, read nothing but the view they are given, and can be used
// by several goroutines.
package router

import (
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/partitioner"
)

// Settings are the parameters of the policies.
type Settings struct {
	// Choices is the number of random candidates ("d").
	Choices int
	// Probes bounds the further random targets that are looked at when no
	// candidate is warm and below its limits.
	Probes int
	// HalfLife is the age at which a load report has lost half its weight.
	HalfLife time.Duration
	// QueueTokens is the prefill that one request ahead stands for.
	QueueTokens float64
	// RunningWeight and OwnWeight are the parts of a request ahead that a
	// reported running one and an own one in flight count for. Running ones
	// have finished their prefill and only share the batch; own ones may
	// still wait for it.
	RunningWeight float64
	OwnWeight     float64
	// PrefillRate is used for engines that declare none, in tokens/s.
	PrefillRate float64
	// ServiceTime is the time that one call ahead takes a plain service.
	ServiceTime time.Duration
	// ZoneDelay and RegionDelay are the round trips to another zone of the
	// same region and to another region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// MemoryDelay and DiskDelay are the times until a store's tier sends
	// the first byte.
	MemoryDelay time.Duration
	DiskDelay   time.Duration
	// MinLinkShare is the part of a link's rate that one more import gets
	// at least, however many others use the link.
	MinLinkShare float64
	// FirstHolds and SecondHolds are the probabilities that a member of the
	// rendezvous pair holds a prompt's context although the index does not
	// know it. All entry hosts prefer the same pair, but a host's index has
	// only its own sends and the events of the targets it observes.
	FirstHolds  float64
	SecondHolds float64
	// ColdPenalty is added for a cold target, and again for each ColdLimit
	// of own requests in flight there.
	ColdPenalty time.Duration
	// ColdShare is the part of requests for which ColdPenalty is waived.
	// Without it a cold target would get no load, and so never turn warm,
	// until the warm ones are overloaded.
	ColdShare float64
	// VersionPenalty is added when the target reports another weight
	// version, which it would have to load first.
	VersionPenalty time.Duration
	// OverloadPenalty is added when the target is estimated to have as many
	// requests as its warm limit.
	OverloadPenalty time.Duration
	// RetryAfter is returned with a failure to find a target.
	RetryAfter time.Duration
}

// DefaultSettings returns the settings used without options.
func DefaultSettings() Settings {
	return Settings{
		Choices:         2,
		Probes:          32, // today's deployments have fewer engines of a model
		HalfLife:        2 * time.Second,
		QueueTokens:     512,
		RunningWeight:   0.1,
		PrefillRate:     5000,
		ServiceTime:     20 * time.Millisecond,
		ZoneDelay:       time.Millisecond,
		RegionDelay:     30 * time.Millisecond,
		MemoryDelay:     time.Millisecond,
		DiskDelay:       10 * time.Millisecond,
		MinLinkShare:    0.1,
		FirstHolds:      0.5,
		SecondHolds:     0.25,
		OwnWeight:       0.25,
		ColdPenalty:     250 * time.Millisecond,
		ColdShare:       1.0 / 16,
		VersionPenalty:  500 * time.Millisecond, // an engine loads weights in less
		OverloadPenalty: 500 * time.Millisecond,
		RetryAfter:      250 * time.Millisecond,
	}
}

// Option changes the settings of a policy.
type Option func(*Settings)

// maxChoices bounds Choices. More than a few random candidates bring little.
const maxChoices = 4

// WithChoices sets the number of random candidates, from 1 to 4.
func WithChoices(choices int) Option {
	return func(s *Settings) { s.Choices = min(max(1, choices), maxChoices) }
}

// WithHalfLife sets the age at which a report has lost half its weight.
func WithHalfLife(halfLife time.Duration) Option {
	return func(s *Settings) { s.HalfLife = halfLife }
}

// WithZoneDelay sets the round trips to another zone and to another region.
func WithZoneDelay(zone, region time.Duration) Option {
	return func(s *Settings) { s.ZoneDelay, s.RegionDelay = zone, region }
}

// WithQueueTokens sets the prefill that one request ahead stands for.
func WithQueueTokens(tokens float64) Option {
	return func(s *Settings) { s.QueueTokens = tokens }
}

// WithPairHolds sets the probabilities that the first and the second of a
// prompt's rendezvous pair hold its context.
func WithPairHolds(first, second float64) Option {
	return func(s *Settings) { s.FirstHolds, s.SecondHolds = first, second }
}

// WithQueueWeights sets the parts of a request ahead that a running one and an
// own one count for.
func WithQueueWeights(running, own float64) Option {
	return func(s *Settings) { s.RunningWeight, s.OwnWeight = running, own }
}

// WithColdPenalty sets the penalty of cold targets and the part of requests
// for which it is waived.
func WithColdPenalty(penalty time.Duration, waived float64) Option {
	return func(s *Settings) { s.ColdPenalty, s.ColdShare = penalty, waived }
}

// policy is the part that all policies share.
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

// pair returns the rendezvous pair of the context's first key.
func (p *policy) pair(tables *mulberrybeam.Tables, request *mulberrybeam.Request) (first, second mulberrybeam.TargetID) {
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

// maxHolders is the number of targets known to hold the prefix that are
// candidates.
const maxHolders = 2

// Pick returns the route with the lowest estimated time to first token, or a
// Failure with CodeNoTarget.
func (r *Router) Pick(turn mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	s := r.newSearch(turn, view, query)
	if s.tables == nil {
		return mulberrybeam.Route{}, s.failure()
	}
	if query.Isolated {
		return s.isolated()
	}
	if len(query.Request.Keys) > 0 {
		holders := view.Holders(query.Request.Keys)
		for _, holder := range holders[:min(len(holders), maxHolders)] {
			s.add(holder, "holds the prefix")
		}
		s.pairFirst, s.pairSecond = r.pair(s.tables, query.Request)
		s.add(s.pairFirst, "first of the context's pair")
		s.add(s.pairSecond, "second of the context's pair")
	}
	steps := newWalk(turn.Rand, len(s.targets))
	for range r.Choices {
		if place, more := steps.next(); more {
			s.add(s.targets[place], "random choice")
		}
	}
	s.weighReports()
	for i := range s.count {
		s.estimate(&s.found[i])
	}
	s.probe(&steps)
	return s.result()
}

// probe looks at more targets until one is found that is warm and below its
// limits.
func (s *search) probe(steps *walk) {
	var c candidate
	for range s.Probes {
		if s.chosen && !s.best.penalized {
			return
		}
		place, more := steps.next()
		if !more {
			return
		}
		if s.admit(s.targets[place], "probe, as all candidates were full or cold", &c) {
			s.estimate(&c)
		}
	}
}
