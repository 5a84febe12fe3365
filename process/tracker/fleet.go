package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
	"mulberrybeam/version/wavescheduler"
)

// rebuildFleet builds the fleet from the machine's state. The fleet shares no
// mutable data with that state, since snapshots are read by other goroutines.
func (t *Tracker) rebuildFleet() {
	t.fleet = mulberrybeam.Fleet{
		Deployment:    t.deployment,
		Weights:       maps.Clone(t.desiredWeights),
		WeightHistory: maps.Clone(t.weightHistory),
		Regions:       t.regions,
		Targets:       t.usableTargets(),
		EntryHosts:    t.entryHosts(),

		PeerAddresses: t.peerAddresses(),
		Peers:         t.peers(),
		Crashes:       make(map[mulberrybeam.Fingerprint]int, len(t.crashes)),
	}
	t.fleet.Leaving = leavingEngines(t.fleet.Targets, t.desiredWeights)
	for crash := range t.crashes {
		t.fleet.Crashes[crash.fingerprint]++
	}
	if t.deployment != nil {
		t.fleet.Keys = workspacesByKey(t.deployment)
		t.fleet.SharingGroup = fetcher.SharingGroup(t.deployment.Workspaces)
		t.fleet.Hosts = rulesByHost(t.deployment)
		t.fleet.ContextStores = contextStores(t.deployment)
	}
}

// usableTargets returns the targets that may get new requests by service,
// sorted by ID.
func (t *Tracker) usableTargets() map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget {
	targets := map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{}
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		tracked := t.targets[id]
		if tracked.target.Draining || t.evacuated[tracked.target.Zone] {
			continue
		}
		target := mulberrybeam.FleetTarget{LiveTarget: tracked.target, ColdUntil: tracked.coldUntil}
		upgraded := t.upgradedEngines[id]
		if version, serves := target.Versions[upgraded.Model]; serves && upgraded.Version > version {
			target.Versions = maps.Clone(target.Versions)
			target.Versions[upgraded.Model] = upgraded.Version
		}
		targets[target.Service] = append(targets[target.Service], target)
	}
	return targets
}

// leavingEngines returns the engines that will switch to new weights in the
// current or the next wave.
func leavingEngines(targets map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget, desiredWeights map[mulberrybeam.ModelName]mulberrybeam.DesiredWeights) map[mulberrybeam.InstanceID]bool {
	leaving := map[mulberrybeam.InstanceID]bool{}
	for model, desired := range desiredWeights {
		var engines []wavescheduler.Engine
		for _, pool := range targets {
			for _, target := range pool {
				if version, serves := target.Versions[model]; serves {
					engines = append(engines, wavescheduler.Engine{ID: target.ID, Version: version})
				}
			}
		}
		for _, id := range wavescheduler.CurrentAndNextWave(model, desired.Version, engines) {
			leaving[id] = true
		}
	}
	return leaving
}

func (t *Tracker) entryHosts() []mulberrybeam.ProcessID {
	hosts := maps.Clone(t.hosts)
	hosts[t.self] = mulberrybeam.EntryHost{}
	return slices.Sorted(maps.Keys(hosts))
}

func (t *Tracker) peerAddresses() []string {
	var addresses []string
	for id, host := range t.hosts {
		if id != t.self && host.Address != "" {
			addresses = append(addresses, host.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// peers returns the registered entry hosts, ordered by ID.
func (t *Tracker) peers() []mulberrybeam.EntryHost {
	return slices.SortedFunc(maps.Values(t.hosts), func(a, b mulberrybeam.EntryHost) int { return cmp.Compare(a.ID, b.ID) })
}

func workspacesByKey(deployment *mulberrybeam.Deployment) map[string]*mulberrybeam.WorkspaceSpec {
	keys := map[string]*mulberrybeam.WorkspaceSpec{}
	for i := range deployment.Workspaces {
		for _, key := range deployment.Workspaces[i].Keys {
			keys[key] = &deployment.Workspaces[i]
		}
	}
	return keys
}

func rulesByHost(deployment *mulberrybeam.Deployment) map[string][]*mulberrybeam.Rule {
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

func contextStores(deployment *mulberrybeam.Deployment) []mulberrybeam.ContextStore {
	var stores []mulberrybeam.ContextStore
	for _, pool := range deployment.Pools {
		if pool.ContextStore != nil {
			stores = append(stores, *pool.ContextStore)
		}
	}
	slices.SortFunc(stores, func(a, b mulberrybeam.ContextStore) int { return cmp.Compare(a.Address, b.Address) })
	return stores
}

func formatNumber[V ~int | ~uint64](value V) string { return fmt.Sprint(value) }
