package promoter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mulberrybeam"
)

// reviewVersions handles changes of targets and orders. It makes versions known for
// services that are left without a target that may be used, and records which
// versions are the only one of their service.
func (p *Promoter) reviewVersions(now time.Duration) []mulberrybeam.Action {
	if !p.ready() || !p.mustReview {
		return nil
	}
	p.mustReview = false
	registered := map[mulberrybeam.ServiceName]map[mulberrybeam.SoftwareVersion]bool{}
	served := map[mulberrybeam.ServiceName]bool{}
	for _, entry := range p.targets {
		if registered[entry.Service] == nil {
			registered[entry.Service] = map[mulberrybeam.SoftwareVersion]bool{}
		}
		registered[entry.Service][entry.Software] = true
		if !entry.Draining && p.serviceOf(entry.Service).knows(entry.Software) {
			served[entry.Service] = true
		}
	}
	var actions []mulberrybeam.Action
	for _, name := range slices.Sorted(maps.Keys(registered)) {
		s := p.serviceOf(name)
		versions := slices.Sorted(maps.Keys(registered[name]))
		if s.active == nil && !served[name] {
			actions = append(actions, s.learnReplacement(now, versions)...)
		}
		if only := versions[0]; len(versions) == 1 && s.knows(only) && (s.active == nil || s.active.spec.To != only) {
			s.proven[only] = true
		}
	}
	return actions
}

// isProven reports whether an order to a version needs no test. A version that was
// listed beside another one at the start may be one that was started for the order.
func (s *service) isProven(version mulberrybeam.SoftwareVersion) bool {
	return s.knows(version) && s.proven[version]
}

// servesOther reports whether a target of another known version than this one
// serves.
func (p *Promoter) servesOther(s *service, version mulberrybeam.SoftwareVersion) bool {
	for _, entry := range p.targets {
		if entry.Service == s.name && !entry.Draining && entry.Software != version && s.knows(entry.Software) {
			return true
		}
	}
	return false
}

// learnReplacement makes the registered versions known that were not rolled back.
// Without it, a host that missed the success of an order, or the replacement of all
// targets without an order, would have no targets.
func (s *service) learnReplacement(now time.Duration, registered []mulberrybeam.SoftwareVersion) []mulberrybeam.Action {
	var learned, left []mulberrybeam.SoftwareVersion
	for _, version := range registered {
		switch {
		case s.rolledBack[version]:
			left = append(left, version)
		case !s.knows(version):
			s.known[version] = now
			delete(s.barred, version)
			learned = append(learned, version)
		}
	}
	if len(learned) == 0 {
		return nil
	}
	return []mulberrybeam.Action{
		note(string(s.name), fmt.Sprintf("no order is under way and no target of a known version serves: versions %v are used, rolled back %v", learned, left)),
		mulberrybeam.PublishSnapshot{},
	}
}
