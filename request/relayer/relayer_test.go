package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/carrier"
	"mulberrybeam/platform"
	"mulberrybeam/process/gauger"
	"mulberrybeam/request/relayer"
)

// noStores is a fetcher.Catalog without stores.
type noStores struct{}

func (noStores) Holder(mulberrybeam.PartKey) (string, bool) { return "", false }
func (noStores) Writable(string, int) bool                  { return false }
func (noStores) Claim(mulberrybeam.PartKey) bool            { return false }
func (noStores) Clock() (mulberrybeam.EngineClock, bool)    { return 0, false }

// discard is a Recorder that drops all entries.
type discard struct{}

func (discard) Record(mulberrybeam.Entry) {}

// bench is a Relayer with HTTP test servers as targets.
type bench struct {
	t       *testing.T
	url     string
	fleet   atomic.Pointer[mulberrybeam.Fleet]
	mutex   sync.Mutex
	arrived []*http.Request
	crashes chan mulberrybeam.TargetCrashed
}

// newBench starts a Relayer and one target per handler. The first target is
// preferred because it is in the Relayer's zone.
func newBench(t *testing.T, rule mulberrybeam.Rule, handlers ...http.HandlerFunc) *bench {
	b := &bench{t: t, crashes: make(chan mulberrybeam.TargetCrashed, 10)}
	rule.Host, rule.Prefix = "h", "/"
	rule.Shares = []mulberrybeam.Share{{Service: "s", Weight: 1}}
	fleet := &mulberrybeam.Fleet{
		Complete: true,
		Deployment: &mulberrybeam.Deployment{
			Workspaces: []mulberrybeam.Tenancy{{Name: "w", Keys: []string{"k"}}},
			Pools:      map[mulberrybeam.ServiceName]mulberrybeam.Pool{"s": {}},
		},
		Hosts:      map[string][]*mulberrybeam.Rule{"h": {&rule}},
		Targets:    map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{},
		EntryHosts: []mulberrybeam.ProcessID{"self"},
	}
	fleet.Keys = map[string]*mulberrybeam.Tenancy{"k": &fleet.Deployment.Workspaces[0]}
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			b.mutex.Lock()
			b.arrived = append(b.arrived, request.Clone(context.Background()))
			b.mutex.Unlock()
			writer.Header().Set("Mulberrybeam-Request-Id", request.Header.Get("Mulberrybeam-Request-Id"))
			handler(writer, request)
		}))
		t.Cleanup(server.Close)
		zone := mulberrybeam.ZoneName(fmt.Sprint("z", i))
		fleet.Targets["s"] = append(fleet.Targets["s"], mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{
			ID: mulberrybeam.InstanceID(fmt.Sprint("t", i)), Service: "s", Zone: zone, Slots: 4,
			Address: strings.TrimPrefix(server.URL, "http://"),
		}})
	}
	b.fleet.Store(fleet)
	b.serve()
	return b
}

func (b *bench) serve() {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	connections, closeIdle := carrier.New(platform.Codec{}, (&net.Dialer{}).DialContext, now)
	settings := &mulberrybeam.HostSettings{ID: "self", Zone: "z0", Bounds: mulberrybeam.HostBounds{VersionWithin: 8 * time.Second}}
	server := httptest.NewServer(&relayer.Relayer{
		Settings: func() *mulberrybeam.HostSettings { return settings },
		Codec:    platform.Codec{}, Sender: connections, Gauger: gauger.New(now), Budgets: gauger.NewBudgets(0.2, 100),
		Catalog: noStores{}, Recorder: discard{}, Fleet: b.fleet.Load, Now: now,
		Post: func(event mulberrybeam.Event) {
			if crash, ok := event.(mulberrybeam.TargetCrashed); ok {
				b.crashes <- crash
			}
		},
		Draining: func() bool { return false },
	})
	b.url = server.URL
	b.t.Cleanup(func() {
		server.Close()
		closeIdle()
	})
}

// answer is the response that the caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) call(change func(http.Header)) answer {
	request, err := http.NewRequest(http.MethodPost, b.url+"/a/b?c=1", strings.NewReader("body"))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Mulberrybeam-Request-Id", "r1")
	request.Header.Set("Api-Key", "k")
	if change != nil {
		change(request.Header)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

func (b *bench) runs() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.arrived)
}

