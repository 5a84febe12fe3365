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
	// warmUp is the time before the first fault. After the last fault, the
	// system has the recovery time to become stable. Requests sent in the
	// calm time after that must succeed.
	warmUp   = 2 * time.Second
	recovery = 5 * time.Second
	calm     = 3 * time.Second
	// readyWithin is how long a process may take to become ready.
	readyWithin = 10 * time.Second
	routeHost   = "soak.example"
	// targetsAZone is the number of targets in each zone.
	targetsAZone = 3
	// firstVersion is the version of the first configuration.
	firstVersion = 3
)

var (
	zones = []string{"a", "b"}
	// keys lists the API keys of the callers. The first lastingKeys of them
	// are never revoked.
	keys = []string{"k0", "k1", "k2", "k3", "k4", "k5"}
)

const lastingKeys = 3

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
	// Faults is the length of the phase in which faults are started, and Gap
	// the maximum time between two starts.
	Faults, Gap time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	History    History
	Violations []Violation
}

// run is the state of one soak test.
type run struct {
	seed    uint64
	options Options
	store   *metastore.Store
	hosts   []*host
	ctx     context.Context
	steps   sync.WaitGroup

	mutex      sync.Mutex
	history    History
	targets    []*target
	made       int
	version    int
	live       []string
	busy       map[*host]bool
	evacuating bool
	failed     error
}

// target is a simulated target and the proxy in front of it.
type target struct {
	*backend.Target
	link *Link
}

// Run runs the soak test for one seed and checks the recorded history. Violations
// are part of the report; an error means that the test could not be completed.
func Run(ctx context.Context, options Options, seed uint64) (Report, error) {
	r := &run{
		seed: seed, options: options, store: metastore.New(), ctx: ctx, version: firstVersion,
		live: slices.Clone(keys), busy: map[*host]bool{},
	}
	listener, closeStore, err := fixture.Listen("", r.store)
	if err != nil {
		return Report{}, err
	}
	defer closeStore()
	defer r.close()
	if err := r.start(listener.Address()); err != nil {
		return Report{}, err
	}
	r.play()
	if r.failed != nil {
		return Report{}, r.failed
	}
	return Report{Seed: seed, History: r.history, Violations: Check(r.history)}, ctx.Err()
}

// start starts the targets and hosts and waits until all hosts are ready.
func (r *run) start(store string) error {
	r.configure()
	for range targetsAZone {
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
	for begin := time.Now(); time.Since(begin) < readyWithin; r.pause(20 * time.Millisecond) {
		response, err := http.Get("http://" + h.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %s; see its log %s", h.name, readyWithin, h.log)
}

// play sends requests from all callers while it injects overlapping faults.
func (r *run) play() {
	calling, stop := context.WithCancel(r.ctx)
	defer stop()
	var group sync.WaitGroup
	for number := range callers {
		group.Go(func() { r.call(calling, number) })
	}
	r.pause(warmUp)
	random := r.random("plan")
	for begin := time.Now(); time.Since(begin) < r.options.Faults && r.ctx.Err() == nil; {
		fault, own := faults[random.IntN(len(faults))], r.random(fmt.Sprint("fault ", random.Uint64()))
		r.steps.Go(func() { fault.play(r, own) })
		r.pause(time.Duration(random.Int64N(int64(r.options.Gap))))
	}
	r.steps.Wait()
	r.pause(recovery)
	r.note(func() { r.history.CalmFrom = time.Now() })
	r.pause(calm)
	stop()
	group.Wait()
}

// close stops all hosts, targets and links of the run.
func (r *run) close() {
	for _, h := range r.hosts {
		h.kill()
		h.store.Close()
	}
	for _, target := range r.targets {
		target.Crash()
		target.link.Close()
	}
}

// random returns a random generator for one part of the run. It depends only on
// the seed and the name of the part.
func (r *run) random(part string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(part))
	return rand.New(rand.NewPCG(r.seed, hash.Sum64()))
}

func (r *run) pause(length time.Duration) { pauser.Pause(r.ctx, length) }

func (r *run) note(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

func (r *run) change(change Change) {
	r.note(func() { r.history.Changes = append(r.history.Changes, change) })
}

// trouble starts a period of disruption for a host and returns the function that
// ends it and adds it to the history.
func (r *run) trouble(name, kind string) func() {
	begin := time.Now()
	return func() {
		r.note(func() {
			r.history.Troubles = append(r.history.Troubles, Trouble{Host: name, Kind: kind, From: begin, To: time.Now()})
		})
	}
}

// fail records an error of the test itself. Only the first one is kept.
func (r *run) fail(err error) {
	r.note(func() {
		if r.failed == nil {
			r.failed = err
		}
	})
}

// host returns a random host, preferably one whose process is not being
// restarted.
func (r *run) host(random *rand.Rand) *host {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	start := random.IntN(len(r.hosts))
	for i := range r.hosts {
		if h := r.hosts[(start+i)%len(r.hosts)]; !r.busy[h] {
			return h
		}
	}
	return r.hosts[start]
}

// occupy waits for exclusive permission to restart the host's process, and
// returns the function that releases it.
func (r *run) occupy(h *host) func() {
	for taken := false; !taken; {
		r.note(func() {
			if taken = !r.busy[h]; taken {
				r.busy[h] = true
			}
		})
		if !taken {
			r.pause(10 * time.Millisecond)
		}
	}
	return func() { r.note(func() { delete(r.busy, h) }) }
}

func (r *run) hostOf(name string) *host {
	return r.hosts[slices.IndexFunc(r.hosts, func(h *host) bool { return h.name == name })]
}

// target returns a random one of the most recently added targets.
func (r *run) target(random *rand.Rand) *target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := min(len(r.targets), targetsAZone*len(zones))
	return r.targets[len(r.targets)-1-random.IntN(count)]
}

// claimEvacuation starts an evacuation unless one is in progress, so that one
// zone always remains in use. It reports whether the caller may evacuate.
func (r *run) claimEvacuation() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.evacuating {
		return false
	}
	r.evacuating = true
	return true
}

func (r *run) releaseEvacuation() { r.note(func() { r.evacuating = false }) }
