package controller

import (
	"math/rand/v2"
	"time"

	"mulberrybeam"
)

// dependencies holds the process's identity and the clients, clocks and random
// source with which the controller runs actions.
type dependencies struct {
	self     mulberrybeam.ProcessID
	zone     mulberrybeam.ZoneName
	objects  mulberrybeam.ObjectClient
	peers    mulberrybeam.PeerClient
	engines  mulberrybeam.OrderClient
	statuses mulberrybeam.StatusClient
	observe  ObserveFunc
	recorder mulberrybeam.Recorder
	// observeWait is called with the time that an event waited in a lane.
	observeWait func(Lane, time.Duration)
	now         func() time.Duration
	wallTime    func() time.Time
	rand        *rand.Rand
}

func defaultDependencies() dependencies {
	start := time.Now()
	return dependencies{
		observeWait: func(Lane, time.Duration) {},
		now:         func() time.Duration { return time.Since(start) },
		wallTime:    time.Now,
		rand:        newRand(),
	}
}

// Option configures a Controller.
type Option func(*dependencies)

// WithIdentity sets the ID and availability zone of this process.
func WithIdentity(id mulberrybeam.ProcessID, zone mulberrybeam.ZoneName) Option {
	return func(d *dependencies) {
		d.self = id
		d.zone = zone
	}
}

// WithObjects sets the client for the object API.
func WithObjects(objects mulberrybeam.ObjectClient) Option {
	return func(d *dependencies) { d.objects = objects }
}

// WithPeers sets the client that calls other entry processes.
func WithPeers(peers mulberrybeam.PeerClient) Option {
	return func(d *dependencies) { d.peers = peers }
}

// WithOrderClient sets the client that sends orders to engines.
func WithOrderClient(engines mulberrybeam.OrderClient) Option {
	return func(d *dependencies) { d.engines = engines }
}

// WithStatusClient sets the client that replaces the status of objects.
func WithStatusClient(statuses mulberrybeam.StatusClient) Option {
	return func(d *dependencies) { d.statuses = statuses }
}

// WithObserveFunc sets the function that polls targets for their load reports and
// cache events.
func WithObserveFunc(observe ObserveFunc) Option {
	return func(d *dependencies) { d.observe = observe }
}

// WithRecorder sets the recorder of timeline entries. Without one, entries are
// discarded.
func WithRecorder(recorder mulberrybeam.Recorder) Option {
	return func(d *dependencies) { d.recorder = recorder }
}

// WithWaitObserver sets a function that the control goroutine calls with the lane of each
// event and the time that it waited there. The function must not block.
func WithWaitObserver(observe func(lane Lane, wait time.Duration)) Option {
	return func(d *dependencies) { d.observeWait = observe }
}

// WithClock sets the function that returns the monotonic time since process
// start.
func WithClock(now func() time.Duration) Option {
	return func(d *dependencies) { d.now = now }
}

// WithRand sets the random source that the state machines use.
func WithRand(source *rand.Rand) Option {
	return func(d *dependencies) { d.rand = source }
}
