package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/standin/fleet"
	"mulberrybeam/process/standin/platform"
	"mulberrybeam/process/standin/service"
)

// Kinds of steps. The first three are what a caller learns about a call that
// must run at most once.
const (
	answered       = "answered"
	unknownOutcome = "unclear"
	notRun         = "not-run"
	// runsSeen is the final check of how many runs the services counted.
	runsSeen = "runs-seen"
)

// orderStep is one operation on an idempotency key in a history.
type orderStep struct {
	key    string
	kind   string
	answer string
	runs   int
}

// States of a key in the model: not run, or run with an unknown answer. Any
// other state is the answer of the run.
const (
	noRun      = ""
	unknownRun = "?"
)

// oneRunPerKey is the sequential specification for the linearizability check: a
// key runs at most once, every answer is that of its run, and a call refused
// with not-run has no effect.
var oneRunPerKey = (&porcupine.NondeterministicModel{
	Partition: func(promptText []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range promptText {
			key := operation.Input.(orderStep).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{noRun} },
	Step: func(state, input, _ any) []any {
		step, run := input.(orderStep), state.(string)
		switch {
		case step.kind == notRun, step.kind == unknownOutcome && run != noRun:
			return []any{run}
		case step.kind == unknownOutcome:
			return []any{noRun, unknownRun}
		case step.kind == runsSeen && (step.runs == 1) == (run != noRun) && step.runs <= 1:
			return []any{run}
		case step.kind == answered && (run == noRun || run == unknownRun || run == step.answer):
			return []any{step.answer}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}).ToModel()

// orderHistory records a history of calls that must run at most once.
type orderHistory struct {
	mutex     sync.Mutex
	startedAt time.Time
	steps     []porcupine.Operation
	kinds     map[string]int
	codes     map[mulberrybeam.Code]int
	replays   int
	// notRunRequests lists the IDs of requests that were refused with not-run.
	notRunRequests []string
}

func newOrderHistory() *orderHistory {
	return &orderHistory{startedAt: time.Now(), kinds: map[string]int{}, codes: map[mulberrybeam.Code]int{}}
}

func (o *orderHistory) record(step orderStep, from time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.kinds[step.kind]++
	o.steps = append(o.steps, porcupine.Operation{
		ClientId: len(o.steps), Input: step, Call: int64(from), Return: int64(time.Since(o.startedAt)),
	})
}

// place sends an order and records the result. The name of the idempotency
// header is in lower case, because net/http retries requests by itself if the
// header has its canonical name.
func (o *orderHistory) place(ctx context.Context, entry *fleet.Entry, key string) orderStep {
	from := time.Since(o.startedAt)
	body := []byte(`{"item": "oar for ` + key + `"}`)
	path := "/v1/services/" + fleet.Service + "/" + fleet.OrderCall
	status, header, text, err := postCall(ctx, entry, path, body, http.Header{"idempotency-key": {key}})
	step := orderStep{key: key, kind: unknownOutcome}
	var answer service.Answer
	switch {
	case err != nil:
	case status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil:
		step.kind, step.answer = answered, text
	default:
		response := parseRefusal(text)
		o.mutex.Lock()
		o.codes[response.Code]++
		if response.NotRun {
			step.kind = notRun
			o.notRunRequests = append(o.notRunRequests, header.Get("X-Request-Id"))
		}
		o.mutex.Unlock()
	}
	if header.Get("X-Outcome") == "replayed" {
		o.mutex.Lock()
		o.replays++
		o.mutex.Unlock()
	}
	o.record(step, from)
	return step
}

// injectOrderFaults injects faults into the calls of one key.
func injectOrderFaults(f *fleet.Fleet, number int) {
	switch number % 8 {
	case 1:
		f.Platform.SetFaults(func(p *platform.Faults) { p.LoseAnswersNext += 2 })
	case 2:
		f.Platform.SetFaults(func(p *platform.Faults) { p.LoseAnswersNext++ })
		fallthrough
	case 3:
		for _, service := range f.Services {
			service.SetFaults(func(s *serviceFaults) { s.BreakAfterNext = 1 })
		}
	case 4:
		for _, service := range f.Services {
			service.SetFaults(func(s *serviceFaults) { s.TruncateNext, s.RefuseNext = 1, 1 })
		}
	case 5:
		for _, service := range f.Services {
			service.SetFaults(func(s *serviceFaults) { s.BreakBeforeNext = 1 })
		}
	}
}

type serviceFaults = service.Faults

// placeOrders sends orders with 30 keys. Each key goes to all entry processes
// at once and again shortly after, while two of the processes are shut down.
func placeOrders(t *testing.T, f *fleet.Fleet, history *orderHistory) []string {
	t.Helper()
	var keys []string
	var group sync.WaitGroup
	defer group.Wait()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for number := range 30 {
		key := uuid.Must(uuid.NewV7()).String()
		keys = append(keys, key)
		injectOrderFaults(f, number)
		for _, entry := range append(f.Entries[:4:4], f.Entries...) {
			group.Go(func() { history.place(t.Context(), entry, key) })
			if number > 0 {
				earlier := keys[number-1]
				group.Go(func() { history.place(t.Context(), entry, earlier) })
			}
		}
		switch number {
		case 14:
			group.Go(func() { _ = f.Entries[3].Shutdown(t.Context()) })
		case 20:
			// With a canceled context, the shutdown cuts off running calls like
			// a crash.
			group.Go(func() { _ = f.Entries[2].Shutdown(canceled) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	return keys
}

// Guards against orders that run twice, answers from another run, and refusals
// that wrongly report not-run, when callers send the same key to several entry
// processes while responses are lost and processes shut down.
func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout := fleet.DefaultLayout()
	layout.Zones, layout.EnginesPerZone, layout.ServicesPerZone = layout.Zones[:2], 1, 2
	f := startFleet(t, layout)
	for _, service := range f.Services {
		service.SetFaults(func(s *serviceFaults) { s.Delay, s.AnswerDelay = 20*time.Millisecond, 30*time.Millisecond })
	}
	history := newOrderHistory()
	keys := placeOrders(t, f, history)
	f.Platform.SetFaults(func(p *platform.Faults) { *p = platform.Faults{} })
	for _, service := range f.Services {
		service.SetFaults(func(s *serviceFaults) { *s = serviceFaults{} })
	}
	for _, key := range keys {
		waitFor(t, 10*time.Second, "key "+key+" has an answer or an unknown outcome", func() bool {
			return history.place(t.Context(), f.Entries[0], key).kind != notRun
		})
	}
	checkOrders(t, f, history, keys)
	is.True(f.Platform.Count("lost-answers") >= 5)
	hits := map[string]int{}
	for _, service := range f.Services {
		for name, count := range service.Counts() {
			hits[name] += count
		}
	}
	t.Log(hits)
	for _, fault := range []string{"broken-after-run", "truncated", "broken-before-run", "refused"} {
		is.True(hits[fault] > 0) // the fault took effect
	}
}

func checkOrders(t *testing.T, f *fleet.Fleet, history *orderHistory, keys []string) {
	t.Helper()
	is := is.New(t)
	totalRuns := 0
	for _, key := range keys {
		runs := 0
		for _, service := range f.Services {
			runs += service.RunsByKey(key)
		}
		totalRuns += runs
		history.record(orderStep{key: key, kind: runsSeen, runs: runs}, time.Since(history.startedAt))
	}
	for _, request := range history.notRunRequests {
		for _, service := range f.Services {
			is.Equal(service.RunsByID(request), 0) // refused with not-run
		}
	}
	t.Log(fmt.Sprint(len(keys), " keys, ", totalRuns, " runs, ", history.replays, " replays, ", history.kinds, history.codes))
	is.True(porcupine.CheckOperations(oneRunPerKey, history.steps))
	is.True(history.replays > 0)
	is.True(totalRuns > len(keys)/2)
}

// Guards against a consistency check that accepts invalid histories: two runs
// of a key, answers from two runs, a run of a refused call, or an answer without
// a run.
func TestOrderCheckRejectsInvalidHistories(t *testing.T) {
	t.Parallel()
	cases := map[string][]orderStep{
		"two runs":      {{kind: answered, answer: "x"}, {kind: runsSeen, runs: 2}},
		"two answers":   {{kind: answered, answer: "x"}, {kind: answered, answer: "y"}},
		"not run":       {{kind: notRun}, {kind: runsSeen, runs: 1}},
		"never ran":     {{kind: answered, answer: "x"}, {kind: runsSeen}},
		"unclear twice": {{kind: unknownOutcome}, {kind: unknownOutcome}, {kind: runsSeen, runs: 2}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var history []porcupine.Operation
			for i, step := range steps {
				history = append(history, porcupine.Operation{ClientId: i, Input: step, Call: int64(2 * i), Return: int64(2*i + 1)})
			}
			is.True(!porcupine.CheckOperations(oneRunPerKey, history))
		})
	}
}
