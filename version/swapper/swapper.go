// Package swapper is the control state machine that upgrades engines to the
// declared weight versions. The holder of slot 0 of a zone orders the loads of
// the zone's engines, a few at a time.
package swapper

import (
	"slices"
	"time"

	"mulberrybeam"
)

// Timing holds the durations and limits of weight upgrades.
type Timing struct {
	// PlanInterval is the interval between two decisions.
	PlanInterval time.Duration
	// MaxOrderTime is the longest time that an order may take, as the controller
	// enforces it. A new slot holder waits this long, since an order of the
	// previous holder may still be running.
	MaxOrderTime time.Duration
	// MaxClockDrift is the greatest drift of the previous holder's clock, as a
	// fraction of the elapsed time.
	MaxClockDrift float64
	// MaxConcurrentLoads limits the concurrent loads in the zone; more would slow each
	// other down.
	MaxConcurrentLoads int
	// MaxUtilization is the fraction of the remaining engines' capacity that the
	// current load may use.
	MaxUtilization float64
	// MaxReportAge is the maximum age of a load report that is used.
	MaxReportAge time.Duration
	// RetryDelay is the delay after a failed order. It doubles with each further
	// failure, up to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
}

// DefaultTiming returns the timing of a Swapper without WithTiming.
func DefaultTiming() Timing {
	return Timing{
		PlanInterval: 500 * time.Millisecond, MaxOrderTime: 30 * time.Second, MaxClockDrift: 0.05,
		MaxConcurrentLoads: 2, MaxUtilization: 0.8, MaxReportAge: 3 * time.Second,
		RetryDelay: 5 * time.Second, MaxRetryDelay: time.Minute,
	}
}

// Option configures a Swapper.
type Option func(*Swapper)

// WithTiming replaces DefaultTiming.
func WithTiming(timing Timing) Option { return func(s *Swapper) { s.timing = timing } }

// Swapper orders weight loads in one zone. Only the control goroutine may use
// it.
type Swapper struct {
	zone    mulberrybeam.ZoneName
	timing  Timing
	models  map[mulberrybeam.ModelName]mulberrybeam.Model
	engines map[mulberrybeam.TargetID]*engine
	// sortedEngines has the engines sorted by ID, so that decisions do not
	// depend on the iteration order of a map.
	sortedEngines   []*engine
	ownership       mulberrybeam.SlotOwnership
	earliestOrderAt time.Duration
	nextPlanAt      time.Duration
	loads           map[mulberrybeam.Ticket]*engine
}

var _ mulberrybeam.StateMachine = (*Swapper)(nil)

// engine is the known state of one engine of the zone.
type engine struct {
	declared   mulberrybeam.Target
	report     mulberrybeam.LoadReport
	reportedAt time.Duration
	warm       bool
	loading    bool
	failures   int
	retryAt    time.Duration
	// loaded has the versions loaded by orders, until load reports are recent
	// enough to show them.
	loaded map[mulberrybeam.ModelName]mulberrybeam.WeightVersion
	// lastLoadedAt is when the last order completed.
	lastLoadedAt time.Duration
	lastOrder    mulberrybeam.Order
}

