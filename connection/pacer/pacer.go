// Package pacer decides when a process may call the object API: a token bucket
// for reads and one for writes, priorities, a circuit breaker and backoff. It
// does no I/O and reads no clock. A Pacer lives as long as the connection to
// the platform.
package pacer

import (
	"math/rand/v2"
	"time"
)

// Class is the priority of a call. The zero value is the most urgent.
type Class int

// Classes of calls.
const (
	// ClassUrgent is for lease renewals and intents.
	ClassUrgent Class = iota
	// ClassNormal is for configuration changes and watches.
	ClassNormal
	// ClassPoll is for polls, which lose nothing by waiting.
	ClassPoll
)

// floors are the parts of the burst that a class leaves to the classes before
// it.
var floors = [...]float64{ClassUrgent: 0, ClassNormal: 0.25, ClassPoll: 0.5}

const (
	// minBurst lets a host with a rate far below 1 a second make two calls
	// in a row, as a conditional update after a read needs.
	minBurst = 2
	// maxExponent keeps the backoff's shift from overflowing.
	maxExponent = 16
)

// Settings are the bounds of a Pacer.
type Settings struct {
	// ReadRate and WriteRate are the platform's calls per second for all
	// hosts together.
	ReadRate  float64
	WriteRate float64
	// Hosts is the number of live hosts that share the rates.
	Hosts int
	// Share is the part of the rates that the hosts use.
	Share float64
	// OpenAfter is the number of failures in a row that open the breaker.
	OpenAfter int
	// BackoffBase and BackoffCap bound the wait after a failure.
	BackoffBase time.Duration
	BackoffCap  time.Duration
}

// Defaults returns the usual settings.
func Defaults() Settings {
	return Settings{
		ReadRate: 2000, WriteRate: 300,
		// Today's deployments have 7 to 9 hosts. SetRates gives the number
		// of live ones.
		Hosts: 9, Share: 0.5, OpenAfter: 3,
		BackoffBase: 200 * time.Millisecond,
		// 380 hosts that probe every 5 s on average make 76 calls a
		// second during an outage, a quarter of 300 writes a second.
		BackoffCap: 10 * time.Second,
	}
}

// Ask is a call that wants to be sent.
type Ask struct {
	Write bool
	Class Class
}

// Answer says what to do with a call.
type Answer string

// Answers to an Ask.
const (
	// Send allows the call now. Its outcome must be given to Done.
	Send Answer = "send"
	// Wait asks to come again after the verdict's wait.
	Wait Answer = "wait"
	// Open refuses the call, since the breaker is open.
	Open Answer = "open"
)

// Verdict is the decision on a call.
type Verdict struct {
	Answer Answer
	Wait   time.Duration
	// Probe says that the call tests whether the platform is back.
	Probe bool
}

// Outcome is how a call ended.
type Outcome string

// Outcomes of calls.
const (
	// Succeeded is any answer of a working platform, conflicts included.
	Succeeded Outcome = "succeeded"
	// Failed is a timeout, a broken connection or a 5xx answer.
	Failed Outcome = "failed"
	// Limited is a 429 answer.
	Limited Outcome = "limited"
	// Cancelled says nothing about the platform.
	Cancelled Outcome = "cancelled"
)

// Bucket is a token bucket.
type Bucket struct {
	Rate   float64
	Burst  float64
	Tokens float64
	// At is the time of the last refill.
	At time.Duration
}

// Pacer is the state of the decisions. It is not safe for concurrent use.
type Pacer struct {
	Settings Settings
	Reads    Bucket
	Writes   Bucket
	// Failures and Limits count in a row.
	Failures int
	Limits   int
	// Until is when the next call may be sent after a failure or a limit.
	Until time.Duration
	// Probing says that a probe of an open breaker is in flight.
	Probing bool
}

// New returns a Pacer whose buckets hold a random part of one call, so that the
// first calls of a fleet that starts at once are spread over time.
func New(now time.Duration, random *rand.Rand, settings Settings) *Pacer {
	p := &Pacer{Settings: settings, Reads: Bucket{At: now}, Writes: Bucket{At: now}}
	p.SetRates(now, settings.ReadRate, settings.WriteRate, settings.Hosts)
	p.Reads.Tokens, p.Writes.Tokens = random.Float64(), random.Float64()
	return p
}

