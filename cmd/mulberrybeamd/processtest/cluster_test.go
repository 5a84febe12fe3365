package processtest_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/objectcaller"
	"mulberrybeam/process/launcher"
	"mulberrybeam/process/operator"
	"mulberrybeam/process/standin/fleet"
)

// balancerDelay leaves a test's load enough time to stop using a process that is
// no longer ready.
const balancerDelay = time.Second

var zones = []mulberrybeam.ZoneName{"a", "b", "c"}

// standin is a stand-in that runs in a process of its own.
type standin struct {
	*child
	address string
	// arguments are the arguments for a restart, without the address.
	arguments []string
}

// entry is an entry process with its addresses.
type entry struct {
	*child
	*fleet.Entry
}

// cluster is a fleet of separate processes.
type cluster struct {
	dir      string
	platform *standin
	engines  map[string]*standin
	services map[string]*standin
	stores   map[string]*standin
	entries  []*entry
}

// startCluster starts the stand-ins, applies the configuration and starts the
// entry processes. Cold engines can run two requests at once and become warm
// after warmRequests answers.
func startCluster(t *testing.T, entriesPerZone, warmRequests int) *cluster {
	t.Helper()
	c := &cluster{
		dir:     t.TempDir(),
		engines: map[string]*standin{}, services: map[string]*standin{}, stores: map[string]*standin{},
	}
	c.platform = startStandin(t, "platform", "platform")
	for _, zone := range zones {
		c.engines["engine-"+string(zone)] = startStandin(t, "engine-"+string(zone), "engine", "--model", fleet.Model+"=v1",
			"--cold", "--cold-limit", "2", "--warm-requests", fmt.Sprint(warmRequests), "--warm-time", "1s")
		c.services["shop-"+string(zone)] = startStandin(t, "shop-"+string(zone), "service")
	}
	for _, name := range []string{"store-1", "store-2"} {
		c.stores[name] = startStandin(t, name, "store", "--link-rate", "20000000")
	}
	if err := os.WriteFile(filepath.Join(c.dir, "secret"), []byte("a context secret of processes on loopback"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.apply(t, warmRequests)
	for _, zone := range zones {
		for i := range entriesPerZone {
			c.startEntry(t, zone, fmt.Sprintf("entry-%s%d", zone, i+1))
		}
	}
	t.Logf("ready after %v", c.awaitReady(t, 30*time.Second))
	return c
}

func startStandin(t *testing.T, name string, arguments ...string) *standin {
	t.Helper()
	s := &standin{arguments: append([]string{"serve"}, arguments...)}
	s.child = startChild(t, name, "mulberryload", false, s.arguments...)
	s.address = s.readLine(t)
	return s
}

// restart restarts a stand-in that has ended, on the same address.
func (s *standin) restart(t *testing.T) {
	t.Helper()
	s.child = startChild(t, s.name, "mulberryload", false, append(s.arguments, "--address", s.address)...)
	s.readLine(t)
}

// apply creates the environment object, as an operator would.
func (c *cluster) apply(t *testing.T, warmRequests int) {
	t.Helper()
	document, err := json.Marshal(c.document(warmRequests))
	if err != nil {
		t.Fatal(err)
	}
	objects, closeObjects := objectcaller.New("http://"+c.platform.address, fleet.Environment, objectcaller.WithUserAgent("operator"))
	defer closeObjects()
	object := mulberrybeam.Object{Kind: mulberrybeam.ObjectEnvironment, Name: string(fleet.Environment), Data: document}
	if _, err := objects.Create(t.Context(), object); err != nil {
		t.Fatal(err)
	}
}

type jsonObject = map[string]any

func (c *cluster) document(warmRequests int) jsonObject {
	var states, engineGroups, serviceGroups, stores []jsonObject
	for i, zone := range zones {
		engine, service := "engine-"+string(zone), "shop-"+string(zone)
		states = append(states, jsonObject{"name": zone, "state": "in"})
		engineGroups = append(engineGroups, jsonObject{
			"name": engine, "zone": zone, "models": []string{fleet.Model},
			"cold-limit": 2, "warm-requests": warmRequests, "warm-time": "1s",
			"targets": []jsonObject{{"id": engine, "address": c.engines[engine].address}},
		})
		serviceGroups = append(serviceGroups, jsonObject{
			"name": service, "zone": zone, "service": fleet.Service, "cold-limit": 4,
			"targets": []jsonObject{{"id": service, "address": c.services[service].address}},
		})
		if name := fmt.Sprintf("store-%d", i+1); c.stores[name] != nil {
			stores = append(stores, jsonObject{"id": name, "zone": zone, "address": c.stores[name].address, "link-rate": 2e7})
		}
	}
	hash := sha256.Sum256([]byte(fleet.Key(fleet.FirstWorkspace)))
	return jsonObject{
		"name": fleet.Environment, "revision": 1,
		"regions":       []jsonObject{{"name": "local", "zones": states}},
		"models":        []jsonObject{{"name": fleet.Model, "version": "v1"}},
		"services":      []jsonObject{{"name": fleet.Service, "calls": []jsonObject{{"name": fleet.RepeatableCall, "repeatable": true}, {"name": fleet.OrderCall}}}},
		"engine-groups": engineGroups, "service-groups": serviceGroups, "stores": stores,
		"workspaces": []jsonObject{{"name": fleet.FirstWorkspace, "key-hashes": []string{hex.EncodeToString(hash[:])}, "requests-per-second": 500}},
	}
}

var logField = regexp.MustCompile(`(\w+)="?([^"\s]+)"?`)

// startEntry starts an entry process on free ports and reads its addresses from
// its log.
func (c *cluster) startEntry(t *testing.T, zone mulberrybeam.ZoneName, host string) *entry {
	t.Helper()
	anyPort := jsonObject{"address": "127.0.0.1:0"}
	settings, err := json.Marshal(jsonObject{
		"environment": fleet.Environment, "host": host, "zone": zone,
		"platform": jsonObject{"url": "http://" + c.platform.address},
		"caller":   anyPort, "peer": anyPort, "operator": anyPort,
		"context-secret-file": filepath.Join(c.dir, "secret"),
		"shutdown":            jsonObject{"balancer-delay": balancerDelay.String()},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(c.dir, host+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	e := &entry{child: startChild(t, host, "mulberrybeamd", true, "--settings", file)}
	line := e.readLine(t)
	fields := map[string]string{}
	for _, match := range logField.FindAllStringSubmatch(line, -1) {
		fields[match[1]] = match[2]
	}
	if fields["caller"] == "" || fields["operator"] == "" {
		t.Fatalf("%s: no addresses in the log line %q", host, line)
	}
	e.Entry = &fleet.Entry{Zone: zone, Process: &launcher.Process{
		ID: mulberrybeam.ProcessID(fields["process"]), CallerAddress: fields["caller"],
		PeerAddress: fields["peer"], OperatorAddress: fields["operator"],
	}}
	c.entries = append(c.entries, e)
	return e
}

// others returns the entry processes except one.
func (c *cluster) others(excluded *entry) []*entry {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entry) bool { return e == excluded })
}

// owner returns the entry process that issues the permits of a target.
func (c *cluster) owner(t *testing.T, target mulberrybeam.TargetID) *entry {
	t.Helper()
	for _, e := range c.entries {
		status, _ := e.status(t.Context())
		for _, candidate := range c.entries {
			if ownerOf(status, target) == candidate.ID {
				return candidate
			}
		}
	}
	t.Fatalf("%s has no owner", target)
	return nil
}

func ownerOf(status operator.Status, target mulberrybeam.TargetID) mulberrybeam.ProcessID {
	for _, found := range status.Targets {
		if found.ID == target {
			return found.Owner
		}
	}
	return ""
}

// status returns the status that an entry process reports to operators.
func (e *entry) status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	return status, get(ctx, "http://"+e.OperatorAddress+"/operator/status", &status)
}

// isReady reports whether an entry process is ready and knows an owner of each
// target.
func (e *entry) isReady(ctx context.Context) bool {
	status, err := e.status(ctx)
	return err == nil && status.Ready && len(status.Targets) > 0 &&
		!slices.ContainsFunc(status.Targets, func(target operator.Target) bool { return target.Owner == "" })
}

func (c *cluster) awaitReady(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	return await(t, limit, "all entry processes are ready and all targets have an owner", func() bool {
		return !slices.ContainsFunc(c.entries, func(e *entry) bool { return !e.isReady(t.Context()) })
	})
}

// counters returns the counters of a stand-in.
func (s *standin) counters(t *testing.T) map[string]int {
	t.Helper()
	var counters map[string]int
	if err := get(t.Context(), "http://"+s.address+"/standin/counters", &counters); err != nil {
		t.Fatal(err)
	}
	return counters
}

// setFaults changes the faults of a stand-in.
func (s *standin) setFaults(t *testing.T, faults string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPatch, "http://"+s.address+"/standin/faults", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("set faults %s of %s: status %d", faults, s.name, response.StatusCode)
	}
}

func get(ctx context.Context, url string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(value)
}

// await polls a condition until it holds, and returns how long that took. It fails
// the test after limit.
func await(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("condition not met after %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}
