package monitor_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/monitor"
	"mulberrybeam/request/retrier"
)

func newMonitor() (*monitor.Monitor, *time.Duration) {
	now := time.Second
	return monitor.New(func() time.Duration { return now }), &now
}

// The load of a request must be zero again after the request has ended.
func TestLoadEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	g, _ := newMonitor()
	load := mulberrybeam.TargetLoad{Requests: 1, PrefillTokens: 300, HeldTokens: 1000}
	is.True(g.Reserve("t", load, 0))
	is.Equal(g.TargetStats("t").OwnLoad, load)
	is.Equal(g.OwnLoads(), []mulberrybeam.SharedLoad{{Target: "t", Load: load}})
	g.RecordFirstByte("t", load.PrefillTokens, time.Millisecond)
	load.PrefillTokens = 0
	is.Equal(g.TargetStats("t").OwnLoad, load)
	g.RecordEnd("t", load, false)
	is.Equal(g.TargetStats("t").OwnLoad, mulberrybeam.TargetLoad{})
	is.Equal(len(g.OwnLoads()), 0)
}

// A cold target must not get more requests per second than its limit.
func TestColdLimit(t *testing.T) {
	is := is.New(t)
	g, now := newMonitor()
	is.True(g.Reserve("t", mulberrybeam.TargetLoad{}, 2))
	is.True(g.Reserve("t", mulberrybeam.TargetLoad{}, 2))
	is.True(!g.Reserve("t", mulberrybeam.TargetLoad{}, 2))
	*now += 999 * time.Millisecond
	is.True(!g.Reserve("t", mulberrybeam.TargetLoad{}, 2))
	*now += time.Millisecond
	is.True(g.Reserve("t", mulberrybeam.TargetLoad{}, 2))
}

// Load updates that arrive late or have expired must be ignored, but those of a
// restarted peer, whose sequence numbers start again, must be accepted.
func TestLoadUpdatesOfPeers(t *testing.T) {
	is := is.New(t)
	g, now := newMonitor()
	update := func(sequence uint64, requests int) {
		g.ReceiveUpdate(mulberrybeam.LoadUpdate{From: "p", Sequence: sequence, Targets: []mulberrybeam.SharedLoad{
			{Target: "t", Load: mulberrybeam.TargetLoad{Requests: requests}},
		}})
	}
	update(100, 5)
	is.Equal(g.TargetStats("t").Load().Requests, 5)
	update(99, 7)
	is.Equal(g.TargetStats("t").Load().Requests, 5)
	update(1, 2)
	is.Equal(g.TargetStats("t").Load().Requests, 2)
	*now += 2 * time.Second
	is.Equal(g.TargetStats("t").Load().Requests, 0)
}

// Guards against a sum that keeps the load of a peer which left a target, expired or
// was removed, and against load that is lost when idle targets are removed.
func TestSumOfPeersFollowsTheirUpdates(t *testing.T) {
	is := is.New(t)
	m, now := newMonitor()
	update := func(from mulberrybeam.ProcessID, sequence uint64, targets ...mulberrybeam.InstanceID) {
		update := mulberrybeam.LoadUpdate{From: from, Sequence: sequence}
		for _, id := range targets {
			update.Targets = append(update.Targets, mulberrybeam.SharedLoad{Target: id, Load: mulberrybeam.TargetLoad{Requests: 2, HeldTokens: 10}})
		}
		m.ReceiveUpdate(update)
	}
	expect := func(t, u int) {
		is.Helper()
		is.Equal(m.TargetStats("t").PeerLoad, mulberrybeam.TargetLoad{Requests: t, HeldTokens: 5 * t})
		is.Equal(m.TargetStats("u").PeerLoad, mulberrybeam.TargetLoad{Requests: u, HeldTokens: 5 * u})
	}
	update("p", 1, "t", "u")
	*now += time.Second
	update("q", 1, "t")
	expect(4, 2)
	m.RemoveIdle()
	expect(4, 2)
	*now += 499 * time.Millisecond
	expect(4, 2)
	*now += time.Millisecond
	expect(2, 0) // p has expired
	update("p", 1, "u")
	expect(2, 2)
	update("q", 2)
	expect(0, 2)
	*now += 2 * time.Minute
	m.RemoveIdle()
	expect(0, 0)
}

// Load pattern: requests read while datagrams arrive, peers fall silent and idle
// targets are removed. Guards against a sum that differs from the peers' updates.
func TestSumIsExactAfterConcurrentUse(t *testing.T) {
	const hosts, rounds = 8, 200
	is := is.New(t)
	var clock atomic.Int64
	m := monitor.New(func() time.Duration { return time.Duration(clock.Load()) })
	var workers sync.WaitGroup
	for host := range hosts {
		workers.Go(func() {
			for round := range rounds {
				m.ReceiveUpdate(update(host, uint64(round+1)))
				clock.Add(int64(40 * time.Millisecond))
			}
		})
		workers.Go(func() {
			for round := range rounds {
				id := targetID(round % benchTargets)
				m.Reserve(id, mulberrybeam.TargetLoad{Requests: 1}, 0)
				m.TargetStats(id)
				m.RecordEnd(id, mulberrybeam.TargetLoad{Requests: 1}, false)
				m.RemoveIdle()
			}
		})
	}
	workers.Wait()
	for host := range hosts {
		m.ReceiveUpdate(update(host, rounds+1))
	}
	for i := range benchTargets {
		is.Equal(m.TargetStats(targetID(i)).Load(), mulberrybeam.TargetLoad{Requests: hosts, PrefillTokens: 100 * hosts, HeldTokens: 1000 * hosts})
	}
	clock.Add(int64(2 * time.Second))
	is.Equal(m.TargetStats(targetID(0)).Load(), mulberrybeam.TargetLoad{})
}

// The error rate must decay, so that a target that failed is tried again.
func TestErrorRateDecays(t *testing.T) {
	is := is.New(t)
	g, now := newMonitor()
	for range 10 {
		g.Reserve("t", mulberrybeam.TargetLoad{Requests: 1}, 0)
		g.RecordEnd("t", mulberrybeam.TargetLoad{Requests: 1}, true)
	}
	is.True(g.TargetStats("t").ErrorRate > 0.8)
	*now += 10 * time.Second
	is.True(g.TargetStats("t").ErrorRate < 0.1)
}

// A service must not use the retry budget of another, and all hosts together
// must not exceed the budget of a service.
func TestBudgetsAreKeptPerService(t *testing.T) {
	is := is.New(t)
	budgets := monitor.NewBudgets(0.1, 10)
	request := &mulberrybeam.Request{Repeatable: true, Deadline: time.Hour}
	failure := &mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}
	history := retrier.History{Attempts: []retrier.Attempt{{Target: "t", Sent: true}}}
	granted := func(service mulberrybeam.ServiceName) int {
		count := 0
		for range 20 {
			if budgets.Decide(mulberrybeam.Turn{Now: time.Second}, service, 5, request, history, failure).Retry {
				count++
			}
		}
		return count
	}
	is.Equal(granted("a"), 2)
	is.Equal(granted("a"), 0)
	is.Equal(granted("b"), 2)
}
