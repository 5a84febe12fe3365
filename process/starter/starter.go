// Package starter starts and shuts down the entry process on a host of the
// platform.
package starter

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/dialer"
	"mulberrybeam/connection/drainer"
	"mulberrybeam/connection/feeder"
	"mulberrybeam/connection/propagator"
	"mulberrybeam/connection/requester"
	"mulberrybeam/platform"
	"mulberrybeam/process/broadcaster"
	"mulberrybeam/process/cataloger"
	"mulberrybeam/process/controller"
	"mulberrybeam/process/helperchooser"
	"mulberrybeam/process/isolationdetector"
	"mulberrybeam/process/logger"
	"mulberrybeam/process/meter"
	"mulberrybeam/process/monitor"
	"mulberrybeam/process/parttracker"
	"mulberrybeam/process/recorder"
	"mulberrybeam/process/registrar"
	"mulberrybeam/process/reserver"
	"mulberrybeam/process/streamkeeper"
	"mulberrybeam/process/streamtracker"
	"mulberrybeam/process/tallier"
	"mulberrybeam/process/tracker"
	"mulberrybeam/request/relayer"
	"mulberrybeam/version/promoter"
	"mulberrybeam/version/upgrader"
)

const (
	// timelineEntries is the capacity of the timeline. It holds about ten
	// seconds of entries at the highest request rate of a host with little
	// memory.
	timelineEntries = 2048
	// heapFraction is the fraction of the host's memory that the heap may use.
	// The rest is for stacks, socket buffers and memory that is freed late.
	heapFraction = 0.6
	// retryBudgetFraction is the fraction of the retry budget that is used, because
	// each host counts its own requests only.
	retryBudgetFraction = 0.7
	// sweepInterval is the time between two removals of outdated traffic state.
	sweepInterval = 2 * time.Second
)

// Process is a running entry process.
type Process struct {
	settings atomic.Pointer[mulberrybeam.HostSettings]
	now      func() time.Duration
	control  *controller.Controller
	recorder *recorder.Ring
	monitor  *monitor.Monitor
	// tallier is nil where rollouts are not in use. incarnation identifies this run
	// in its reports on rollouts.
	tallier     *tallier.Tallier
	meter       *meter.Meter
	incarnation uint64
	requester   *requester.Requester
	catalog     *cataloger.Cataloger
	// streams knows at which software version streams began.
	streams *streamkeeper.Keeper
	// propagator is the source of the feeds. observeFeed counts their results.
	propagator  *propagator.Propagator
	observeFeed func(kind mulberrybeam.ObjectKind, source string, age time.Duration)
	recheck     feeder.RecheckSignal
	memory      *reserver.Reserver
	// helpers knows through which hosts requests can be passed on, and passing sends them.
	helpers *helperchooser.Chooser
	passing *relayer.Passing
	relayer *relayer.Relayer
	// helpServer takes requests of other hosts, or is nil.
	helpServer *http.Server
	// isolation knows whether this host reaches targets.
	isolation       *isolationdetector.Detector
	isolationCounts isolationCounts
	// dialTarget opens connections to targets, or is nil for the usual way.
	dialTarget func(ctx context.Context, network, address string) (net.Conn, error)
	// propagates reports that other entry hosts can ask this host.
	propagates atomic.Bool
	shutdown   atomic.Pointer[relayer.Shutdown]
	servers    []*http.Server
	drainer    *drainer.Drainer
	// cleanups run in reverse order when the process stops.
	cleanups []func()
	workers  sync.WaitGroup
}

// Option changes a process before it starts.
type Option func(*Process)

// WithTargetDial sets the function that opens connections to targets.
func WithTargetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Process) { p.dialTarget = dial }
}

// Start starts an entry process that writes its log to out.
func Start(settings mulberrybeam.HostSettings, metricsPort int, out io.Writer, options ...Option) (*Process, error) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(settings.MemoryBytes)))
	}
	p := &Process{now: newClock()}
	for _, option := range options {
		option(p)
	}
	p.monitor = monitor.New(p.now)
	p.catalog = cataloger.New(p.now)
	p.settings.Store(&settings)
	log, stopLog := logger.New(out)
	p.cleanups = append(p.cleanups, stopLog)
	p.memory = reserver.New(reserver.DefaultLimits(settings.MemoryBytes), p.now, func(text string) { p.recordEvent("memory", text) })
	metrics, meter, err := p.newMetrics(settings)
	if err != nil {
		p.runCleanups()
		return nil, err
	}
	p.recorder = recorder.New(recorder.WithCapacity(timelineEntries), recorder.WithObserver(func(entry mulberrybeam.Entry) {
		log.Observe(entry)
		meter.Observe(entry)
	}))
	p.recordEvent("start", "zone "+string(settings.Zone)+", caller address "+settings.CallerAddress)
	if settings.Bounds.UsesRollouts() {
		p.tallier = tallier.New()
		p.incarnation = rand.Uint64()
	}
	p.startControl(settings, meter)
	if err := p.exportRollouts(); err != nil {
		p.runCleanups()
		return nil, err
	}
	if err := p.listen(settings, metricsPort, metrics); err != nil {
		p.runCleanups()
		return nil, err
	}
	if err := p.startBroadcaster(settings); err != nil {
		p.runCleanups()
		return nil, err
	}
	p.servePropagation(settings)
	p.serveHelp(settings)
	return p, nil
}

