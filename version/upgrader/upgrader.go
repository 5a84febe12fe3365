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
	"mulberrybeam/version/leasekeeper"
	"mulberrybeam/version/wavescheduler"
)

// LeaseName is the name of the lease object.
const LeaseName = "weights"

const (
	// checkDelay is the delay before an engine is asked whether it has
	// finished an order.
	// retryDelay is the delay before an engine is asked again, for example
	// because it did not respond.
	checkDelay = 250 * time.Millisecond
	retryDelay = 700 * time.Millisecond
)

// Upgrader orders engines to load new weights. Only the control goroutine may
// use it.
type Upgrader struct {
	self    mulberrybeam.ProcessID
	engines map[mulberrybeam.InstanceID]*engine
	// outdated are the IDs of the engines that lack desired weights.
	outdated map[mulberrybeam.InstanceID]bool
	// active are the IDs of the engines whose upgrade has begun.
	active map[mulberrybeam.InstanceID]bool
	// schedules are the waves of the desired weights.
	schedules map[mulberrybeam.ModelName]*wavescheduler.Schedule
	desired   map[mulberrybeam.ModelName]int
	hosts     map[mulberrybeam.ProcessID]bool

	lease leasekeeper.Keeper
	// pendingSince is when upgrades became pending, 0 while none are.
	pendingSince time.Duration
	// unannounced reports whether an engine was upgraded since the last
	// renewal. The next one tells the other processes.
	unannounced    bool
	orderedEngines map[mulberrybeam.Ticket]mulberrybeam.InstanceID
}

var _ mulberrybeam.StateMachine = (*Upgrader)(nil)

// engine is the known state of one engine and of its order in progress.
type engine struct {
	target mulberrybeam.LiveTarget
	// knownVersions has the versions known from load reports or from the
	// lease. The engine's entry may show them only later.
	knownVersions map[mulberrybeam.ModelName]int
	// state is the progress of the engine's upgrade.
	state upgradeState
	// nextAt is the earliest time at which the engine may be asked again.
	nextAt time.Duration
}

// upgradeState is the state of an engine's upgrade.
type upgradeState string

const (
	stateIdle     upgradeState = ""
	stateQuerying upgradeState = "querying"
	stateOrdering upgradeState = "ordering"
	stateLoading  upgradeState = "loading"
)

// New returns the state machine of the entry process self.
func New(self mulberrybeam.ProcessID, bounds mulberrybeam.HostBounds, encoder mulberrybeam.RecordEncoder) *Upgrader {
	gap := bounds.OrderLease
	if bounds.RequireFencing {
		gap = min(gap, maxFencedGap)
	}
	return &Upgrader{
		self: self, lease: newLease(self, gap, encoder),
		engines:        map[mulberrybeam.InstanceID]*engine{},
		outdated:       map[mulberrybeam.InstanceID]bool{},
		active:         map[mulberrybeam.InstanceID]bool{},
		schedules:      map[mulberrybeam.ModelName]*wavescheduler.Schedule{},
		desired:        map[mulberrybeam.ModelName]int{},
		hosts:          map[mulberrybeam.ProcessID]bool{},
		orderedEngines: map[mulberrybeam.Ticket]mulberrybeam.InstanceID{},
	}
}

// FillSnapshot adds nothing to the snapshot.
func (*Upgrader) FillSnapshot(*mulberrybeam.Snapshot) {}

// Step handles one event.
func (u *Upgrader) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	switch event := event.(type) {
	case mulberrybeam.StoreEraChanged:
		u.lease.ChangeEra(turn.Now, event.Era)
	case mulberrybeam.RecordsListed:
		actions = u.applyList(turn, event)
	case mulberrybeam.RecordChanged:
		actions = u.applyChange(turn, event)
	case mulberrybeam.ObjectReplied:
		if !u.lease.Awaits(event) {
			return nil
		}
		_, actions = u.lease.HandleReply(turn.Now, event)
	case mulberrybeam.TargetObserved:
		actions = u.handleReport(turn, event)
	case mulberrybeam.OrderDone:
		actions = u.handleOrderResult(turn, event)
	case mulberrybeam.Tick:
	default:
		return nil
	}
	return append(actions, u.reconcile(turn)...)
}

