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
)

// Constants of forwarding.
const (
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 4
	// maxRounds bounds the targets that are tried for one request, those
	// included that gave no permit.
	maxRounds = 8
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
	// exportLinkShare is how much of a link exports may leave no room for:
	// above it waiting prompts need the link.
	exportLinkShare = 0.5
	measureInterval = time.Second
)

// Index is what is known of the prefix caches of targets.
type Index interface {
	CachedBlocks(target mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int
	Holders(keys []mulberrybeam.BlockKey) []mulberrybeam.TargetID
}

// RetryQuery is what the decision to try another target needs.
type RetryQuery struct {
	Now     time.Duration
	Request *mulberrybeam.Request
	Failure *mulberrybeam.Failure
	// Attempts counts the targets that the request was sent to.
	Attempts int
}

// Suspicion is the decision on a request that was in flight at a crash.
type Suspicion struct {
	// Refusal is set when the request must not run again.
	Refusal *mulberrybeam.Failure
	// Isolated says that the request needs an isolation permit.
	Isolated bool
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
	// Retry says whether another target may be tried.
	Retry func(RetryQuery) bool
	// Suspect decides on a request by what is known of crashes.
	Suspect func(*mulberrybeam.Snapshot, *mulberrybeam.Request) Suspicion
}

// Option changes the settings of a Forwarder.
type Option func(*Settings)

// WithControl sets the current snapshot and the function that posts events.
func WithControl(snapshot func() *mulberrybeam.Snapshot, post func(mulberrybeam.Event)) Option {
	return func(s *Settings) { s.Snapshot, s.Post = snapshot, post }
}

// WithRouting sets the routing policy and the index of prefix caches.
func WithRouting(picker mulberrybeam.Picker, index Index) Option {
	return func(s *Settings) { s.Picker, s.Index = picker, index }
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

// WithRetry sets the retry decision.
func WithRetry(retry func(RetryQuery) bool) Option {
	return func(s *Settings) { s.Retry = retry }
}

// WithSuspicion sets the decision on requests that were in flight at a crash.
func WithSuspicion(suspect func(*mulberrybeam.Snapshot, *mulberrybeam.Request) Suspicion) Option {
	return func(s *Settings) { s.Suspect = suspect }
}

// Forwarder runs requests. It is shared by all traffic goroutines.
type Forwarder struct {
	Settings
	gate    *admitter.Gate
	flights flights
	use     use
	exports chan export
	// background are goroutines that outlive their request.
	background sync.WaitGroup
}

// New returns a Forwarder and the function that stops its background work and
// waits for it.
func New(options ...Option) (*Forwarder, func()) {
	begin := time.Now()
	settings := Settings{
		Clock:    func() time.Duration { return time.Since(begin) },
		Wall:     time.Now,
		Post:     func(mulberrybeam.Event) {},
		Retry:    func(RetryQuery) bool { return true },
		Suspect:  func(*mulberrybeam.Snapshot, *mulberrybeam.Request) Suspicion { return Suspicion{} },
		Recorder: silent{},
		Index:    noIndex{},
	}
	for _, option := range options {
		option(&settings)
	}
	f := &Forwarder{
		Settings: settings,
		gate:     admitter.New(settings.Clock),
		exports:  make(chan export, exportQueue),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.background.Go(func() { f.exportLoop(ctx) })
	f.background.Go(func() { f.measureLoop(ctx) })
	return f, func() {
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
	tried   []mulberrybeam.TargetID
	kept    []mulberrybeam.Manifest
	// attempts counts the sends, rounds the targets picked.
	attempts, rounds int
	// reached is true once an attempt may have run at a target.
	reached  bool
	isolated bool
	// sendBefore bounds the send of a non-repeatable call.
	sendBefore time.Duration
}

// begin admits a request. The release function is nil after a failure.
func (f *Forwarder) begin(ctx context.Context, request *mulberrybeam.Request) (*run, func(), error) {
	f.use.asked(request.Workspace)
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Tables == nil {
		return nil, nil, f.refused(request, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNotReady, Step: mulberrybeam.StepAccept, Message: "no configuration is in force", NotRun: true, RetryAfter: time.Second,
		})
	}
	suspicion := f.Suspect(snapshot, request)
	if suspicion.Refusal != nil {
		return nil, nil, f.refused(request, suspicion.Refusal)
	}
	release, err := f.gate.Admit(ctx, snapshot, request)
	if err != nil {
		return nil, nil, f.refused(request, failureOf(err))
	}
	return &run{
		request: request, isolated: suspicion.Isolated, sendBefore: request.Deadline,
		random: newRandom(),
	}, release, nil
}

// again says whether another target may be tried after a failure.
func (f *Forwarder) again(ctx context.Context, r *run, failure *mulberrybeam.Failure) bool {
	if !failure.NotRun {
		r.reached = true
	}
	now := f.Clock()
	switch {
	case ctx.Err() != nil, now >= min(r.request.Deadline, r.sendBefore), r.attempts >= maxAttempts, r.rounds >= maxRounds:
		return false
	case failure.Code == mulberrybeam.CodeNoTarget, failure.Code == mulberrybeam.CodeCancelled, failure.Code == mulberrybeam.CodeBadRequest:
		return false
	case !failure.NotRun && !r.request.Repeatable:
		return false
	case failure.Step == mulberrybeam.StepPermit:
		// A target without a free permit was not sent to, so it takes
		// nothing from the retry budget.
		return true
	}
	if !f.Retry(RetryQuery{Now: now, Request: r.request, Failure: failure, Attempts: r.attempts}) {
		return false
	}
	f.note(mulberrybeam.EntryRetry, r.request, failure.Peer, failure.Error())
	return true
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

// later runs a short call that goes on after its request.
func (f *Forwarder) later(ctx context.Context, call func(context.Context)) {
	detached := context.WithoutCancel(ctx)
	f.background.Go(func() {
		bounded, cancel := context.WithTimeout(detached, signalTimeout)
		defer cancel()
		call(bounded)
	})
}

func (f *Forwarder) note(kind mulberrybeam.EntryKind, request *mulberrybeam.Request, subject, text string) {
	entry := mulberrybeam.Entry{Kind: kind, Request: request.ID, Subject: subject, Text: text}
	if snapshot := f.Snapshot(); snapshot != nil {
		entry.Process = snapshot.Self
	}
	entry.Stamp = mulberrybeam.Stamp{Wall: f.Wall().UnixMilli(), Process: entry.Process}
	f.Recorder.Record(entry)
}

func bodyHash(request *mulberrybeam.Request) [sha256.Size]byte { return sha256.Sum256(request.Body) }
