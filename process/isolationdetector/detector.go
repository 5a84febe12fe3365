package isolationdetector

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulberrybeam"
)

const (
	// probeTimeout is that of connections for requests.
	probeTimeout = 300 * time.Millisecond
	// maxProbes is the number of targets that are probed before the host counts as
	// isolated.
	maxProbes = 4
	// returnProbes is the number of targets that are probed while it does, every
	// probeInterval.
	returnProbes  = 2
	probeInterval = 500 * time.Millisecond
	// stallMargin is by how much the confirming probes may take longer than they can.
	// Beyond it the host itself had no processor time, and timeouts show nothing.
	stallMargin = 200 * time.Millisecond
)

// Config has what a Detector needs.
type Config struct {
	Now  func() time.Duration
	Zone mulberrybeam.ZoneName
	// Fleet returns the current fleet, or nil if it is not known yet.
	Fleet func() *mulberrybeam.Fleet
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnChange is called with the evidence when the host becomes isolated, returns or is
	// back, and after suspicions that proved wrong.
	OnChange func(evidence mulberrybeam.IsolationEvidence)
}

// Detector shares a State among request goroutines. It is safe for concurrent use; the
// control goroutine never takes its lock.
type Detector struct {
	config     Config
	receivedAt atomic.Int64

	mutex sync.Mutex
	state *State
	// phase is the phase of state, for readers without the lock.
	phase atomic.Value

	ctx     context.Context
	workers sync.WaitGroup
}

// New returns a Detector and a function that ends its probes.
func New(config Config) (*Detector, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Detector{config: config, state: NewState(), ctx: ctx}
	d.phase.Store(mulberrybeam.PhaseConnected)
	return d, func() {
		d.mutex.Lock()
		cancel()
		d.mutex.Unlock()
		d.workers.Wait()
	}
}

var _ mulberrybeam.Isolation = (*Detector)(nil)

// Phase implements mulberrybeam.Isolation.
func (d *Detector) Phase() mulberrybeam.IsolationPhase {
	return d.phase.Load().(mulberrybeam.IsolationPhase)
}

// RecordReceived implements mulberrybeam.Isolation.
func (d *Detector) RecordReceived(now time.Duration) { d.receivedAt.Store(int64(now)) }

// RecordSent implements mulberrybeam.Isolation.
func (d *Detector) RecordSent(now time.Duration, address string) {
	targets := d.targetCount()
	d.update(func() bool { return d.state.Sent(now, time.Duration(d.receivedAt.Load()), address, targets) })
}

// SendsDirectly implements mulberrybeam.Isolation.
func (d *Detector) SendsDirectly(random *rand.Rand) bool {
	switch d.Phase() {
	case mulberrybeam.PhaseIsolated:
		return false
	case mulberrybeam.PhaseReturning:
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return d.state.SendsDirectly(d.config.Now(), random.Float64())
	}
	return true
}

// DialTarget opens a connection to a target by Config.Dial and takes the result as
// evidence.
func (d *Detector) DialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := d.config.Now()
	conn, err := d.config.Dial(ctx, network, address)
	if err == nil {
		d.mutex.Lock()
		d.state.ConnectionOpened()
		d.mutex.Unlock()
		return conn, nil
	}
	// A connection that its request had no time to open shows nothing.
	late := isTimeout(err) && d.config.Now()-startedAt < probeTimeout*9/10
	if !late && !errors.Is(err, context.Canceled) {
		targets := d.targetCount()
		d.update(func() bool { return d.state.ConnectionFailed(d.config.Now(), address, reasonOf(err), targets) })
	}
	return nil, err
}

// update changes the state and starts the probes if that says so.
func (d *Detector) update(change func() bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !change() || d.ctx.Err() != nil {
		return
	}
	d.phase.Store(d.state.Phase())
	d.workers.Go(d.probe)
}

// probe probes targets until the host reaches them.
func (d *Detector) probe() {
	first := true
	for {
		var opened, failed int
		if first {
			opened, failed = d.confirm()
		} else {
			opened, failed = d.dialAll(d.probeTargets(returnProbes))
		}
		if d.ctx.Err() != nil || !d.applyProbes(opened, failed, first) {
			return
		}
		first = false
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// confirm probes one target, and others at once if no connection to it can be opened.
func (d *Detector) confirm() (opened, failed int) {
	targets := d.probeTargets(maxProbes)
	if len(targets) == 0 {
		return 0, 0
	}
	startedAt := d.config.Now()
	opened, failed = d.dialAll(targets[:1])
	if opened == 0 && len(targets) > 1 {
		var more int
		opened, more = d.dialAll(targets[1:])
		failed += more
	}
	if d.config.Now()-startedAt > 2*probeTimeout+stallMargin {
		return 0, 0
	}
	return opened, failed
}

// applyProbes reports whether probes must go on.
func (d *Detector) applyProbes(opened, failed int, first bool) bool {
	d.mutex.Lock()
	now := d.config.Now()
	evidence := d.state.Evidence(now)
	changed := d.state.Probed(now, opened, failed)
	evidence.Phase = d.state.Phase()
	d.phase.Store(evidence.Phase)
	d.mutex.Unlock()
	if changed || first {
		d.config.OnChange(evidence)
	}
	return evidence.Phase == mulberrybeam.PhaseIsolated || evidence.Phase == mulberrybeam.PhaseReturning
}

// dialAll opens connections to targets at the same time and closes them again.
func (d *Detector) dialAll(addresses []string) (opened, failed int) {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.dialProbe(address) }()
	}
	for range addresses {
		if <-results {
			opened++
		} else {
			failed++
		}
	}
	return opened, failed
}

func (d *Detector) dialProbe(address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	conn, err := d.config.Dial(ctx, "tcp", address)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err == nil {
		_ = conn.Close()
		d.state.ConnectionOpened()
		return true
	}
	if d.ctx.Err() == nil {
		// While probes are made, no suspicion begins.
		d.state.ConnectionFailed(d.config.Now(), address, reasonOf(err), maxProbes)
	}
	return false
}

// probeTargets returns the addresses of targets in random order, of which every second
// one is in the zone of this host if there are enough, and those that failed are last.
func (d *Detector) probeTargets(count int) []string {
	fleet := d.config.Fleet()
	if fleet == nil {
		return nil
	}
	var near, far, failing []string
	d.mutex.Lock()
	for _, targets := range fleet.Targets {
		for i := range targets {
			target := &targets[i]
			_, failed := d.state.failures[target.Address]
			switch {
			case target.Draining:
			case failed:
				failing = append(failing, target.Address)
			case target.Zone == d.config.Zone:
				near = append(near, target.Address)
			default:
				far = append(far, target.Address)
			}
		}
	}
	d.mutex.Unlock()
	for _, list := range [][]string{near, far, failing} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var mixed []string
	for i := range max(len(near), len(far)) {
		if i < len(far) {
			mixed = append(mixed, far[i])
		}
		if i < len(near) {
			mixed = append(mixed, near[i])
		}
	}
	mixed = append(mixed, failing...)
	return mixed[:min(count, len(mixed))]
}

// targetCount returns the number of known targets.
func (d *Detector) targetCount() int {
	fleet := d.config.Fleet()
	if fleet == nil {
		return 0
	}
	count := 0
	for _, targets := range fleet.Targets {
		count += len(targets)
	}
	return count
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// reasonOf returns a short text for the log.
func reasonOf(err error) string {
	switch {
	case isTimeout(err):
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	}
	return err.Error()
}