func (u *Upgrader) applyList(turn mulberrybeam.Turn, event mulberrybeam.RecordsListed) []mulberrybeam.Action {
	if event.Kind == mulberrybeam.ObjectLease {
		return u.applyLeaseList(turn.Now, event)
	}
	if event.Kind == mulberrybeam.ObjectTarget {
		for id := range u.engines {
			if _, kept := event.Records[string(id)]; !kept {
				u.removeEngine(id)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(event.Records)) {
		u.applyRecord(event.Kind, name, event.Records[name], false)
	}
	return nil
}

func (u *Upgrader) applyChange(turn mulberrybeam.Turn, event mulberrybeam.RecordChanged) []mulberrybeam.Action {
	if event.Kind == mulberrybeam.ObjectLease {
		return u.applyLease(turn.Now, event)
	}
	u.applyRecord(event.Kind, event.Name, event.Record, event.Removed)
	return nil
}

func (u *Upgrader) applyRecord(kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record, removed bool) {
	switch {
	case kind == mulberrybeam.ObjectTarget:
		u.applyTarget(mulberrybeam.InstanceID(name), record.Target)
	case record.Weights != nil:
		u.setDesired(*record.Weights)
	case kind == mulberrybeam.ObjectHost && !removed:
		u.hosts[mulberrybeam.ProcessID(name)] = true
	case kind == mulberrybeam.ObjectHost:
		delete(u.hosts, mulberrybeam.ProcessID(name))
	}
}

// reconcile claims or renews the lease while upgrades are pending, and upgrades
// engines while the lease is held.
func (u *Upgrader) reconcile(turn mulberrybeam.Turn) []mulberrybeam.Action {
	if len(u.outdated) == 0 {
		u.pendingSince = 0
		if u.lease.Holds(turn.Now) && u.unannounced {
			return u.maintainLease(turn)
		}
		return nil
	}
	if u.pendingSince == 0 {
		u.pendingSince = turn.Now
	}
	actions := u.maintainLease(turn)
	if !u.lease.Holds(turn.Now) {
		return actions
	}
	return append(actions, u.requestReports(turn)...)
}

// requestReports requests load reports from the engines that are due: the outdated
// ones of the current waves and those that have begun their upgrade.
func (u *Upgrader) requestReports(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, id := range u.upgradeCandidates() {
		e := u.engines[id]
		if turn.Now < e.nextAt || e.state == stateQuerying || e.state == stateOrdering {
			continue
		}
		u.setState(e, stateQuerying)
		actions = append(actions, mulberrybeam.Observe{Target: toTarget(e.target)})
	}
	return actions
}

// handleReport handles a load report. It sends an order when the engine lacks
// weights and is not busy with another order.
func (u *Upgrader) handleReport(turn mulberrybeam.Turn, event mulberrybeam.TargetObserved) []mulberrybeam.Action {
	e := u.engines[mulberrybeam.InstanceID(event.Target)]
	if e == nil || e.state != stateQuerying {
		return nil
	}
	e.nextAt = turn.Now + retryDelay
	u.setState(e, stateIdle)
	if event.Err != nil {
		return []mulberrybeam.Action{timelineNote("engine " + string(event.Target) + " returned no load report: " + event.Err.Error())}
	}
	for model, version := range event.Report.WeightVersions {
		if number, err := strconv.Atoi(string(version)); err == nil {
			e.knownVersions[model] = max(e.knownVersions[model], number)
		}
	}
	u.updateOutdated(mulberrybeam.InstanceID(event.Target), e)
	model, desired := u.missingVersion(e)
	if model == "" {
		u.lease.RenewBy(announceInterval)
		u.unannounced = true
		return nil
	}
	if event.Report.OrderBusy {
		e.nextAt = turn.Now + checkDelay
		u.setState(e, stateLoading)
		return nil
	}
	if !u.lease.Holds(turn.Now) {
		return nil
	}
	u.setState(e, stateOrdering)
	ticket := mulberrybeam.Ticket(turn.Rand.Uint64())
	u.orderedEngines[ticket] = e.target.ID
	return []mulberrybeam.Action{mulberrybeam.SendOrder{
		Target: toTarget(e.target), Ticket: ticket, NotAfter: u.lease.ValidUntil(),
		Order: mulberrybeam.Order{
			Kind: mulberrybeam.OrderLoadWeights, Model: model, Version: mulberrybeam.WeightVersion(strconv.Itoa(desired)),
			Fencing: mulberrybeam.Epoch(u.lease.Lease().Token), Holder: u.self, AcceptedOrders: event.Report.Orders,
			// Letting all runs finish first would take the engine out
			// of service for seconds while all others still have the
			// old weights. Few runs are left by then, since the engine
			// has had no new requests for a while.
			KeepRuns: true,
		},
	}}
}

// handleOrderResult handles the result of an order. If there was no response,
// the next load report shows whether the engine accepted the order.
func (u *Upgrader) handleOrderResult(turn mulberrybeam.Turn, event mulberrybeam.OrderDone) []mulberrybeam.Action {
	id, known := u.orderedEngines[event.Ticket]
	delete(u.orderedEngines, event.Ticket)
	e := u.engines[id]
	if !known || e == nil || e.state != stateOrdering {
		return nil
	}
	e.nextAt = turn.Now + checkDelay
	u.setState(e, stateLoading)
	if event.Err == nil {
		return []mulberrybeam.Action{timelineNote("engine " + string(id) + " accepted an order")}
	}
	if mulberrybeam.CodeOf(event.Err) == mulberrybeam.CodeConflict {
		// The engine has seen a higher fencing token, so another process
		// holds the lease now.
		u.lease.StepDown(turn.Now)
		u.setState(e, stateIdle)
	}
	return []mulberrybeam.Action{timelineNote("engine " + string(id) + " did not accept an order: " + event.Err.Error())}
}

func toTarget(target mulberrybeam.LiveTarget) mulberrybeam.Target {
	return mulberrybeam.Target{
		ID: mulberrybeam.TargetID(target.ID), Kind: mulberrybeam.KindEngine, Zone: target.Zone, Address: target.Address,
	}
}

func timelineNote(text string) mulberrybeam.Action {
	return mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: mulberrybeam.EntrySlot, Subject: LeaseName, Text: text}}
}