// Handlers that simulate the behavior of targets.
func stamped(body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
		_, _ = io.WriteString(writer, body)
	}
}

func full(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Mulberrybeam-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func failing(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
	writer.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(writer, "failed")
}

func bare(status int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) }
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hangs never responds. It reads the whole body first, because net/http notices
// a closed connection only after that.
func hangs(_ http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	<-request.Context().Done()
}

func truncated(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
	writer.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(writer, "short")
	panic(http.ErrAbortHandler)
}

var (
	safe   = mulberrybeam.Rule{Guarantee: mulberrybeam.GuaranteeRepeatable, MaxAttempts: 2, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond}
	once   = mulberrybeam.Rule{Guarantee: mulberrybeam.GuaranteeOnce, MaxAttempts: 2, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond}
	stream = mulberrybeam.Rule{
		Guarantee: mulberrybeam.GuaranteeRepeatable, Streaming: true, Resumable: true, MaxAttempts: 2,
		Timeout: 3 * time.Second, LatencyGoal: 800 * time.Millisecond,
	}
)

// Guards against non-repeatable requests that run twice, 503 responses to
// requests that may have run, failures reported as success, and requests that
// are abandoned although a retry is allowed.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		rule    mulberrybeam.Rule
		targets []http.HandlerFunc
		status  int
		body    string
		runs    int
	}{
		{"success", once, []http.HandlerFunc{stamped("ok"), stamped("other")}, 200, "ok", 1},
		{"once, refused by the first target", once, []http.HandlerFunc{full, stamped("ok")}, 200, "ok", 2},
		{"once, misdirected to another instance", once, []http.HandlerFunc{bare(421), stamped("ok")}, 200, "ok", 2},
		{"once, connection reset", once, []http.HandlerFunc{reset, stamped("ok")}, 502, "target-failed\n", 1},
		{"once, truncated response", once, []http.HandlerFunc{truncated, stamped("ok")}, 502, "target-failed\n", 1},
		{"once, target returns 500", once, []http.HandlerFunc{failing, stamped("ok")}, 500, "failed", 1},
		{"once, 503 without the not-executed header", once, []http.HandlerFunc{bare(503), stamped("ok")}, 502, "target-failed\n", 1},
		{"once, target hangs", once, []http.HandlerFunc{hangs, stamped("ok")}, 504, "timeout\n", 1},
		{"once, all targets refuse", once, []http.HandlerFunc{full, full}, 503, "", 0},
		{"repeatable, connection reset", safe, []http.HandlerFunc{reset, stamped("ok")}, 200, "ok", 2},
		{"repeatable, truncated response", safe, []http.HandlerFunc{truncated, stamped("ok")}, 200, "ok", 2},
		{"repeatable, target returns 500", safe, []http.HandlerFunc{failing, stamped("ok")}, 200, "ok", 2},
		{"repeatable, all targets return 500", safe, []http.HandlerFunc{failing, failing}, 500, "failed", 2},
		{"repeatable, target hangs", safe, []http.HandlerFunc{hangs, stamped("ok")}, 200, "ok", 2},
		{"repeatable, response without stamp", safe, []http.HandlerFunc{bare(200), bare(200)}, 502, "target-failed\n", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, c.rule, c.targets...)
			begin := time.Now()
			got := b.call(nil)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.True(time.Since(begin) < c.rule.Timeout+250*time.Millisecond)
			if c.runs > 0 {
				is.Equal(got.body, c.body)
				is.Equal(b.runs(), c.runs)
			}
			if c.status == http.StatusServiceUnavailable {
				is.True(got.header.Get("Retry-After") != "")
			}
		})
	}
}

