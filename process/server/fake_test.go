package server_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/intentencoder"
	"mulberrybeam/process/server"
	"mulberrybeam/request/forwarder"
	"mulberrybeam/request/keyer"
)

// fakeEngine is an engine that answers with the texts that a test sends on its
// channel. Closing the channel completes the answer.
type fakeEngine struct {
	mulberrybeam.EngineClient
	texts chan string
	runs  atomic.Int64
	ended chan error // receives the context's error at the end of each run
}

func (e *fakeEngine) Generate(ctx context.Context, call mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) {
	e.runs.Add(1)
	return &fakeStream{engine: e, ctx: ctx, request: call.Request.ID}, nil
}

func (e *fakeEngine) Cancel(context.Context, mulberrybeam.Target, mulberrybeam.RequestID) error {
	return nil
}

type fakeStream struct {
	engine  *fakeEngine
	ctx     context.Context
	request mulberrybeam.RequestID
	last    uint64
}

func (s *fakeStream) Instance() mulberrybeam.InstanceID         { return "i" }
func (s *fakeStream) WeightVersion() mulberrybeam.WeightVersion { return "v1" }
func (s *fakeStream) Close() error                              { s.engine.ended <- s.ctx.Err(); return nil }

func (s *fakeStream) Next() (mulberrybeam.Token, error) {
	select {
	case text, open := <-s.engine.texts:
		s.last++
		return mulberrybeam.Token{Request: s.request, Sequence: s.last, Text: text, End: !open, FinishReason: "stop"}, nil
	case <-s.ctx.Done():
		return mulberrybeam.Token{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeCancelled, Step: mulberrybeam.StepAnswer}
	}
}

// unavailableObjects is an object API that is unavailable.
type unavailableObjects struct{ mulberrybeam.ObjectClient }

func (unavailableObjects) Create(context.Context, mulberrybeam.Object) (mulberrybeam.Object, error) {
	return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown}
}

func (unavailableObjects) Get(context.Context, mulberrybeam.ObjectKind, string) (mulberrybeam.Object, error) {
	return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown}
}

// singleTarget is a routing policy that picks target "e" for the first attempt of
// a request, or no target if noTarget is set.
type singleTarget struct{ noTarget atomic.Bool }

func (p *singleTarget) Pick(_ mulberrybeam.Turn, _ mulberrybeam.RouteView, query mulberrybeam.RouteQuery) (mulberrybeam.Route, error) {
	if p.noTarget.Load() || len(query.Tried) > 0 {
		return mulberrybeam.Route{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeNoTarget, Step: mulberrybeam.StepRoute, NotRun: true}
	}
	return mulberrybeam.Route{Target: "e"}, nil
}

