package processtest_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/process/operator"
	"mulberrybeam/process/standin/fleet"
)

const (
	// takeoverLimit is the longest time from the death of a holder until another
	// process owns its slots: the lease of 10 s, its margin of 1 s, a poll
	// interval of 2 s, the rank delay of 4 s, and 2 s to write the slots and to
	// spread the fact.
	takeoverLimit = 19 * time.Second
	// pauseTime is longer than a lease and its margin together.
	pauseTime = 13 * time.Second
	// recoveryLimit is the longest backoff of a process that could not read the
	// directory, 30 s, plus 5 s to learn the members and the configuration.
	recoveryLimit = 35 * time.Second
	// warmAfter is a number of answers after which engines become warm, and
	// neverWarm a number that they never reach.
	warmAfter = 8
	neverWarm = 1000000
)

// Guards against requests that work only if all parts run in one process, and
// against a graceful shutdown that interrupts a stream or exits with an error.
func TestRequestsAndGracefulShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 2, warmAfter)
	for i, e := range c.entries {
		is.NoErr(prompt(t.Context(), e, fmt.Sprint("streamed ", i), 12, true))
		is.NoErr(prompt(t.Context(), e, fmt.Sprint("whole ", i), 12, false))
		is.NoErr(call(t.Context(), e, fleet.RepeatableCall, `{"oar": 7}`, ""))
		is.NoErr(call(t.Context(), e, fleet.OrderCall, `{"oar": 8}`, newKey()))
	}
	stopping := c.entries[0]
	var removed atomic.Bool
	steady := startLoad(t, 40*time.Millisecond, 60, func(i int) *entry {
		if e := c.entries[i%len(c.entries)]; e != stopping || !removed.Load() {
			return e
		}
		return nil
	})
	time.Sleep(2 * time.Second)
	stopping.signal(t, syscall.SIGTERM)
	begin := time.Now()
	time.Sleep(balancerDelay / 2) // time for a balancer to notice that the process is not ready
	removed.Store(true)
	is.Equal(stopping.awaitExit(t, 20*time.Second), 0)
	t.Log("stopped after", time.Since(begin))
	time.Sleep(time.Second)
	steady.stop(t)
}

// Guards against the death of an entry process that fails requests at other
// processes or leaves cold targets without permits, and against an order that
// runs twice because the process that sent it has died.
func TestKilledEntryProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 2, warmAfter)
	killed := c.owner(t, "engine-a")
	c.entries = c.others(killed)
	steady := startLoad(t, 40*time.Millisecond, 12, func(i int) *entry { return c.entries[i%len(c.entries)] })
	time.Sleep(3 * time.Second)
	killed.signal(t, syscall.SIGKILL)
	begin := time.Now()
	killed.awaitExit(t, time.Second)
	restarted := c.engines["engine-a"]
	restarted.signal(t, syscall.SIGKILL)
	restarted.awaitExit(t, time.Second)
	restarted.restart(t)
	await(t, takeoverLimit, "a live process owns the targets of zone a", func() bool {
		return !slices.ContainsFunc(c.entries, func(e *entry) bool {
			status, err := e.status(t.Context())
			return err != nil || slices.ContainsFunc(status.Targets, func(target operator.Target) bool {
				return target.Owner == killed.ID || target.Owner == ""
			})
		})
	})
	t.Log("slots taken over after", time.Since(begin))
	await(t, 5*time.Second, "the cold engine of zone a answers", func() bool { return restarted.counters(t)["completed"] > 0 })
	t.Log("permits again after", time.Since(begin))
	steady.stop(t)
	is.Equal(restarted.counters(t)["crashes"], 0) // never above its cold limit
	c.checkOrderDuringKill(t)
}

