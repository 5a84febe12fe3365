package promoter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mulberrybeam"
)

// learnReplacements makes versions known for services that a change of targets or
// orders has left without a target that may be used.
func (p *Promoter) learnReplacements(now time.Duration, event mulberrybeam.Event) []mulberrybeam.Action {
	if !p.ready() {
		return nil
	}
	switch event := event.(type) {
	case mulberrybeam.RecordsListed:
		if event.Kind != mulberrybeam.ObjectTarget && event.Kind != mulberrybeam.ObjectRollout {
			return nil
		}
	case mulberrybeam.RecordChanged:
		if event.Kind != mulberrybeam.ObjectTarget && event.Kind != mulberrybeam.ObjectRollout {
			return nil
		}
		if entry := event.Record.Target; entry != nil && !entry.Draining && p.serviceOf(entry.Service).knows(entry.Software) {
			return nil
		}
	default:
		return nil
	}
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
		if s.active != nil || served[name] {
			continue
		}
		actions = append(actions, s.learnReplacement(now, slices.Sorted(maps.Keys(registered[name])))...)
	}
	return actions
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
