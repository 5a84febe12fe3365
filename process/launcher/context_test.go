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

// promptText returns a prompt text of about 8 KB that is different for each
// name.
func promptText(name string) string {
	return strings.Repeat("history of "+name+", ", 8000/(len(name)+13))
}

// askPrompt sends a prompt and fails the test unless the answer is complete and
// correct.
func askPrompt(t *testing.T, entry *fleet.Entry, workspace mulberrybeam.WorkspaceName, text string) mulberrybeam.RequestID {
	t.Helper()
	body := fleet.PromptBody(text, answerTokens)
	answer, err := fleet.Ask(t.Context(), entry, workspace, body)
	if err == nil {
		err = answer.Check(body, answerTokens)
	}
	if err != nil {
		t.Fatal(err)
	}
	return answer.Request
}

// restartEngines restarts all engines, which empties their caches, and waits
// until all entry processes know the new instances.
func restartEngines(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, engine := range f.Engines {
		if err := engine.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, 10*time.Second, "all entry processes know the new instances", func() bool {
		for _, entry := range f.Entries {
			for id, engine := range f.Engines {
				if string(entry.Controller.Snapshot().Targets[id].Instance) != engine.Instance() {
					return false
				}
			}
		}
		return true
	})
}

// askAndAwaitExport sends a prompt and waits until its context is exported to a
// store.
func askAndAwaitExport(t *testing.T, f *fleet.Fleet, entry *fleet.Entry, text string) {
	t.Helper()
	before := sumCounter(f, "exports")
	askPrompt(t, entry, fleet.FirstWorkspace, text)
	waitFor(t, 5*time.Second, "the context is exported", func() bool { return sumCounter(f, "exports") > before })
}

// waitForExports waits until all exports have ended, so that the next test case
// does not count an export of this one as its own.
func waitForExports(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	lastTotal, lastChange := -1, time.Now()
	waitFor(t, 5*time.Second, "all exports have ended", func() bool {
		total := sumCounter(f, "exports") + sumCounter(f, "exports-failed") + sumCounter(f, "exports-unavailable")
		if total != lastTotal {
			lastTotal, lastChange = total, time.Now()
		}
		return time.Since(lastChange) > 300*time.Millisecond
	})
}

// routedWithImport reports whether the timeline has a route entry of the
// request that names an import from a store.
func routedWithImport(f *fleet.Fleet, request mulberrybeam.RequestID) bool {
	for _, text := range timelineEntries(f, request, mulberrybeam.EntryRoute) {
		if strings.Contains(text, "; import from store-") {
			return true
		}
	}
	return false
}

func singleZoneLayout() fleet.Layout {
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
	layout := singleZoneLayout()
	layout.Engine = func(s *engine.Settings) { s.CacheBlocks = 8 }
	f := startFleet(t, layout)
	askAndAwaitExport(t, f, f.Entries[0], promptText("restart"))
	restartEngines(t, f)
	request := askPrompt(t, f.Entries[1], fleet.FirstWorkspace, promptText("restart")+"and more")
	t.Log(timelineEntries(f, request, mulberrybeam.EntryRoute))
	is.Equal(sumCounter(f, "imports"), 1)
	is.True(routedWithImport(f, request))

	// The entry process that sent the prompt, if it does not receive the cache
	// events of the engine, assumes for one minute that the engine has the
	// context cached. Therefore the prompt returns to the other process.
	for _, route := range []struct{ first, second int }{{0, 1}, {1, 0}} {
		name := fmt.Sprint("eviction ", route)
		askAndAwaitExport(t, f, f.Entries[route.first], promptText(name))
		for i := range 12 {
			askPrompt(t, f.Entries[i%2], fleet.FirstWorkspace, promptText(fmt.Sprint(name, " and ", i)))
		}
		time.Sleep(time.Second) // cache events are polled every 500 ms
		before := sumCounter(f, "imports")
		request = askPrompt(t, f.Entries[route.second], fleet.FirstWorkspace, promptText(name)+"and more")
		t.Log(route, timelineEntries(f, request, mulberrybeam.EntryRoute))
		is.Equal(sumCounter(f, "imports"), before+1)
		is.True(routedWithImport(f, request))
	}
	is.Equal(sumCounter(f, "wrong-version-hits"), 0)
}

// Guards against a workspace that uses the context of another one because it
// sends the same text.
func TestContextIsNotSharedBetweenWorkspaces(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, singleZoneLayout())
	askAndAwaitExport(t, f, f.Entries[0], promptText("secret"))
	before := sumCounter(f, "cached-tokens")
	first := askPrompt(t, f.Entries[1], fleet.SecondWorkspace, promptText("secret"))
	is.Equal(sumCounter(f, "cached-tokens"), before)
	restartEngines(t, f)
	imports := sumCounter(f, "imports")
	// Nothing may be imported: the second workspace's own context has another
	// beginning, and the first workspace's context has other keys.
	second := askPrompt(t, f.Entries[1], fleet.SecondWorkspace, promptText("other")+promptText("secret"))
	is.Equal(sumCounter(f, "imports"), imports)
	is.True(!routedWithImport(f, first) && !routedWithImport(f, second))
	askPrompt(t, f.Entries[1], fleet.FirstWorkspace, promptText("secret"))
	is.Equal(sumCounter(f, "imports"), imports+1) // the owner of the context uses it
}

// storeCase is a test case with one kind of store failure.
type storeCase struct {
	name string
	// beforeExport means that the fault is set before the context is exported.
	beforeExport bool
	// fault sets the fault; nil means that the stores crash.
	fault func(*store.Faults)
	// hitCounter is the store's counter that shows that the fault took effect,
	// or empty if there is none.
	hitCounter string
}

// injectFault injects the fault into all stores.
func (c storeCase) injectFault(f *fleet.Fleet) {
	for _, store := range f.Stores {
		if c.fault == nil {
			store.Crash()
			continue
		}
		store.SetFaults(c.fault)
	}
}

func (c storeCase) hitCount(f *fleet.Fleet) int {
	sum := 0
	for _, store := range f.Stores {
		sum += store.Count(c.hitCounter)
	}
	return sum
}

// run sends a prompt that returns while the stores fail, and checks that it is
// answered without an import.
func (c storeCase) run(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	before := c.hitCount(f)
	if c.beforeExport {
		c.injectFault(f)
		askPrompt(t, f.Entries[0], fleet.FirstWorkspace, promptText(c.name))
		waitFor(t, 5*time.Second, "the export is refused", func() bool { return c.hitCount(f) > before })
		restartEngines(t, f)
	} else {
		askAndAwaitExport(t, f, f.Entries[0], promptText(c.name))
		restartEngines(t, f)
		c.injectFault(f)
	}
	imports := sumCounter(f, "imports")
	begin := time.Now()
	request := askPrompt(t, f.Entries[1], fleet.FirstWorkspace, promptText(c.name)+"and more")
	t.Log(time.Since(begin), timelineEntries(f, request, mulberrybeam.EntryRoute))
	is.Equal(sumCounter(f, "imports"), imports)
	is.True(c.hitCounter == "" || c.hitCount(f) > before) // the fault took effect
	for _, host := range f.Stores {
		host.SetFaults(func(s *store.Faults) { *s = store.Faults{} })
		is.NoErr(host.Restart())
	}
	waitForExports(t, f)
}

// Guards against failed or wrong answers when stores fail: the context must be
// recomputed instead.
func TestFailingStoresCauseOnlyRecompute(t *testing.T) {
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
	f := startFleet(t, singleZoneLayout())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, f) })
	}
}
