package controller

import (
	"math/rand/v2"
	"time"

	"mulberrybeam"
)

// dependencies are what the controller runs actions with.
type dependencies struct {
	self     mulberrybeam.ProcessID
	zone     mulberrybeam.ZoneName
	objects  mulberrybeam.ObjectClient
	peers    mulberrybeam.PeerClient
	engines  mulberrybeam.OrderClient
	observe  ObserveFunc
	recorder mulberrybeam.Recorder
	now      func() time.Duration
	wall     func() time.Time
	rand     *rand.Rand
}

func defaults() dependencies {
	start := time.Now()
	return dependencies{
		now:  func() time.Duration { return time.Since(start) },
		wall: time.Now,
		rand: newRand(),
	}
}

// Option sets a dependency of a Controller.
type Option func(*dependencies)

// WithSelf sets the process's id and availability zone.
func WithSelf(id mulberrybeam.ProcessID, zone mulberrybeam.ZoneName) Option {
	return func(d *dependencies) {
		d.self = id
		d.zone = zone
	}
}

// WithObjects sets the client of the object API.
func WithObjects(objects mulberrybeam.ObjectClient) Option {
	return func(d *dependencies) { d.objects = objects }
}

// WithPeers sets the client of other entry processes.
func WithPeers(peers mulberrybeam.PeerClient) Option {
	return func(d *dependencies) { d.peers = peers }
}

// WithEngines sets the client that sends orders.
func WithEngines(engines mulberrybeam.OrderClient) Option {
	return func(d *dependencies) { d.engines = engines }
}

// WithObserve sets the function that asks targets for load and cache events.
func WithObserve(observe ObserveFunc) Option {
	return func(d *dependencies) { d.observe = observe }
}

// WithRecorder sets the time line.
func WithRecorder(recorder mulberrybeam.Recorder) Option {
	return func(d *dependencies) { d.recorder = recorder }
}

// WithClock sets monotonic time since process start.
func WithClock(now func() time.Duration) Option {
	return func(d *dependencies) { d.now = now }
}

// WithRand sets the random source of the machines.
func WithRand(source *rand.Rand) Option {
	return func(d *dependencies) { d.rand = source }
}
