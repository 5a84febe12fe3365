package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/directoryencoder"
	"mulberrybeam/connection/enginecaller"
	"mulberrybeam/connection/intentencoder"
	"mulberrybeam/connection/leaseencoder"
	"mulberrybeam/connection/objectcaller"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/peercaller"
	"mulberrybeam/connection/servicecaller"
	"mulberrybeam/connection/storecaller"
	"mulberrybeam/process/configurer"
	"mulberrybeam/process/controller"
	"mulberrybeam/process/crashtracker"
	"mulberrybeam/process/gossiper"
	"mulberrybeam/process/indexer"
	"mulberrybeam/process/leaser"
	"mulberrybeam/process/meter"
	"mulberrybeam/process/observer"
	"mulberrybeam/process/permitcaller"
	"mulberrybeam/process/permitter"
	"mulberrybeam/process/recorder"
	"mulberrybeam/process/server"
	"mulberrybeam/process/stamper"
	"mulberrybeam/process/sweeper"
	"mulberrybeam/request/forwarder"
	"mulberrybeam/request/keyer"
	"mulberrybeam/request/router"
	"mulberrybeam/version/parser"
	"mulberrybeam/version/swapper"
)

const (
	// releaseWait is the time allowed for writing the release of the slots
	// to the object API. Slots that are not released have no holder until
	// their leases expire.
	releaseWait = time.Second
	// leaveWait is the time allowed for peers to learn that the process has
	// left.
	leaveWait = 500 * time.Millisecond
)

// minSecretBytes is the minimum length of the context secret, in bytes.
const minSecretBytes = 16

// Process is a running entry process.
type Process struct {
	ID mulberrybeam.ProcessID
	// CallerAddress, PeerAddress and OperatorAddress are the addresses that
	// the process listens on.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	Controller      *controller.Controller
	Objects         *objectcaller.Caller
	Timeline        *recorder.Ring

	settings       Settings
	startedAt      time.Time
	stamps         *stamper.ConcurrentClock
	engines        *enginecaller.Caller
	services       *servicecaller.Caller
	stores         *storecaller.Caller
	index          *indexer.Indexer
	forwarder      *forwarder.Forwarder
	server         *server.Server
	callerListener net.Listener
	metrics        http.Handler
	// cleanups are clean-up functions, run in reverse order.
	cleanups []func()
	// shutdownServer shuts down the caller server; requests that are still
	// running when its context ends are cut off.
	shutdownServer func(context.Context) error
}

// Start starts an entry process. The returned function shuts it down
// gracefully; requests that are still running when its context ends are cut
// off.
func Start(settings Settings) (*Process, func(context.Context) error, error) {
	id := newProcessID(settings.Host)
	p := &Process{
		ID:        id,
		settings:  settings,
		startedAt: time.Now(),
		stamps:    stamper.NewConcurrent(id),
		index:     indexer.New(),
	}
	for _, step := range []func() error{p.listenForCallers, p.startClients, p.startControl, p.startTraffic, p.serveCallers, p.startOperator} {
		if err := step(); err != nil {
			p.close()
			return nil, nil, fmt.Errorf("start entry process %s: %w", id, err)
		}
	}
	return p, p.shutdown, nil
}

func newProcessID(host string) mulberrybeam.ProcessID {
	incarnation := make([]byte, 4)
	_, _ = rand.Read(incarnation)
	return mulberrybeam.ProcessID(host + "/" + hex.EncodeToString(incarnation))
}

func (p *Process) now() time.Duration { return time.Since(p.startedAt) }

// onClose registers a clean-up function for close.
func (p *Process) onClose(cleanup func()) { p.cleanups = append(p.cleanups, cleanup) }

func (p *Process) close() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
	p.cleanups = nil
}

func (p *Process) startClients() error {
	var closer func()
	p.Objects, closer = objectcaller.New(p.settings.Platform.URL, p.settings.Environment, objectcaller.WithUserAgent(string(p.ID)))
	p.onClose(closer)
	p.engines, closer = enginecaller.New()
	p.onClose(closer)
	p.services, closer = servicecaller.New()
	p.onClose(closer)
	p.stores, closer = storecaller.New()
	p.onClose(closer)
	return nil
}

