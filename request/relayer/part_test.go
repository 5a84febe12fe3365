package relayer_test

import (
	"fmt"
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
	"mulberrybeam/platform"
	"mulberrybeam/process/parttracker"
	"mulberrybeam/process/tracker"
	"mulberrybeam/request/quarantiner"
)

// controlLoop passes events to the state machines of one host, and publishes the
// fleet that results.
type controlLoop struct {
	mutex    sync.Mutex
	machines []mulberrybeam.StateMachine
	publish  func(*mulberrybeam.Fleet)
	start    time.Time
}

func (c *controlLoop) post(event mulberrybeam.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot := &mulberrybeam.Snapshot{}
	for _, machine := range c.machines {
		machine.Step(mulberrybeam.Turn{Now: time.Since(c.start)}, event)
		machine.FillSnapshot(snapshot)
	}
	c.publish(snapshot.Fleet)
	// The record of a crash comes back from the store.
	if crash, ok := event.(mulberrybeam.TargetCrashed); ok {
		object := platform.Encoder{}.Crash(crash.Crash)
		record, _ := platform.Decoder{}.Decode(object)
		go c.post(mulberrybeam.RecordChanged{Kind: object.Kind, Name: object.Name, Record: record})
	}
}

// engine is a target that crashes when it begins the answer to a prompt with the
// deadly part, and refuses connections until it is started again.
type engine struct {
	t       *testing.T
	server  *http.Server
	address string
	deadly  *atomic.Int32
}

const deadlyPart = "deadly"

func (e *engine) start() {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		e.t.Error(err)
		return
	}
	if e.server == nil {
		e.address = listener.Addr().String()
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Mulberrybeam-Request-Id", request.Header.Get("Mulberrybeam-Request-Id"))
		if strings.Contains(request.Header.Get("Mulberrybeam-Prompt-Prefix"), deadlyPart) {
			e.deadly.Add(1)
			_ = listener.Close()
			_ = server.Close()
			return
		}
		respondsStamped("ok")(writer, request)
	})
	e.server = server
	go func() { _ = server.Serve(listener) }()
}

// Guards against a prompt part that crashes one engine after another in requests
// that are otherwise different, and against the loss of requests that share only
// sound parts with them.
func TestPartThatCrashesEnginesIsStopped(t *testing.T) {
	is := is.New(t)
	var deadly atomic.Int32
	h := newHarness(t, repeatableRule)
	fleet := h.fleet.Load()
	engines := make([]*engine, 3)
	for i := range engines {
		engines[i] = &engine{t: t, address: "127.0.0.1:0", deadly: &deadly}
		engines[i].start()
		defer func() { _ = engines[i].server.Close() }()
	}
	var run atomic.Int32
	loop := &controlLoop{start: h.start, machines: []mulberrybeam.StateMachine{tracker.New("self", nil), parttracker.New()}}
	loop.publish = func(published *mulberrybeam.Fleet) {
		next := *published
		next.Complete, next.Deployment, next.Hosts, next.Keys = true, fleet.Deployment, fleet.Hosts, fleet.Keys
		next.Targets = targets(engines, int(run.Load()))
		h.fleet.Store(&next)
	}
	loop.post(mulberrybeam.Tick{})
	h.control.Store(loop)
	sound := 0
	for range 10 {
		h.prompt(deadlyPart)
		time.Sleep(150 * time.Millisecond)
		for _, engine := range engines {
			_ = engine.server.Close()
			engine.start()
		}
		run.Add(1)
		loop.post(mulberrybeam.Tick{})
		if h.prompt("sound") == http.StatusOK {
			sound++
		}
	}
	is.Equal(sound, 10)
	// Three crashes are needed, and a request may run at two targets.
	if runs := deadly.Load(); runs > 6 {
		t.Errorf("requests with the deadly part crashed %d targets", runs)
	}
}

