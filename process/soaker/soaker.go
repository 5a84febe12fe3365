// Package soaker runs soak tests: it starts real entry processes against
// simulated targets and a simulated metadata store, injects faults from outside
// (signals, failing targets, and links that delay, hold back or reset traffic),
// and checks what callers and targets observe against the guarantees of the
// system. A run stops its processes before it returns.
package soaker

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulberrybeam/connection/pauser"
	"mulberrybeam/process/standin/backend"
	"mulberrybeam/process/standin/fixture"
	"mulberrybeam/process/standin/metastore"
)

const (
	// warmUpTime is the time before the first fault. After the last fault, the
	// system has recoveryTime to become stable. Requests sent in the
	// verificationTime after that must succeed.
	warmUpTime       = 2 * time.Second
	recoveryTime     = 5 * time.Second
	verificationTime = 3 * time.Second
	// readyTimeout is how long a process may take to become ready.
	readyTimeout = 10 * time.Second
	routeHost    = "soak.example"
	// targetsPerZone is the number of targets in each zone.
	targetsPerZone = 3
	// trafficGapFactor is the maximum time between two faults that depend on
	// the traffic, as a multiple of that of the other faults.
	trafficGapFactor = 3
	// firstVersion is the version of the first configuration.
	firstVersion = 3
)

var (
	zones = []string{"a", "b"}
	// keys lists the API keys of the callers. The first permanentKeys of them
	// are never revoked.
	keys = []string{"k0", "k1", "k2", "k3", "k4", "k5"}
)

const permanentKeys = 3

// tenantOf returns the name of the workspace that owns an API key.
func tenantOf(key string) string { return "w-" + key }

// Options configure a run.
type Options struct {
	// Entry is the path of the entry executable.
	Entry string
	// Dir is the existing directory for settings and logs.
	Dir string
	// Hosts is the number of entry hosts.
	Hosts int
	// TrafficFaults lists the names of the faults that depend on the traffic
	// and may be injected.
	TrafficFaults []string
	// FaultPhase is the length of the phase in which faults are started, and MaxFaultGap
	// the maximum time between two starts.
	FaultPhase, MaxFaultGap time.Duration
	// Restores has the store come back from copies, beside the other faults, while engines
	// load weights.
	Restores bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	History    History
	Violations []Violation
}

// run is the state of one soak test.
type run struct {
	seed         uint64
	options      Options
	store        *metastore.Store
	operator     *operator
	hosts        []*host
	ctx          context.Context
	activeFaults sync.WaitGroup
	// weightEngines load weights, and get no requests.
	weightEngines []*weightEngine

	mutex       sync.Mutex
	history     History
	targets     []*target
	targetCount int
	nextVersion int
	validKeys   []string
	restarting  map[*host]bool
	evacuating  bool
	partFault   *partFault
	firstError  error
}

// target is a simulated target and the proxy in front of it.
type target struct {
	*backend.Target
	link *Proxy
}

// Run runs the soak test for one seed and checks the recorded history. Violations
// are part of the report; an error means that the test could not be completed.
func Run(ctx context.Context, options Options, seed uint64) (Report, error) {
	r := &run{
		seed: seed, options: options, store: metastore.New(), ctx: ctx, nextVersion: firstVersion,
		validKeys: slices.Clone(keys), restarting: map[*host]bool{},
	}
	r.operator = newOperator(r.store)
	listener, closeStore, err := fixture.Listen("", r.store)
	if err != nil {
		return Report{}, err
	}
	defer closeStore()
	defer r.close()
	if err := r.start(listener.Address()); err != nil {
		return Report{}, err
	}
	r.execute()
	if r.firstError != nil {
		return Report{}, r.firstError
	}
	return Report{Seed: seed, History: r.history, Violations: Check(r.history)}, ctx.Err()
}