// startBroadcaster starts the exchange of load data with the other entry hosts.
func (p *Process) startBroadcaster(settings mulberrybeam.HostSettings) error {
	if settings.PeerAddress == "" {
		return nil
	}
	b := &broadcaster.Broadcaster{
		Self: settings.ID, Fleet: p.fleet, Loads: p.monitor.OwnLoads, Fragile: p.monitor.Fragile, Messages: p.monitor.Outbox(), Held: p.monitor.ReturnShares, Streams: p.streams.Update, Receive: p.receiveUpdate,
		Isolated: func() bool { return p.isolation.Phase() == mulberrybeam.PhaseIsolated },
		OnError:  func(err error) { p.recordEvent("load share dropped", err.Error()) },
	}
	if p.tallier != nil {
		b.Rollouts = p.rolloutReports
	}
	stop, err := b.Listen(settings.PeerAddress)
	if err != nil {
		return err
	}
	p.cleanups = append(p.cleanups, stop)
	return nil
}

// startControl starts the control goroutine and the goroutines that follow the
// platform's store and the context stores.
func (p *Process) startControl(settings mulberrybeam.HostSettings, meter *meter.Meter) {
	client, closeClient := dialer.NewClient()
	store := platform.NewStore(settings.StoreAddress, client)
	engines := platform.NewEngines(client)
	machines := []mulberrybeam.StateMachine{
		tracker.New(settings.ID, settings.Regions),
		parttracker.New(),
		upgrader.New(settings.ID, settings.Bounds, platform.Encoder{}),
		registrar.New(mulberrybeam.EntryHost{ID: settings.ID, Zone: settings.Zone, Address: settings.PeerAddress}, platform.Encoder{}),
	}
	if p.tallier != nil {
		// After the tracker, whose fleet it filters.
		machines = append(machines, promoter.New(settings.ID, settings.Bounds, platform.Encoder{}))
	}
	control, stopControl := controller.New(machines,
		controller.WithIdentity(settings.ID, settings.Zone),
		controller.WithObjects(store),
		controller.WithStatusClient(store),
		controller.WithOrderClient(engines),
		controller.WithObserveFunc(func(ctx context.Context, target mulberrybeam.Target, _ uint64) mulberrybeam.TargetObserved {
			report, err := engines.Report(ctx, target)
			return mulberrybeam.TargetObserved{Target: target.ID, Report: report, Err: err}
		}),
		controller.WithRecorder(p.recorder),
		controller.WithClock(p.now),
		controller.WithWaitObserver(func(lane controller.Lane, wait time.Duration) { meter.ObserveControlWait(string(lane), wait) }),
	)
	p.control = control
	p.cleanups = append(p.cleanups, closeClient, stopControl)
	p.propagator = p.newPropagator(settings, store)
	p.streams = streamkeeper.New(streamkeeper.Config{
		Tracker: streamtracker.New(p.now, rand.Uint64()|1, streamkeeper.DefaultRetention),
		Self:    settings.ID, Objects: store, Codec: platform.Encoder{}, Fleet: p.fleet, Now: p.now, RecordEvent: p.recordEvent,
	})
	store.ObserveEras(p.observeStoreEra, func(text string) { p.recordPlatform("store", text) })
	p.startFollowers(&cataloger.Follower{
		Catalog: p.catalog, Client: platform.NewContextStores(client), Self: settings.ID, Fleet: p.fleet, RecordEntry: p.recordEvent,
	})
}

func (p *Process) fleet() *mulberrybeam.Fleet { return p.control.Snapshot().Fleet }

// entryHostCount returns the number of known entry hosts, or 1 before the first
// snapshot of the fleet.
func (p *Process) entryHostCount() int {
	if fleet := p.fleet(); fleet != nil {
		return len(fleet.EntryHosts)
	}
	return 1
}

