// Package fetcher decides from which stores an engine fetches the context of a
// prompt's parts, and to which stores it saves them.
package fetcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// A fetch may take baseFetchTimeout plus fetchTimeoutPerToken per token.
	// The limit grows with the computation that the fetch saves, because an
	// engine that recomputes a prompt delays all its other requests.
	baseFetchTimeout     = 1500 * time.Millisecond
	fetchTimeoutPerToken = 150 * time.Microsecond
	// An engine that has at most spareTokens to prefill, the prompt included,
	// recomputes the prompt at once instead. A fetch to it may take only
	// goalFraction of the time that is left until the first token is due, and
	// minFetchTimeout once that has passed.
	spareTokens     = 16000
	goalFraction    = 0.6
	minFetchTimeout = 100 * time.Millisecond
)

// MaxFetchTime is the longest time that a fetch may take. A store that has restarted gets
// no parts for so long, since fetches of its earlier content may be in progress.
const MaxFetchTime = 2 * time.Second

// maxStoreChoices is the number of stores, in rendezvous order, that are
// considered for a part while the preceding ones are full or unreachable.
const maxStoreChoices = 3

// Catalog is the process's knowledge of the context stores.
type Catalog interface {
	// StoreOf returns the address of a store that is known to have the complete
	// context of a part.
	StoreOf(key mulberrybeam.PartKey) (address string, found bool)
	// Writable reports whether a store is reachable and has room for the given
	// number of tokens.
	Writable(address string, tokens int) bool
	// Claim reports whether this process should have the part saved now. After
	// it returned true, it returns false for a while, so that a part is not
	// saved twice at the same time.
	Claim(key mulberrybeam.PartKey) bool
	// Clock returns the current time of the engines' clock, or false if it is
	// not known.
	Clock() (mulberrybeam.EngineClock, bool)
}

// Query describes a prompt and the stores that may have its context.
type Query struct {
	Model  mulberrybeam.ModelName
	Salt   string
	Parts  []mulberrybeam.PromptPart
	Stores []mulberrybeam.ContextStore
	// TimeToGoal is the time left until the first token is due, and Backlog the
	// number of tokens that the engine still has to prefill.
	TimeToGoal time.Duration
	Backlog    int
	// Peer is the address of another engine that may have the shared parts,
	// empty for none. Asking it for a part that it lacks costs a millisecond.
	Peer string
}

// Plan says where to fetch and save the context of each part of the prompt. An
// empty address means that the part is not fetched or not saved.
type Plan struct {
	FetchFrom []string
	SaveTo    []string
	// FetchDeadline is the deadline of the fetches, after which the engine recomputes
	// the prompt.
	FetchDeadline mulberrybeam.EngineClock
}

// Decide returns the plan for a prompt. The last part is specific to the
// request, so it is neither fetched nor saved.
func Decide(catalog Catalog, query Query) Plan {
	if len(query.Stores) == 0 && query.Peer == "" || len(query.Parts) < 2 {
		return Plan{}
	}
	now, clockKnown := catalog.Clock()
	fetchTokens := 0
	plan := Plan{FetchFrom: make([]string, len(query.Parts)), SaveTo: make([]string, len(query.Parts))}
	for i, part := range query.Parts[:len(query.Parts)-1] {
		key := mulberrybeam.PartKey{Salt: query.Salt, Model: query.Model, ID: part.ID}
		if address, found := catalog.StoreOf(key); found {
			// A fetch without a deadline could last until the store has restarted and the
			// part is being written again.
			if clockKnown {
				plan.FetchFrom[i] = address
				fetchTokens += part.Tokens
			}
			continue
		}
		if query.Peer != "" {
			plan.FetchFrom[i] = query.Peer
			fetchTokens += part.Tokens
		}
		if address, found := firstWritable(catalog, query.Stores, part); found && catalog.Claim(key) {
			plan.SaveTo[i] = address
		}
	}
	if clockKnown {
		plan.FetchDeadline = now + mulberrybeam.EngineClock(query.fetchTimeout(fetchTokens))
	}
	return plan
}

// fetchTimeout returns how long the fetches of a prompt may take, of which
// fetchTokens are fetched.
func (q Query) fetchTimeout(fetchTokens int) time.Duration {
	timeout := min(baseFetchTimeout+time.Duration(fetchTokens)*fetchTimeoutPerToken, MaxFetchTime)
	tokens := q.Backlog
	for _, part := range q.Parts {
		tokens += part.Tokens
	}
	if tokens > spareTokens {
		return timeout
	}
	return min(timeout, max(time.Duration(goalFraction*float64(q.TimeToGoal)), minFetchTimeout))
}

// PreferredZone returns the zone of the store that is preferred for a part, or ""
// without stores. The store's free capacity is not considered.
func PreferredZone(stores []mulberrybeam.ContextStore, part string) mulberrybeam.ZoneName {
	if len(stores) == 0 {
		return ""
	}
	preferred := slices.MaxFunc(stores, func(a, b mulberrybeam.ContextStore) int {
		return cmp.Compare(rendezvousScore(a, part), rendezvousScore(b, part))
	})
	return preferred.Zone
}

// firstWritable returns the first writable store in the part's rendezvous
// order, weighted by capacity.
func firstWritable(catalog Catalog, stores []mulberrybeam.ContextStore, part mulberrybeam.PromptPart) (string, bool) {
	ranking := slices.Clone(stores)
	slices.SortFunc(ranking, func(a, b mulberrybeam.ContextStore) int {
		return cmp.Compare(rendezvousScore(b, part.ID), rendezvousScore(a, part.ID))
	})
	for _, store := range ranking[:min(maxStoreChoices, len(ranking))] {
		if catalog.Writable(store.Address, part.Tokens) {
			return store.Address, true
		}
	}
	return "", false
}

// rendezvousScore returns the store's weighted rendezvous score for a part.
// Each store ranks first for a share of parts that is proportional to its
// capacity.
func rendezvousScore(store mulberrybeam.ContextStore, part string) float64 {
	uniform := (float64(ranker.Score(part, store.Address)) + 1) / math.MaxUint64
	return -float64(store.Capacity) / math.Log(uniform)
}
