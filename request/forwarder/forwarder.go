// Package forwarder runs requests from admission to completion. It combines the
// decisions of the other request packages with the clients of targets, stores
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

// Timeouts, queue sizes and intervals.
const (
	// cleanupTimeout is the timeout of cancellations and permit releases, which
	// may continue after the request has ended.
	cleanupTimeout = 2 * time.Second
	// manifestTimeout is the timeout of the lookup of stored contexts.
	// Recomputing a short prompt takes about as long.
	manifestTimeout = 150 * time.Millisecond
	transferTimeout = 20 * time.Second
	// transferQueueSize is the capacity of the queue of exports and
	// prefetches. A context whose transfer is dropped is recomputed.
	transferQueueSize = 64
	// importTimeout is the longest time an import may take. After it, other
	// requests may import the same context.
	importTimeout = 10 * time.Second
	// minImportTime is the shortest time limit of an import, because even a
	// short context takes a few round trips over an idle link.
	minImportTime   = 100 * time.Millisecond
	measureInterval = time.Second
)

// Settings are the dependencies of a Forwarder.
type Settings struct {
	// Snapshot returns the current snapshot.
	Snapshot func() *mulberrybeam.Snapshot
	// Post passes an event to the control loop and never blocks.
	Post     func(mulberrybeam.Event)
	Picker   mulberrybeam.Picker
	Index    mulberrybeam.PrefixIndex
	Engines  mulberrybeam.EngineClient
	Services mulberrybeam.ServiceClient
	Stores   mulberrybeam.StoreClient
	Objects  mulberrybeam.ObjectClient
	Permits  mulberrybeam.PermitClient
	Recorder mulberrybeam.Recorder
	// Codec encodes the records of non-repeatable calls.
	Codec intender.Codec
	// Clock returns local monotonic time, Wall the wall clock time.
	Clock func() time.Duration
	Wall  func() time.Time
}

// Option changes the settings of a Forwarder.
type Option func(*Settings)

// WithControl sets the functions that return the current snapshot and post
// events to the control loop.
func WithControl(snapshot func() *mulberrybeam.Snapshot, post func(mulberrybeam.Event)) Option {
	return func(s *Settings) { s.Snapshot, s.Post = snapshot, post }
}

