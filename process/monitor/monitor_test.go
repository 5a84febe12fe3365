package monitor_test

import (
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