// startFollowers starts the feeds, the follower of the context stores and the
// sweep.
func (p *Process) startFollowers(stores *cataloger.Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, feed := range Feeds(p.settings.Load().Bounds) {
		feedLoop := feeder.Feed{
			Kind: feed.Kind, Objects: p.propagator, Decoder: platform.Decoder{}, MaxWait: feed.Wait,
			BatchDelay: func() time.Duration {
				return feed.Pause(cmp.Or(p.propagator.Callers(feed.Kind), p.entryHostCount()))
			},
			Now: p.now, Deliver: p.control.Deliver, Recheck: &p.recheck,
			OnDecodeError: func(err error) { p.recordEvent("skipped", err.Error()) },
		}
		p.workers.Go(func() { feedLoop.Run(ctx) })
	}
	p.workers.Go(func() { p.propagator.Run(ctx) })
	if p.tallier != nil {
		p.workers.Go(func() { p.reportRollouts(ctx) })
	}
	p.workers.Go(func() { p.sweep(ctx) })
	p.workers.Go(func() { stores.Run(ctx) })
	p.workers.Go(func() { p.streams.Run(ctx) })
	p.cleanups = append(p.cleanups, func() {
		cancel()
		p.workers.Wait()
	})
}

// sweep periodically removes the state of targets and peers that are no longer in
// use, and closes idle connections to targets.
func (p *Process) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.monitor.RemoveIdle()
			p.requester.CloseUnused(p.targetsInUse())
			p.helpers.RemoveIdle()
		}
	}
}

// targetsInUse returns a function that reports whether a target may receive
// requests.
func (p *Process) targetsInUse() func(mulberrybeam.InstanceID) bool {
	used := map[mulberrybeam.InstanceID]bool{}
	if fleet := p.fleet(); fleet != nil {
		for _, targets := range fleet.Targets {
			for _, target := range targets {
				used[target.ID] = true
			}
		}
	}
	return func(id mulberrybeam.InstanceID) bool { return used[id] }
}

// newRelayer returns the HTTP handler of callers' requests.
func (p *Process) newRelayer(settings mulberrybeam.HostSettings) *relayer.Relayer {
	bounds := settings.Bounds
	minRetriesPerSecond := 0.0
	if bounds.RetryBudgetWindow > 0 {
		minRetriesPerSecond = retryBudgetFraction * float64(bounds.RetryBudgetMin) / bounds.RetryBudgetWindow.Seconds()
	}
	return &relayer.Relayer{
		Settings: p.settings.Load,
		Codec:    platform.Codec{},
		Sender:   p.requester,
		Monitor:  p.monitor,
		Tallier:  p.tallier,
		Budgets:  monitor.NewBudgets(retryBudgetFraction*bounds.RetryBudgetRatio, minRetriesPerSecond),
		Recorder: p.recorder,
		Streams:  p.streams,
		Catalog:  p.catalog,
		Fleet:    p.fleet,
		Post:     p.control.Post,
		Now:      p.now,
		Shutdown: p.shutdown.Load,
		Memory:   p.memory,

		Isolation:    p.isolation,
		Passing:      p.passing,
		MaxConfigAge: MaxConfigAge(bounds),
	}
}

// newRequester creates the requester, which manages the connections to targets.
func (p *Process) newRequester() {
	p.startIsolationDetector()
	connections, closeIdle := requester.New(platform.Codec{}, p.isolation.DialTarget, p.now)
	p.requester = connections
	p.cleanups = append(p.cleanups, closeIdle)
	p.newPassing()
}

// Reload applies settings that were read again. If err is not nil, the current
// settings stay in force. Addresses change only on a restart.
func (p *Process) Reload(settings mulberrybeam.HostSettings, err error) {
	if err != nil {
		p.recordEvent("reload", "settings unchanged: "+err.Error())
		return
	}
	p.settings.Store(&settings)
	p.recordEvent("reload", "settings reloaded")
}

// recordEvent records an event of the process itself on the timeline.
func (p *Process) recordEvent(subject, text string) {
	p.recorder.Record(mulberrybeam.Entry{Kind: mulberrybeam.EntryShutdown, Subject: subject, Text: text})
}

// recordPlatform records what this process learned of the platform on the timeline.
func (p *Process) recordPlatform(subject, text string) {
	p.recorder.Record(mulberrybeam.Entry{Kind: mulberrybeam.EntryPlatform, Subject: subject, Text: text})
}

// observeStoreEra records that the store has another history than before.
func (p *Process) observeStoreEra(change mulberrybeam.StoreEraChanged) {
	text := fmt.Sprintf("era %d after %d", change.Era, change.Previous)
	if change.First {
		text = fmt.Sprintf("era %d", change.Era)
	}
	p.recordPlatform("store", text)
	p.control.Deliver(change)
	p.recheck.Notify()
	if !change.First {
		p.streams.Reload()
	}
}

func (p *Process) runCleanups() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
	p.cleanups = nil
}
