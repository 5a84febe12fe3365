package launcher_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/process/standin/fleet"
)

// Guards against failures of the complete request path that the tests of single
// packages miss: every entry process must answer prompts completely and
// correctly.
func TestPromptsThroughEveryEntryProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	running := startFleet(t, fleet.DefaultLayout())
	for round := range 3 {
		for i, entry := range running.Entries {
			body := fleet.PromptBody(strings.Repeat("histories of oars ", 300)+string(rune('a'+i)), 12)
			answer, err := fleet.Ask(t.Context(), entry, fleet.FirstWorkspace, body)
			is.NoErr(err)
			is.NoErr(answer.Check(body, 12))
			t.Log(round, entry.ID, answer.FirstToken)
		}
	}
}
