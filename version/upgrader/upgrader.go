// Package upgrader is the control state machine that upgrades engines to the
// desired weight versions. Only the holder of a lease sends load orders, each
// with the lease's fencing token.
package upgrader

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/waver"
)

// LeaseName is the name of the lease object.
const LeaseName = "weights"

const (
	// checkAfter is the delay before an engine is asked whether it has
	// finished an order.
	// retryAfter is the delay before an engine is asked again, for example
	// because it did not respond.
	checkAfter = 250 * time.Millisecond
	retryAfter = 700 * time.Millisecond
)

// Upgrader orders engines to load new weights. Only the control goroutine may
// use it.
type Upgrader struct {
	self    mulberrybeam.ProcessID
	encoder mulberrybeam.RecordEncoder
	// gap is the minimum time between orders of two lease holders.
	gap     time.Duration
	engines map[mulberrybeam.InstanceID]*engine
	goals   map[mulberrybeam.ModelName]int
	hosts   map[mulberrybeam.ProcessID]bool

	lease      mulberrybeam.DutyLease
	leaseKnown bool
	// changedAt is when a change of the lease was last observed.
	changedAt time.Duration
	// pendingAt is when upgrades became pending, 0 while none are.
	pendingAt  time.Duration
	validUntil time.Duration
	renewAt    time.Duration
	toldAt     time.Duration
	// untold says that an engine was upgraded since the last renewal, so that
	// the next renewal has news for the other processes.
	untold bool
	callAt time.Duration
	// claim is the lease that the write in flight would store.
	claim  mulberrybeam.DutyLease
	ticket mulberrybeam.Ticket
	orders map[mulberrybeam.Ticket]mulberrybeam.InstanceID
}

var _ mulberrybeam.Machine = (*Upgrader)(nil)

// engine is the known state of one engine and of its order in progress.
type engine struct {
	target mulberrybeam.LiveTarget
	// done has the versions known from load reports or from the lease, which
	// the engine's entry may show only later.
	done map[mulberrybeam.ModelName]int
	// step is the progress of the engine's upgrade.
	step step
	// nextAt is the earliest time at which the engine may be asked again.
	nextAt time.Duration
}

// step is the state of an engine's upgrade.
type step string

const (
	stepIdle     step = ""
	stepAsking   step = "asking"
	stepOrdering step = "ordering"
	stepLoading  step = "loading"
)

// New returns the state machine of the entry process self.
func New(self mulberrybeam.ProcessID, bounds mulberrybeam.HostBounds, encoder mulberrybeam.RecordEncoder) *Upgrader {
	gap := bounds.OrderLease
	if bounds.Fenced {
		gap = min(gap, fencedGap)
	}
	return &Upgrader{
		self: self, encoder: encoder, gap: gap,
		engines: map[mulberrybeam.InstanceID]*engine{},
		goals:   map[mulberrybeam.ModelName]int{},
		hosts:   map[mulberrybeam.ProcessID]bool{},
		orders:  map[mulberrybeam.Ticket]mulberrybeam.InstanceID{},
	}
}

// Fill adds nothing to the snapshot.
func (*Upgrader) Fill(*mulberrybeam.Snapshot) {}

// Step handles one event.
func (u *Upgrader) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		u.list(turn, event)
	case mulberrybeam.RecordChanged:
		u.learn(turn, event.Kind, event.Name, event.Record, event.Removed)
	case mulberrybeam.ObjectReplied:
		if event.Ticket != u.ticket || u.ticket == 0 {
			return nil
		}
		actions = u.claimed(turn, event)
	case mulberrybeam.TargetObserved:
		actions = u.observed(turn, event)
	case mulberrybeam.OrderDone:
		actions = u.ordered(turn, event)
	case mulberrybeam.Tick:
	default:
		return nil
	}
	return append(actions, u.work(turn)...)
}

