package launcher_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/process/standin/fleet"
)

func start(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	running, stop, err := fleet.Start(layout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	begin := time.Now()
	if err := running.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	t.Log("ready after", time.Since(begin))
	return running
}

// Guards against a path that works in parts and not as a whole: prompts are
// answered whole and correctly through every entry process.
func TestPromptsThroughEveryEntryProcess(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.DefaultLayout())
	for round := range 3 {
		for i, entry := range running.Entries {
			body := fleet.Prompt(strings.Repeat("histories of oars ", 300)+string(rune('a'+i)), 12)
			answer, err := fleet.Ask(t.Context(), entry, fleet.FirstWorkspace, body)
			is.NoErr(err)
			is.NoErr(answer.Check(body, 12))
			t.Log(round, entry.ID, answer.FirstToken)
		}
	}
}
