package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// maxBodyBytes is the maximum size of a request body. It allows for the base64
// encoding and the metadata of the largest object.
const maxBodyBytes = 2 * encoder.MaxObjectBytes

// Platform is a fake of the platform's object API.
type Platform struct {
	fixture.FaultControl[Faults]
	fixture.Counters
	settings Settings
	listener *fixture.Listener

	mu      sync.Mutex
	content content
	// changed is closed and replaced after each change and by BreakWatches.
	changed chan struct{}
	// watchGeneration is increased to end all current watches.
	watchGeneration int
	reads           rateMeter
	writes          rateMeter
}

// New starts a platform and returns a function that stops it.
func New(options ...Option) (*Platform, func(), error) {
	settings := Settings{History: 1000}
	for _, option := range options {
		option(&settings)
	}
	p := &Platform{
		settings: settings, changed: make(chan struct{}),
		content: content{historyLimit: settings.History, objects: map[collection]map[string]encoder.ObjectBody{}},
		reads:   rateMeter{rate: settings.ReadRate, tokens: settings.ReadRate},
		writes:  rateMeter{rate: settings.WriteRate, tokens: settings.WriteRate},
	}
	listener, closeListener, err := fixture.Listen(settings.Address, p.handler())
	if err != nil {
		return nil, nil, err
	}
	p.listener = listener
	return p, closeListener, nil
}

// Address returns the listen address as "ip:port".
func (p *Platform) Address() string { return p.listener.Address() }

// Crash closes the listener and all connections immediately. Objects are kept.
func (p *Platform) Crash() {
	p.Add("crashes")
	p.listener.Drop()
}

// Restart reopens a crashed platform.
func (p *Platform) Restart() error {
	p.listener.Drop()
	return p.listener.Reopen()
}

// Calls returns the number of calls received for a verb (get, list, watch,
// create, update or delete) and a kind.
func (p *Platform) Calls(verb, kind string) int { return p.Count(verb + " " + kind) }

// Peak returns the highest numbers of reads and of writes received within one
// second.
func (p *Platform) Peak() (int, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads.peak, p.writes.peak
}

// Compact discards the history, so that watches from older versions expire.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.content.compact(len(p.content.history))
}

// BreakWatches closes the connections of all watches.
func (p *Platform) BreakWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchGeneration++
	p.wakeWatches()
}

// wakeWatches wakes all watches. The caller must hold p.mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) handler() http.Handler {
	const base = "/apis/mulberrybeam.io/v1/namespaces/{namespace}/{kind}"
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+base, p.write("create", p.create))
	mux.HandleFunc("PUT "+base+"/{name}", p.write("update", p.update))
	mux.HandleFunc("DELETE "+base+"/{name}", p.write("delete", p.remove))
	mux.HandleFunc("GET "+base+"/{name}", p.get)
	mux.HandleFunc("GET "+base, p.listOrWatch)
	fixture.Mount(mux, &p.FaultControl, &p.Counters)
	return mux
}

func collectionOf(r *http.Request) collection {
	return collection{namespace: r.PathValue("namespace"), kind: r.PathValue("kind")}
}

// beforeCall counts a call and injects the faults that take effect before a
// call runs. It reports whether the call should run.
func (p *Platform) beforeCall(w http.ResponseWriter, r *http.Request, verb string, limiter *rateMeter) bool {
	faults := p.Faults()
	if slices.Contains(faults.CutRequests, r.UserAgent()) {
		p.Add("cut-requests")
		hang(r)
	}
	p.Add(verb + " " + r.PathValue("kind"))
	p.mu.Lock()
	allowed := limiter.allow(time.Now())
	p.mu.Unlock()
	if faults.Hang {
		p.Add("hung")
		hang(r)
	}
	if !fixture.Pause(r, faults.Delay) {
		p.Add("abandoned")
		fixture.AbortConnection()
	}
	switch {
	case faults.Down:
		p.Add("down")
		p.writeStatus(w, failure(http.StatusServiceUnavailable, encoder.ReasonServiceUnavailable, "platform is down because of an injected fault"))
	case !allowed || p.TakeFault(func(f *Faults) *int { return &f.LimitNext }):
		p.Add("limited")
		w.Header().Set("Retry-After", "1")
		p.writeStatus(w, failure(http.StatusTooManyRequests, encoder.ReasonTooManyRequests, "rate limit exceeded"))
	default:
		return true
	}
	return false
}

