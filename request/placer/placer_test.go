package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/placer"
)

func keyChain(blocks int) []mulberrybeam.BlockKey {
	keys := make([]mulberrybeam.BlockKey, blocks)
	for i := range keys {
		keys[i] = mulberrybeam.BlockKey{byte(i + 1)}
	}
	return keys
}

func stores(ids ...mulberrybeam.StoreID) (stores []mulberrybeam.Store) {
	for _, id := range ids {
		stores = append(stores, mulberrybeam.Store{ID: id})
	}
	return stores
}

// Guards against a prompt whose context is looked up in other stores than those
// that hold the context of its prefix.
func TestStoresOfAPromptAndItsPrefixAreTheSame(t *testing.T) {
	is := is.New(t)
	all := stores("a", "b", "c", "d")
	is.Equal(len(placer.Stores(keyChain(1), all)), 2)
	is.Equal(placer.Stores(keyChain(1), all), placer.Stores(keyChain(9), all))
	is.Equal(len(placer.Stores(keyChain(1), stores("a"))), 1)
	is.Equal(len(placer.Stores(nil, all)), 0)
}

// Guards against the use of a manifest that is incomplete, of another context, or
// of a replaced generation.
func TestUsable(t *testing.T) {
	keys := keyChain(4)
	valid := mulberrybeam.Manifest{Key: keys[1], Store: "a", Blocks: 2, Bytes: 9, Generation: 2, Tier: mulberrybeam.TierDisk}
	changed := func(change func(*mulberrybeam.Manifest)) mulberrybeam.Manifest {
		manifest := valid
		change(&manifest)
		return manifest
	}
	longer := changed(func(m *mulberrybeam.Manifest) { m.Key, m.Blocks = keys[3], 4 })
	inMemory := changed(func(m *mulberrybeam.Manifest) { m.Store, m.Tier = "b", mulberrybeam.TierMemory })
	cases := map[string]struct{ found, want []mulberrybeam.Manifest }{
		"good":             {[]mulberrybeam.Manifest{valid}, []mulberrybeam.Manifest{valid}},
		"longest first":    {[]mulberrybeam.Manifest{valid, longer}, []mulberrybeam.Manifest{longer, valid}},
		"memory first":     {[]mulberrybeam.Manifest{valid, inMemory}, []mulberrybeam.Manifest{inMemory, valid}},
		"no bytes":         {[]mulberrybeam.Manifest{changed(func(m *mulberrybeam.Manifest) { m.Bytes = 0 })}, nil},
		"no blocks":        {[]mulberrybeam.Manifest{changed(func(m *mulberrybeam.Manifest) { m.Blocks = 0 })}, nil},
		"too many blocks":  {[]mulberrybeam.Manifest{changed(func(m *mulberrybeam.Manifest) { m.Blocks = 5 })}, nil},
		"other key":        {[]mulberrybeam.Manifest{changed(func(m *mulberrybeam.Manifest) { m.Key = keys[2] })}, nil},
		"no generation":    {[]mulberrybeam.Manifest{changed(func(m *mulberrybeam.Manifest) { m.Generation = 0 })}, nil},
		"older generation": {[]mulberrybeam.Manifest{changed(func(m *mulberrybeam.Manifest) { m.Generation = 1 }), valid}, []mulberrybeam.Manifest{valid}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(placer.Usable(keys, c.found), c.want)
		})
	}
}

// Guards against exporting a context that is already stored, and against reusing
// a generation that a store already has.
func TestExport(t *testing.T) {
	is := is.New(t)
	keys, all := keyChain(2), stores("a", "b")
	kept := mulberrybeam.Manifest{Key: keys[1], Blocks: 2, Bytes: 9, Generation: 3}
	store, generation, needed := placer.Export(keys, all, nil)
	is.True(needed && generation == 1 && store.ID == placer.Stores(keys, all)[0].ID)
	_, _, needed = placer.Export(keys, all, []mulberrybeam.Manifest{kept})
	is.True(!needed)
	kept.Bytes = 0 // found but not usable
	_, generation, needed = placer.Export(keys, all, []mulberrybeam.Manifest{kept})
	is.True(needed && generation == 4)
	_, _, needed = placer.Export(nil, all, nil)
	is.True(!needed)
}

