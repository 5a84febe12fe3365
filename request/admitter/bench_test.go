package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/admitter"
)

// BenchmarkAdmit measures one admission and release at the size that the system
// is designed for: 640 engines for 10 models, thus 64 engines for the model of
// the requests, and 2,200 workspaces.
func BenchmarkAdmit(b *testing.B) {
	const engines, workspaces = 64, 2200
	view := snapshot(8, time.Minute)
	ids := make([]mulberrybeam.TargetID, engines)
	for i := range ids {
		ids[i] = mulberrybeam.TargetID(fmt.Sprint("e", i))
		view.Tables.Targets[ids[i]] = mulberrybeam.Target{ID: ids[i], WarmLimit: 8}
	}
	view.Tables.EnginesByModel["m"] = ids
	requests := make([]*mulberrybeam.Request, workspaces)
	for i := range requests {
		name := mulberrybeam.WorkspaceName(fmt.Sprint("w", i))
		view.Tables.Workspaces[name] = mulberrybeam.Workspace{Name: name, Weight: 1}
		requests[i] = &mulberrybeam.Request{Workspace: name, Model: "m", Deadline: time.Hour}
	}
	gate := admitter.New(func() time.Duration { return time.Second })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		release, err := gate.Admit(b.Context(), view, requests[i%workspaces])
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
