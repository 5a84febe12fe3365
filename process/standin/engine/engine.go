package engine

import (
	"context"
	"maps"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// Engine is a fake model engine that serves streamed completions over HTTP.
type Engine struct {
	fixture.FaultControl[Faults]
	fixture.Counters
	settings Settings
	listener *fixture.Listener
	client   *http.Client

	mu             sync.Mutex
	instance       *instance
	highestFencing uint64
	runs           map[string]int
	closed         bool
}

// New starts an engine and returns a function that stops it.
func New(options ...Option) (*Engine, func(), error) {
	settings := defaults()
	for _, option := range options {
		option(&settings)
	}
	e := &Engine{settings: settings, runs: map[string]int{}}
	client, closeClient := encoder.NewClient(time.Second)
	e.client = client
	e.startInstance()
	listener, closeListener, err := fixture.Listen(settings.Address, e.handler())
	if err != nil {
		closeClient()
		return nil, nil, err
	}
	e.mu.Lock()
	e.listener = listener
	e.mu.Unlock()
	return e, func() {
		e.mu.Lock()
		e.closed = true
		e.endInstance()
		e.mu.Unlock()
		closeListener()
		closeClient()
	}, nil
}

// Address returns the listen address as "ip:port".
func (e *Engine) Address() string { return e.listener.Address() }

// Instance returns the ID of the current instance.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.id
}

// Cold reports whether the current instance is still cold.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.cold
}

// TurnCold makes a warm engine cold again without restarting it.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance.cold = true
	e.instance.completed = 0
	e.instance.started = time.Now()
}

// SetLeaving sets whether load reports say that the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance.leaving = leaving
}

// Runs returns how many times a request ID was accepted for execution.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Crash ends the current instance and closes all its connections. The engine
// restarts automatically if Settings.RestartAfter is set.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash("crashes")
}

// crash counts a crash under the given counter and ends the current instance.
// The caller must hold e.mu.
func (e *Engine) crash(reason string) {
	if e.closed || e.instance.ctx.Err() != nil {
		return
	}
	e.Add(reason)
	if reason != "crashes" {
		e.Add("crashes")
	}
	e.endInstance()
	e.listener.Drop()
	if e.settings.RestartAfter > 0 {
		time.AfterFunc(e.settings.RestartAfter, func() { _ = e.Restart() })
	}
}

// endInstance stops the current instance and ends all its runs. The caller must
// hold e.mu.
func (e *Engine) endInstance() {
	e.instance.stop()
	for _, r := range append(e.instance.waiting, e.instance.running...) {
		r.finish()
	}
	e.instance.waiting, e.instance.running = nil, nil
}

// Restart ends the current instance and starts a new one with an empty cache.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil
	}
	e.endInstance()
	e.listener.Drop()
	e.startInstance()
	e.mu.Unlock()
	e.Add("restarts")
	return e.listener.Reopen()
}

// startInstance creates a new instance and starts its batch loop. The caller
// must hold e.mu, except in New.
func (e *Engine) startInstance() {
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{
		id: uuid.NewString(), ctx: ctx, stop: stop, started: time.Now(),
		cold: e.settings.StartCold, versions: maps.Clone(e.settings.Versions),
		cache: newPrefixCache(e.settings.CacheBlocks, e.settings.EventGap),
		wake:  make(chan struct{}, 1),
	}
	i.recordLoad()
	e.instance = i
	go e.runBatches(i)
}

// runBatches runs the batch of an instance step by step until the instance
// ends.
func (e *Engine) runBatches(i *instance) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		e.admit(i)
		duration := i.runStep(e.settings)
		e.mu.Unlock()
		if duration == 0 {
			select {
			case <-i.ctx.Done():
				return
			case <-i.wake:
			}
			continue
		}
		timer.Reset(duration)
		select {
		case <-i.ctx.Done():
			return
		case <-timer.C:
		}
		e.mu.Lock()
		e.finishStep(i)
		e.mu.Unlock()
	}
}

// admit fills the batch from the queue and looks up the cached prefix of each
// admitted run. A prompt that contains CrashMark crashes the engine. The caller
// must hold e.mu.
func (e *Engine) admit(i *instance) {
	mark := e.Faults().CrashMark
	for _, r := range i.admit(e.settings.MaxRunning) {
		cached, hits := i.cache.lookup(r.salt, r.keys)
		for _, hit := range hits {
			if hit.version != "" && r.version != "" && hit.version != r.version {
				e.Add("wrong-version-hits")
			}
		}
		r.cached = min(cached*BlockTokens, r.promptTokens)
		r.uncomputed = max(r.promptTokens-r.cached, 1)
		e.AddN("cached-tokens", r.cached)
		e.AddN("computed-tokens", r.uncomputed)
		e.Raise("max-running", len(i.running))
		if mark != "" && strings.Contains(r.body, mark) {
			r.uncomputed = math.MaxInt
			go e.crashAfterHeaders(i, r)
		}
	}
}

// crashAfterHeaders crashes an instance after the response headers of a run
// were sent, so that the caller always sees a broken stream and never a request
// without a response.
func (e *Engine) crashAfterHeaders(i *instance, r *run) {
	select {
	case <-r.headersSent:
	case <-i.ctx.Done():
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance == i {
		e.crash("marked-crashes")
	}
}

// finishStep emits the tokens of a step, removes the completed runs and turns
// the instance warm once it meets the conditions. The caller must hold e.mu.
func (e *Engine) finishStep(i *instance) {
	if i.ctx.Err() != nil {
		return
	}
	for _, r := range i.emitTokens(time.Now()) {
		i.remove(r)
		i.completed++
		e.Add("completed")
	}
	if i.cold && i.completed >= e.settings.WarmRequests && time.Since(i.started) >= e.settings.WarmTime {
		i.cold = false
		e.Add("warmed")
	}
}
