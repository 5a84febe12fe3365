package forwarder_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
	"mulberrybeam/connection/intentencoder"
	"mulberrybeam/process/indexer"
	"mulberrybeam/request/forwarder"
)

// fakeFleet is a fake of all dependencies of a Forwarder. It picks targets in
// the order "a", "b", "c".
type fakeFleet struct {
	mulberrybeam.EngineClient
	mutex    sync.Mutex
	now      time.Duration
	index    *indexer.Indexer
	snapshot *mulberrybeam.Snapshot
	// generate and call respond to attempts, which are numbered from 1.
	generate    func(attempt int, call mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error)
	call        func(attempt int) (mulberrybeam.ServiceAnswer, error)
	permit      mulberrybeam.AskPermitReply
	askErr      error
	askDuration time.Duration
	// deniedAsks is the number of initial permit requests that are denied.
	deniedAsks int
	importErr  error
	// importHangs makes imports block until their context is done.
	importHangs bool
	source      mulberrybeam.Source

	calls     []mulberrybeam.EngineCall
	sends     int
	asks      int
	releases  []mulberrybeam.ReleasePermit
	signals   []mulberrybeam.TargetSignal
	cancelled int
	imports   int
	// cached and holders are the cached blocks and the targets holding them
	// that the last routing view returned for the prompt.
	cached  int
	holders []mulberrybeam.TargetID
}

func (f *fakeFleet) clock() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.now
}

func (f *fakeFleet) post(event mulberrybeam.Event) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if signal, ok := event.(mulberrybeam.TargetSignal); ok {
		f.signals = append(f.signals, signal)
	}
}

func (f *fakeFleet) Pick(_ mulberrybeam.Turn, view mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	f.cached = view.CachedBlocks("a", query.Request.Keys)
	f.holders = view.Holders(query.Request.Keys)
	for _, id := range []mulberrybeam.TargetID{"a", "b", "c"} {
		if !slices.Contains(query.Tried, id) {
			return mulberrybeam.Route{Target: id, Source: f.source, Import: mulberrybeam.Manifest{Store: "s", Bytes: 9}, ImportedTokens: 1000}, nil
		}
	}
	return mulberrybeam.Route{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, NotRun: true}
}

func (f *fakeFleet) Generate(_ context.Context, call mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls = append(f.calls, call)
	f.sends++
	return f.generate(f.sends, call)
}

func (f *fakeFleet) Cancel(context.Context, mulberrybeam.Target, mulberrybeam.RequestID) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancelled++
	return nil
}

func (f *fakeFleet) ImportContext(ctx context.Context, _ mulberrybeam.Target, _ mulberrybeam.Store, _ mulberrybeam.Manifest, _ []mulberrybeam.BlockKey) (int, error) {
	if f.importHangs {
		<-ctx.Done()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.imports++
	return 0, f.importErr
}

func (f *fakeFleet) Ask(context.Context, mulberrybeam.TargetID, mulberrybeam.AskPermit) (mulberrybeam.AskPermitReply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.asks++
	f.now += f.askDuration
	if f.asks <= f.deniedAsks {
		return mulberrybeam.AskPermitReply{Reason: "busy"}, nil
	}
	return f.permit, f.askErr
}

func (f *fakeFleet) Release(_ context.Context, _ mulberrybeam.TargetID, release mulberrybeam.ReleasePermit) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.releases = append(f.releases, release)
}

// fakeServices is a fake ServiceClient that uses the state of a fleet.
type fakeServices struct {
	mulberrybeam.ServiceClient
	fleet *fakeFleet
}

func (s fakeServices) Call(context.Context, mulberrybeam.ServiceRequest) (mulberrybeam.ServiceAnswer, error) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.fleet.sends++
	return s.fleet.call(s.fleet.sends)
}

// fakeStream is a fake EngineStream that returns err after its tokens.
type fakeStream struct {
	version   mulberrybeam.WeightVersion
	remaining []mulberrybeam.Token
	err       error
}

