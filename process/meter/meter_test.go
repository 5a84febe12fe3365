package meter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/meter"
)

// Guards against time series that grow with the number of workspaces, and
// against metrics that are missing from the endpoint.
func TestWorkspaceLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	metrics, handler, cleanup, err := meter.New("trial", "a")
	is.NoErr(err)
	defer cleanup()
	for i := range 300 {
		metrics.Observe(mulberrybeam.Entry{Kind: mulberrybeam.EntryCompletion, Stats: &mulberrybeam.RequestStats{
			Workspace:        mulberrybeam.WorkspaceName(fmt.Sprint("w", i)),
			Model:            "summary",
			FirstToken:       time.Second,
			RecomputedTokens: 7,
		}})
	}
	metrics.Observe(mulberrybeam.Entry{Kind: mulberrybeam.EntryRefusal, Code: mulberrybeam.CodeOverloaded})
	metrics.ObserveFeed(mulberrybeam.ObjectTarget, "follower", 250*time.Millisecond)

	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	body := response.Body.String()
	is.Equal(strings.Count(body, "first_token_seconds_count{"), 101)
	is.True(strings.Contains(body, `code="overloaded"`))
	is.True(strings.Contains(body, `source="recompute"`))
	is.True(strings.Contains(body, `zone="a"`))
	is.True(strings.Contains(body, "mulberrybeam_feed_results_total{") && strings.Contains(body, `source="follower"`))
	is.True(strings.Contains(body, "mulberrybeam_confirmation_age_seconds{"))
}

// Guards against waits of the control goroutine's events that are missing from the
// endpoint, or not told apart by lane.
func TestControlWaits(t *testing.T) {
	is := is.New(t)
	metrics, handler, cleanup, err := meter.New("trial", "a")
	is.NoErr(err)
	defer cleanup()
	metrics.ObserveControlWait("urgent", 40*time.Millisecond)
	metrics.ObserveControlWait("posted", 2*time.Second)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	body := response.Body.String()
	is.Equal(strings.Count(body, "control_wait_seconds_count{"), 2)
	is.True(strings.Contains(body, `lane="urgent"`))
}