// start starts the targets and hosts and waits until all hosts are ready.
func (r *run) start(store string) error {
	r.writeConfiguration()
	if r.options.Restores {
		r.store.SetEra(1)
		r.history.OrdersWeights = true
		if err := r.startWeightEngines(); err != nil {
			return err
		}
	}
	for range targetsPerZone {
		for _, zone := range zones {
			if err := r.addTarget(zone); err != nil {
				return err
			}
		}
	}
	for i := range r.options.Hosts {
		h, err := newHost(r.options, r.options.Dir, fmt.Sprint("host-", i), zones[i%len(zones)], store)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		if err := r.awaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) awaitReady(h *host) error {
	for begin := time.Now(); time.Since(begin) < readyTimeout; r.pause(20 * time.Millisecond) {
		response, err := http.Get("http://" + h.readyAddress + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %s; see its log %s", h.name, readyTimeout, h.logFile)
}

// execute sends requests from all callers while it injects overlapping faults.
func (r *run) execute() {
	callerCtx, stop := context.WithCancel(r.ctx)
	defer stop()
	var group sync.WaitGroup
	for number := range callers {
		group.Go(func() { r.sendRequests(callerCtx, number) })
	}
	if r.options.Restores {
		group.Go(func() { r.orderWeights(func() bool { return callerCtx.Err() != nil }) })
	}
	r.pause(warmUpTime)
	var plans sync.WaitGroup
	plans.Go(func() { r.injectFaults("plan", faults, r.options.MaxFaultGap) })
	if selected := r.selectedTrafficFaults(); len(selected) > 0 {
		plans.Go(func() { r.injectFaults("traffic plan", selected, trafficGapFactor*r.options.MaxFaultGap) })
	}
	if r.options.Restores {
		plans.Go(func() {
			r.injectFaults("restore plan", []fault{{"restore", restoreStore}}, restoreGapFactor*r.options.MaxFaultGap)
		})
	}
	plans.Wait()
	r.activeFaults.Wait()
	r.pause(recoveryTime)
	r.withLock(func() { r.history.RecoveredAt = time.Now() })
	r.pause(verificationTime)
	stop()
	group.Wait()
}

// injectFaults starts random faults at random times during the fault phase.
func (r *run) injectFaults(plan string, faults []fault, maxGap time.Duration) {
	random := r.random(plan)
	for begin := time.Now(); time.Since(begin) < r.options.FaultPhase && r.ctx.Err() == nil; {
		fault, faultRandom := faults[random.IntN(len(faults))], r.random(fmt.Sprint("fault ", random.Uint64()))
		r.activeFaults.Go(func() { fault.inject(r, faultRandom) })
		r.pause(time.Duration(random.Int64N(int64(maxGap))))
	}
}

func (r *run) selectedTrafficFaults() []fault {
	return slices.DeleteFunc(slices.Clone(trafficFaults), func(f fault) bool {
		return !slices.Contains(r.options.TrafficFaults, f.name)
	})
}

// close stops all hosts, targets and links of the run.
func (r *run) close() {
	for _, h := range r.hosts {
		h.kill()
		h.storeLink.Close()
	}
	for _, target := range r.targets {
		target.Crash()
		target.link.Close()
	}
	for _, e := range r.weightEngines {
		e.listener.Drop()
	}
}

// random returns a random generator for one part of the run. It depends only on
// the seed and the name of the part.
func (r *run) random(part string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(part))
	return rand.New(rand.NewPCG(r.seed, hash.Sum64()))
}

func (r *run) pause(duration time.Duration) { pauser.Pause(r.ctx, duration) }

func (r *run) withLock(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

func (r *run) addChange(change Change) {
	r.withLock(func() { r.history.Changes = append(r.history.Changes, change) })
}

// startDisruption starts a period of disruption for a host and returns the
// function that ends it and adds it to the history.
func (r *run) startDisruption(name, kind string) func() {
	begin := time.Now()
	return func() {
		r.withLock(func() {
			r.history.Disruptions = append(r.history.Disruptions, Disruption{Host: name, Kind: kind, From: begin, To: time.Now()})
		})
	}
}

// startOutage starts an outage of a target and returns the function that ends
// it.
func (r *run) startOutage(target string) func() {
	index := 0
	r.withLock(func() {
		index = len(r.history.Outages)
		r.history.Outages = append(r.history.Outages, Outage{Target: target, From: time.Now()})
	})
	return func() { r.withLock(func() { r.history.Outages[index].To = time.Now() }) }
}

// recordError records an error of the test itself. Only the first one is kept.
func (r *run) recordError(err error) {
	r.withLock(func() {
		if r.firstError == nil {
			r.firstError = err
		}
	})
}

// randomHost returns a random host, preferably one whose process is not being
// restarted.
func (r *run) randomHost(random *rand.Rand) *host {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	start := random.IntN(len(r.hosts))
	for i := range r.hosts {
		if h := r.hosts[(start+i)%len(r.hosts)]; !r.restarting[h] {
			return h
		}
	}
	return r.hosts[start]
}

// acquireRestart waits for exclusive permission to restart the host's process,
// and returns the function that releases it.
func (r *run) acquireRestart(h *host) func() {
	for acquired := false; !acquired; {
		r.withLock(func() {
			if acquired = !r.restarting[h]; acquired {
				r.restarting[h] = true
			}
		})
		if !acquired {
			r.pause(10 * time.Millisecond)
		}
	}
	return func() { r.withLock(func() { delete(r.restarting, h) }) }
}

func (r *run) hostByName(name string) *host {
	return r.hosts[slices.IndexFunc(r.hosts, func(h *host) bool { return h.name == name })]
}

// randomTarget returns a random one of the most recently added targets.
func (r *run) randomTarget(random *rand.Rand) *target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := min(len(r.targets), targetsPerZone*len(zones))
	return r.targets[len(r.targets)-1-random.IntN(count)]
}

// tryStartEvacuation starts an evacuation unless one is in progress, so that one
// zone always remains in use. It reports whether the caller may evacuate.
func (r *run) tryStartEvacuation() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.evacuating {
		return false
	}
	r.evacuating = true
	return true
}

func (r *run) endEvacuation() { r.withLock(func() { r.evacuating = false }) }
