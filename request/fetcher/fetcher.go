// Package fetcher decides from which stores a prompt's kept context is read and
// to which it is written.
package fetcher

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// baseLimit and tokenLimit bound a fetch: it may take longer the more
	// reading it saves, since engines that read prompts again delay all
	// other requests.
	baseLimit  = 1500 * time.Millisecond
	tokenLimit = 150 * time.Microsecond
)

// choices is how many stores, in rendezvous order, a part may be written to
// when the ones before them are full.
const choices = 3

// saltSeparator stands between a weight version and a workspace.
const saltSeparator = "/"

// Salt returns the salt of the context that a weight version makes for a
// workspace. Only isolated workspaces have context of their own.
func Salt(version int, workspace *mulberrybeam.Tenancy) string {
	salt := strconv.Itoa(version)
	if workspace != nil && workspace.Isolated {
		salt += saltSeparator + string(workspace.Name)
	}
	return salt
}

// VersionOf returns the weight version of a salt, or false for one that this
// system did not make.
func VersionOf(salt string) (int, bool) {
	digits, _, _ := strings.Cut(salt, saltSeparator)
	version, err := strconv.Atoi(digits)
	return version, err == nil
}

// Catalog is what the process knows of stores.
type Catalog interface {
	// Holder returns the store that surely has a part whole.
	Holder(key mulberrybeam.PartKey) (address string, found bool)
	// Writable says whether a store answers and has room for tokens more.
	Writable(address string, tokens int) bool
	// Claim says whether this process should have the part written now. It
	// is false for a while after it was true.
	Claim(key mulberrybeam.PartKey) bool
	// Clock returns the present reading of the engines' clock, or false
	// when it is not known.
	Clock() (mulberrybeam.EngineClock, bool)
}

// Query is a prompt whose context is looked for.
type Query struct {
	Model  mulberrybeam.ModelName
	Salt   string
	Parts  []mulberrybeam.PromptPart
	Stores []mulberrybeam.ContextStore
	// Peer is the address of another engine that may have the shared parts,
	// empty for none. A part that it lacks costs the engine a millisecond.
	Peer string
}

// Plan has an address, or none, for each part of the prompt.
type Plan struct {
	FetchFrom []string
	SaveTo    []string
	// Until is when the engine reads the prompt instead.
	Until mulberrybeam.EngineClock
}

// Decide returns the plan for a prompt. The last part belongs to the request
// alone, so that it is neither read nor written.
func Decide(catalog Catalog, query Query) Plan {
	if len(query.Stores) == 0 && query.Peer == "" || len(query.Parts) < 2 {
		return Plan{}
	}
	limit := baseLimit
	plan := Plan{FetchFrom: make([]string, len(query.Parts)), SaveTo: make([]string, len(query.Parts))}
	for i, part := range query.Parts[:len(query.Parts)-1] {
		key := mulberrybeam.PartKey{Salt: query.Salt, Model: query.Model, ID: part.ID}
		if address, found := catalog.Holder(key); found {
			plan.FetchFrom[i] = address
			limit += time.Duration(part.Tokens) * tokenLimit
			continue
		}
		if query.Peer != "" {
			plan.FetchFrom[i] = query.Peer
			limit += time.Duration(part.Tokens) * tokenLimit
		}
		if address, found := home(catalog, query.Stores, part); found && catalog.Claim(key) {
			plan.SaveTo[i] = address
		}
	}
	if now, known := catalog.Clock(); known {
		plan.Until = now + mulberrybeam.EngineClock(limit)
	}
	return plan
}

// Zone returns the zone of the store that a part is written to while it has
// room, or "" without stores.
func Zone(stores []mulberrybeam.ContextStore, part string) mulberrybeam.ZoneName {
	if len(stores) == 0 {
		return ""
	}
	first := slices.MaxFunc(stores, func(a, b mulberrybeam.ContextStore) int {
		return cmp.Compare(weight(a, part), weight(b, part))
	})
	return first.Zone
}

// home returns the first store with room, in the part's rendezvous order
// weighted by capacity.
func home(catalog Catalog, stores []mulberrybeam.ContextStore, part mulberrybeam.PromptPart) (string, bool) {
	ranked := slices.Clone(stores)
	slices.SortFunc(ranked, func(a, b mulberrybeam.ContextStore) int {
		return cmp.Compare(weight(b, part.ID), weight(a, part.ID))
	})
	for _, store := range ranked[:min(choices, len(ranked))] {
		if catalog.Writable(store.Address, part.Tokens) {
			return store.Address, true
		}
	}
	return "", false
}

// weight is the store's weighted rendezvous score, by which each gets parts in
// proportion to its capacity.
func weight(store mulberrybeam.ContextStore, part string) float64 {
	score := (float64(ranker.Score(part, store.Address)) + 1) / math.MaxUint64
	return -float64(store.Capacity) / math.Log(score)
}
