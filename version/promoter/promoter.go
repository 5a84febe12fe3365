// Package promoter is the control state machine that moves the traffic of a
// service to another software version in stages. Every host judges the new
// version and publishes the share of requests that may go to it. The holder of a
// lease decides on the stages and writes the status of the order.
package promoter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/judge"
)

// Promoter handles the rollouts of all services. Only the control goroutine may
// use it.
type Promoter struct {
	self    mulberrybeam.ProcessID
	bounds  mulberrybeam.HostBounds
	encoder mulberrybeam.RecordEncoder

	listed  map[mulberrybeam.ObjectKind]bool
	targets map[mulberrybeam.InstanceID]*target
	hosts   map[mulberrybeam.ProcessID]mulberrybeam.EntryHost
	// registeredAt is when the registration of a host was last seen to change.
	registeredAt map[mulberrybeam.ProcessID]time.Duration

	services map[mulberrybeam.ServiceName]*service
	// mustReview reports a change of targets or orders that may decide which versions
	// are known. Most changes of targets do not.
	mustReview bool
	leader     leadership
	// statusTickets are the writes of statuses in flight.
	statusTickets map[mulberrybeam.Ticket]mulberrybeam.ServiceName

	// published are the rollouts of the last snapshot, and sequence their number.
	published map[mulberrybeam.ServiceName]*mulberrybeam.FleetRollout
	sequence  uint64
}

type target struct {
	mulberrybeam.LiveTarget
	coldUntil time.Duration
}

// service is a service with the versions that may be used.
type service struct {
	name mulberrybeam.ServiceName
	// known are the versions that served all requests before, with the time since
	// when this process knows that.
	known map[mulberrybeam.SoftwareVersion]time.Duration
	// proven are the known versions to which an order needs no test: an order to them
	// has succeeded, or this process has seen them as the only one of the service.
	proven map[mulberrybeam.SoftwareVersion]bool
	// barred are versions whose rollout has ended without success. settled reports
	// that a rollout has succeeded, so that only its version is known.
	barred  map[mulberrybeam.SoftwareVersion]bool
	settled bool
	// rolledBack are the barred versions that were rolled back. The others belong to
	// orders that were replaced.
	rolledBack map[mulberrybeam.SoftwareVersion]bool
	// active is the rollout in progress, or nil.
	active *rollout
}

// rollout is an order in progress.
type rollout struct {
	spec mulberrybeam.RolloutOrder
	// seenAt is when this process learned of the order, and fromStart reports that
	// it did when the order was given.
	seenAt    time.Duration
	fromStart bool
	// retimed reports that the time has begun again at seenAt, and that the leader has
	// not published a time that began again yet.
	retimed bool
	// progress is what the leader has published, with the time at which this process
	// read it, and stageSince when it first read the stage.
	progress   mulberrybeam.RolloutProgress
	progressAt time.Duration
	stageSince time.Duration
	bad        bool
	// firstOrder is the first number that a leader gave to the order. Only that one has
	// a part of the slack, since the next leader gives another if the lease is lost.
	firstOrder uint64
	// firstRevision is the revision at which this process first saw the order.
	firstRevision uint64
	// decided is the last stage that this process chose as the leader.
	decided mulberrybeam.RolloutStage
	// nextStatusAt is when the status may be written again.
	nextStatusAt time.Duration
	evidence     *evidence
	judge        *judge.Judge
}

var _ mulberrybeam.StateMachine = (*Promoter)(nil)

// New returns the state machine of the entry process self.
func New(self mulberrybeam.ProcessID, bounds mulberrybeam.HostBounds, encoder mulberrybeam.RecordEncoder) *Promoter {
	return &Promoter{
		self: self, bounds: bounds, encoder: encoder, leader: newLeadership(self, encoder),
		listed:   map[mulberrybeam.ObjectKind]bool{},
		targets:  map[mulberrybeam.InstanceID]*target{},
		hosts:    map[mulberrybeam.ProcessID]mulberrybeam.EntryHost{},
		services: map[mulberrybeam.ServiceName]*service{},

		registeredAt:  map[mulberrybeam.ProcessID]time.Duration{},
		statusTickets: map[mulberrybeam.Ticket]mulberrybeam.ServiceName{},
	}
}

// Step handles one event.
func (p *Promoter) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		actions = p.applyList(turn, event)
	case mulberrybeam.RecordChanged:
		if event.Kind == mulberrybeam.ObjectLease {
			actions = p.applyLease(turn, event)
		} else {
			actions = p.applyRecord(turn, event.Kind, event.Name, event.Record, event.Removed)
		}
	case mulberrybeam.StoreEraChanged:
		p.leader.ChangeEra(turn.Now, event.Era)
	case mulberrybeam.FeedConfirmed:
		if event.Kind != mulberrybeam.ObjectLease {
			return nil
		}
		p.confirmLease(event.SentAt)
	case mulberrybeam.RolloutReported:
		return p.handleReport(turn, event)
	case mulberrybeam.ObjectReplied:
		actions = p.handleReply(turn, event)
	case mulberrybeam.Tick:
		actions = append(p.judge(turn), p.lead(turn)...)
	default:
		return nil
	}
	actions = append(actions, p.reviewVersions(turn.Now)...)
	return append(actions, p.publish()...)
}

