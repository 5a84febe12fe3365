package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
)

// staleParts tells which parts of the fleet do not match the machine's state any
// more.
type staleParts struct {
	deployment, weights, hosts bool
	targets                    map[mulberrybeam.InstanceID]bool
}

// refreshFleet builds the stale parts of the fleet from the machine's state. The
// fleet shares no mutable data with that state, since snapshots are read by other
// goroutines.
func (t *Tracker) refreshFleet() {
	if t.stale.deployment && t.deployment != nil {
		t.fleet.Deployment = t.deployment
		t.fleet.Keys = workspacesByKey(t.deployment)
		t.fleet.SharingGroup = fetcher.SharingGroup(t.deployment.Workspaces)
		t.fleet.Hosts = rulesByHost(t.deployment)
		t.fleet.ContextStores = contextStores(t.deployment)
	}
	if t.stale.weights {
		t.fleet.Weights = maps.Clone(t.desiredWeights)
		t.fleet.WeightHistory = maps.Clone(t.weightHistory)
	}
	if t.stale.hosts {
		t.fleet.EntryHosts = t.entryHosts()
		t.fleet.PeerAddresses = t.peerAddresses()
		t.fleet.Peers = t.peers()
	}
	wavesChanged := t.refreshTargets()
	if t.stale.weights {
		t.scheduleNewWeights()
	}
	if t.stale.weights || wavesChanged {
		t.refreshLeaving()
	}
	clear(t.stale.targets)
	t.stale = staleParts{targets: t.stale.targets}
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
			// The empty key is that of callers without one.
			if key != "" {
				keys[key] = &deployment.Workspaces[i]
			}
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
