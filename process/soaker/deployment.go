package soaker

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"mulberrybeam/process/standin/backend"
)

// addTarget starts a target in the zone and registers it with the store.
func (r *run) addTarget(zone string) error {
	id := ""
	r.withLock(func() {
		r.targetCount++
		id = fmt.Sprintf("i-%d", r.targetCount)
	})
	var added *target
	running, err := backend.Start(id, zone, func(arrival backend.Arrival) (crash func()) {
		r.withLock(func() {
			r.history.Arrivals = append(r.history.Arrivals, arrival)
			if arrival.Ran {
				crash = r.crashOn(added, arrival.Request, arrival.Parts)
			}
		})
		return crash
	})
	if err != nil {
		return err
	}
	link, err := NewProxy(running.Address())
	if err != nil {
		return err
	}
	r.withLock(func() {
		added = &target{running, link}
		r.targets = append(r.targets, added)
	})
	r.register(added, "ready")
	return nil
}

func (r *run) drainTarget(target *target) { r.register(target, "draining") }

func (r *run) register(target *target, state string) {
	r.operator.put("servers", target.ID, fmt.Sprintf(
		`{"service":"s","address":%q,"zone":%q,"version":"v1","slots":16,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		target.link.Address(), target.Zone, state))
}

// writeConfiguration writes the next version of the configuration to the store.
func (r *run) writeConfiguration() {
	type route map[string]any
	newRoute := func(path, kind string, attempts int) route {
		return route{
			"name": "r" + strings.ReplaceAll(strings.Trim(path, "/"), "/", "-"), "host": routeHost, "path_prefix": path, "kind": kind, "service": "s",
			"timeout_ms": maxTimeout.Milliseconds(), "target_latency_ms": 200, "max_attempts": attempts,
			"resumable": kind == "streaming", "sticky": path == promptPath,
		}
	}
	r.withLock(func() {
		var tenants []map[string]any
		for _, key := range keys {
			tenant := map[string]any{"name": tenantOf(key), "api_keys": []string{}}
			if slices.Contains(r.validKeys, key) {
				tenant["api_keys"] = []string{key}
			}
			tenants = append(tenants, tenant)
		}
		// Marshal cannot fail for these value types.
		text, _ := json.Marshal(map[string]any{
			"version": r.nextVersion, "tenants": tenants,
			"services": []map[string]any{{"name": "s", "max_connections": 400}},
			"routes": []route{
				newRoute("/once/", "unsafe", 1), newRoute("/again/", "safe", maxAttempts), newRoute(backend.StreamPath, "streaming", maxAttempts),
				newRoute(promptPath, "streaming", maxAttempts),
			},
		})
		r.nextVersion += 2
		r.operator.put("config", "main", string(text))
	})
}

// removeKey removes an API key from the list of valid keys and returns it, or
// returns an empty string if only keys that are never revoked are left. The
// change takes effect with the next configuration.
func (r *run) removeKey() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.validKeys) <= permanentKeys {
		return ""
	}
	key := r.validKeys[len(r.validKeys)-1]
	r.validKeys = r.validKeys[:len(r.validKeys)-1]
	return key
}
