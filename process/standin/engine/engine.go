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

// Engine is a fake model engine.
type Engine struct {
	fixture.Control[Faults]
	fixture.Counters
	settings Settings
	listener *fixture.Listener
	client   *http.Client

	mu       sync.Mutex
	instance *instance
	fencing  uint64
	runs     map[string]int
	closed   bool
}

// New starts an engine and returns its clean-up function.
func New(options ...Option) (*Engine, func(), error) {
	settings := defaults()
	for _, option := range options {
		option(&settings)
	}
	e := &Engine{settings: settings, runs: map[string]int{}}
	client, closeClient := encoder.NewClient(time.Second)
	e.client = client
	e.start()
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

// Address returns "ip:port".
func (e *Engine) Address() string { return e.listener.Address() }

// Instance returns the current instance id.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.id
}

// Cold reports whether the engine is cold.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.cold
}

// TurnCold makes a warm engine cold again without a restart.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance.cold = true
	e.instance.whole = 0
	e.instance.started = time.Now()
}

// SetLeaving makes the engine report that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance.leaving = leaving
}

// Runs returns how often a request id was started.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Crash ends the instance and all its connections at once. The engine
// restarts by itself when the settings say so.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash("crashes")
}

// crash is called with the lock held.
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

// endInstance is called with the lock held.
func (e *Engine) endInstance() {
	e.instance.stop()
	for _, r := range append(e.instance.waiting, e.instance.running...) {
		r.end()
	}
	e.instance.waiting, e.instance.running = nil, nil
}

// Restart starts a new instance with an empty cache, after ending the current
// one.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil
	}
	e.endInstance()
	e.listener.Drop()
	e.start()
	e.mu.Unlock()
	e.Add("restarts")
	return e.listener.Reopen()
}

// start is called with the lock held, but in New.
func (e *Engine) start() {
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{
		id: uuid.NewString(), ctx: ctx, stop: stop, started: time.Now(),
		cold: e.settings.StartCold, versions: maps.Clone(e.settings.Versions),
		cache: newPrefixCache(e.settings.CacheBlocks, e.settings.EventGap),
		wake:  make(chan struct{}, 1),
	}
	i.sample()
	e.instance = i
	go e.work(i)
}

// work computes the batch step by step until the instance ends.
func (e *Engine) work(i *instance) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		e.admit(i)
		duration := i.step(e.settings)
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
		e.finish(i)
		e.mu.Unlock()
	}
}

// admit fills the batch, with the lock held, and crashes on a marked prompt.
func (e *Engine) admit(i *instance) {
	mark := e.Faults().CrashMark
	for _, r := range i.admit(e.settings.MaxRunning) {
		cached, hits := i.cache.lookup(r.salt, r.keys)
		for _, hit := range hits {
			if hit.version != "" && r.version != "" && hit.version != r.version {
				e.Add("wrong-version-hits")
			}
		}
		r.cached = min(cached*BlockTokens, r.tokens)
		r.left = max(r.tokens-r.cached, 1)
		e.AddN("cached-tokens", r.cached)
		e.AddN("computed-tokens", r.left)
		e.Raise("max-running", len(i.running))
		if mark != "" && strings.Contains(r.body, mark) {
			r.left = math.MaxInt
			go e.crashOnceOpen(i, r)
		}
	}
}

// crashOnceOpen crashes an instance after the headers of a run were sent, so
// that the caller always sees a broken stream and not a missing answer.
func (e *Engine) crashOnceOpen(i *instance, r *run) {
	select {
	case <-r.opened:
	case <-i.ctx.Done():
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance == i {
		e.crash("marked-crashes")
	}
}

// finish ends a step, with the lock held.
func (e *Engine) finish(i *instance) {
	if i.ctx.Err() != nil {
		return
	}
	for _, r := range i.emit(time.Now()) {
		i.remove(r)
		i.whole++
		e.Add("completed")
	}
	if i.cold && i.whole >= e.settings.WarmRequests && time.Since(i.started) >= e.settings.WarmTime {
		i.cold = false
		e.Add("warmed")
	}
}
