// Package forwarder runs one request from admission to its end. It drives the
// decisions of the other request packages and the clients of targets, stores
// and the object API.
package forwarder

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/admitter"
	"mulberrybeam/request/intender"
	"mulberrybeam/request/placer"
	"mulberrybeam/request/retrier"
)

// Constants of forwarding.
const (
	// signalTimeout bounds cancellations and permit releases, which go on
	// after the request has ended.
	signalTimeout = 2 * time.Second
	// manifestTimeout bounds the question for kept contexts; recomputing a
	// short prompt takes about as long.
	manifestTimeout = 150 * time.Millisecond
	exportTimeout   = 20 * time.Second
	// exportQueue bounds the contexts that wait for export. A context that
	// is not exported is recomputed.
	exportQueue = 64
	// importTimeout is when a fetch counts as lost for others.
	importTimeout = 10 * time.Second
	// minImportTime bounds the import of a short context, which takes a few
	// round trips even over a free link.
	minImportTime   = 100 * time.Millisecond
	measureInterval = time.Second
)

// Index is what is known of the prefix caches of targets.
type Index interface {
	// Sent notes that an instance has computed or imported a context.
	Sent(target mulberrybeam.TargetID, instance mulberrybeam.InstanceID, keys []mulberrybeam.BlockKey)
	CachedBlocks(target mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int
	Holders(keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID
	// Instance is the one whose cache the index describes, empty when
	// unknown.
	Instance(target mulberrybeam.TargetID) mulberrybeam.InstanceID
}

// Settings are the dependencies of a Forwarder.
type Settings struct {
	// Snapshot returns the current snapshot.
	Snapshot func() *mulberrybeam.Snapshot
	// Post gives an event to control and never blocks.
	Post     func(mulberrybeam.Event)
	Picker   mulberrybeam.Picker
	Index    Index
	Engines  mulberrybeam.EngineClient
	Services mulberrybeam.ServiceClient
	Stores   mulberrybeam.StoreClient
	Objects  mulberrybeam.ObjectClient
	Permits  mulberrybeam.PermitClient
	Recorder mulberrybeam.Recorder
	// Codec encodes the records of non-repeatable calls.
	Codec intender.Codec
	// Clock is local monotonic time, Wall is wall time.
	Clock func() time.Duration
	Wall  func() time.Time
}

// Option changes the settings of a Forwarder.
type Option func(*Settings)

// WithControl sets the current snapshot and the function that posts events.
func WithControl(snapshot func() *mulberrybeam.Snapshot, post func(mulberrybeam.Event)) Option {
	return func(s *Settings) { s.Snapshot, s.Post = snapshot, post }
}

// WithRouting sets the routing policy and the index of prefix caches, nil for
// none.
func WithRouting(picker mulberrybeam.Picker, index Index) Option {
	return func(s *Settings) {
		s.Picker = picker
		if index != nil {
			s.Index = index
		}
	}
}

// WithTargets sets the clients of engines, services and context stores.
func WithTargets(engines mulberrybeam.EngineClient, services mulberrybeam.ServiceClient, stores mulberrybeam.StoreClient) Option {
	return func(s *Settings) { s.Engines, s.Services, s.Stores = engines, services, stores }
}

// WithObjects sets the object API and the codec of its intent records.
func WithObjects(objects mulberrybeam.ObjectClient, codec intender.Codec) Option {
	return func(s *Settings) { s.Objects, s.Codec = objects, codec }
}

// WithPermits sets the client that asks the owners of targets.
func WithPermits(permits mulberrybeam.PermitClient) Option {
	return func(s *Settings) { s.Permits = permits }
}

// WithRecorder sets the time line.
func WithRecorder(recorder mulberrybeam.Recorder) Option {
	return func(s *Settings) { s.Recorder = recorder }
}

// WithClocks sets monotonic time and wall time.
func WithClocks(clock func() time.Duration, wall func() time.Time) Option {
	return func(s *Settings) { s.Clock, s.Wall = clock, wall }
}

// Forwarder runs requests. It is shared by all traffic goroutines.
type Forwarder struct {
	Settings
	gate    *admitter.Gate
	flights flights
	use     use
	moves   moves
	budget  budget
	copies  copies
	exports chan export
	// background are goroutines that outlive their request. ending orders
	// their start before the wait for their end.
	background sync.WaitGroup
	ending     sync.RWMutex
	stopped    bool
}

// New returns a Forwarder and the function that stops its background work and
// waits for it.
func New(options ...Option) (*Forwarder, func()) {
	begin := time.Now()
	settings := Settings{
		Clock:    func() time.Duration { return time.Since(begin) },
		Wall:     time.Now,
		Post:     func(mulberrybeam.Event) {},
		Recorder: silent{},
		Index:    noIndex{},
	}
	for _, option := range options {
		option(&settings)
	}
	f := &Forwarder{
		Settings: settings,
		gate:     admitter.New(settings.Clock),
		moves:    moves{links: map[mulberrybeam.StoreID]placer.Link{}, fetches: placer.Flights{}},
		budget:   budget{value: retrier.NewBudget(settings.Clock())},
		copies:   copies{running: map[mulberrybeam.Fingerprint]int{}},
		exports:  make(chan export, exportQueue),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.background.Go(func() { f.exportLoop(ctx) })
	f.background.Go(func() { f.measureLoop(ctx) })
	return f, func() {
		f.ending.Lock()
		f.stopped = true
		f.ending.Unlock()
		cancel()
		f.background.Wait()
	}
}

// InFlight counts this process's requests at a target.
func (f *Forwarder) InFlight(target mulberrybeam.TargetID) int { return f.flights.count(target) }

// run is the state of one request.
type run struct {
	request *mulberrybeam.Request
	random  *rand.Rand
	kept    []mulberrybeam.Manifest
	history retrier.History
	// tried are the targets that the next route must leave out.
	tried []mulberrybeam.TargetID
	// reached is true once an attempt may have run at a target.
	reached bool
	// crashesBefore counts the crashes known at the start, broken the
	// attempts of this request that ended with a broken connection.
	crashesBefore, broken int
	isolated              bool
	// sendBefore bounds the send of a non-repeatable call.
	sendBefore time.Duration
}

// begin admits a request. The release function is nil after a failure.
func (f *Forwarder) begin(ctx context.Context, request *mulberrybeam.Request) (*run, func(), error) {
	f.use.asked(request.Workspace)
	f.budget.count(f.Clock())
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		return nil, nil, f.refused(request, notReady())
	}
	r := &run{
		request: request, sendBefore: request.Deadline, random: newRandom(),
		crashesBefore: snapshot.Crashes[request.Fingerprint].Count,
	}
	if failure := f.suspect(r); failure != nil {
		return nil, nil, f.refused(request, failure)
	}
	release, err := f.gate.Admit(ctx, snapshot, request)
	if err != nil {
		f.copies.leave(r)
		return nil, nil, f.refused(request, failureOf(err))
	}
	return r, func() {
		f.copies.leave(r)
		release()
	}, nil
}

// ended returns the failure of a whole request. NotRun holds only when no
// attempt may have run.
func (f *Forwarder) ended(ctx context.Context, r *run, failure *mulberrybeam.Failure) *mulberrybeam.Failure {
	last := *failure
	last.NotRun = failure.NotRun && !r.reached
	if ctx.Err() != nil && last.Code != mulberrybeam.CodeOutcomeUnknown {
		last.Code = mulberrybeam.CodeCancelled
		if context.Cause(ctx) == context.DeadlineExceeded {
			last.Code = mulberrybeam.CodeTimeout
		}
	}
	return f.refused(r.request, &last)
}

func (f *Forwarder) refused(request *mulberrybeam.Request, failure *mulberrybeam.Failure) *mulberrybeam.Failure {
	f.note(mulberrybeam.EntryRefusal, request, failure.Peer, failure.Error())
	return failure
}

// bounded returns a context that ends at the request's deadline.
func (f *Forwarder) bounded(ctx context.Context, request *mulberrybeam.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, request.Deadline-f.Clock())
}

// later runs a short call that goes on after its request. A request that
// outlives the Forwarder waits for the call itself.
func (f *Forwarder) later(ctx context.Context, call func(context.Context)) {
	detached := context.WithoutCancel(ctx)
	bounded := func() {
		ctx, cancel := context.WithTimeout(detached, signalTimeout)
		defer cancel()
		call(ctx)
	}
	f.ending.RLock()
	stopped := f.stopped
	if !stopped {
		f.background.Go(bounded)
	}
	f.ending.RUnlock()
	if stopped {
		bounded()
	}
}

func (f *Forwarder) note(kind mulberrybeam.EntryKind, request *mulberrybeam.Request, subject, text string) {
	entry := mulberrybeam.Entry{Kind: kind, Request: request.ID, Subject: subject, Text: text}
	if snapshot := f.Snapshot(); snapshot != nil {
		entry.Process = snapshot.Self
	}
	entry.Stamp = mulberrybeam.Stamp{Wall: f.Wall().UnixMilli(), Process: entry.Process}
	f.Recorder.Record(entry)
}

func notReady() *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNotReady, Step: mulberrybeam.StepAccept, Message: "no configuration is in force",
		NotRun: true, RetryAfter: time.Second,
	}
}

func bodyHash(request *mulberrybeam.Request) [sha256.Size]byte { return sha256.Sum256(request.Body) }