// Guards against a request that is altered on the way to the target, against
// an API key that reaches the target, and against a workspace header of the
// caller that is trusted.
func TestRequestAtTheTarget(t *testing.T) {
	is := is.New(t)
	var body atomic.Value
	b := newBench(t, once, func(writer http.ResponseWriter, request *http.Request) {
		read, _ := io.ReadAll(request.Body)
		body.Store(string(read))
		stamped("ok")(writer, request)
	})
	got := b.call(func(header http.Header) {
		header.Set("Mulberrybeam-Tenant-Id", "other")
		header.Set("Mulberrybeam-Request-Deadline", "500")
		header.Set("X-Own", "1")
	})
	is.Equal(got.status, http.StatusOK)
	request := b.arrived[0]
	is.Equal(request.Method+" "+request.RequestURI+" "+request.Host, "POST /a/b?c=1 h")
	is.Equal(body.Load(), "body")
	is.Equal(request.Header.Get("Api-Key"), "")
	is.Equal(request.Header.Get("Mulberrybeam-Tenant-Id"), "w")
	is.Equal(request.Header.Get("Mulberrybeam-Expect-Instance"), "t0")
	is.Equal(request.Header.Get("X-Own"), "1")
	is.True(request.Header.Get("Mulberrybeam-Request-Deadline") <= "500")
}

// Guards against context stored under the salt of other weights than those that
// computed it. An engine may have loaded new weights unnoticed, so the request
// must state the weight version that its salt contains.
func TestRequestIsTiedToTheWeightsOfItsSalt(t *testing.T) {
	is := is.New(t)
	b := newBench(t, mulberrybeam.Rule{}, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
	})
	fleet := *b.fleet.Load()
	fleet.Targets["s"][0].Versions = map[mulberrybeam.ModelName]int{"m": 1}
	fleet.Weights = map[mulberrybeam.ModelName]mulberrybeam.WeightGoal{"m": {Model: "m", Version: 2}}
	b.fleet.Store(&fleet)
	got := b.call(func(header http.Header) {
		header.Set("Mulberrybeam-Model", "m")
		header.Set("Mulberrybeam-Prompt-Prefix", "p1:10,p2:20")
	})
	is.NoErr(got.err)
	is.Equal(b.runs(), 1)
	is.Equal(b.arrived[0].Header.Get("Mulberrybeam-Cache-Salt"), "1")
	is.Equal(b.arrived[0].Header.Get("Mulberrybeam-Expect-Version"), "1")
	is.Equal(b.arrived[0].Header.Get("Mulberrybeam-Kv-Fetch-From"), "")
}

// Guards against unauthorized or unmatched requests that reach a target.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newBench(t, once, stamped("ok"))
	is.Equal(b.call(func(header http.Header) { header.Set("Api-Key", "x") }).status, http.StatusUnauthorized)
	fleet := *b.fleet.Load()
	fleet.Hosts = nil
	b.fleet.Store(&fleet)
	is.Equal(b.call(nil).status, http.StatusNotFound)
	b.fleet.Store(nil)
	is.Equal(b.call(nil).status, http.StatusServiceUnavailable)
	is.Equal(b.runs(), 0)
}

// Guards against a request that crashes one target after another. The crash must
// be reported, and the request refused once its crash count reaches the limit.
func TestRequestsThatCrashTargets(t *testing.T) {
	is := is.New(t)
	b := newBench(t, once, reset)
	target := b.fleet.Load().Targets["s"][0]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// Like a crashed process, stop listening and close the connection.
		_ = listener.Close()
		_ = conn.Close()
	}()
	target.Address = listener.Addr().String()
	fleet := *b.fleet.Load()
	fleet.Targets = map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": {target}}
	b.fleet.Store(&fleet)
	is.Equal(b.call(nil).status, http.StatusBadGateway)
	crash := <-b.crashes
	is.Equal(crash.Crash.Target, target.ID)
	fleet.Crashes = map[mulberrybeam.Fingerprint]int{crash.Crash.Fingerprint: 2}
	b.fleet.Store(&fleet)
	is.Equal(b.call(nil).status, http.StatusServiceUnavailable)
	is.Equal(b.runs(), 0)
}

// Guards against a target that keeps working after the caller disconnected.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	b := newBench(t, once, func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Api-Key", "k")
	if _, err := http.DefaultClient.Do(request); err == nil {
		t.Fatal("the caller got a response")
	}
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target is still running the request")
	}
}
