package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/meter"
)

// Guards against evidence of rollouts that is missing in the metrics.
func TestRolloutResponses(t *testing.T) {
	is := is.New(t)
	m, handler, stop, err := meter.New("", "a")
	is.NoErr(err)
	defer stop()
	is.NoErr(m.WatchRollouts(func() []mulberrybeam.RolloutReport {
		return []mulberrybeam.RolloutReport{{Service: "s", Counts: []mulberrybeam.RolloutCounts{
			{Route: "a", New: true, Responses: 9, Failures: 2}, {Route: "b", New: true, Responses: 4}, {Route: "a", Responses: 50},
		}}}
	}))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	found := map[string]bool{}
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, "mulberrybeam_rollout_responses_total{") {
			for _, want := range []string{`outcome="answered"`, `outcome="failed"`} {
				if strings.Contains(line, want) && strings.Contains(line, `version="new"`) {
					found[want+line[strings.LastIndex(line, " "):]] = true
				}
			}
		}
	}
	is.True(found["outcome=\"answered\" 11\n"])
	is.True(found["outcome=\"failed\" 2\n"])
}
