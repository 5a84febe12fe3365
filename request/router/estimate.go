package router

import (
	"math"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/keyer"
)

// reportWeight is the confidence in a target's load report, from 0 to 1. It
// halves with every HalfLife of the report's age.
func (s *search) reportWeight(c *candidate) float64 {
	report := &c.state.Report
	if report.Sequence == 0 || report.Instance != c.state.Instance {
		return 0
	}
	age := max(0, s.turn.Now-c.state.ReportedAt) + report.Lag
	return math.Exp2(-float64(age) / float64(s.HalfLife))
}

func (s *search) reportedLoad(c *candidate) float64 {
	return float64(c.state.Report.Waiting) + s.RunningWeight*float64(c.state.Report.Running)
}

// setMeanReportedLoad sets the load that the estimate falls back to as reports
// age. It is the weighted mean of the candidates' reported loads: falling back
// to 0 would send every request to a target whose reports have stopped.
func (s *search) setMeanReportedLoad() {
	var sum, weights float64
	for i := range s.count {
		weight := s.reportWeight(&s.candidates[i])
		sum += weight * s.reportedLoad(&s.candidates[i])
		weights += weight
	}
	if weights > 0 {
		s.meanReportedLoad = sum / weights
	}
}

// requestsAhead estimates the number of requests ahead at a candidate. Own
// requests count immediately. Those that the report already includes are
// counted twice, because leaving out a burst of own requests until the next
// report would send all of them to one target.
func (s *search) requestsAhead(c *candidate) float64 {
	weight := s.reportWeight(c)
	return weight*s.reportedLoad(c) + (1-weight)*s.meanReportedLoad + s.OwnWeight*float64(c.ownInFlight)
}

// estimate fills in the candidate's route and updates the best candidate.
func (s *search) estimate(c *candidate) {
	c.route = mulberrybeam.Route{Target: c.target.ID, NeedsPermit: c.cold, Reason: c.reason, Source: mulberrybeam.SourceRecompute}
	ahead := s.requestsAhead(c)
	total := s.roundTrip(c.target.Zone) + s.totalPenalty(c)
	if c.target.Kind == mulberrybeam.KindService {
		total += time.Duration(ahead * float64(s.ServiceTime))
	} else {
		contextTime := s.chooseContextSource(c)
		total += s.prefillTime(c, ahead*s.QueueTokens) + contextTime
		c.rank = -s.pairCredit(c, contextTime)
	}
	c.route.FirstToken = total
	c.rank += total
	if !s.hasBest || c.rank < s.best.rank {
		s.best, s.hasBest = *c, true
	}
}

// pairCredit is the time that a target of the rendezvous pair is expected to
// save: it holds all complete blocks of the prompt with probability FirstHoldProbability
// or SecondHoldProbability. A cold target gets no credit because it has lost its cache.
func (s *search) pairCredit(c *candidate, contextTime time.Duration) time.Duration {
	if c.cold {
		return 0
	}
	probability := s.FirstHoldProbability
	switch c.target.ID {
	case s.pairFirst:
	case s.pairSecond:
		probability = s.SecondHoldProbability
	default:
		return 0
	}
	partialBlockTokens := s.query.Request.PromptTokens - len(s.query.Request.Keys)*keyer.BlockTokens
	saved := contextTime - s.prefillTime(c, float64(max(0, partialBlockTokens)))
	return time.Duration(probability * float64(max(0, saved)))
}

// totalPenalty is the sum of the penalties that apply to a candidate, apart
// from its load.
func (s *search) totalPenalty(c *candidate) time.Duration {
	var sum time.Duration
	if c.cold && !s.waiveColdPenalty {
		sum += s.ColdPenalty * time.Duration(1+c.ownInFlight/max(1, c.target.ColdLimit))
	}
	if version, known := c.state.Report.WeightVersions[s.query.Request.Model]; known && version != s.query.Request.Version {
		sum += s.VersionPenalty
	}
	weight := s.reportWeight(c)
	if weight*float64(c.state.Report.Running+c.state.Report.Waiting) >= float64(c.target.WarmLimit) {
		sum += s.OverloadPenalty
	}
	c.penalized = sum > 0
	return sum
}

// prefillTime is the time that a candidate takes to compute prompt tokens.
func (s *search) prefillTime(c *candidate, tokens float64) time.Duration {
	rate := c.target.PrefillRate
	if rate <= 0 {
		rate = s.PrefillRate
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// chooseContextSource chooses the source of the prompt's context at the
// candidate, records it in the route, and returns the time until the context is
// complete.
func (s *search) chooseContextSource(c *candidate) time.Duration {
	request := s.query.Request
	cached := 0
	if len(request.Keys) > 0 {
		cached = min(request.PromptTokens, s.view.CachedBlocks(c.target.ID, request.Keys)*keyer.BlockTokens)
	}
	best := s.prefillTime(c, float64(request.PromptTokens-cached))
	c.route.CachedTokens = cached
	c.route.RecomputedTokens = request.PromptTokens - cached
	if cached > 0 {
		c.route.Source = mulberrybeam.SourceCache
	}
	for _, manifest := range s.query.StoredContexts {
		stored := min(request.PromptTokens, manifest.Blocks*keyer.BlockTokens)
		if stored <= cached || !describesPrefix(manifest, request.Keys) {
			continue
		}
		transfer, known := s.transferTime(c, manifest)
		total := transfer + s.prefillTime(c, float64(request.PromptTokens-stored))
		if !known || total >= best {
			continue
		}
		best = total
		c.route.Source = mulberrybeam.SourceImport
		c.route.Import = manifest
		c.route.ImportedTokens = stored - cached
		c.route.RecomputedTokens = request.PromptTokens - stored
	}
	return best
}

// describesPrefix reports whether a manifest describes a prefix of the prompt.
func describesPrefix(manifest mulberrybeam.Manifest, keys []mulberrybeam.BlockKey) bool {
	return manifest.Blocks > 0 && manifest.Blocks <= len(keys) && keys[manifest.Blocks-1] == manifest.Key
}

// transferTime is the time to move a stored context from its store to a
// candidate. It returns false if the store is not declared or has no link rate.
func (s *search) transferTime(c *candidate, manifest mulberrybeam.Manifest) (time.Duration, bool) {
	store, declared := s.tables.Stores[manifest.Store]
	if !declared || store.LinkRate <= 0 {
		return 0, false
	}
	delay := s.MemoryDelay
	if manifest.Tier == mulberrybeam.TierDisk {
		delay = s.DiskDelay
	}
	rate := max(store.LinkRate-s.view.LinkUse(store.ID), store.LinkRate*s.MinLinkShare)
	sending := time.Duration(float64(manifest.Bytes) / rate * float64(time.Second))
	return delay + s.roundTripBetween(store.Zone, c.target.Zone) + sending, true
}