// checkOrderDuringKill sends an order to one entry process, which forwards it and
// waits for the answer, sends the same order to all others, and then kills the
// first process. No answer may claim that the order did not run.
func (c *cluster) checkOrderDuringKill(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, s := range c.services {
		s.setFaults(t, fmt.Sprintf(`{"AnswerDelay": %d}`, time.Second))
	}
	runsBefore := c.serviceRuns(t)
	key, body := newKey(), `{"oar": "spruce"}`
	killed := c.entries[0]
	var group sync.WaitGroup
	sendOrder := func(e *entry) {
		group.Go(func() {
			got, err := post(t.Context(), e, "/v1/services/"+fleet.Service+"/"+fleet.OrderCall, []byte(body), key)
			if err == nil {
				is.True(!strings.Contains(string(got.body), `"not-run":true`))
			}
			t.Logf("%s: order at %s: %d %s %v", time.Now().Format("05.000"), e.ID, got.status, got.body, err)
		})
	}
	sendOrder(killed)
	time.Sleep(300 * time.Millisecond)
	for _, e := range c.others(killed) {
		sendOrder(e)
	}
	time.Sleep(200 * time.Millisecond)
	killed.signal(t, syscall.SIGKILL)
	for range 3 {
		for _, e := range c.others(killed) {
			sendOrder(e)
		}
		time.Sleep(time.Second)
	}
	group.Wait()
	is.Equal(c.serviceRuns(t)-runsBefore, 1)
}

func (c *cluster) serviceRuns(t *testing.T) int {
	t.Helper()
	sum := 0
	for _, s := range c.services {
		sum += s.counters(t)["runs"]
	}
	return sum
}

// Guards against a process that still uses the permits and leases from before it
// was paused. The engines stay cold, and crash if they get more requests than
// their limit.
func TestPausedEntryProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 2, neverWarm)
	paused := c.owner(t, "engine-a")
	others := c.others(paused)
	steady := startLoad(t, 100*time.Millisecond, 12, func(i int) *entry { return others[i%len(others)] })
	// The bursts reach the process before, during and right after its pause, so
	// that it has requests to send as soon as it resumes. The burst before is
	// small, because the fleet lacks the permits that the process holds for some
	// seconds. The burst after is no larger than the cold fleet can run beside
	// the steady load.
	var group sync.WaitGroup
	burst := func(count int) {
		for i := range count {
			group.Go(func() { _ = prompt(t.Context(), paused, fmt.Sprint("burst ", i), 12, true) })
		}
	}
	burst(2)
	time.Sleep(50 * time.Millisecond)
	paused.signal(t, syscall.SIGSTOP)
	burst(4)
	time.Sleep(pauseTime)
	paused.signal(t, syscall.SIGCONT)
	burst(4)
	group.Wait()
	took := await(t, 10*time.Second, "the process that was paused answers", func() bool {
		return prompt(t.Context(), paused, "after the pause", 4, true) == nil
	})
	t.Log("answers again after", took)
	for name, e := range c.engines {
		await(t, 15*time.Second, name+" completes requests under the load", func() bool { return e.counters(t)["completed"] > 0 })
	}
	steady.stop(t)
	for name, e := range c.engines {
		counters := e.counters(t)
		t.Log(name, counters)
		is.Equal(counters["crashes"], 0) // never above its cold limit
	}
}

// Guards against an outage of the platform that fails callers' requests, and
// against a process that was started during the outage and never becomes ready.
func TestFrozenPlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 2, warmAfter)
	initial := slices.Clone(c.entries)
	steady := startLoad(t, 40*time.Millisecond, 12, func(i int) *entry { return initial[i%len(initial)] })
	time.Sleep(3 * time.Second)
	c.platform.signal(t, syscall.SIGSTOP)
	begin := time.Now()
	late := c.startEntry(t, "a", "entry-a3")
	restarted := c.engines["engine-a"]
	restarted.signal(t, syscall.SIGKILL)
	restarted.awaitExit(t, time.Second)
	restarted.restart(t)
	await(t, 10*time.Second, "the cold engine of zone a answers during the outage", func() bool { return restarted.counters(t)["completed"] > 0 })
	t.Log("cold engine answers after", time.Since(begin))
	time.Sleep(pauseTime - time.Since(begin))
	status, err := late.status(t.Context())
	t.Log("process started during the outage:", status.Ready, status.Revision, len(status.Members), err)
	c.platform.signal(t, syscall.SIGCONT)
	t.Log("all ready after", c.awaitReady(t, recoveryLimit))
	is.NoErr(prompt(t.Context(), late, "to the new process", 12, true))
	t.Log("orders again after", await(t, 10*time.Second, "an order runs", func() bool {
		return call(t.Context(), initial[0], fleet.OrderCall, `{"oar": 9}`, newKey()) == nil
	}))
	steady.stop(t)
	is.Equal(restarted.counters(t)["crashes"], 0)
}