func (p *Promoter) applyList(turn mulberrybeam.Turn, event mulberrybeam.RecordsListed) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	if event.Kind == mulberrybeam.ObjectLease {
		actions = p.applyLeaseList(turn, event)
	}
	for _, name := range p.names(event.Kind) {
		if _, kept := event.Records[name]; !kept {
			actions = append(actions, p.applyRecord(turn, event.Kind, name, mulberrybeam.Record{}, true)...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(event.Records)) {
		actions = append(actions, p.applyRecord(turn, event.Kind, name, event.Records[name], false)...)
	}
	first := !p.ready()
	p.listed[event.Kind] = true
	if first && p.ready() {
		p.learnVersions(turn.Now)
	}
	return actions
}

// names returns the names of the known objects of a kind.
func (p *Promoter) names(kind mulberrybeam.ObjectKind) []string {
	var names []string
	switch kind {
	case mulberrybeam.ObjectTarget:
		for id := range p.targets {
			names = append(names, string(id))
		}
	case mulberrybeam.ObjectHost:
		for id := range p.hosts {
			names = append(names, string(id))
		}
	case mulberrybeam.ObjectRollout:
		for id := range p.services {
			names = append(names, string(id))
		}
	}
	slices.Sort(names)
	return names
}

func (p *Promoter) applyRecord(turn mulberrybeam.Turn, kind mulberrybeam.ObjectKind, name string, record mulberrybeam.Record, removed bool) []mulberrybeam.Action {
	switch kind {
	case mulberrybeam.ObjectTarget:
		p.applyTarget(turn, mulberrybeam.InstanceID(name), record.Target)
	case mulberrybeam.ObjectHost:
		p.applyHost(turn, mulberrybeam.ProcessID(name), record.Host)
	case mulberrybeam.ObjectRollout:
		p.mustReview = true
		return p.applyOrder(turn, mulberrybeam.ServiceName(name), record.Rollout, removed)
	}
	return nil
}

func (p *Promoter) applyHost(turn mulberrybeam.Turn, id mulberrybeam.ProcessID, host *mulberrybeam.EntryHost) {
	if host == nil {
		delete(p.hosts, id)
		delete(p.registeredAt, id)
		return
	}
	if known, found := p.hosts[id]; !found || known != *host {
		p.registeredAt[id] = turn.Now
	}
	p.hosts[id] = *host
}

func (p *Promoter) applyTarget(turn mulberrybeam.Turn, id mulberrybeam.InstanceID, entry *mulberrybeam.LiveTarget) {
	if entry == nil {
		delete(p.targets, id)
		p.mustReview = true
		return
	}
	updated := &target{LiveTarget: *entry, coldUntil: turn.Now + entry.ColdFor}
	if last := p.targets[id]; last != nil && last.StartedAt == entry.StartedAt {
		updated.coldUntil = max(updated.coldUntil, last.coldUntil)
	}
	if last := p.targets[id]; last == nil || last.Service != entry.Service || last.Software != entry.Software || last.Draining != entry.Draining {
		p.mustReview = true
	}
	p.targets[id] = updated
	p.serviceOf(entry.Service)
}

// ready reports whether it is known which versions may be used.
func (p *Promoter) ready() bool {
	return p.listed[mulberrybeam.ObjectTarget] && p.listed[mulberrybeam.ObjectRollout]
}

// learnVersions takes the versions that are registered at the start, unless an
// order names them, as those that served before.
func (p *Promoter) learnVersions(now time.Duration) {
	for _, entry := range p.targets {
		s := p.serviceOf(entry.Service)
		if !s.settled && !s.barred[entry.Software] && (s.active == nil || s.active.spec.To != entry.Software) {
			s.known[entry.Software] = now
		}
	}
}

func (p *Promoter) serviceOf(name mulberrybeam.ServiceName) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			name: name, known: map[mulberrybeam.SoftwareVersion]time.Duration{}, barred: map[mulberrybeam.SoftwareVersion]bool{},
			rolledBack: map[mulberrybeam.SoftwareVersion]bool{}, proven: map[mulberrybeam.SoftwareVersion]bool{},
		}
		p.services[name] = s
	}
	return s
}

// activeServices returns the services with a rollout in progress, ordered by name.
func (p *Promoter) activeServices() []*service {
	var active []*service
	for _, s := range p.services {
		if s.active != nil {
			active = append(active, s)
		}
	}
	slices.SortFunc(active, func(a, b *service) int { return strings.Compare(string(a.name), string(b.name)) })
	return active
}
