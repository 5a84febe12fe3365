package admitter_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/admitter"
)

func arrival(ticket int, workspace string, priority mulberrybeam.Priority) admitter.Arrival {
	return admitter.Arrival{
		Ticket: admitter.Ticket(ticket), Workspace: mulberrybeam.WorkspaceName(workspace),
		Priority: priority, Pool: "p", Cost: 1, Deadline: time.Hour,
	}
}

// Guards against refusals without the right code, a retry time or not-run.
func TestRefusals(t *testing.T) {
	second := time.Second
	cases := []struct {
		name     string
		before   []admitter.Arrival
		bounds   admitter.Bounds
		arriving admitter.Arrival
		now      time.Duration
		code     mulberrybeam.Code
	}{
		{"rate exceeded", []admitter.Arrival{arrival(1, "a", 0)}, admitter.Bounds{QueueLength: 9, PoolCapacity: 9, Rate: 0.5}, arrival(2, "a", 0), second, mulberrybeam.CodeWorkspaceLimit},
		{"queue full", []admitter.Arrival{arrival(1, "a", 0), arrival(2, "a", 0)}, admitter.Bounds{QueueLength: 1, PoolCapacity: 1}, arrival(3, "a", 0), second, mulberrybeam.CodeOverloaded},
		{"queue full because of the workspace's limit", []admitter.Arrival{arrival(1, "a", 0), arrival(2, "a", 0)}, admitter.Bounds{QueueLength: 1, PoolCapacity: 9, InFlight: 1}, arrival(3, "a", 0), second, mulberrybeam.CodeWorkspaceLimit},
		{"deadline passed", []admitter.Arrival{arrival(1, "a", 0)}, admitter.Bounds{QueueLength: 9, PoolCapacity: 1}, arrival(2, "b", 0), time.Hour, mulberrybeam.CodeQueueTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := admitter.NewState()
			for _, a := range c.before {
				admitter.Arrive(state, second, a, c.bounds)
			}
			decisions := admitter.Arrive(state, c.now, c.arriving, c.bounds)
			is.Equal(len(decisions), 1)
			is.Equal(decisions[0].Ticket, c.arriving.Ticket)
			is.Equal(decisions[0].Failure.Code, c.code)
			is.True(decisions[0].Failure.NotRun)
			is.True(c.code == mulberrybeam.CodeQueueTimeout || decisions[0].Failure.RetryAfter > 0)
		})
	}
}

// Guards against queueing a request that cannot start before its deadline, and
// against refusing one that fair queueing starts in time.
func TestShedsEarlyWhenTheQueueIsTooSlow(t *testing.T) {
	is := is.New(t)
	state, bounds := admitter.NewState(), admitter.Bounds{QueueLength: 100, PoolCapacity: 1}
	for i := range 40 {
		admitter.Arrive(state, time.Second, arrival(i, "a", 0), bounds)
	}
	now := time.Second
	for range 20 {
		now += time.Second
		admitter.Finish(state, now, "a", "p")
	}
	late := arrival(50, "a", 0)
	late.Deadline = now + 5*time.Second
	decisions := admitter.Arrive(state, now, late, bounds)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Failure.Code, mulberrybeam.CodeOverloaded)
	small := arrival(51, "b", 0)
	small.Deadline = late.Deadline
	is.Equal(len(admitter.Arrive(state, now, small, bounds)), 0) // it waits, because fair queueing starts it second
}

// Guards against a large workspace that takes all of the queue or the capacity,
// and against batch requests that go first or starve.
func TestFairQueueing(t *testing.T) {
	is := is.New(t)
	state, bounds := admitter.NewState(), admitter.Bounds{QueueLength: 60, PoolCapacity: 1, Weight: 1}
	workspaceOf, ticket := map[admitter.Ticket]string{}, 0
	arrive := func(workspace string, priority mulberrybeam.Priority, count int) (refused int) {
		for range count {
			ticket++
			workspaceOf[admitter.Ticket(ticket)] = fmt.Sprint(workspace, priority)
			for _, decision := range admitter.Arrive(state, time.Second, arrival(ticket, workspace, priority), bounds) {
				if decision.Failure != nil && workspaceOf[decision.Ticket] != "large0" {
					refused++
				}
			}
		}
		return refused
	}
	arrive("large", mulberrybeam.PriorityInteractive, 200)
	is.Equal(arrive("small", mulberrybeam.PriorityInteractive, 10), 0)
	is.Equal(arrive("small", mulberrybeam.PriorityBatch, 5), 0)
	started, running := map[string]int{}, "large"
	for range 24 {
		decisions := admitter.Finish(state, time.Second, mulberrybeam.WorkspaceName(running), "p")
		is.Equal(len(decisions), 1)
		name := workspaceOf[decisions[0].Ticket]
		started[name]++
		running = name[:len(name)-1]
	}
	is.True(started["small0"] >= 9)                           // about half of the starts; it has 10 requests
	is.True(started["small1"] >= 1 && started["small1"] <= 4) // batch requests start later but do not starve
	is.True(started["large0"] >= 9)
}