// SetRates changes the platform's rates and the number of live hosts.
func (p *Pacer) SetRates(now time.Duration, read, write float64, hosts int) {
	hosts = max(hosts, 1)
	p.Settings.ReadRate, p.Settings.WriteRate, p.Settings.Hosts = read, write, hosts
	p.Reads.refill(now)
	p.Writes.refill(now)
	p.Reads.setRate(read * p.Settings.Share / float64(hosts))
	p.Writes.setRate(write * p.Settings.Share / float64(hosts))
}

// IsOpen reports whether the breaker is open.
func (p *Pacer) IsOpen() bool { return p.Failures >= p.Settings.OpenAfter }

// Ask decides on a call. A call that gets Send takes a token.
func (p *Pacer) Ask(now time.Duration, ask Ask) Verdict {
	open := p.IsOpen()
	if open && (p.Probing || now < p.Until) {
		return Verdict{Answer: Open, Wait: max(p.Until-now, 0)}
	}
	if now < p.Until {
		return Verdict{Answer: Wait, Wait: p.Until - now}
	}
	bucket := &p.Reads
	if ask.Write {
		bucket = &p.Writes
	}
	if wait := bucket.take(now, floors[ask.Class]); wait > 0 {
		return Verdict{Answer: Wait, Wait: wait}
	}
	p.Probing = p.Probing || open
	return Verdict{Answer: Send, Probe: open}
}

// Done takes the outcome of a call that was sent. retryAfter is what the
// platform asked for, 0 when it did not.
func (p *Pacer) Done(now time.Duration, random *rand.Rand, verdict Verdict, outcome Outcome, retryAfter time.Duration) {
	if verdict.Probe {
		p.Probing = false
	}
	switch outcome {
	case Succeeded:
		p.recover(now, verdict)
		p.Limits = 0
	case Failed:
		// Calls that were in flight together when the breaker opened
		// count as one failure, or the backoff would start at its cap.
		if !p.IsOpen() || verdict.Probe {
			p.Failures++
			p.Until = max(p.Until, now+p.backoff(random, p.Failures))
		}
	case Limited:
		p.recover(now, verdict)
		p.Limits++
		p.Until = max(p.Until, now+retryAfter+p.backoff(random, p.Limits))
	}
}

// recover closes the breaker. The buckets start empty, since all hosts
// recover at about the same time. The late success of a call sent before the
// breaker opened does not close it.
func (p *Pacer) recover(now time.Duration, verdict Verdict) {
	if p.IsOpen() {
		if !verdict.Probe {
			return
		}
		p.Reads.Tokens, p.Writes.Tokens = 0, 0
		p.Reads.At, p.Writes.At = now, now
	}
	p.Failures = 0
}

// backoff returns a random wait up to a bound that doubles with each failure.
func (p *Pacer) backoff(random *rand.Rand, failures int) time.Duration {
	bound := p.Settings.BackoffBase << min(failures-1, maxExponent)
	bound = min(bound, p.Settings.BackoffCap)
	return time.Duration(random.Int64N(int64(bound) + 1))
}

func (b *Bucket) setRate(rate float64) {
	b.Rate = rate
	b.Burst = max(rate, minBurst)
	b.Tokens = min(b.Tokens, b.Burst)
}

func (b *Bucket) refill(now time.Duration) {
	b.Tokens = min(b.Burst, b.Tokens+(now-b.At).Seconds()*b.Rate)
	b.At = now
}

// take takes a token when more than the floor remains, and otherwise returns
// how long that takes.
func (b *Bucket) take(now time.Duration, floor float64) time.Duration {
	b.refill(now)
	missing := 1 + floor*b.Burst - b.Tokens
	if missing <= 0 {
		b.Tokens--
		return 0
	}
	if b.Rate <= 0 {
		return time.Hour
	}
	// One more nanosecond, so that rounding does not leave the caller
	// asking again at once.
	return time.Duration(missing/b.Rate*float64(time.Second)) + 1
}
