package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"mulberrybeam"
)

// rebuild derives the fleet from what is known. Nothing in it is shared with
// the machine's mutable state.
func (t *Tracker) rebuild() {
	t.fleet = mulberrybeam.Fleet{
		Deployment: t.deployment,
		Weights:    maps.Clone(t.weights),
		Regions:    t.regions,
		Targets:    t.usable(),
		EntryHosts: t.entryHosts(),
		Crashes:    make(map[mulberrybeam.Fingerprint]int, len(t.crashes)),
	}
	for crash := range t.crashes {
		t.fleet.Crashes[crash.Fingerprint]++
	}
	if t.deployment != nil {
		t.fleet.Keys = keysOf(t.deployment)
		t.fleet.Hosts = hostsOf(t.deployment)
		t.fleet.ContextStores = contextStoresOf(t.deployment)
	}
}

// usable returns the targets that may get new requests, in a fixed order.
func (t *Tracker) usable() map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget {
	targets := map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{}
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		known := t.targets[id]
		if known.target.Draining || t.evacuated[known.target.Zone] {
			continue
		}
		service := known.target.Service
		targets[service] = append(targets[service], mulberrybeam.FleetTarget{LiveTarget: known.target, ColdUntil: known.coldUntil})
	}
	return targets
}

func (t *Tracker) entryHosts() []mulberrybeam.ProcessID {
	hosts := maps.Clone(t.hosts)
	hosts[t.self] = true
	return slices.Sorted(maps.Keys(hosts))
}

func keysOf(deployment *mulberrybeam.Deployment) map[string]*mulberrybeam.Tenancy {
	keys := map[string]*mulberrybeam.Tenancy{}
	for i := range deployment.Workspaces {
		for _, key := range deployment.Workspaces[i].Keys {
			keys[key] = &deployment.Workspaces[i]
		}
	}
	return keys
}

func hostsOf(deployment *mulberrybeam.Deployment) map[string][]*mulberrybeam.Rule {
	hosts := map[string][]*mulberrybeam.Rule{}
	for i := range deployment.Rules {
		rule := &deployment.Rules[i]
		hosts[rule.Host] = append(hosts[rule.Host], rule)
	}
	for _, rules := range hosts {
		slices.SortStableFunc(rules, func(a, b *mulberrybeam.Rule) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return hosts
}

func contextStoresOf(deployment *mulberrybeam.Deployment) []mulberrybeam.ContextStore {
	var stores []mulberrybeam.ContextStore
	for _, pool := range deployment.Pools {
		if pool.ContextStore != nil {
			stores = append(stores, *pool.ContextStore)
		}
	}
	slices.SortFunc(stores, func(a, b mulberrybeam.ContextStore) int { return cmp.Compare(a.Address, b.Address) })
	return stores
}

func format[V ~int | ~uint64](value V) string { return fmt.Sprint(value) }
