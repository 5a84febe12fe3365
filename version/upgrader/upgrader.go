// Package upgrader is the control state machine that brings engines to the
// named weights. One process at a time holds the lease for it and sends orders
// with the lease's fencing number.
package upgrader

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/waver"
)

// LeaseName is the name of the lease's object.
const LeaseName = "weights"

const (
	// checkAfter is when an engine is asked whether an order is done, and
	// retryAfter when an engine that did not answer is asked again.
	checkAfter = 250 * time.Millisecond
	retryAfter = 700 * time.Millisecond
)

// Upgrader orders new weights. Only the control goroutine may use it.
type Upgrader struct {
	self    mulberrybeam.ProcessID
	encoder mulberrybeam.RecordEncoder
	// gap is the shortest time between orders of two holders.
	gap     time.Duration
	engines map[mulberrybeam.InstanceID]*engine
	goals   map[mulberrybeam.ModelName]int
	hosts   map[mulberrybeam.ProcessID]bool

	lease      mulberrybeam.DutyLease
	leaseKnown bool
	// changedAt is when the lease was last seen to change.
	changedAt time.Duration
	// pendingAt is when the present work came up, 0 without work.
	pendingAt  time.Duration
	validUntil time.Duration
	renewAt    time.Duration
	toldAt     time.Duration
	// untold says that an engine has changed over since the last renewal.
	untold bool
	callAt time.Duration
	// claim is the lease that a call in flight writes.
	claim  mulberrybeam.DutyLease
	ticket mulberrybeam.Ticket
	orders map[mulberrybeam.Ticket]mulberrybeam.InstanceID
}

var _ mulberrybeam.Machine = (*Upgrader)(nil)

// engine is what is known of one engine and of the order under way.
type engine struct {
	target mulberrybeam.LiveTarget
	// done has versions that a report showed before the entry did.
	done map[mulberrybeam.ModelName]int
	// step is what the engine waits for.
	step step
	// nextAt is when the engine may be asked again.
	nextAt time.Duration
}

// step is the state of an engine's change-over.
type step string

const (
	stepIdle     step = ""
	stepAsking   step = "asking"
	stepOrdering step = "ordering"
	stepLoading  step = "loading"
)

// New returns the machine of a process.
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

// Fill writes nothing.
func (*Upgrader) Fill(*mulberrybeam.Snapshot) {}

// Step takes one event.
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

// learnChanged takes the holder's word on engines that have changed over.
func (u *Upgrader) learnChanged(changed []mulberrybeam.ChangedEngine) {
	for _, c := range changed {
		if e := u.engines[c.Engine]; e != nil {
			e.done[c.Model] = max(e.done[c.Model], c.Version)
		}
	}
}

// work claims or renews the lease while there is work, and sends orders while
// it is held.
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

// pending returns the engines that lack named weights, in a fixed order.
func (u *Upgrader) pending() []*engine {
	var pending []*engine
	for _, id := range slices.Sorted(maps.Keys(u.engines)) {
		if model, _ := u.lacks(u.engines[id]); model != "" {
			pending = append(pending, u.engines[id])
		}
	}
	return pending
}

// lacks returns a model whose named weights an engine does not have.
func (u *Upgrader) lacks(e *engine) (mulberrybeam.ModelName, int) {
	for _, model := range slices.Sorted(maps.Keys(e.target.Versions)) {
		if goal := u.goals[model]; max(e.target.Versions[model], e.done[model]) < goal {
			return model, goal
		}
	}
	return "", 0
}

// next returns the engines that change over now.
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

// advance asks and orders the engines that change over now.
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

// observed orders the weights that a report shows to be missing.
func (u *Upgrader) observed(turn mulberrybeam.Turn, event mulberrybeam.TargetObserved) []mulberrybeam.Action {
	e := u.engines[mulberrybeam.InstanceID(event.Target)]
	if e == nil || e.step != stepAsking {
		return nil
	}
	e.step, e.nextAt = stepIdle, turn.Now+retryAfter
	if event.Err != nil {
		return []mulberrybeam.Action{note("engine " + string(event.Target) + " did not report: " + event.Err.Error())}
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
			// Waiting for the runs to finish keeps an engine from
			// serving for seconds, while all others still have old
			// weights. Few runs are left on engines that got no new
			// requests for a while.
			KeepRuns: true,
		},
	}}
}

// ordered takes the result of an order. Without an answer, the next report
// tells whether the engine accepted it.
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
		// Another process holds a higher fencing number, so that this one
		// has lost the lease.
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
