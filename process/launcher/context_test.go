package launcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/fleet"
	"mulberrybeam/process/standin/store"
)

const answerTokens = 8

// history returns a prompt text of about 8 KB that is different for each name.
func history(name string) string { return strings.Repeat("history of "+name+", ", 8000/(len(name)+13)) }

// ask sends a prompt and fails the test unless the answer is complete and
// correct.
func ask(t *testing.T, entry *fleet.Entry, workspace mulberrybeam.WorkspaceName, text string) mulberrybeam.RequestID {
	t.Helper()
	body := fleet.Prompt(text, answerTokens)
	answer, err := fleet.Ask(t.Context(), entry, workspace, body)
	if err == nil {
		err = answer.Check(body, answerTokens)
	}
	if err != nil {
		t.Fatal(err)
	}
	return answer.Request
}

// restart restarts all engines, which empties their caches, and waits until all
// entry processes know the new instances.
func restart(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, engine := range f.Engines {
		if err := engine.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	await(t, 10*time.Second, "all entry processes know the new instances", func() bool {
		for _, entry := range f.Entries {
			for id, engine := range f.Engines {
				if string(entry.Control.Snapshot().Targets[id].Instance) != engine.Instance() {
					return false
				}
			}
		}
		return true
	})
}

// kept sends a prompt and waits until its context is exported to a store.
func kept(t *testing.T, f *fleet.Fleet, entry *fleet.Entry, text string) {
	t.Helper()
	before := counted(f, "exports")
	ask(t, entry, fleet.FirstWorkspace, text)
	await(t, 5*time.Second, "the context is exported", func() bool { return counted(f, "exports") > before })
}

// settle waits until all exports have ended, so that the next test case does
// not count an export of this one as its own.
func settle(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	sum, since := -1, time.Now()
	await(t, 5*time.Second, "all exports have ended", func() bool {
		now := counted(f, "exports") + counted(f, "exports-failed") + counted(f, "exports-unavailable")
		if now != sum {
			sum, since = now, time.Now()
		}
		return time.Since(since) > 300*time.Millisecond
	})
}

// imported reports whether the timeline has a route entry of the request that
// names an import from a store.
func imported(f *fleet.Fleet, request mulberrybeam.RequestID) bool {
	for _, text := range entriesOf(f, request, mulberrybeam.EntryRoute) {
		if strings.Contains(text, "; import from store-") {
			return true
		}
	}
	return false
}

func oneZone() fleet.Layout {
	layout := fleet.DefaultLayout()
	layout.Zones = layout.Zones[:1]
	return layout
}

// Guards against a returning prompt whose context is recomputed although a store
// has it, after the engines restarted and after other prompts evicted it from
// their caches.
func TestReturningPromptImportsItsContext(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout := oneZone()
	layout.Engine = func(s *engine.Settings) { s.CacheBlocks = 8 }
	f := start(t, layout)
	kept(t, f, f.Entries[0], history("restart"))
	restart(t, f)
	request := ask(t, f.Entries[1], fleet.FirstWorkspace, history("restart")+"and more")
	t.Log(entriesOf(f, request, mulberrybeam.EntryRoute))
	is.Equal(counted(f, "imports"), 1)
	is.True(imported(f, request))

	// The entry process that sent the prompt, if it does not receive the cache
	// events of the engine, assumes for one minute that the engine has the
	// context cached. Therefore the prompt returns to the other process.
	for _, returns := range []struct{ first, second int }{{0, 1}, {1, 0}} {
		name := fmt.Sprint("eviction ", returns)
		kept(t, f, f.Entries[returns.first], history(name))
		for i := range 12 {
			ask(t, f.Entries[i%2], fleet.FirstWorkspace, history(fmt.Sprint(name, " and ", i)))
		}
		time.Sleep(time.Second) // cache events are polled every 500 ms
		before := counted(f, "imports")
		request = ask(t, f.Entries[returns.second], fleet.FirstWorkspace, history(name)+"and more")
		t.Log(returns, entriesOf(f, request, mulberrybeam.EntryRoute))
		is.Equal(counted(f, "imports"), before+1)
		is.True(imported(f, request))
	}
	is.Equal(counted(f, "wrong-version-hits"), 0)
}

// Guards against a workspace that uses the context of another one because it
// sends the same text.
func TestContextIsNotSharedBetweenWorkspaces(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, oneZone())
	kept(t, f, f.Entries[0], history("secret"))
	before := counted(f, "cached-tokens")
	first := ask(t, f.Entries[1], fleet.SecondWorkspace, history("secret"))
	is.Equal(counted(f, "cached-tokens"), before)
	restart(t, f)
	imports := counted(f, "imports")
	// Nothing may be imported: the second workspace's own context has another
	// beginning, and the first workspace's context has other keys.
	second := ask(t, f.Entries[1], fleet.SecondWorkspace, history("other")+history("secret"))
	is.Equal(counted(f, "imports"), imports)
	is.True(!imported(f, first) && !imported(f, second))
	ask(t, f.Entries[1], fleet.FirstWorkspace, history("secret"))
	is.Equal(counted(f, "imports"), imports+1) // the owner of the context uses it
}