// hang leaves a call unanswered until its caller disconnects.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after the body was read
	<-r.Context().Done()
	fixture.AbortConnection()
}

// beforeResponse injects the faults that take effect after a call ran and
// before its response is sent.
func (p *Platform) beforeResponse(r *http.Request, write bool) {
	if slices.Contains(p.Faults().CutAnswers, r.UserAgent()) {
		p.Add("cut-answers")
		hang(r)
	}
	if write && p.TakeFault(func(f *Faults) *int { return &f.LoseAnswersNext }) {
		p.Add("lost-answers")
		fixture.AbortConnection()
	}
}

func (p *Platform) writeStatus(w http.ResponseWriter, status *encoder.ObjectStatus) {
	fixture.WriteJSON(w, status.Code, status)
}

type writeFunc func(in collection, name string, body []byte) (int, any, *encoder.ObjectStatus)

func (p *Platform) write(verb string, apply writeFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.beforeCall(w, r, verb, &p.writes) {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			fixture.AbortConnection()
		}
		p.mu.Lock()
		code, answer, status := apply(collectionOf(r), r.PathValue("name"), body)
		if status == nil {
			p.wakeWatches()
		}
		p.mu.Unlock()
		p.beforeResponse(r, true)
		if status != nil {
			p.Add(status.Reason)
			p.writeStatus(w, status)
			return
		}
		fixture.WriteJSON(w, code, answer)
	}
}

func decodeObject(body []byte) (encoder.ObjectBody, *encoder.ObjectStatus) {
	var object encoder.ObjectBody
	if err := json.Unmarshal(body, &object); err != nil {
		if len(body) == maxBodyBytes {
			return object, failure(http.StatusRequestEntityTooLarge, encoder.ReasonRequestEntityTooLarge, "body is too large")
		}
		return object, failure(http.StatusBadRequest, encoder.ReasonBadRequest, err.Error())
	}
	if len(object.Data) > encoder.MaxObjectBytes {
		return object, failure(http.StatusRequestEntityTooLarge, encoder.ReasonRequestEntityTooLarge, "data exceeds 1 MB")
	}
	return object, nil
}

func (p *Platform) create(in collection, _ string, body []byte) (int, any, *encoder.ObjectStatus) {
	object, status := decodeObject(body)
	if status == nil {
		object, status = p.content.create(in, object)
	}
	return http.StatusCreated, object, status
}

func (p *Platform) update(in collection, name string, body []byte) (int, any, *encoder.ObjectStatus) {
	object, status := decodeObject(body)
	if status == nil && object.Metadata.Name != name {
		status = failure(http.StatusBadRequest, encoder.ReasonBadRequest, "name does not match the path")
	}
	if status == nil {
		object, status = p.content.update(in, object)
	}
	return http.StatusOK, object, status
}

func (p *Platform) remove(in collection, name string, body []byte) (int, any, *encoder.ObjectStatus) {
	var options encoder.DeleteOptions
	if len(body) > 0 {
		if err := json.Unmarshal(body, &options); err != nil {
			return 0, nil, failure(http.StatusBadRequest, encoder.ReasonBadRequest, err.Error())
		}
	}
	version := ""
	if options.Preconditions != nil {
		version = options.Preconditions.ResourceVersion
	}
	status := p.content.remove(in, name, version)
	return http.StatusOK, encoder.ObjectStatus{APIVersion: "v1", Kind: "Status", Status: encoder.StatusSucceeded}, status
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.beforeCall(w, r, "get", &p.reads) {
		return
	}
	p.mu.Lock()
	object, status := p.content.get(collectionOf(r), r.PathValue("name"))
	p.mu.Unlock()
	p.beforeResponse(r, false)
	if status != nil {
		p.writeStatus(w, status)
		return
	}
	fixture.WriteJSON(w, http.StatusOK, object)
}

func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if watch := r.URL.Query().Get("watch"); watch == "1" || watch == "true" {
		if p.beforeCall(w, r, "watch", &p.reads) {
			p.watch(w, r)
		}
		return
	}
	if !p.beforeCall(w, r, "list", &p.reads) {
		return
	}
	p.mu.Lock()
	list := encoder.ObjectList{
		APIVersion: encoder.ObjectGroup, Kind: "List", Items: p.content.list(collectionOf(r)),
		Metadata: encoder.ObjectMetadata{ResourceVersion: strconv.FormatUint(p.content.version, 10)},
	}
	p.mu.Unlock()
	p.beforeResponse(r, false)
	fixture.WriteJSON(w, http.StatusOK, list)
}