// New returns the state machine for the engines of one zone.
func New(zone mulberrybeam.ZoneName, options ...Option) *Swapper {
	s := &Swapper{
		zone: zone, timing: DefaultTiming(),
		engines: map[mulberrybeam.TargetID]*engine{},
		loads:   map[mulberrybeam.Ticket]*engine{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// FillSnapshot adds nothing to the snapshot.
func (*Swapper) FillSnapshot(*mulberrybeam.Snapshot) {}

// Step handles one event.
func (s *Swapper) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	switch event := event.(type) {
	case mulberrybeam.ConfigurationChanged:
		s.configure(event.Tables)
	case mulberrybeam.SlotOwnershipChanged:
		s.applyOwnership(turn, event.Ownership)
	case mulberrybeam.FactChanged:
		s.applyFact(turn, event.Fact)
	case mulberrybeam.OrderDone:
		return s.handleOrderResult(turn, event)
	case mulberrybeam.Tick:
		if turn.Now >= s.nextPlanAt {
			s.nextPlanAt = turn.Now + s.timing.PlanInterval
			return s.plan(turn)
		}
	}
	return nil
}

func (s *Swapper) configure(tables *mulberrybeam.Tables) {
	s.models = tables.Models
	previous := s.engines
	s.engines = map[mulberrybeam.TargetID]*engine{}
	s.sortedEngines = s.sortedEngines[:0]
	ids := slices.Clone(tables.TargetsByZone[s.zone])
	slices.Sort(ids)
	for _, id := range ids {
		if tables.Targets[id].Kind != mulberrybeam.KindEngine {
			continue
		}
		e := previous[id]
		if e == nil {
			e = &engine{loaded: map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{}}
		}
		e.declared = tables.Targets[id]
		s.engines[id] = e
		s.sortedEngines = append(s.sortedEngines, e)
	}
}

// applyOwnership tracks this process's ownership of slot 0. An order of the
// previous holder may run for up to Timing.MaxOrderTime after its ownership ended.
// Engines that check fencing tokens refuse late orders, but loads that they have
// accepted still count as concurrent, so the wait applies to all engines.
func (s *Swapper) applyOwnership(turn mulberrybeam.Turn, ownership mulberrybeam.SlotOwnership) {
	if ownership.Slot != (mulberrybeam.Slot{Zone: s.zone}) {
		return
	}
	if ownership.Epoch != s.ownership.Epoch {
		s.earliestOrderAt = turn.Now
		if ownership.TakenOver {
			s.earliestOrderAt += s.timing.MaxOrderTime + time.Duration(float64(s.timing.MaxOrderTime)*s.timing.MaxClockDrift)
		}
	}
	s.ownership = ownership
}

func (s *Swapper) applyFact(turn mulberrybeam.Turn, fact mulberrybeam.Fact) {
	switch {
	case fact.Load != nil:
		e := s.engines[fact.Load.Target]
		if e == nil {
			return
		}
		e.report, e.reportedAt = *fact.Load, turn.Now
		if turn.Now-e.lastLoadedAt >= s.timing.MaxReportAge {
			// Reports lag, so earlier ones may still show the old
			// version.
			clear(e.loaded)
		}
	case fact.Phase != nil:
		if e := s.engines[fact.Phase.Target]; e != nil {
			e.warm = fact.Phase.Phase == mulberrybeam.PhaseWarm
		}
	}
}

// handleOrderResult handles the result of an order.
func (s *Swapper) handleOrderResult(turn mulberrybeam.Turn, event mulberrybeam.OrderDone) []mulberrybeam.Action {
	e := s.loads[event.Ticket]
	if e == nil {
		return nil
	}
	delete(s.loads, event.Ticket)
	e.loading = false
	if event.Err != nil {
		e.retryAt = turn.Now + min(s.timing.RetryDelay<<min(e.failures, 8), s.timing.MaxRetryDelay)
		e.failures++
		return []mulberrybeam.Action{timelineNote(e, "order failed: "+event.Err.Error())}
	}
	e.failures = 0
	e.lastLoadedAt = turn.Now
	e.loaded[e.lastOrder.Model] = e.lastOrder.Version
	s.nextPlanAt = turn.Now
	return []mulberrybeam.Action{timelineNote(e, "loaded weights: "+string(e.lastOrder.Model)+" "+string(e.lastOrder.Version))}
}

// plan orders loads up to the limit of concurrent ones.
func (s *Swapper) plan(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if turn.Now >= s.ownership.Until || turn.Now < s.earliestOrderAt {
		return nil
	}
	var actions []mulberrybeam.Action
	for _, e := range s.sortedEngines {
		if len(s.loads) >= s.timing.MaxConcurrentLoads {
			break
		}
		model, missing := s.missingModel(turn.Now, e)
		if !missing || !s.canSpare(turn.Now, e) {
			continue
		}
		e.loading = true
		e.lastOrder = mulberrybeam.Order{
			Kind: mulberrybeam.OrderLoadWeights, Model: model.Name, Version: model.Version, Fencing: s.ownership.Epoch,
		}
		ticket := mulberrybeam.Ticket(turn.Rand.Uint64())
		s.loads[ticket] = e
		actions = append(actions, mulberrybeam.SendOrder{Target: e.declared, Order: e.lastOrder, Ticket: ticket, NotAfter: s.ownership.Until})
	}
	return actions
}

// missingModel returns a model whose declared version the engine lacks, if the
// engine can take an order now.
func (s *Swapper) missingModel(now time.Duration, e *engine) (mulberrybeam.Model, bool) {
	if e.loading || now < e.retryAt || !s.hasFreshReport(now, e) {
		return mulberrybeam.Model{}, false
	}
	for _, name := range e.declared.Models {
		model, known := s.models[name]
		loaded, ok := e.loaded[name]
		if !ok {
			loaded = e.report.WeightVersions[name]
		}
		if known && loaded != model.Version {
			return model, true
		}
	}
	return mulberrybeam.Model{}, false
}

func (s *Swapper) hasFreshReport(now time.Duration, e *engine) bool {
	return e.reportedAt > 0 && now-e.reportedAt < s.timing.MaxReportAge && !e.report.Leaving
}

// canSpare reports whether the remaining engines can carry the current load of each
// model that candidate serves.
func (s *Swapper) canSpare(now time.Duration, candidate *engine) bool {
	for _, model := range candidate.declared.Models {
		load, capacity := 0, 0
		for _, e := range s.sortedEngines {
			if !slices.Contains(e.declared.Models, model) || !s.hasFreshReport(now, e) {
				continue
			}
			load += e.report.Running + e.report.Waiting
			switch {
			case e == candidate || e.loading:
			case e.warm:
				capacity += e.declared.WarmLimit
			default:
				capacity += e.declared.ColdLimit
			}
		}
		if float64(load) > float64(capacity)*s.timing.MaxUtilization {
			return false
		}
	}
	return true
}

func timelineNote(e *engine, text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{
		Kind: mulberrybeam.EntryConfiguration, Subject: string(e.declared.ID), Text: text,
	}}
}