// startControl starts the controller. It opens the peer listener first, because
// the state machines advertise its port to the peers. Messages received before
// the controller runs wait for it.
func (p *Process) startControl() error {
	options, err := peerOptions(p.settings.Peer)
	if err != nil {
		return err
	}
	peers, closePeers := peercaller.New(p.ID, options...)
	p.onClose(func() { _ = closePeers() })
	started := make(chan struct{})
	handler := func(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
		select {
		case <-started:
			p.advanceStamps(message)
			return p.Controller.Ask(ctx, from, message)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	address, closeListener, err := peercaller.Serve(p.settings.Peer.Address, handler, options...)
	if err != nil {
		return err
	}
	p.onClose(func() { _ = closeListener() })
	p.PeerAddress = address
	if err := p.startTimeLine(); err != nil {
		return err
	}
	control, closeControl := controller.New(p.machines(),
		controller.WithIdentity(p.ID, p.settings.Zone),
		controller.WithObjects(p.Objects),
		controller.WithPeers(peers),
		controller.WithOrderClient(p.engines),
		controller.WithObserveFunc(p.observe),
		controller.WithRecorder(p.Timeline),
		controller.WithClock(p.now),
	)
	p.onClose(closeControl)
	p.Controller = control
	close(started)
	p.startForwarder(permitcaller.New(control.Snapshot, control.Ask, peers))
	return nil
}

func (p *Process) machines() []mulberrybeam.StateMachine {
	self := mulberrybeam.Member{ID: p.ID, Zone: p.settings.Zone, Address: p.PeerAddress}
	localMember := gossiper.LocalMember{ID: p.ID, Zone: p.settings.Zone, Address: p.PeerAddress, CallerAddress: p.CallerAddress}
	seeds := make([]mulberrybeam.Member, len(p.settings.Seeds))
	for i, address := range p.settings.Seeds {
		seeds[i] = mulberrybeam.Member{Zone: p.settings.Zone, Address: address}
	}
	directory := gossiper.WithDirectory(directoryencoder.Encode, directoryencoder.Decode)
	return []mulberrybeam.StateMachine{
		gossiper.New(localMember, directory, gossiper.WithSeeds(seeds...)),
		configurer.New(localMember, p.settings.Environment, parser.Parse),
		leaser.New(self, leaser.WithEncoding(leaseencoder.Encode, leaseencoder.Decode)),
		permitter.New(self),
		observer.New(self),
		crashtracker.New(),
		swapper.New(p.settings.Zone),
		sweeper.New(intentencoder.Decode),
	}
}

func (p *Process) startTimeLine() error {
	requestMeter, metrics, closeMeter, err := meter.New(p.settings.Environment, p.settings.Zone)
	if err != nil {
		return err
	}
	p.onClose(closeMeter)
	p.Timeline = recorder.New(recorder.WithStamp(p.stamp), recorder.WithObserver(requestMeter.Observe))
	p.metrics = metrics
	return nil
}

func (p *Process) stamp() mulberrybeam.Stamp { return p.stamps.Next(time.Now()) }

// advanceStamps advances the stamp clock past the stamps of a peer's facts, so
// that later events of this process are ordered after them.
func (p *Process) advanceStamps(message mulberrybeam.Message) {
	exchange, ok := message.(mulberrybeam.Exchange)
	if !ok {
		return
	}
	for _, fact := range exchange.Facts {
		p.stamps.Update(fact.Stamp, time.Now())
	}
}

func (p *Process) startForwarder(permits mulberrybeam.PermitClient) {
	requestForwarder, closeForwarder := forwarder.New(
		forwarder.WithControl(p.Controller.Snapshot, p.Controller.Post),
		forwarder.WithRouting(router.New(), p.index),
		forwarder.WithTargets(p.engines, p.services, p.stores),
		forwarder.WithObjects(p.Objects, intentencoder.Codec()),
		forwarder.WithPermits(permits),
		forwarder.WithRecorder(p.Timeline),
		forwarder.WithClocks(p.now, time.Now),
	)
	p.onClose(closeForwarder)
	p.forwarder = requestForwarder
}

func (p *Process) startTraffic() error {
	secret, err := os.ReadFile(p.settings.ContextSecretFile)
	if err != nil {
		return err
	}
	if len(secret) < minSecretBytes {
		return fmt.Errorf("context secret file %s has %d bytes; at least %d are required", p.settings.ContextSecretFile, len(secret), minSecretBytes)
	}
	requestKeyer, err := keyer.New(secret)
	if err != nil {
		return err
	}
	callerServer, shutdownServer, err := server.New(
		server.WithSnapshot(p.Controller.Snapshot),
		server.WithForwarder(p.forwarder),
		server.WithKeyer(requestKeyer),
		server.WithResumeGrace(p.settings.ResumeGrace),
		server.WithProxy(server.ProxyTo(p.callerScheme(), p.callerAddressOf, nil)),
	)
	if err != nil {
		return err
	}
	p.server = callerServer
	p.shutdownServer = shutdownServer
	return nil
}

// shutdown reports the process as not ready, waits until the load balancer has
// noticed, releases the slots, waits for running requests to end, and tells the
// peers that the process has left.
func (p *Process) shutdown(ctx context.Context) error {
	p.server.MarkNotReady()
	pauser.Pause(ctx, p.settings.Shutdown.BalancerDelay)
	p.Controller.Post(mulberrybeam.ShutdownRequested{})
	releaseDeadline := p.now() + releaseWait
	drainCtx, cancel := p.drainContext(ctx)
	defer cancel()
	err := p.shutdownServer(drainCtx)
	pauser.Pause(ctx, releaseDeadline-p.now())
	// A second ShutdownRequested makes the process announce that it has left.
	p.Controller.Post(mulberrybeam.ShutdownRequested{})
	pauser.Pause(ctx, leaveWait)
	p.close()
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutdown timed out with requests still running: %w", err)
	}
	return err
}

func (p *Process) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if p.settings.Shutdown.StreamLimit == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.settings.Shutdown.StreamLimit)
}