// targets returns the engines as they are registered after a number of restarts.
func targets(engines []*engine, run int) map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget {
	registered := make([]mulberrybeam.FleetTarget, len(engines))
	for i, engine := range engines {
		registered[i] = mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{
			ID: mulberrybeam.InstanceID(fmt.Sprintf("t%d-run%d", i, run)), Service: "s", Zone: "z0", Slots: 4, Address: engine.address,
		}}
	}
	return map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": registered}
}

// prompt sends a request that shares only parts of its prompt with others, and
// returns the status of the response.
func (h *harness) prompt(part string) int {
	h.prompts++
	request, err := http.NewRequest(http.MethodPost, h.url+"/a", strings.NewReader(fmt.Sprint("prompt ", h.prompts)))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Mulberrybeam-Request-Id", fmt.Sprint("r", h.prompts))
	request.Header.Set("Api-Key", "k")
	request.Header.Set("Mulberrybeam-Model", "m")
	request.Header.Set("Mulberrybeam-Prompt-Prefix", fmt.Sprintf("first:10,%s:20,own%d:5", part, h.prompts))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against a prompt with a part that crashes targets which is sent to a
// second target because the first one is silent.
func TestSuspectPartGetsNoStandby(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, patientStreamRule(), func(writer http.ResponseWriter, request *http.Request) {
		fleet := *h.fleet.Load()
		part := quarantiner.SharedParts("m", []mulberrybeam.PromptPart{{ID: deadlyPart}, {ID: "own"}})[0]
		fleet.Suspects = map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{part: {Crashes: quarantiner.ConvictionThreshold}}
		h.fleet.Store(&fleet)
		pausesAfter(2)(writer, request)
	}, resumesStream)
	got := h.call(func(header http.Header) {
		header.Set("Mulberrybeam-Model", "m")
		header.Set("Mulberrybeam-Prompt-Prefix", deadlyPart+":10,own:10")
	})
	is.NoErr(got.err)
	is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "first")
	is.Equal(h.requestCount(), 1)
}

// Guards against a prompt part that is cleared by a response which its crashing
// target may have cut, and against one that is not cleared by a complete one.
func TestResponseThatMayBeCutClearsNoPart(t *testing.T) {
	const eventStream = "text/event-stream"
	onceStream := streamRule
	onceStream.Guarantee, onceStream.Resumable = mulberrybeam.GuaranteeAtMostOnce, false
	cases := []struct {
		name    string
		rule    mulberrybeam.Rule
		target  http.HandlerFunc
		cleared bool
	}{
		{"unframed without events", onceStream, respondsUnframed(eventStream, "", false), false},
		{"unframed with one event", streamRule, respondsUnframed(eventStream, eventText(1), false), false},
		{"unframed, at most once", onceStream, respondsUnframed(eventStream, eventText(1), false), false},
		{"unframed with several events", streamRule, respondsUnframed(eventStream, eventText(4), false), true},
		{"unframed body", repeatableRule, respondsUnframed("text/plain", "x", false), false},
		{"chunked", streamRule, withContentType(eventStream, resumesStream), true},
		{"chunked, at most once", onceStream, withContentType(eventStream, resumesStream), true},
		{"body with a length", repeatableRule, respondsStamped("x"), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, c.rule, c.target)
			got := h.call(func(header http.Header) {
				header.Set("Mulberrybeam-Model", "m")
				header.Set("Mulberrybeam-Prompt-Prefix", deadlyPart+":10,own:10")
			})
			is.NoErr(got.err)
			is.Equal(h.completions.Load() > 0, c.cleared)
		})
	}
}

// Guards against sound parts that are convicted because their answers take long.
func TestLongStreamClearsItsPartsBeforeItEnds(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, patientStreamRule(), func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		writeEvents(writer, 1, 4)
		for range 100 {
			if h.completions.Load() > 0 {
				writeEvents(writer, 5, 6)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	got := h.call(func(header http.Header) {
		header.Set("Mulberrybeam-Model", "m")
		header.Set("Mulberrybeam-Prompt-Prefix", deadlyPart+":10,own:10")
	})
	is.NoErr(got.err)
	is.Equal(eventIDs(got.body), "1 2 3 4 5 6")
	is.Equal(h.completions.Load(), int32(1))
}