// WithRouting sets the routing policy and the index of the engines' prefix
// caches. A nil index means that no caches are known.
func WithRouting(picker mulberrybeam.Picker, index mulberrybeam.PrefixIndex) Option {
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

// WithPermits sets the client that asks the owners of targets for permits.
func WithPermits(permits mulberrybeam.PermitClient) Option {
	return func(s *Settings) { s.Permits = permits }
}

// WithRecorder sets the recorder of timeline entries.
func WithRecorder(recorder mulberrybeam.Recorder) Option {
	return func(s *Settings) { s.Recorder = recorder }
}

// WithClocks sets the monotonic clock and the wall clock.
func WithClocks(clock func() time.Duration, wall func() time.Time) Option {
	return func(s *Settings) { s.Clock, s.Wall = clock, wall }
}

// Forwarder runs requests. It is safe for concurrent use.
type Forwarder struct {
	Settings
	gate          *admitter.Gate
	inFlight      inFlightRequests
	usage         usageMeter
	transfers     transferState
	retryBudget   retryBudget
	isolatedRuns  isolatedRuns
	transferQueue chan transfer
	// leftovers are intent records to be removed, because they block their
	// idempotency key unnecessarily.
	leftovers chan leftover
	// background tracks goroutines that are not tied to a request. stopMutex
	// guards stopped, so that no goroutine starts after Wait was called.
	background sync.WaitGroup
	stopMutex  sync.RWMutex
	stopped    bool
}

// New returns a Forwarder and a function that stops its background goroutines
// and waits for them.
func New(options ...Option) (*Forwarder, func()) {
	begin := time.Now()
	settings := Settings{
		Clock:    func() time.Duration { return time.Since(begin) },
		Wall:     time.Now,
		Post:     func(mulberrybeam.Event) {},
		Recorder: discardRecorder{},
		Index:    emptyIndex{},
	}
	for _, option := range options {
		option(&settings)
	}
	f := &Forwarder{
		Settings:      settings,
		gate:          admitter.New(settings.Clock),
		transfers:     transferState{links: map[mulberrybeam.StoreID]placer.Link{}, fetches: placer.Fetches{}},
		retryBudget:   retryBudget{current: retrier.NewBudget(settings.Clock())},
		isolatedRuns:  isolatedRuns{running: map[mulberrybeam.Fingerprint]int{}},
		transferQueue: make(chan transfer, transferQueueSize),
		leftovers:     make(chan leftover, leftoverQueueSize),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.background.Go(func() { f.transferLoop(ctx) })
	f.background.Go(func() { f.measureLoop(ctx) })
	f.background.Go(func() { f.removalLoop(ctx) })
	return f, func() {
		f.stopMutex.Lock()
		f.stopped = true
		f.stopMutex.Unlock()
		cancel()
		f.background.Wait()
	}
}

// InFlight returns the number of this process's requests in flight at a target.
func (f *Forwarder) InFlight(target mulberrybeam.TargetID) int { return f.inFlight.count(target) }

// run is the state of one request.
type run struct {
	request        *mulberrybeam.Request
	random         *rand.Rand
	storedContexts []mulberrybeam.Manifest
	history        retrier.History
	// attemptCount is the number of attempts, including those that were not
	// sent.
	attemptCount int
	// tried are the targets that the next route must exclude.
	tried []mulberrybeam.TargetID
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// crashesBefore is the number of crashes known when the request started,
	// brokenConnections the number of its attempts that ended with a broken
	// connection.
	crashesBefore, brokenConnections int
	isolated                         bool
	tokenTimes                       tokenTimes
	// sendDeadline is the time after which the request must not be sent. It may
	// be earlier than the deadline for a non-repeatable call.
	sendDeadline time.Duration
}

// admit admits a request. The returned function must be called at the end of
// the request; it is nil if admit fails.
func (f *Forwarder) admit(ctx context.Context, request *mulberrybeam.Request) (*run, func(), error) {
	f.usage.countRequest(request.Workspace)
	f.retryBudget.countRequest(f.Clock())
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		return nil, nil, f.recordRefusal(request, notReady())
	}
	r := &run{
		request: request, sendDeadline: request.Deadline, random: newRandom(),
		crashesBefore: snapshot.Crashes[request.Fingerprint].Count,
	}
	if failure := f.checkQuarantine(r); failure != nil {
		return nil, nil, f.recordRefusal(request, failure)
	}
	release, err := f.gate.Admit(ctx, snapshot, request)
	if err != nil {
		f.isolatedRuns.finish(r)
		return nil, nil, f.recordRefusal(request, failureOf(err))
	}
	return r, func() {
		f.isolatedRuns.finish(r)
		release()
	}, nil
}

// failRequest records and returns the failure of a whole request. NotRun is
// set only if no attempt may have run.
func (f *Forwarder) failRequest(ctx context.Context, r *run, failure *mulberrybeam.Failure) *mulberrybeam.Failure {
	last := *failure
	last.NotRun = failure.NotRun && !r.mayHaveRun
	if ctx.Err() != nil && last.Code != mulberrybeam.CodeOutcomeUnknown {
		last.Code = mulberrybeam.CodeCancelled
		if context.Cause(ctx) == context.DeadlineExceeded {
			last.Code = mulberrybeam.CodeTimeout
		}
	}
	return f.recordRefusal(r.request, &last)
}

func (f *Forwarder) recordRefusal(request *mulberrybeam.Request, failure *mulberrybeam.Failure) *mulberrybeam.Failure {
	f.record(mulberrybeam.Entry{
		Kind: mulberrybeam.EntryRefusal, Request: request.ID, Subject: failure.Peer,
		Text: failure.Error(), Code: failure.Code,
	})
	return failure
}

// withDeadline returns a context with the request's deadline.
func (f *Forwarder) withDeadline(ctx context.Context, request *mulberrybeam.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, request.Deadline-f.Clock())
}

// runDetached runs a short call in the background, where it is not cancelled
// with its request. If the Forwarder has stopped, runDetached waits for the
// call.
func (f *Forwarder) runDetached(ctx context.Context, call func(context.Context)) {
	detached := context.WithoutCancel(ctx)
	runCall := func() {
		ctx, cancel := context.WithTimeout(detached, cleanupTimeout)
		defer cancel()
		call(ctx)
	}
	f.stopMutex.RLock()
	stopped := f.stopped
	if !stopped {
		f.background.Go(runCall)
	}
	f.stopMutex.RUnlock()
	if stopped {
		runCall()
	}
}

func (f *Forwarder) recordEvent(kind mulberrybeam.EntryKind, request *mulberrybeam.Request, subject, text string) {
	f.record(mulberrybeam.Entry{Kind: kind, Request: request.ID, Subject: subject, Text: text})
}

// record records an entry with the ID of the process. The recorder assigns the
// stamps, so that the stamps of one process are increasing.
func (f *Forwarder) record(entry mulberrybeam.Entry) {
	if snapshot := f.Snapshot(); snapshot != nil {
		entry.Process = snapshot.Self
	}
	f.Recorder.Record(entry)
}

func notReady() *mulberrybeam.Failure {
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodeNotReady, Step: mulberrybeam.StepAccept, Message: "no configuration is in force",
		NotRun: true, RetryAfter: time.Second,
	}
}

func bodyHash(request *mulberrybeam.Request) [sha256.Size]byte { return sha256.Sum256(request.Body) }