func (s *fakeStream) Instance() mulberrybeam.InstanceID         { return "i" }
func (s *fakeStream) WeightVersion() mulberrybeam.WeightVersion { return s.version }
func (s *fakeStream) Close() error                              { return nil }
func (s *fakeStream) Next() (mulberrybeam.Token, error) {
	if len(s.remaining) == 0 {
		return mulberrybeam.Token{}, s.err
	}
	token := s.remaining[0]
	s.remaining = s.remaining[1:]
	return token, nil
}

// newStream returns a stream of the tokens of request "r" from first to last,
// and the end marker if last is 3.
func newStream(first, last uint64) *fakeStream {
	created := &fakeStream{version: "v1", err: io.EOF}
	for sequence := first; sequence <= last; sequence++ {
		created.remaining = append(created.remaining, mulberrybeam.Token{Request: "r", Sequence: sequence, Text: string(rune('w' + sequence))})
	}
	if last == 3 {
		created.remaining = append(created.remaining, mulberrybeam.Token{Request: "r", Sequence: 4, End: true, FinishReason: "stop"})
	}
	return created
}

func newFakeFleet(phase mulberrybeam.Phase) *fakeFleet {
	f := &fakeFleet{now: time.Second, index: indexer.New(), source: mulberrybeam.SourceRecompute}
	f.snapshot = &mulberrybeam.Snapshot{
		Self: "p", Targets: map[mulberrybeam.TargetID]mulberrybeam.TargetState{}, Shares: map[mulberrybeam.WorkspaceName]float64{"w": 1},
		Tables: &mulberrybeam.Tables{
			Environment: &mulberrybeam.Environment{Limits: mulberrybeam.Limits{QueueLength: 9, QueueTimeout: time.Second, IdempotencyRetention: 24 * time.Hour}},
			Targets:     map[mulberrybeam.TargetID]mulberrybeam.Target{},
			Workspaces:  map[mulberrybeam.WorkspaceName]mulberrybeam.Workspace{"w": {Name: "w", Weight: 1}},
			Stores:      map[mulberrybeam.StoreID]mulberrybeam.Store{"s": {ID: "s", LinkRate: 1e6}},
		},
	}
	for _, id := range []mulberrybeam.TargetID{"a", "b", "c"} {
		f.snapshot.Targets[id] = mulberrybeam.TargetState{Phase: phase, Instance: "i"}
		f.snapshot.Tables.Targets[id] = mulberrybeam.Target{ID: id, WarmLimit: 8}
	}
	return f
}

// start returns a Forwarder that uses the fleet, and the function that stops
// it.
func (f *fakeFleet) start(t *testing.T, options ...forwarder.Option) (*forwarder.Forwarder, func()) {
	t.Helper()
	return forwarder.New(append([]forwarder.Option{
		forwarder.WithControl(func() *mulberrybeam.Snapshot { return f.snapshot }, f.post),
		forwarder.WithRouting(f, f.index), forwarder.WithTargets(f, fakeServices{fleet: f}, nil), forwarder.WithPermits(f),
		forwarder.WithClocks(f.clock, time.Now),
	}, options...)...)
}

func prompt() *mulberrybeam.Request {
	return &mulberrybeam.Request{
		ID: "r", Workspace: "w", Model: "m", Version: "v1", Repeatable: true,
		Fingerprint: mulberrybeam.Fingerprint{7}, Deadline: time.Minute,
	}
}

var codec = intentencoder.Codec()

// fakeObjects is a fake object API that accepts every write.
type fakeObjects struct{ mulberrybeam.ObjectClient }

func (fakeObjects) Create(_ context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	object.Version = "1"
	return object, nil
}

func (fakeObjects) Update(_ context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	return object, nil
}

func (fakeObjects) Delete(context.Context, mulberrybeam.Object) error { return nil }

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