// Guards against exceeded limits, requests that get two decisions or none, and
// requests that wait although there is room.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := admitter.NewState(), time.Second
		bounds := admitter.Bounds{QueueLength: 4, PoolCapacity: 3, Weight: 1, InFlight: 2}
		waiting, running := map[admitter.Ticket]admitter.Arrival{}, []admitter.Arrival{}
		apply := func(decisions []admitter.Decision) {
			for _, decision := range decisions {
				a, found := waiting[decision.Ticket]
				if !found {
					t.Fatalf("decision on ticket %d, which is not waiting", decision.Ticket)
				}
				delete(waiting, decision.Ticket)
				if decision.Failure == nil {
					running = append(running, a)
				}
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				a := arrival(i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), mulberrybeam.Priority(rapid.IntRange(0, 1).Draw(t, "priority")))
				a.Deadline = now + time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline"))*time.Millisecond
				waiting[a.Ticket] = a
				apply(admitter.Arrive(state, now, a, bounds))
			case 2:
				if len(running) > 0 {
					ended := running[0]
					running = running[1:]
					apply(admitter.Finish(state, now, ended.Workspace, ended.Pool))
				}
			case 3:
				for ticket, a := range waiting {
					if !admitter.Abandon(state, a) {
						t.Fatalf("ticket %d is waiting but was not found", ticket)
					}
					delete(waiting, ticket)
					break
				}
			}
			perWorkspace := map[mulberrybeam.WorkspaceName]int{}
			for _, a := range running {
				perWorkspace[a.Workspace]++
				if perWorkspace[a.Workspace] > bounds.InFlight {
					t.Fatalf("workspace %s has %d requests in flight", a.Workspace, perWorkspace[a.Workspace])
				}
			}
			if len(running) > bounds.PoolCapacity || state.Waiting != len(waiting) || state.Waiting > bounds.QueueLength {
				t.Fatalf("%d requests running, %d waiting, but the state has %d waiting", len(running), len(waiting), state.Waiting)
			}
			for _, a := range waiting {
				if len(running) < bounds.PoolCapacity && perWorkspace[a.Workspace] < bounds.InFlight {
					t.Fatalf("ticket %d is waiting although there is room", a.Ticket)
				}
			}
		}
	})
}

// Guards against a limit that stays high for a refusing or slow target or low
// for a healthy one, and against several reductions for one burst of refusals.
func TestAdaptiveLimit(t *testing.T) {
	is := is.New(t)
	limit, now := admitter.NewLimit(16), time.Second
	is.Equal(limit.Current, 8.0)
	for range 200 {
		limit = admitter.UpdateLimit(limit, now, admitter.Outcome{FirstToken: 100 * time.Millisecond, InFlight: int(limit.Current)})
	}
	is.Equal(limit.Current, 16.0)
	burst := admitter.UpdateLimit(admitter.UpdateLimit(limit, now, admitter.Outcome{Refused: true}), now, admitter.Outcome{Refused: true})
	is.Equal(burst.Current, 16*0.7)
	slow := limit
	for range 100 {
		now += time.Second
		slow = admitter.UpdateLimit(slow, now, admitter.Outcome{FirstToken: 500 * time.Millisecond, InFlight: int(slow.Current)})
	}
	is.True(slow.Current < 8)
	long := admitter.UpdateLimit(limit, now, admitter.Outcome{FirstToken: time.Second, ExpectedFirstToken: 950 * time.Millisecond, InFlight: 16})
	is.Equal(long.Current, limit.Current) // a long prompt does not indicate load
	idle := admitter.UpdateLimit(limit, now, admitter.Outcome{FirstToken: 500 * time.Millisecond, InFlight: 1})
	is.Equal(idle.Current, limit.Current) // a single request cannot be the cause
}

func snapshot(limit int, timeout time.Duration) *mulberrybeam.Snapshot {
	return &mulberrybeam.Snapshot{
		Shares: map[mulberrybeam.WorkspaceName]float64{"a": 0.5},
		Tables: &mulberrybeam.Tables{
			Environment:    &mulberrybeam.Environment{Limits: mulberrybeam.Limits{QueueLength: 50, QueueTimeout: timeout}},
			Workspaces:     map[mulberrybeam.WorkspaceName]mulberrybeam.Workspace{"a": {Name: "a", Weight: 1, MaxInFlight: limit}},
			EnginesByModel: map[mulberrybeam.ModelName][]mulberrybeam.TargetID{"m": {"e"}},
			Targets:        map[mulberrybeam.TargetID]mulberrybeam.Target{"e": {ID: "e", WarmLimit: 100}},
		},
	}
}

// Guards against a gate that admits more than this process's share, loses a
// release, or keeps a caller waiting after its timeout or cancellation.
func TestGate(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	gate := admitter.New(func() time.Duration { return time.Since(begin) })
	request := &mulberrybeam.Request{Workspace: "a", Model: "m", Deadline: time.Hour}
	var group sync.WaitGroup
	var mutex sync.Mutex
	running, highest, admitted := 0, 0, 0
	for range 40 {
		group.Go(func() {
			release, err := gate.Admit(t.Context(), snapshot(8, time.Minute), request)
			if err != nil {
				return
			}
			mutex.Lock()
			running++
			admitted++
			highest = max(highest, running)
			mutex.Unlock()
			time.Sleep(time.Millisecond)
			mutex.Lock()
			running--
			mutex.Unlock()
			release()
			release() // a second call must not release another request's capacity
		})
	}
	group.Wait()
	is.Equal(admitted, 40)
	is.Equal(highest, 4) // half of the workspace's limit of 8

	single := snapshot(1, 20*time.Millisecond)
	release, err := gate.Admit(t.Context(), single, request)
	is.NoErr(err)
	var failure *mulberrybeam.Failure
	_, err = gate.Admit(t.Context(), single, request)
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, mulberrybeam.CodeQueueTimeout)
	is.True(failure.NotRun)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = gate.Admit(cancelled, snapshot(1, time.Minute), request)
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, mulberrybeam.CodeCancelled)
	release()
	release, err = gate.Admit(t.Context(), single, request)
	is.NoErr(err)
	release()
}
