package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/operator"
)

func get(t *testing.T, handler http.Handler, path string, into any) int {
	t.Helper()
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, path, nil))
	if into != nil {
		if err := json.Unmarshal(response.Body.Bytes(), into); err != nil {
			t.Fatal(err, response.Body.String())
		}
	}
	return response.Code
}

// Guards against a status that fails before a configuration is in force or
// lacks targets, and against a timeline with entries of other requests.
func TestStatusAndTimeline(t *testing.T) {
	is := is.New(t)
	snapshot := &mulberrybeam.Snapshot{Self: "h/1", Zone: "a"}
	entries := []mulberrybeam.Entry{
		{Request: "r1", Kind: mulberrybeam.EntryRoute, Stamp: mulberrybeam.Stamp{Wall: 5}},
		{Request: "r2", Kind: mulberrybeam.EntryRefusal, Stamp: mulberrybeam.Stamp{Wall: 6}},
	}
	handler, err := operator.New(operator.Sources{
		Snapshot: func() *mulberrybeam.Snapshot { return snapshot },
		Entries:  func() []mulberrybeam.Entry { return entries },
	})
	is.NoErr(err)

	var status operator.Status
	is.Equal(get(t, handler, "/operator/status", &status), http.StatusOK)
	is.Equal(status.Process, mulberrybeam.ProcessID("h/1"))
	is.Equal(len(status.Targets), 0)

	snapshot = &mulberrybeam.Snapshot{
		Ready: true,
		Tables: &mulberrybeam.Tables{
			Environment: &mulberrybeam.Environment{Name: "trial", Revision: 7},
			Targets:     map[mulberrybeam.TargetID]mulberrybeam.Target{"e2": {ID: "e2", Zone: "a"}, "e1": {ID: "e1", Zone: "b"}},
		},
		Targets: map[mulberrybeam.TargetID]mulberrybeam.TargetState{"e2": {Phase: mulberrybeam.PhaseWarm}},
		Members: []mulberrybeam.Member{{ID: "h/2", State: mulberrybeam.MemberSuspect, Revision: 6}},
	}
	is.Equal(get(t, handler, "/operator/status", &status), http.StatusOK)
	is.Equal(status.Revision, mulberrybeam.Revision(7))
	is.Equal([]mulberrybeam.TargetID{status.Targets[0].ID, status.Targets[1].ID}, []mulberrybeam.TargetID{"e1", "e2"})
	is.Equal(status.Targets[1].Phase, mulberrybeam.PhaseWarm)
	is.Equal(status.Members[0].Revision, mulberrybeam.Revision(6))

	var events []operator.Entry
	is.Equal(get(t, handler, "/operator/timeline?request=r2", &events), http.StatusOK)
	is.Equal(len(events), 1)
	is.Equal(events[0].Kind, mulberrybeam.EntryRefusal)
	is.Equal(get(t, handler, "/operator/timeline?since-ms=6", &events), http.StatusOK)
	is.Equal(len(events), 1)
	is.Equal(get(t, handler, "/debug/pprof/goroutine?debug=1", nil), http.StatusOK)
}