// storeCase is a test case with one kind of store failure.
type storeCase struct {
	name string
	// early means that the fault is set before the context is exported.
	early bool
	// fault sets the fault; nil means that the stores crash.
	fault func(*store.Faults)
	// hit is the store's counter that shows that the fault took effect, or
	// empty if there is none.
	hit string
}

// set injects the fault into all stores.
func (c storeCase) set(f *fleet.Fleet) {
	for _, store := range f.Stores {
		if c.fault == nil {
			store.Crash()
			continue
		}
		store.SetFaults(c.fault)
	}
}

func (c storeCase) hits(f *fleet.Fleet) int {
	sum := 0
	for _, store := range f.Stores {
		sum += store.Count(c.hit)
	}
	return sum
}

// run sends a prompt that returns while the stores fail, and checks that it is
// answered without an import.
func (c storeCase) run(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	before := c.hits(f)
	if c.early {
		c.set(f)
		ask(t, f.Entries[0], fleet.FirstWorkspace, history(c.name))
		await(t, 5*time.Second, "the export is refused", func() bool { return c.hits(f) > before })
		restart(t, f)
	} else {
		kept(t, f, f.Entries[0], history(c.name))
		restart(t, f)
		c.set(f)
	}
	imports := counted(f, "imports")
	begin := time.Now()
	request := ask(t, f.Entries[1], fleet.FirstWorkspace, history(c.name)+"and more")
	t.Log(time.Since(begin), entriesOf(f, request, mulberrybeam.EntryRoute))
	is.Equal(counted(f, "imports"), imports)
	is.True(c.hit == "" || c.hits(f) > before) // the fault took effect
	for _, host := range f.Stores {
		host.SetFaults(func(s *store.Faults) { *s = store.Faults{} })
		is.NoErr(host.Restart())
	}
	settle(t, f)
}

// Guards against failed or wrong answers when stores fail: the context must be
// recomputed instead.
func TestFailingStoresCostOnlyRecompute(t *testing.T) {
	t.Parallel()
	cases := []storeCase{
		{"full", true, func(s *store.Faults) { s.Full = true }, "full-refused"},
		{"corrupt", false, func(s *store.Faults) { s.CorruptNext = 100 }, "corrupted"},
		{"truncated", false, func(s *store.Faults) { s.TruncateNext = 100 }, "truncated"},
		{"failing", false, func(s *store.Faults) { s.FailNext = 1000 }, "failed"},
		{"slow answers", false, func(s *store.Faults) { s.Delay = 5 * time.Second }, ""},
		{"down", false, nil, "crashes"},
		// The simulated link stays reserved after this fault, so it comes last.
		{"slow link", false, func(s *store.Faults) { s.LinkRate = 1000 }, "manifests-asked"},
	}
	f := start(t, oneZone())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, f) })
	}
}