// testServer is a running server with a fake engine.
type testServer struct {
	*server.Server
	t        *testing.T
	address  string
	engine   *fakeEngine
	policy   *singleTarget
	snapshot atomic.Pointer[mulberrybeam.Snapshot]
	stop     func(context.Context) error
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newSnapshot(self mulberrybeam.ProcessID) *mulberrybeam.Snapshot {
	return &mulberrybeam.Snapshot{
		Self: self, Ready: true, Shares: map[mulberrybeam.WorkspaceName]float64{"w": 1, "x": 1, "y": 1},
		Targets: map[mulberrybeam.TargetID]mulberrybeam.TargetState{"e": {Phase: mulberrybeam.PhaseWarm, Instance: "i"}},
		Tables: &mulberrybeam.Tables{
			Environment: &mulberrybeam.Environment{Limits: mulberrybeam.Limits{
				QueueLength: 9, QueueTimeout: 50 * time.Millisecond, RequestTimeout: time.Minute, IdempotencyRetention: time.Hour,
			}},
			Targets:            map[mulberrybeam.TargetID]mulberrybeam.Target{"e": {ID: "e", WarmLimit: 8}},
			EnginesByModel:     map[mulberrybeam.ModelName][]mulberrybeam.TargetID{"m": {"e"}},
			Models:             map[mulberrybeam.ModelName]mulberrybeam.Model{"m": {Name: "m", Version: "v1", MaxTokens: 100}},
			Calls:              map[mulberrybeam.ServiceName]map[string]mulberrybeam.ServiceCall{"orders": {"place": {Name: "place"}}},
			Workspaces:         map[mulberrybeam.WorkspaceName]mulberrybeam.Workspace{"w": {Name: "w", Weight: 1}, "x": {Name: "x", Weight: 1, MaxInFlight: 1}, "y": {Name: "y", Weight: 1, RequestsPerSecond: 0.01}},
			WorkspaceByKeyHash: map[string]mulberrybeam.WorkspaceName{hashOf("secret"): "w", hashOf("other"): "x", hashOf("rare"): "y"},
		},
	}
}

func startServer(t *testing.T, self mulberrybeam.ProcessID, options ...server.Option) *testServer {
	t.Helper()
	return startServerWith(t, self, nil, options...)
}

// startServerWith starts a server whose forwarder gets additional options, which
// override the defaults.
func startServerWith(t *testing.T, self mulberrybeam.ProcessID, dependencies []forwarder.Option, options ...server.Option) *testServer {
	t.Helper()
	is := is.New(t)
	e := &testServer{t: t, engine: &fakeEngine{texts: make(chan string), ended: make(chan error, 9)}, policy: &singleTarget{}}
	e.snapshot.Store(newSnapshot(self))
	requestForwarder, stopForwarder := forwarder.New(append([]forwarder.Option{
		forwarder.WithControl(e.snapshot.Load, func(mulberrybeam.Event) {}), forwarder.WithRouting(e.policy, nil),
		forwarder.WithTargets(e.engine, nil, nil), forwarder.WithObjects(unavailableObjects{}, intentencoder.Codec()),
	}, dependencies...)...)
	contextKeyer, err := keyer.New([]byte("sixteen bytes or more"))
	is.NoErr(err)
	e.Server, e.stop, err = server.New(append([]server.Option{
		server.WithSnapshot(e.snapshot.Load), server.WithForwarder(requestForwarder), server.WithKeyer(contextKeyer),
	}, options...)...)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e.address = listener.Addr().String()
	var serving sync.WaitGroup
	serving.Go(func() { _ = e.Serve(listener) })
	t.Cleanup(func() {
		cancelledCtx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = e.stop(cancelledCtx)
		serving.Wait()
		stopForwarder()
	})
	return e
}

const promptBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`

// send sends a request with the API key of workspace "w", or with the given
// header fields, and returns the open response.
func (e *testServer) send(method, path, body string, header ...string) *http.Response {
	e.t.Helper()
	request, err := http.NewRequest(method, "http://"+e.address+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code, Step, Message string
		NotRun              *bool  `json:"not-run"`
		RetryAfterMs        *int64 `json:"retry-after-ms"`
	}
}

func readError(t *testing.T, response *http.Response) errorBody {
	t.Helper()
	var body errorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatalf("status %d without an error in JSON: %v", response.StatusCode, err)
	}
	return body
}

// eventReader reads the server-sent events of a stream.
type eventReader struct{ *bufio.Reader }

func newEventReader(response *http.Response) eventReader {
	return eventReader{bufio.NewReader(response.Body)}
}

// next returns the id and the text of the next event. The text is "[DONE]" for
// the end of the answer, "error" for an error and "EOF" if the connection ended.
func (e eventReader) next(t *testing.T) (id, text string) {
	t.Helper()
	for {
		line, err := e.ReadString('\n')
		if err == io.EOF {
			return id, "EOF"
		}
		if err != nil {
			t.Fatal(err)
		}
		line = strings.TrimSuffix(line, "\n")
		if line == "" {
			return id, text
		}
		if rest, found := strings.CutPrefix(line, "id: "); found {
			id = rest
		}
		data, found := strings.CutPrefix(line, "data: ")
		var chunk struct {
			Error   any
			Choices []struct{ Delta struct{ Content string } }
		}
		switch {
		case !found:
		case data == "[DONE]":
			text = data
		case json.Unmarshal([]byte(data), &chunk) != nil:
			t.Fatalf("event %q is not JSON", data)
		case chunk.Error != nil:
			text = "error"
		default:
			text = chunk.Choices[0].Delta.Content
		}
	}
}