func (u *Upgrader) list(turn mulberrybeam.Turn, event mulberrybeam.RecordsListed) {
	if event.Kind == mulberrybeam.ObjectTarget {
		for id := range u.engines {
			if _, kept := event.Records[string(id)]; !kept {
				delete(u.engines, id)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(event.Records)) {
		u.learn(turn, event.Kind, name, event.Records[name], false)
	}
	if event.Kind == mulberrybeam.ObjectLease {
		u.leaseKnown = true
	}
}

func (u *Upgrader) learn(turn mulberrybeam.Turn, kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record, removed bool) {
	switch {
	case kind == mulberrybeam.ObjectTarget:
		u.learnTarget(mulberrybeam.InstanceID(name), record.Target)
	case record.Weights != nil:
		u.goals[record.Weights.Model] = max(u.goals[record.Weights.Model], record.Weights.Version)
	case kind == mulberrybeam.ObjectHost && !removed:
		u.hosts[mulberrybeam.ProcessID(name)] = true
	case kind == mulberrybeam.ObjectHost:
		delete(u.hosts, mulberrybeam.ProcessID(name))
	case record.Lease != nil && name == LeaseName && record.Lease.Version != u.lease.Version:
		u.lease = *record.Lease
		u.changedAt = turn.Now
		u.learnChanged(record.Lease.Changed)
	}
}

func (u *Upgrader) learnTarget(id mulberrybeam.InstanceID, target *mulberrybeam.LiveTarget) {
	if target == nil || target.Draining || len(target.Versions) == 0 {
		delete(u.engines, id)
		return
	}
	known := u.engines[id]
	if known == nil || known.target.StartedAt != target.StartedAt {
		u.engines[id] = &engine{target: *target, done: map[mulberrybeam.ModelName]int{}}
		return
	}
	known.target = *target
}

// learnChanged adopts the versions of upgraded engines that the lease lists.
func (u *Upgrader) learnChanged(changed []mulberrybeam.ChangedEngine) {
	for _, c := range changed {
		if e := u.engines[c.Engine]; e != nil {
			e.done[c.Model] = max(e.done[c.Model], c.Version)
		}
	}
}

// work claims or renews the lease while upgrades are pending, and upgrades
// engines while the lease is held.
func (u *Upgrader) work(turn mulberrybeam.Turn) []mulberrybeam.Action {
	pending := u.pending()
	if len(pending) == 0 {
		u.pendingAt = 0
		if turn.Now < u.validUntil && u.untold {
			return u.hold(turn)
		}
		return nil
	}
	if u.pendingAt == 0 {
		u.pendingAt = turn.Now
	}
	actions := u.hold(turn)
	if turn.Now >= u.validUntil {
		return actions
	}
	return append(actions, u.advance(turn, pending)...)
}

// pending returns the engines that lack desired weights, ordered by ID.
func (u *Upgrader) pending() []*engine {
	var pending []*engine
	for _, id := range slices.Sorted(maps.Keys(u.engines)) {
		if model, _ := u.lacks(u.engines[id]); model != "" {
			pending = append(pending, u.engines[id])
		}
	}
	return pending
}

// lacks returns the first model whose desired version the engine does not
// have, and that version.
func (u *Upgrader) lacks(e *engine) (mulberrybeam.ModelName, int) {
	for _, model := range slices.Sorted(maps.Keys(e.target.Versions)) {
		if goal := u.goals[model]; max(e.target.Versions[model], e.done[model]) < goal {
			return model, goal
		}
	}
	return "", 0
}

// next returns the engines of the current wave of each model.
func (u *Upgrader) next() map[mulberrybeam.InstanceID]bool {
	next := map[mulberrybeam.InstanceID]bool{}
	for model, goal := range u.goals {
		var engines []waver.Engine
		for id, e := range u.engines {
			if version, serves := e.target.Versions[model]; serves {
				engines = append(engines, waver.Engine{ID: id, Version: max(version, e.done[model])})
			}
		}
		for _, id := range waver.Next(model, goal, engines) {
			next[id] = true
		}
	}
	return next
}

// advance requests load reports from the pending engines that are due. An
// idle engine must be in the current wave.
func (u *Upgrader) advance(turn mulberrybeam.Turn, pending []*engine) []mulberrybeam.Action {
	next := u.next()
	var actions []mulberrybeam.Action
	for _, e := range pending {
		if turn.Now < e.nextAt || e.step == stepAsking || e.step == stepOrdering {
			continue
		}
		if e.step == stepIdle && !next[e.target.ID] {
			continue
		}
		e.step = stepAsking
		actions = append(actions, mulberrybeam.Observe{Target: plain(e.target)})
	}
	return actions
}

// observed handles a load report. It sends an order when the engine lacks
// weights and is not busy with another order.
func (u *Upgrader) observed(turn mulberrybeam.Turn, event mulberrybeam.TargetObserved) []mulberrybeam.Action {
	e := u.engines[mulberrybeam.InstanceID(event.Target)]
	if e == nil || e.step != stepAsking {
		return nil
	}
	e.step, e.nextAt = stepIdle, turn.Now+retryAfter
	if event.Err != nil {
		return []mulberrybeam.Action{note("engine " + string(event.Target) + " returned no load report: " + event.Err.Error())}
	}
	for model, version := range event.Report.WeightVersions {
		if number, err := strconv.Atoi(string(version)); err == nil {
			e.done[model] = max(e.done[model], number)
		}
	}
	model, goal := u.lacks(e)
	if model == "" {
		u.renewAt = min(u.renewAt, u.toldAt+tellAfter)
		u.untold = true
		return nil
	}
	if event.Report.OrderBusy {
		e.step, e.nextAt = stepLoading, turn.Now+checkAfter
		return nil
	}
	if turn.Now >= u.validUntil {
		return nil
	}
	e.step = stepOrdering
	ticket := mulberrybeam.Ticket(turn.Rand.Uint64())
	u.orders[ticket] = e.target.ID
	return []mulberrybeam.Action{mulberrybeam.SendOrder{
		Target: plain(e.target), Ticket: ticket, NotAfter: u.validUntil,
		Order: mulberrybeam.Order{
			Kind: mulberrybeam.OrderLoadWeights, Model: model, Version: mulberrybeam.WeightVersion(strconv.Itoa(goal)),
			Fencing: mulberrybeam.Epoch(u.lease.Token), Holder: u.self, Expect: event.Report.Orders,
			// Letting all runs finish first would take the engine out
			// of service for seconds while all others still have the
			// old weights. Few runs are left by then, since the engine
			// has had no new requests for a while.
			KeepRuns: true,
		},
	}}
}

// ordered handles the result of an order. If there was no response, the next
// load report shows whether the engine accepted the order.
func (u *Upgrader) ordered(turn mulberrybeam.Turn, event mulberrybeam.OrderDone) []mulberrybeam.Action {
	id, known := u.orders[event.Ticket]
	delete(u.orders, event.Ticket)
	e := u.engines[id]
	if !known || e == nil || e.step != stepOrdering {
		return nil
	}
	e.step, e.nextAt = stepLoading, turn.Now+checkAfter
	if event.Err == nil {
		return []mulberrybeam.Action{note("engine " + string(id) + " accepted an order")}
	}
	if mulberrybeam.CodeOf(event.Err) == mulberrybeam.CodeConflict {
		// The engine has seen a higher fencing token, so another process
		// holds the lease now.
		u.validUntil = 0
		u.callAt = turn.Now + callPause
		e.step = stepIdle
	}
	return []mulberrybeam.Action{note("engine " + string(id) + " did not accept an order: " + event.Err.Error())}
}

func plain(target mulberrybeam.LiveTarget) mulberrybeam.Target {
	return mulberrybeam.Target{
		ID: mulberrybeam.TargetID(target.ID), Kind: mulberrybeam.KindEngine, Zone: target.Zone, Address: target.Address,
	}
}

func note(text string) mulberrybeam.Action {
	return mulberrybeam.Note{Entry: mulberrybeam.Entry{Kind: mulberrybeam.EntrySlot, Subject: LeaseName, Text: text}}
}
