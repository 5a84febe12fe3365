package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/connection/pacer"
)

var random = rand.New(rand.NewPCG(1, 2))

func newPacer(configure func(*pacer.Settings)) *pacer.Pacer {
	settings := pacer.DefaultSettings()
	settings.ReadRate, settings.WriteRate, settings.Hosts = 20, 20, 1
	if configure != nil {
		configure(&settings)
	}
	return pacer.New(0, random, settings)
}

// Guards against polls that use up the tokens that lease renewals need.
func TestUrgentCallsGoFirst(t *testing.T) {
	is := is.New(t)
	p := newPacer(nil)
	now := 10 * time.Second // by then the bucket is full: 10 tokens
	sent := map[pacer.Class]int{}
	for _, class := range []pacer.Class{pacer.ClassPoll, pacer.ClassNormal, pacer.ClassUrgent} {
		for p.Decide(now, pacer.Call{Class: class}).Action == pacer.Send {
			sent[class]++
		}
	}
	is.Equal(sent, map[pacer.Class]int{pacer.ClassPoll: 5, pacer.ClassNormal: 2, pacer.ClassUrgent: 3})
	verdict := p.Decide(now, pacer.Call{Class: pacer.ClassUrgent})
	is.Equal(verdict.Action, pacer.Wait)
	is.Equal(p.Decide(now+verdict.Wait, pacer.Call{Class: pacer.ClassUrgent}).Action, pacer.Send)
	is.Equal(p.Decide(now, pacer.Call{Write: true}).Action, pacer.Send) // writes have their own bucket
}

// Guards against an open breaker that allows more than one probe at a time, or
// that the response to an earlier call closes.
func TestBreakerAllowsOneProbe(t *testing.T) {
	is := is.New(t)
	p := newPacer(nil)
	now := 10 * time.Second
	earlier := p.Decide(now, pacer.Call{})
	for !p.IsOpen() {
		verdict := p.Decide(now, pacer.Call{})
		if verdict.Action == pacer.Wait {
			now += verdict.Wait
			continue
		}
		p.RecordOutcome(now, random, verdict, pacer.Failed, 0)
	}
	is.Equal(p.ConsecutiveFailures, 3)
	is.Equal(p.Decide(now, pacer.Call{}).Action, pacer.Reject)
	p.RecordOutcome(now, random, earlier, pacer.Succeeded, 0)
	is.True(p.IsOpen())
	now = p.BlockedUntil
	probe := p.Decide(now, pacer.Call{})
	is.True(probe.Probe)
	is.Equal(p.Decide(now, pacer.Call{}).Action, pacer.Reject)
	p.RecordOutcome(now, random, probe, pacer.Cancelled, 0)
	probe = p.Decide(now, pacer.Call{})
	is.True(probe.Probe) // after a cancelled probe another is allowed
	p.RecordOutcome(now, random, probe, pacer.Succeeded, 0)
	is.True(!p.IsOpen())
}

// Guards against calls during the delay that a 429 response asks for.
func TestRetryAfterDelaysCalls(t *testing.T) {
	is := is.New(t)
	p := newPacer(nil)
	verdict := p.Decide(time.Second, pacer.Call{})
	p.RecordOutcome(time.Second, random, verdict, pacer.RateLimited, 3*time.Second)
	verdict = p.Decide(time.Second, pacer.Call{})
	is.Equal(verdict.Action, pacer.Wait)
	is.True(verdict.Wait >= 3*time.Second)
	is.True(!p.IsOpen())
}

// host is a simulated host that always has a read and a write to send.
type host struct {
	pacer   *pacer.Pacer
	random  *rand.Rand
	nextTry [2]time.Duration
}

// simulate runs hosts against a platform that is down from 20 s to 320 s. It
// returns the maximum number of reads and of writes within one second, and the
// number of hosts whose breaker is open at the end.
func simulate(hosts int, end time.Duration) ([2]int, int) {
	const step = 10 * time.Millisecond
	fleet := make([]host, hosts)
	for i := range fleet {
		settings := pacer.DefaultSettings()
		settings.Hosts = hosts
		source := rand.New(rand.NewPCG(7, uint64(i)))
		fleet[i] = host{pacer: pacer.New(0, source, settings), random: source}
	}
	var peak, window [2]int
	recent := make([][2]int, int(time.Second/step))
	for now := time.Duration(0); now < end; now += step {
		down := now >= 20*time.Second && now < 320*time.Second
		var arrived [2]int
		for i := range fleet {
			for kind, sent := range fleet[i].sendAllowed(now, down) {
				arrived[kind] += sent
			}
		}
		index := int(now/step) % len(recent)
		for kind := range window {
			window[kind] += arrived[kind] - recent[index][kind]
			peak[kind] = max(peak[kind], window[kind])
		}
		recent[index] = arrived
	}
	open := 0
	for i := range fleet {
		if fleet[i].pacer.IsOpen() {
			open++
		}
	}
	return peak, open
}

// sendAllowed sends all calls that the pacer allows at the given time and
// returns their number by kind.
func (h *host) sendAllowed(now time.Duration, down bool) [2]int {
	var sent [2]int
	for kind := range sent {
		for now >= h.nextTry[kind] {
			verdict := h.pacer.Decide(now, pacer.Call{Write: kind == 1, Class: pacer.ClassUrgent})
			if verdict.Action != pacer.Send {
				h.nextTry[kind] = now + max(verdict.Wait, time.Millisecond)
				break
			}
			sent[kind]++
			outcome := pacer.Succeeded
			if down {
				outcome = pacer.Failed
			}
			h.pacer.RecordOutcome(now, h.random, verdict, outcome, 0)
		}
	}
	return sent
}

// Guards against 380 hosts that together exceed the platform's rates when they
// all start at once or after an outage, and against breakers that stay open.
func TestFleetStaysBelowRatesAfterOutage(t *testing.T) {
	is := is.New(t)
	const hosts = 380
	peak, open := simulate(hosts, 340*time.Second)
	t.Logf("peak of %d hosts: %d reads/s, %d writes/s", hosts, peak[0], peak[1])
	is.True(peak[0] <= 2000)
	is.True(peak[1] <= 300)
	is.Equal(open, 0) // 20 s after the outage, twice the maximum backoff
}
