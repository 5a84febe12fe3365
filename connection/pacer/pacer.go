// Package pacer decides when a process may call the object API. It combines a
// token bucket for reads and one for writes with priorities, a circuit breaker
// and backoff. It does no I/O and reads no clock. The client of the platform has
// one Pacer for its lifetime.
package pacer

import (
	"math/rand/v2"
	"time"
)

// Class is the priority class of a call. The zero value has the highest
// priority.
type Class int

// Priority classes, highest first.
const (
	// ClassUrgent is for lease renewals and intents.
	ClassUrgent Class = iota
	// ClassNormal is for configuration changes and watches.
	ClassNormal
	// ClassPoll is for polls, which can be delayed without harm.
	ClassPoll
)

// reservedBurst are the fractions of the burst that each class must leave to the
// classes with higher priority.
var reservedBurst = [...]float64{ClassUrgent: 0, ClassNormal: 0.25, ClassPoll: 0.5}

const (
	// minBurstCalls allows a host with a rate far below 1 call/s two consecutive
	// calls, which a read followed by a conditional update needs.
	minBurstCalls = 2
	// maxBackoffDoublings prevents an overflow when the backoff is doubled.
	maxBackoffDoublings = 16
)

// Settings are the limits of a Pacer.
type Settings struct {
	// ReadRate and WriteRate are the calls per second that the platform allows
	// all hosts together.
	ReadRate  float64
	WriteRate float64
	// Hosts is the number of live hosts that share the rates.
	Hosts int
	// RateFraction is the fraction of the rates that the hosts use.
	RateFraction float64
	// FailureThreshold is the number of consecutive failures after which the breaker
	// opens.
	FailureThreshold int
	// BackoffBase is the maximum delay after the first failure. It doubles
	// with each further one, up to BackoffCap.
	BackoffBase time.Duration
	BackoffCap  time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ReadRate: 2000, WriteRate: 300,
		// Typical deployments have 7 to 9 hosts. SetRates sets the number
		// of live ones.
		Hosts: 9, RateFraction: 0.5, FailureThreshold: 3,
		BackoffBase: 200 * time.Millisecond,
		// With this cap, hosts probe every 5 s on average during an outage.
		// 380 hosts then make 76 calls/s, a quarter of 300 writes/s.
		BackoffCap: 10 * time.Second,
	}
}

// Call describes a call to decide on.
type Call struct {
	Write bool
	Class Class
}

// Action reports whether a call may be sent.
type Action string

// Values of Action.
const (
	// Send allows the call now. Its outcome must be passed to RecordOutcome.
	Send Action = "send"
	// Wait delays the call: ask again after Decision.Wait.
	Wait Action = "wait"
	// Reject rejects the call, because the breaker is open.
	Reject Action = "open"
)

// Decision is the decision on a call.
type Decision struct {
	Action Action
	Wait   time.Duration
	// Probe means that the call tests whether the platform works again while
	// the breaker is open.
	Probe bool
}

// Outcome is how a call ended.
type Outcome string

// Outcomes of calls.
const (
	// Succeeded is any response that shows that the platform works, including
	// conflicts.
	Succeeded Outcome = "succeeded"
	// Failed is a timeout, a broken connection or a 5xx response.
	Failed Outcome = "failed"
	// RateLimited is a 429 response.
	RateLimited Outcome = "limited"
	// Cancelled means that the caller cancelled the call, which says nothing
	// about the platform.
	Cancelled Outcome = "cancelled"
)

// Bucket is a token bucket.
type Bucket struct {
	Rate   float64
	Burst  float64
	Tokens float64
	// RefilledAt is the time of the last refill.
	RefilledAt time.Duration
}

// Pacer has the state on which decisions depend. It is not safe for concurrent
// use.
type Pacer struct {
	Settings Settings
	Reads    Bucket
	Writes   Bucket
	// ConsecutiveFailures and ConsecutiveRateLimits count consecutive outcomes of
	// that kind.
	ConsecutiveFailures   int
	ConsecutiveRateLimits int
	// BlockedUntil is the time before which no call may be sent after a failure or a
	// 429 response.
	BlockedUntil time.Duration
	// Probing is set while a probe is in flight.
	Probing bool
}

// New returns a Pacer whose buckets start with a random fraction of one token,
// so that the first calls of hosts that all start at once are spread over time.
func New(now time.Duration, random *rand.Rand, settings Settings) *Pacer {
	p := &Pacer{Settings: settings, Reads: Bucket{RefilledAt: now}, Writes: Bucket{RefilledAt: now}}
	p.SetRates(now, settings.ReadRate, settings.WriteRate, settings.Hosts)
	p.Reads.Tokens, p.Writes.Tokens = random.Float64(), random.Float64()
	return p
}

