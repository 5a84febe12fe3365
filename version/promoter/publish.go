package promoter

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// sampleFraction is the fraction of the exposure share that the sample stage
	// uses. The rest pays for the load stage.
	sampleFraction = 0.5
	// shareMargin and slackMargin are the fractions of the bounds that accounts
	// allow. The rest is for requests that the system counts and targets do not,
	// and for hosts that are not registered yet.
	shareMargin = 0.95
	slackMargin = 0.8
	// freshFraction is the fraction of the time for a rollback for which a stage
	// holds without a renewal. The rest is for requests that are being sent.
	freshFraction = 0.7
	// minLoadedTargets is the number of targets of the load stage from which on a
	// faulty one can be told from a bad version.
	minLoadedTargets = 2
	// maxCountedTargets is the number of new targets up to which counts are kept by
	// target in all stages. More would make datagrams large, and one faulty target
	// among them is no strong evidence.
	maxCountedTargets = 12
)

// publish requests a snapshot if the rollouts have changed.
func (p *Promoter) publish() []mulberrybeam.Action {
	rollouts := map[mulberrybeam.ServiceName]*mulberrybeam.FleetRollout{}
	for _, s := range p.activeServices() {
		rollout := p.fleetRollout(s)
		if last := p.published[s.name]; last != nil {
			rollout.Sequence = last.Sequence
			if reflect.DeepEqual(last, rollout) {
				rollouts[s.name] = last
				continue
			}
		}
		p.sequence++
		rollout.Sequence = p.sequence
		rollouts[s.name] = rollout
	}
	if maps.Equal(rollouts, p.published) {
		return nil
	}
	p.published = rollouts
	return []mulberrybeam.Action{mulberrybeam.PublishSnapshot{}}
}

// fleetRollout returns what requests need to know of a rollout.
func (p *Promoter) fleetRollout(s *service) *mulberrybeam.FleetRollout {
	r := s.active
	rollout := &mulberrybeam.FleetRollout{
		To: r.spec.To, Order: r.progress.Order, Stage: r.progress.Stage,
		// Without another version to use, a known one serves as before the order.
		Known:      s.isProven(r.spec.To) || s.knows(r.spec.To) && !p.servesOther(s, r.spec.To),
		ByTarget:   r.progress.Stage == mulberrybeam.StageLoad || len(p.newTargets(s)) <= maxCountedTargets,
		Credit:     shareMargin * p.bounds.ExposureShare,
		ValidUntil: p.leader.freshAt + time.Duration(freshFraction*float64(p.bounds.RollbackWithin)),
	}
	if r.fromStart && p.listed[mulberrybeam.ObjectHost] && r.progress.Order == r.firstOrder {
		rollout.InitialCredit = p.initialCredit(r.progress.Order)
	}
	switch {
	case r.bad:
		rollout.Stage = mulberrybeam.StageRolledBack
	case rollout.Stage == mulberrybeam.StageSample:
		rollout.Share = sampleFraction * p.bounds.ExposureShare
	case rollout.Stage == mulberrybeam.StageLoad:
		rollout.Targets, rollout.Share = p.loadedTargets(s)
	}
	return rollout
}

// initialCredit is this process's part of the slack, in whole requests.
func (p *Promoter) initialCredit(order uint64) float64 {
	slack := slackMargin * p.bounds.ExposureSlack
	hosts := maps.Clone(p.hosts)
	hosts[p.self] = mulberrybeam.EntryHost{}
	if slack >= float64(len(hosts)) {
		return slack / float64(len(hosts))
	}
	if slices.Contains(ranker.Top(strconv.FormatUint(order, 10), slices.Collect(maps.Keys(hosts)), int(slack)), p.self) {
		return 1
	}
	return 0
}

// loadedTargets returns the targets of the load stage, and the share with which
// each gets as much as if the version had all requests.
func (p *Promoter) loadedTargets(s *service) (map[mulberrybeam.InstanceID]bool, float64) {
	ids := p.newTargets(s)
	if len(ids) == 0 {
		return nil, 0
	}
	count := min(max(int(p.bounds.ExposureShare*float64(len(ids))), minLoadedTargets), len(ids))
	loaded := map[mulberrybeam.InstanceID]bool{}
	for _, id := range ranker.Top(strconv.FormatUint(s.active.progress.Order, 10), ids, count) {
		loaded[id] = true
	}
	return loaded, float64(count) / float64(len(ids))
}

// newTargets returns the targets of the new version that are not draining.
func (p *Promoter) newTargets(s *service) []mulberrybeam.InstanceID {
	var ids []mulberrybeam.InstanceID
	for id, target := range p.targets {
		if target.Service == s.name && target.Software == s.active.spec.To && !target.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// FillSnapshot adds the rollouts to the fleet, and leaves out targets of versions
// that may not be used. It must run after the machine that fills in the fleet.
func (p *Promoter) FillSnapshot(snapshot *mulberrybeam.Snapshot) {
	fleet := snapshot.Fleet
	if fleet == nil {
		return
	}
	if !p.ready() {
		fleet.Complete, snapshot.Ready = false, false
	}
	fleet.Rollouts = p.published
	fleet.RolloutLeader = p.hosts[p.leader.Lease().Holder].Address
	fleet.Targets = p.usable(fleet.Targets)
}

// usable returns the targets without those that may not be used. It does not
// change its argument.
func (p *Promoter) usable(targets map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget) map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget {
	var filtered map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget
	for name, pool := range targets {
		unusable := func(target mulberrybeam.FleetTarget) bool { return !p.mayUse(name, target.Software) }
		if !slices.ContainsFunc(pool, unusable) {
			continue
		}
		if filtered == nil {
			filtered = maps.Clone(targets)
		}
		filtered[name] = slices.DeleteFunc(slices.Clone(pool), unusable)
	}
	if filtered == nil {
		return targets
	}
	return filtered
}

func (p *Promoter) mayUse(name mulberrybeam.ServiceName, version mulberrybeam.SoftwareVersion) bool {
	s := p.services[name]
	return s != nil && (s.knows(version) || s.active != nil && s.active.spec.To == version)
}
