// Package soaker runs real entry processes before stand-ins of the platform and
// plays faults from outside them: signals, and links that are cut, silent,
// deaf, slow or reset. What callers and targets see is checked against the
// promises of the system. A run lives as long as its processes.
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
	// warmUp is the time before the first fault, and recovery that between
	// the last one and the requests that must be served again.
	warmUp   = 2 * time.Second
	recovery = 5 * time.Second
	calm     = 3 * time.Second
	// readyWithin bounds the start of a process.
	readyWithin = 10 * time.Second
	routeHost   = "soak.example"
	// targetsAZone is the number of targets in a zone.
	targetsAZone = 3
	// firstVersion is that of the first configuration.
	firstVersion = 3
)

var (
	zones = []string{"a", "b"}
	// keys are the callers'. The ones from lastingKeys on are revoked by a
	// plan.
	keys = []string{"k0", "k1", "k2", "k3", "k4", "k5"}
)

const lastingKeys = 3

// tenantOf returns the workspace of a key.
func tenantOf(key string) string { return "w-" + key }

// Options are what a run needs.
type Options struct {
	// Entry is the path of the entry process's program.
	Entry string
	// Dir takes settings and logs.
	Dir string
	// Hosts is the number of entry hosts.
	Hosts int
	// Faults is how long faults begin, and Gap the longest time between two.
	Faults, Gap time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	History    History
	Violations []Violation
}

// run is one run of a fleet.
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

// target is a running target behind its link.
type target struct {
	*backend.Target
	link *Link
}

// Run plays one seed and checks what was seen.
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

// start starts targets and hosts and waits until the hosts are ready.
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
	return fmt.Errorf("host %s is not ready after %s; its log is %s", h.name, readyWithin, h.log)
}

// play has callers send requests while faults come in series and overlap.
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

// close ends what the run started.
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

// random returns the source of one part of the run.
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

// trouble notes the begin of a host's trouble and returns the function that
// notes its end.
func (r *run) trouble(name, kind string) func() {
	begin := time.Now()
	return func() {
		r.note(func() {
			r.history.Troubles = append(r.history.Troubles, Trouble{Host: name, Kind: kind, From: begin, To: time.Now()})
		})
	}
}

// fail keeps the first error of the run's own.
func (r *run) fail(err error) {
	r.note(func() {
		if r.failed == nil {
			r.failed = err
		}
	})
}

// host draws a host whose process is not being replaced.
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

// occupy waits until no other step replaces the host's process.
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

// target draws one of the latest targets.
func (r *run) target(random *rand.Rand) *target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := min(len(r.targets), targetsAZone*len(zones))
	return r.targets[len(r.targets)-1-random.IntN(count)]
}

// claimEvacuation says whether no zone is evacuated, so that one is left.
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