// SetRates sets the platform's rates and the number of live hosts.
func (p *Pacer) SetRates(now time.Duration, readRate, writeRate float64, hosts int) {
	hosts = max(hosts, 1)
	p.Settings.ReadRate, p.Settings.WriteRate, p.Settings.Hosts = readRate, writeRate, hosts
	p.Reads.refill(now)
	p.Writes.refill(now)
	p.Reads.setRate(readRate * p.Settings.RateFraction / float64(hosts))
	p.Writes.setRate(writeRate * p.Settings.RateFraction / float64(hosts))
}

// IsOpen reports whether the breaker is open.
func (p *Pacer) IsOpen() bool { return p.ConsecutiveFailures >= p.Settings.FailureThreshold }

// Decide decides whether a call may be sent now. If so, the call takes a token.
func (p *Pacer) Decide(now time.Duration, call Call) Decision {
	open := p.IsOpen()
	if open && (p.Probing || now < p.BlockedUntil) {
		return Decision{Action: Reject, Wait: max(p.BlockedUntil-now, 0)}
	}
	if now < p.BlockedUntil {
		return Decision{Action: Wait, Wait: p.BlockedUntil - now}
	}
	bucket := &p.Reads
	if call.Write {
		bucket = &p.Writes
	}
	if wait := bucket.takeToken(now, reservedBurst[call.Class]); wait > 0 {
		return Decision{Action: Wait, Wait: wait}
	}
	p.Probing = p.Probing || open
	return Decision{Action: Send, Probe: open}
}

// RecordOutcome records the outcome of a call that was sent. retryAfter is the delay that
// the platform asked for, or 0.
func (p *Pacer) RecordOutcome(now time.Duration, random *rand.Rand, verdict Decision, outcome Outcome, retryAfter time.Duration) {
	if verdict.Probe {
		p.Probing = false
	}
	switch outcome {
	case Succeeded:
		p.resetFailures(now, verdict)
		p.ConsecutiveRateLimits = 0
	case Failed:
		// Once the breaker is open, failures of calls that were already
		// in flight don't count. Otherwise the backoff would start at its
		// cap.
		if !p.IsOpen() || verdict.Probe {
			p.ConsecutiveFailures++
			p.BlockedUntil = max(p.BlockedUntil, now+p.backoff(random, p.ConsecutiveFailures))
		}
	case RateLimited:
		p.resetFailures(now, verdict)
		p.ConsecutiveRateLimits++
		p.BlockedUntil = max(p.BlockedUntil, now+retryAfter+p.backoff(random, p.ConsecutiveRateLimits))
	}
}

// resetFailures resets the failure count after a response of the platform, which
// closes the breaker. While the breaker is open, only the response to a probe
// closes it, and not that to a call sent earlier. The buckets are then emptied,
// because all hosts close their breakers at about the same time.
func (p *Pacer) resetFailures(now time.Duration, verdict Decision) {
	if p.IsOpen() {
		if !verdict.Probe {
			return
		}
		p.Reads.Tokens, p.Writes.Tokens = 0, 0
		p.Reads.RefilledAt, p.Writes.RefilledAt = now, now
	}
	p.ConsecutiveFailures = 0
}

// backoff returns a random delay up to a limit that doubles with each failure.
func (p *Pacer) backoff(random *rand.Rand, failures int) time.Duration {
	limit := p.Settings.BackoffBase << min(failures-1, maxBackoffDoublings)
	limit = min(limit, p.Settings.BackoffCap)
	return time.Duration(random.Int64N(int64(limit) + 1))
}

func (b *Bucket) setRate(rate float64) {
	b.Rate = rate
	b.Burst = max(rate, minBurstCalls)
	b.Tokens = min(b.Tokens, b.Burst)
}

func (b *Bucket) refill(now time.Duration) {
	b.Tokens = min(b.Burst, b.Tokens+(now-b.RefilledAt).Seconds()*b.Rate)
	b.RefilledAt = now
}

// takeToken takes a token and returns 0 if at least the given fraction of the
// burst is left afterwards. Otherwise it returns the time to wait until then.
func (b *Bucket) takeToken(now time.Duration, reserved float64) time.Duration {
	b.refill(now)
	missing := 1 + reserved*b.Burst - b.Tokens
	if missing <= 0 {
		b.Tokens--
		return 0
	}
	if b.Rate <= 0 {
		return time.Hour
	}
	// One nanosecond more, so that the token is available after the wait in
	// spite of rounding.
	return time.Duration(missing/b.Rate*float64(time.Second)) + 1
}
