package engine

import (
	"context"
	"slices"
	"sort"
	"time"
)

// run is the execution of one completion on one instance.
type run struct {
	id       string
	model    string
	salt     string
	keys     []string
	version  string
	body     string
	prompt   uint64
	priority int
	arrival  uint64
	// promptTokens is the length of the prompt including the part of the
	// answer generated before a resume. uncomputed is the number of those
	// tokens that are still to be computed.
	promptTokens int
	uncomputed   int
	// cached is the number of prompt tokens found in the prefix cache.
	cached int
	// nextSequence and lastSequence are the sequence numbers of the next
	// and the last token of the answer.
	nextSequence uint64
	lastSequence uint64
	// sequences receives the sequence number of each generated token. It is
	// closed when the run ends.
	sequences chan uint64
	ended     bool
	// prefilled reports that the whole prompt has been computed.
	prefilled bool
	// stored reports that the prompt's blocks were added to the cache.
	stored bool
	// headersSent is closed when the response headers have been sent.
	headersSent chan struct{}
}

func (r *run) finish() {
	if !r.ended {
		r.ended = true
		close(r.sequences)
	}
}

// loadSample is the load of an instance from a point in time until the next
// sample.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// instance is the state of the engine between two restarts. Engine.mu guards
// it.
type instance struct {
	id      string
	ctx     context.Context
	stop    context.CancelFunc
	started time.Time
	cold    bool
	// completed is the number of completed answers since the instance
	// turned cold.
	completed int
	versions  map[string]string
	leaving   bool
	cache     *prefixCache
	waiting   []*run
	running   []*run
	samples   []loadSample
	reports   uint64
	arrivals  uint64
	// wake holds a value when runs were queued since the last check.
	wake chan struct{}
}

func (i *instance) inFlight() int { return len(i.waiting) + len(i.running) }

func (i *instance) wakeUp() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *instance) enqueue(r *run) {
	i.arrivals++
	r.arrival = i.arrivals
	i.waiting = append(i.waiting, r)
	sort.SliceStable(i.waiting, func(a, b int) bool {
		if i.waiting[a].priority != i.waiting[b].priority {
			return i.waiting[a].priority < i.waiting[b].priority
		}
		return i.waiting[a].arrival < i.waiting[b].arrival
	})
	i.recordLoad()
	i.wakeUp()
}

func (i *instance) remove(r *run) {
	same := func(other *run) bool { return other == r }
	i.waiting = slices.DeleteFunc(i.waiting, same)
	i.running = slices.DeleteFunc(i.running, same)
	r.finish()
	i.recordLoad()
}

func (i *instance) recordLoad() {
	i.samples = append(i.samples, loadSample{time.Now(), len(i.running), len(i.waiting)})
	if len(i.samples) > maxHistory {
		i.samples = i.samples[len(i.samples)-maxHistory:]
	}
}

// loadAt returns the load at a point in the past.
func (i *instance) loadAt(at time.Time) loadSample {
	var sample loadSample
	for _, candidate := range i.samples {
		if candidate.at.After(at) {
			break
		}
		sample = candidate
	}
	return sample
}

// admit moves waiting runs into the batch, up to limit running ones, and
// returns those it moved.
func (i *instance) admit(limit int) []*run {
	count := min(limit-len(i.running), len(i.waiting))
	if count <= 0 {
		return nil
	}
	admitted := slices.Clone(i.waiting[:count])
	i.waiting = slices.Delete(i.waiting, 0, count)
	i.running = append(i.running, admitted...)
	i.recordLoad()
	return admitted
}

// runStep performs one step of the batch and returns the time that it takes, or
// 0 when nothing is running. The prefill budget of the step goes to the runs
// with the highest priority (lowest number) first.
func (i *instance) runStep(settings Settings) time.Duration {
	if len(i.running) == 0 {
		return 0
	}
	order := slices.Clone(i.running)
	sort.SliceStable(order, func(a, b int) bool { return order[a].priority < order[b].priority })
	chunk := settings.PrefillChunk
	computed := 0
	for _, r := range order {
		part := min(r.uncomputed, chunk)
		r.uncomputed -= part
		chunk -= part
		computed += part
		r.prefilled = r.uncomputed == 0
	}
	duration := settings.TokenTime + time.Duration(len(i.running)-1)*settings.BatchTime
	return duration + time.Duration(float64(computed)/settings.PrefillRate*float64(time.Second))
}

// emitTokens sends each prefilled run its next token and returns the runs that
// are done.
func (i *instance) emitTokens(now time.Time) []*run {
	var done []*run
	for _, r := range i.running {
		if !r.prefilled || r.ended {
			continue
		}
		if !r.stored && len(r.keys) > 0 {
			r.stored = true
			i.cache.store(now, r.salt, r.version, r.keys)
		}
		if r.nextSequence <= r.lastSequence {
			r.sequences <- r.nextSequence
			r.nextSequence++
		}
		if r.nextSequence > r.lastSequence {
			done = append(done, r)
		}
	}
	return done
}
