package fetcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
)

// fakeCatalog is a fetcher.Catalog with fixed contents.
type fakeCatalog struct {
	stored  map[mulberrybeam.PartKey]string
	full    map[string]bool
	claimed bool
	// clockless is set while no store has told the engines' clock.
	clockless bool
}

func (c fakeCatalog) StoreOf(key mulberrybeam.PartKey) (string, bool) {
	address, found := c.stored[key]
	return address, found
}
func (c fakeCatalog) Writable(address string, _ int) bool { return !c.full[address] }
func (c fakeCatalog) Claim(mulberrybeam.PartKey) bool     { return !c.claimed }
func (c fakeCatalog) Clock() (mulberrybeam.EngineClock, bool) {
	return mulberrybeam.EngineClock(time.Hour), !c.clockless
}

var (
	stores = []mulberrybeam.ContextStore{{Address: "s1:1", Zone: "a", Capacity: 100}, {Address: "s2:1", Zone: "b", Capacity: 300}}
	parts  = []mulberrybeam.PromptPart{{ID: "p1", Tokens: 10}, {ID: "p2", Tokens: 20}, {ID: "own", Tokens: 5}}
)

func query() fetcher.Query {
	return fetcher.Query{Model: "m", Salt: "3", Parts: parts, Stores: stores}
}

// Guards against fetching a part from a store that is not known to have it, and
// against saving the last part, which is specific to the request.
func TestDecide(t *testing.T) {
	is := is.New(t)
	stored := map[mulberrybeam.PartKey]string{{Salt: "3", Model: "m", ID: "p1"}: "s1:1", {Salt: "2", Model: "m", ID: "p2"}: "s1:1"}
	plan := fetcher.Decide(fakeCatalog{stored: stored}, query())
	is.Equal(plan.FetchFrom, []string{"s1:1", "", ""})
	is.Equal(plan.SaveTo[0], "")
	is.True(plan.SaveTo[1] != "")
	is.Equal(plan.SaveTo[2], "")
	is.True(plan.FetchDeadline > mulberrybeam.EngineClock(time.Hour))
	plan = fetcher.Decide(fakeCatalog{stored: stored, claimed: true}, query())
	is.Equal(plan.SaveTo, []string{"", "", ""})
	plan = fetcher.Decide(fakeCatalog{full: map[string]bool{"s1:1": true, "s2:1": true}}, query())
	is.Equal(plan.SaveTo, []string{"", "", ""})
}

// Guards against recomputing shared parts that another engine may have, and
// against preferring that engine to a store that has a part.
func TestPeerIsAskedForPartsWithoutStore(t *testing.T) {
	is := is.New(t)
	peerQuery := query()
	peerQuery.Peer = "e1:1"
	stored := map[mulberrybeam.PartKey]string{{Salt: "3", Model: "m", ID: "p1"}: "s1:1"}
	plan := fetcher.Decide(fakeCatalog{stored: stored}, peerQuery)
	is.Equal(plan.FetchFrom, []string{"s1:1", "e1:1", ""})
	is.True(plan.SaveTo[1] != "")
	peerQuery.Stores = nil
	plan = fetcher.Decide(fakeCatalog{}, peerQuery)
	is.Equal(plan.FetchFrom, []string{"e1:1", "e1:1", ""})
}

// Load pattern: a store whose link is slow, before engines with spare time.
// Guards against a short prompt that waits seconds for context which the engine
// recomputes in milliseconds, and against recomputation at an engine that has
// much to prefill already.
func TestFetchTimeoutFollowsTheLatencyGoal(t *testing.T) {
	const goal = 400 * time.Millisecond
	cases := []struct {
		name       string
		tokens     int
		backlog    int
		timeToGoal time.Duration
		within     bool
	}{
		{"short prompt", 650, 0, goal, true},
		{"long prompt", 12000, 0, 2 * goal, true},
		{"prompt whose first token is overdue", 650, 0, -time.Second, true},
		{"engine with a backlog", 650, 30000, goal, false},
		{"prompt longer than an engine prefills at once", 30000, 0, 2 * goal, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := query()
			q.Parts = []mulberrybeam.PromptPart{{ID: "p1", Tokens: c.tokens}, {ID: "own", Tokens: 50}}
			q.Backlog, q.TimeToGoal = c.backlog, c.timeToGoal
			stored := map[mulberrybeam.PartKey]string{{Salt: "3", Model: "m", ID: "p1"}: "s1:1"}
			timeout := time.Duration(fetcher.Decide(fakeCatalog{stored: stored}, q).FetchDeadline) - time.Hour
			is.True(timeout > 0)
			is.Equal(timeout < max(c.timeToGoal, goal), c.within)
		})
	}
}

// Guards against a fetch that lasts until its store has restarted and the part is being
// written again: one without a deadline, or of a very long prompt.
func TestFetchesAreBounded(t *testing.T) {
	is := is.New(t)
	q := query()
	q.Parts = []mulberrybeam.PromptPart{{ID: "p1", Tokens: 1_000_000}, {ID: "own", Tokens: 50}}
	q.TimeToGoal = time.Minute
	stored := map[mulberrybeam.PartKey]string{{Salt: "3", Model: "m", ID: "p1"}: "s1:1"}
	plan := fetcher.Decide(fakeCatalog{stored: stored}, q)
	is.Equal(plan.FetchFrom[0], "s1:1")
	is.Equal(time.Duration(plan.FetchDeadline)-time.Hour, fetcher.MaxFetchTime)
	plan = fetcher.Decide(fakeCatalog{stored: stored, clockless: true}, q)
	is.Equal(plan, fetcher.Plan{FetchFrom: []string{"", ""}, SaveTo: []string{"", ""}})
}

// Guards against parts that are not distributed by store capacity, and against
// a choice of store that depends on the order in which stores are listed.
func TestPartsAreDistributedByCapacity(t *testing.T) {
	is := is.New(t)
	counts := map[mulberrybeam.ZoneName]int{}
	for i := range 4000 {
		counts[fetcher.PreferredZone(stores, fmt.Sprint("part", i))]++
	}
	is.True(counts["b"] > 2850 && counts["b"] < 3150)
	is.Equal(fetcher.PreferredZone([]mulberrybeam.ContextStore{stores[1], stores[0]}, "p1"), fetcher.PreferredZone(stores, "p1"))
	is.Equal(fetcher.PreferredZone(nil, "p1"), mulberrybeam.ZoneName(""))
}
