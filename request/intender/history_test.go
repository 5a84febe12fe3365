package intender_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/intender"
)

// step is one operation of a history: a run at the target, or an answer that a
// caller received for a key.
type step struct {
	key    string
	answer bool
	run    int
}

// atMostOneRun is the sequential specification: a key has at most one run, and
// every answer is the answer of that run.
var atMostOneRun = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(step).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		s := input.(step)
		if s.answer {
			return state == s.run, state
		}
		return state == 0, s.run
	},
}

// mutation makes the driver of a process violate a rule.
type mutation func(*process)

// history records the operations of concurrent callers and the injected faults.
type history struct {
	mutex       sync.Mutex
	random      *rand.Rand
	clock       atomic.Int64
	steps       []porcupine.Operation
	faultCounts map[string]int
	notRun      map[mulberrybeam.RequestID]bool
	ran         map[mulberrybeam.RequestID]bool
}

// drawFault returns one of the faults in a third of its calls, and "" otherwise.
func (h *history) drawFault(faults ...string) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.random.IntN(3) > 0 {
		return ""
	}
	fault := faults[h.random.IntN(len(faults))]
	h.faultCounts[fault]++
	return fault
}

func (h *history) record(s step, from int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.steps = append(h.steps, porcupine.Operation{ClientId: len(h.steps), Input: s, Call: from, Return: h.clock.Add(1)})
}

func (h *history) call(t *testing.T, p *process, target *service, id, key string) {
	from := h.clock.Add(1)
	request := mulberrybeam.ServiceRequest{Request: &mulberrybeam.Request{ID: mulberrybeam.RequestID(id), IdempotencyKey: key}}
	finish := p.driver().Run(t.Context(), callWith(key, "b", id), intender.ServiceSender(target, request))
	if finish.Orphaned != nil {
		_ = p.driver().Remove(t.Context(), *finish.Orphaned)
	}
	var answer []byte
	switch {
	case finish.Answer != nil:
		answer = finish.Answer.Body
	case finish.Replayed != nil:
		answer = finish.Replayed.Body
	case finish.Failure.NotRun:
		h.mutex.Lock()
		h.notRun[request.Request.ID] = true
		h.mutex.Unlock()
	}
	if answer != nil {
		run, _ := strconv.Atoi(string(answer))
		h.record(step{key: key, answer: true, run: run}, from)
	}
}

// runHistory lets concurrent callers of several processes use the same keys,
// with faults injected into every step.
func runHistory(t *testing.T, seed uint64, mutate mutation) *history {
	h := &history{
		random: rand.New(rand.NewPCG(seed, seed)), faultCounts: map[string]int{},
		notRun: map[mulberrybeam.RequestID]bool{}, ran: map[mulberrybeam.RequestID]bool{},
	}
	target := &service{fault: func() string { return h.drawFault(brokenAfterRun, brokenBeforeRun, refusedNotRun) }}
	target.onRun = func(run int, request *mulberrybeam.Request) {
		h.ran[request.ID] = true
		h.record(step{key: request.IdempotencyKey, run: run}, h.clock.Add(1))
	}
	var keys []string
	for range 6 {
		keys = append(keys, keyAt(wall, h.random))
	}
	shared := newPlatform()
	var group sync.WaitGroup
	for caller := range 12 {
		p := &process{id: mulberrybeam.ProcessID(fmt.Sprint("p", caller%3)), platform: shared, wall: wall}
		p.fault = func(op mulberrybeam.ObjectOp) string {
			if op == mulberrybeam.OpCreate {
				return h.drawFault(downBefore, downAfter, lateWrite, budgetExhausted, pausedPastWindow)
			}
			return h.drawFault(downBefore, downAfter)
		}
		if mutate != nil {
			mutate(p)
		}
		group.Go(func() {
			for i, key := range keys {
				h.call(t, p, target, fmt.Sprintf("r%d-%d", caller, i), key)
			}
		})
	}
	group.Wait()
	for id := range h.notRun {
		if h.ran[id] {
			t.Errorf("request %s ran although it was refused with not-run", id)
		}
	}
	return h
}

// Guards against a second run of a key with concurrent callers in several
// processes and injected faults, and against not-run refusals of calls that ran.
func TestConcurrentHistoryHasAtMostOneRunPerKey(t *testing.T) {
	is := is.New(t)
	faultCounts, runs := map[string]int{}, 0
	for seed := range uint64(40) {
		h := runHistory(t, seed, nil)
		is.True(porcupine.CheckOperations(atMostOneRun, h.steps))
		for fault, count := range h.faultCounts {
			faultCounts[fault] += count
		}
		runs += len(h.ran)
	}
	for _, fault := range []string{downBefore, downAfter, lateWrite, budgetExhausted, pausedPastWindow, brokenAfterRun, brokenBeforeRun, refusedNotRun} {
		is.True(faultCounts[fault] > 0) // the fault was injected
	}
	is.True(runs > 0)
}

// Guards against a history check that misses faulty drivers: one that sends
// after a lost answer to its create without reading the record back, and one
// that does not notice that its send window has passed.
func TestHistoryCheckFindsBrokenDrivers(t *testing.T) {
	mutations := map[string]mutation{
		"sends without reading back": func(p *process) { p.trustsLostCreate = true },
		"ignores the send window":    func(p *process) { p.frozenClock = true },
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			detected := 0
			for seed := range uint64(40) {
				if !porcupine.CheckOperations(atMostOneRun, runHistory(t, seed, mutate).steps) {
					detected++
				}
			}
			is.True(detected > 0)
		})
	}
}