// Guards against prefetches and exports that delay waiting prompts.
func TestDecideByPriority(t *testing.T) {
	const rate = 1e6
	interactive, prefetch, export := mulberrybeam.PriorityInteractive, mulberrybeam.PriorityPrefetch, mulberrybeam.PriorityExport
	cases := []struct {
		name     string
		use      placer.LinkUse
		debt     float64
		priority mulberrybeam.Priority
		want     bool
	}{
		{"idle link", placer.LinkUse{Rate: rate, Members: 1}, 0, export, true},
		{"no rate", placer.LinkUse{Members: 1}, 0, interactive, false},
		{"prompt on a full link", placer.LinkUse{Rate: rate, Others: rate, Members: 4}, 0, interactive, true},
		{"prefetch on a half-used link", placer.LinkUse{Rate: rate, Others: rate / 2, Members: 4}, 0, prefetch, true},
		{"export on a half-used link", placer.LinkUse{Rate: rate, Others: rate / 2, Members: 4}, 0, export, false},
		{"prefetch on a link used by 3/4", placer.LinkUse{Rate: rate, Others: rate / 2, Own: rate / 4, Members: 4}, 0, prefetch, false},
		{"prefetch while prompts wait", placer.LinkUse{Rate: rate, Members: 1, WaitingPrompts: 1}, 0, prefetch, false},
		{"prompt behind a small backlog", placer.LinkUse{Rate: rate, Members: 1}, rate / 10, interactive, true},
		{"prompt behind a large backlog", placer.LinkUse{Rate: rate, Members: 1}, rate / 2, interactive, false},
		{"prefetch behind a large backlog", placer.LinkUse{Rate: rate, Members: 1}, rate / 10, prefetch, false},
		{"export behind any backlog", placer.LinkUse{Rate: rate, Members: 1}, 1000, export, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := placer.Link{Debts: [3]float64{c.debt, c.debt, c.debt}, UpdatedAt: time.Second}
			after, verdict := placer.Decide(time.Second, before, c.use, placer.Transfer{Priority: c.priority, Bytes: 1000})
			is.Equal(verdict.Allowed, c.want)
			is.Equal(after.Debts[0] > before.Debts[0], c.want)
			is.Equal(verdict.Wait > 0, !c.want)
		})
	}
}

// Guards against processes that together transfer more than the share of the
// link's rate for the priority. All rely on measurements that are up to a second
// old.
func TestProcessesTogetherStayWithinTheLinkRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, size, step = 1e6, 2000, 10 * time.Millisecond
		members := rapid.IntRange(1, 9).Draw(t, "members")
		transfer := rapid.SampledFrom([]placer.Transfer{{Bytes: size}, {Bytes: size, Priority: mulberrybeam.PriorityPrefetch}, {Bytes: size, Priority: mulberrybeam.PriorityExport}}).Draw(t, "transfer")
		share := map[mulberrybeam.Priority]float64{mulberrybeam.PriorityPrefetch: 0.7, mulberrybeam.PriorityExport: 0.4}[transfer.Priority]
		if share == 0 {
			share = 1
		}
		active := rapid.IntRange(1, members).Draw(t, "active")
		links := make([]placer.Link, active)
		sent, measured := make([]float64, active), make([]float64, active)
		var total, totalUse float64
		const seconds = 20
		for now := time.Duration(0); now < seconds*time.Second; now += step {
			if now%time.Second == 0 {
				copy(measured, sent)
				totalUse = 0
				for i := range sent {
					totalUse += measured[i]
					sent[i] = 0
				}
			}
			for i := range links {
				var verdict placer.Verdict
				links[i], verdict = placer.Decide(now, links[i], placer.LinkUse{Rate: rate, Others: totalUse - measured[i], Own: measured[i], Members: members}, transfer)
				if verdict.Allowed {
					sent[i] += size
					total += size
				}
			}
		}
		// Each process may exceed its share by the maximum backlog of a prompt.
		if limit := share * rate * (seconds + 0.2) * 1.01; total > limit+float64(active*size) {
			t.Fatalf("%d of %d processes sent %.0f bytes in %d s", active, members, total, seconds)
		}
	})
}

// Guards against concurrent fetches of one context, and against a lost fetch that
// blocks later ones.
func TestOneFetchOfAContextAtATime(t *testing.T) {
	is := is.New(t)
	fetches := placer.Fetches{}
	key := keyChain(1)[0]
	first := placer.Fetch{Request: "1", Target: "a", Until: time.Second}
	second := placer.Fetch{Request: "2", Target: "b", Until: 3 * time.Second}
	_, began := fetches.Begin(0, key, first)
	is.True(began)
	running, began := fetches.Begin(0, key, second)
	is.True(!began && running == first)
	fetches.End(key, "2")
	_, began = fetches.Begin(0, key, second)
	is.True(!began) // ending a fetch that did not begin has no effect
	_, began = fetches.Begin(time.Second, key, second)
	is.True(began) // the first fetch counts as lost
	fetches.End(key, "1")
	_, began = fetches.Begin(time.Second, key, first)
	is.True(!began)
	fetches.End(key, "2")
	is.Equal(len(fetches), 0)
}
