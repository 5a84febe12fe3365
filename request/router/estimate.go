package router

import (
	"math"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/keyer"
)

// weight is the confidence in a target's load report, from 0 to 1. It halves
// with every HalfLife of the report's age.
func (s *search) weight(c *candidate) float64 {
	report := &c.state.Report
	if report.Sequence == 0 || report.Instance != c.state.Instance {
		return 0
	}
	age := max(0, s.turn.Now-c.state.ReportedAt) + report.Lag
	return math.Exp2(-float64(age) / float64(s.HalfLife))
}

func (s *search) reported(c *candidate) float64 {
	return float64(c.state.Report.Waiting) + s.RunningWeight*float64(c.state.Report.Running)
}

// weighReports sets the load that the estimate falls back to as reports age. It
// is the weighted mean of the candidates' reported loads: falling back to 0
// would send every request to a target whose reports have stopped.
func (s *search) weighReports() {
	var sum, weights float64
	for i := range s.count {
		weight := s.weight(&s.found[i])
		sum += weight * s.reported(&s.found[i])
		weights += weight
	}
	if weights > 0 {
		s.meanReported = sum / weights
	}
}

// load estimates the number of requests ahead at a candidate. Own requests
// count immediately. Those that the report already includes are counted twice,
// because leaving out a burst of own requests until the next report would send
// all of them to one target.
func (s *search) load(c *candidate) float64 {
	weight := s.weight(c)
	return weight*s.reported(c) + (1-weight)*s.meanReported + s.OwnWeight*float64(c.own)
}

// estimate fills in the candidate's route and updates the best candidate.
func (s *search) estimate(c *candidate) {
	c.route = mulberrybeam.Route{Target: c.target.ID, NeedsPermit: c.cold, Reason: c.reason, Source: mulberrybeam.SourceRecompute}
	load := s.load(c)
	total := s.distance(c.target.Zone) + s.penalty(c)
	if c.target.Kind == mulberrybeam.KindService {
		total += time.Duration(load * float64(s.ServiceTime))
	} else {
		context := s.context(c)
		total += s.prefill(c, load*s.QueueTokens) + context
		c.rank = -s.credit(c, context)
	}
	c.route.FirstToken = total
	c.rank += total
	if !s.chosen || c.rank < s.best.rank {
		s.best, s.chosen = *c, true
	}
}

// credit is the time that a target of the rendezvous pair is expected to save:
// it holds all complete blocks of the prompt with probability FirstHolds or
// SecondHolds. A cold target gets no credit because it has lost its cache.
func (s *search) credit(c *candidate, context time.Duration) time.Duration {
	if c.cold {
		return 0
	}
	probability := s.FirstHolds
	switch c.target.ID {
	case s.pairFirst:
	case s.pairSecond:
		probability = s.SecondHolds
	default:
		return 0
	}
	rest := s.query.Request.PromptTokens - len(s.query.Request.Keys)*keyer.BlockTokens
	saved := context - s.prefill(c, float64(max(0, rest)))
	return time.Duration(probability * float64(max(0, saved)))
}

// penalty is the sum of the penalties that apply to a candidate, apart from its
// load.
func (s *search) penalty(c *candidate) time.Duration {
	var sum time.Duration
	if c.cold && !s.waiveCold {
		sum += s.ColdPenalty * time.Duration(1+c.own/max(1, c.target.ColdLimit))
	}
	if version, known := c.state.Report.WeightVersions[s.query.Request.Model]; known && version != s.query.Request.Version {
		sum += s.VersionPenalty
	}
	weight := s.weight(c)
	if weight*float64(c.state.Report.Running+c.state.Report.Waiting) >= float64(c.target.WarmLimit) {
		sum += s.OverloadPenalty
	}
	c.penalized = sum > 0
	return sum
}

// prefill is the time that a candidate takes to compute prompt tokens.
func (s *search) prefill(c *candidate, tokens float64) time.Duration {
	rate := c.target.PrefillRate
	if rate <= 0 {
		rate = s.PrefillRate
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// context chooses the source of the prompt's context at the candidate, records
// it in the route, and returns the time until the context is complete.
func (s *search) context(c *candidate) time.Duration {
	request := s.query.Request
	cached := 0
	if len(request.Keys) > 0 {
		cached = min(request.PromptTokens, s.view.CachedBlocks(c.target.ID, request.Keys)*keyer.BlockTokens)
	}
	best := s.prefill(c, float64(request.PromptTokens-cached))
	c.route.CachedTokens = cached
	c.route.RecomputedTokens = request.PromptTokens - cached
	if cached > 0 {
		c.route.Source = mulberrybeam.SourceCache
	}
	for _, manifest := range s.query.Kept {
		kept := min(request.PromptTokens, manifest.Blocks*keyer.BlockTokens)
		if kept <= cached || !matches(manifest, request.Keys) {
			continue
		}
		transfer, known := s.transfer(c, manifest)
		total := transfer + s.prefill(c, float64(request.PromptTokens-kept))
		if !known || total >= best {
			continue
		}
		best = total
		c.route.Source = mulberrybeam.SourceImport
		c.route.Import = manifest
		c.route.ImportedTokens = kept - cached
		c.route.RecomputedTokens = request.PromptTokens - kept
	}
	return best
}

// matches reports whether a manifest describes a prefix of the prompt.
func matches(manifest mulberrybeam.Manifest, keys []mulberrybeam.BlockKey) bool {
	return manifest.Blocks > 0 && manifest.Blocks <= len(keys) && keys[manifest.Blocks-1] == manifest.Key
}

// transfer is the time to move a stored context from its store to a candidate.
// It returns false if the store is not declared or has no link rate.
func (s *search) transfer(c *candidate, manifest mulberrybeam.Manifest) (time.Duration, bool) {
	store, declared := s.tables.Stores[manifest.Store]
	if !declared || store.LinkRate <= 0 {
		return 0, false
	}
	delay := s.MemoryDelay
	if manifest.Tier == mulberrybeam.TierDisk {
		delay = s.DiskDelay
	}
	rate := max(store.LinkRate-s.view.LinkUse(store.ID), store.LinkRate*s.MinLinkShare)
	moving := time.Duration(float64(manifest.Bytes) / rate * float64(time.Second))
	return delay + s.between(store.Zone, c.target.Zone) + moving, true
}
