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
	// tokens is the length of the prompt including the part of the answer
	// generated before a resume. left is the number of those tokens that
	// are still to be computed.
	tokens int
	left   int
	// cached is the number of prompt tokens found in the prefix cache.
	cached int
	// next and last are the sequence numbers of the next and the last token
	// of the answer.
	next uint64
	last uint64
	// out receives the sequence number of each generated token. It is closed
	// when the run ends.
	out   chan uint64
	ended bool
	// ready reports that the whole prompt has been computed.
	ready bool
	// stored reports that the prompt's blocks were added to the cache.
	stored bool
	// opened is closed when the response headers have been sent.
	opened chan struct{}
}

func (r *run) end() {
	if !r.ended {
		r.ended = true
		close(r.out)
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
	// whole is the number of completed answers since the instance turned
	// cold.
	whole    int
	versions map[string]string
	leaving  bool
	cache    *prefixCache
	waiting  []*run
	running  []*run
	samples  []loadSample
	reports  uint64
	arrivals uint64
	// wake holds a value when runs were queued since the last check.
	wake chan struct{}
}

func (i *instance) inFlight() int { return len(i.waiting) + len(i.running) }

func (i *instance) signal() {
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
	i.sample()
	i.signal()
}

func (i *instance) remove(r *run) {
	same := func(other *run) bool { return other == r }
	i.waiting = slices.DeleteFunc(i.waiting, same)
	i.running = slices.DeleteFunc(i.running, same)
	r.end()
	i.sample()
}

func (i *instance) sample() {
	i.samples = append(i.samples, loadSample{time.Now(), len(i.running), len(i.waiting)})
	if len(i.samples) > maxEvents {
		i.samples = i.samples[len(i.samples)-maxEvents:]
	}
}

// sampleAt returns the load at a point in the past.
func (i *instance) sampleAt(at time.Time) loadSample {
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
	i.sample()
	return admitted
}

// step performs one step of the batch and returns the time that it takes, or 0
// when nothing is running. The prefill budget of the step goes to the runs with
// the highest priority (lowest number) first.
func (i *instance) step(settings Settings) time.Duration {
	if len(i.running) == 0 {
		return 0
	}
	order := slices.Clone(i.running)
	sort.SliceStable(order, func(a, b int) bool { return order[a].priority < order[b].priority })
	chunk := settings.PrefillChunk
	computed := 0
	for _, r := range order {
		part := min(r.left, chunk)
		r.left -= part
		chunk -= part
		computed += part
		r.ready = r.left == 0
	}
	duration := settings.TokenTime + time.Duration(len(i.running)-1)*settings.BatchTime
	return duration + time.Duration(float64(computed)/settings.PrefillRate*float64(time.Second))
}

// emit sends each ready run its next token and returns the runs that are done.
func (i *instance) emit(now time.Time) []*run {
	var done []*run
	for _, r := range i.running {
		if !r.ready || r.ended {
			continue
		}
		if !r.stored && len(r.keys) > 0 {
			r.stored = true
			i.cache.store(now, r.salt, r.version, r.keys)
		}
		if r.next <= r.last {
			r.out <- r.next
			r.next++
		}
		if r.next > r.last {
			done = append(done, r)
		}
	}
	return done
}
