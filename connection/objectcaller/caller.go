// Package objectcaller is the only client of the platform's object API. It
// keeps all calls of the process within the call budget of package pacer. A
// Caller lives as long as its connection pool.
package objectcaller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/connection/pacer"
	"mulberrybeam/connection/pauser"
)

// peer is the name of the platform in failures.
const peer = "platform"

// Settings configure a Caller.
type Settings struct {
	// UserAgent identifies the caller to the platform, as the User-Agent header.
	UserAgent string
	// DialTimeout limits connecting, CallTimeout any call other than a
	// watch.
	DialTimeout time.Duration
	CallTimeout time.Duration
	// MaxWait limits the wait for the call budget.
	MaxWait time.Duration
	Pacer   pacer.Settings
	Random  *rand.Rand
}

// CallKey identifies the calls of one verb and kind.
type CallKey struct {
	Op   mulberrybeam.ObjectOp
	Kind mulberrybeam.ObjectKind
}

// CallCounts holds the numbers of calls of one verb and kind. Refused calls were not
// sent.
type CallCounts struct {
	Sent      int
	Succeeded int
	Failed    int
	Limited   int
	Refused   int
	// Pending is the number of calls in flight, including open watches.
	Pending int
}

// Caller implements mulberrybeam.ObjectClient.
type Caller struct {
	settings Settings
	client   *http.Client
	baseURL  string
	// environment is the namespace of the objects.
	environment string
	start       time.Time

	mu     sync.Mutex
	pacer  *pacer.Pacer
	counts map[CallKey]CallCounts
}

// Option changes the settings of a Caller.
type Option func(*Settings)

// WithUserAgent sets the name that identifies the caller to the platform.
func WithUserAgent(name string) Option {
	return func(s *Settings) { s.UserAgent = name }
}

// WithCallTimeout sets the timeout of calls other than watches.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *Settings) { s.CallTimeout = timeout }
}

// WithMaxWait sets the maximum wait for the call budget.
func WithMaxWait(wait time.Duration) Option {
	return func(s *Settings) { s.MaxWait = wait }
}

// WithPacer changes the settings of the call budget, circuit breaker and
// backoff.
func WithPacer(change func(*pacer.Settings)) Option {
	return func(s *Settings) { change(&s.Pacer) }
}

// WithRandom sets the random source for the backoff's jitter and the initial
// call budget.
func WithRandom(random *rand.Rand) Option {
	return func(s *Settings) { s.Random = random }
}

// New returns a Caller for the object API at a base URL such as
// "http://ip:port", and a function that closes its idle connections.
func New(base string, environment mulberrybeam.EnvironmentName, options ...Option) (*Caller, func()) {
	settings := Settings{
		UserAgent: "mulberrybeam", DialTimeout: time.Second, CallTimeout: 2 * time.Second,
		MaxWait: 2 * time.Second, Pacer: pacer.DefaultSettings(),
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(&settings)
	}
	client, closeClient := encoder.NewClient(settings.DialTimeout)
	return &Caller{
		settings: settings, client: client, baseURL: base, environment: string(environment),
		start: time.Now(), pacer: pacer.New(0, settings.Random, settings.Pacer), counts: map[CallKey]CallCounts{},
	}, closeClient
}

// SetBudget sets the platform's rates in calls per second for all hosts
// together, and the number of live hosts that share them.
func (c *Caller) SetBudget(readRate, writeRate float64, hosts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pacer.SetRates(c.now(), readRate, writeRate, hosts)
}

// Counts returns the numbers of calls by verb and kind.
func (c *Caller) Counts() map[CallKey]CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[CallKey]CallCounts, len(c.counts))
	for key, tally := range c.counts {
		counts[key] = tally
	}
	return counts
}

// BreakerOpen reports whether the circuit breaker is open.
func (c *Caller) BreakerOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pacer.IsOpen()
}

func (c *Caller) now() time.Duration { return time.Since(c.start) }

// classOf returns the priority of a call.
func classOf(key CallKey) pacer.Class {
	switch {
	case key.Kind == mulberrybeam.ObjectSlot || key.Kind == mulberrybeam.ObjectIntent:
		return pacer.ClassUrgent
	case key.Op == mulberrybeam.OpGet || key.Op == mulberrybeam.OpList:
		return pacer.ClassPoll
	}
	return pacer.ClassNormal
}

func isWrite(op mulberrybeam.ObjectOp) bool {
	return op == mulberrybeam.OpCreate || op == mulberrybeam.OpUpdate || op == mulberrybeam.OpDelete
}

// admit waits until the call budget allows a call. If it returns an error, the
// call must not be sent.
func (c *Caller) admit(ctx context.Context, key CallKey) (pacer.Decision, error) {
	request := pacer.Call{Write: isWrite(key.Op), Class: classOf(key)}
	latest := c.now() + c.settings.MaxWait
	if deadline, found := ctx.Deadline(); found {
		latest = min(latest, deadline.Sub(c.start))
	}
	for {
		c.mu.Lock()
		now := c.now()
		verdict := c.pacer.Decide(now, request)
		if verdict.Action == pacer.Send {
			c.updateTally(key, func(t *CallCounts) { t.Sent++; t.Pending++ })
		}
		c.mu.Unlock()
		switch {
		case verdict.Action == pacer.Send:
			return verdict, nil
		case verdict.Action == pacer.Reject:
			return verdict, c.refuse(key, mulberrybeam.CodePlatformDown, "circuit breaker is open", verdict.Wait)
		case now+verdict.Wait > latest:
			return verdict, c.refuse(key, mulberrybeam.CodePlatformBudget, "call budget exhausted", verdict.Wait)
		}
		if !pauser.Pause(ctx, verdict.Wait) {
			return verdict, c.refuse(key, mulberrybeam.CodePlatformBudget, "context ended while waiting for the call budget", 0)
		}
	}
}

// refuse counts a refused call and returns its failure.
func (c *Caller) refuse(key CallKey, code mulberrybeam.Code, message string, wait time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTally(key, func(t *CallCounts) { t.Refused++ })
	return &mulberrybeam.Failure{
		Code: code, Step: mulberrybeam.StepPlatform, Peer: peer, Message: message,
		NotRun: true, RetryAfter: wait,
	}
}

// updateTally changes the tally of a verb and kind. The lock must be held.
func (c *Caller) updateTally(key CallKey, change func(*CallCounts)) {
	tally := c.counts[key]
	change(&tally)
	c.counts[key] = tally
}

// reportOutcome reports the outcome of a call to the pacer and counts it. The
// outcome of a watch is reported when it opens; the watch stays pending until
// it ends.
func (c *Caller) reportOutcome(key CallKey, verdict pacer.Decision, outcome pacer.Outcome, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pacer.RecordOutcome(c.now(), c.settings.Random, verdict, outcome, retryAfter)
	c.updateTally(key, func(t *CallCounts) {
		switch outcome {
		case pacer.Succeeded:
			t.Succeeded++
		case pacer.RateLimited:
			t.Limited++
		case pacer.Failed:
			t.Failed++
		}
	})
}

// decrementPending marks a call as no longer pending.
func (c *Caller) decrementPending(key CallKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTally(key, func(t *CallCounts) { t.Pending-- })
}
