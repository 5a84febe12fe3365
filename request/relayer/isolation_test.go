package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
)

// Guards against a retry that stores context of a workspace for others although the
// workspace was isolated after the request had arrived.
func TestRetryFollowsIsolationOfWorkspace(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*mulberrybeam.WorkspaceSpec)
		salt   string
	}{
		"isolated":              {func(w *mulberrybeam.WorkspaceSpec) { w.Isolated = true }, "0/w"},
		"isolated, another key": {func(w *mulberrybeam.WorkspaceSpec) { w.Isolated, w.Keys = true, []string{"k2"} }, "0/w"},
		"removed":               {func(w *mulberrybeam.WorkspaceSpec) { *w = mulberrybeam.WorkspaceSpec{Name: "v", Keys: []string{"k2"}} }, "0/w"},
		"another one isolated":  {func(*mulberrybeam.WorkspaceSpec) {}, "0+" + fetcher.SharingGroup([]mulberrybeam.WorkspaceSpec{{Name: "x", Isolated: true}})},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h *harness
			changeOnce := func(writer http.ResponseWriter, request *http.Request) {
				fleet := *h.fleet.Load()
				if fleet.SharingGroup != "" {
					respondsStamped("ok")(writer, request)
					return
				}
				changed := fleet.Deployment.Workspaces[0]
				test.change(&changed)
				deployment := *fleet.Deployment
				deployment.Workspaces = []mulberrybeam.WorkspaceSpec{changed, {Name: "x", Isolated: true}}
				fleet.Deployment, fleet.SharingGroup = &deployment, fetcher.SharingGroup(deployment.Workspaces)
				fleet.Keys = map[string]*mulberrybeam.WorkspaceSpec{changed.Keys[0]: &deployment.Workspaces[0]}
				h.fleet.Store(&fleet)
				refuses(writer, request)
			}
			h = newHarness(t, mulberrybeam.Rule{MaxAttempts: 2, LatencyGoal: time.Second}, changeOnce, changeOnce)
			result := h.call(func(header http.Header) {
				header.Set("Mulberrybeam-Model", "m")
				header.Set("Mulberrybeam-Prompt-Prefix", "p1:10,p2:20")
			})
			is.NoErr(result.err)
			is.Equal(result.status, http.StatusOK)
			is.Equal(h.requestCount(), 2)
			is.Equal(h.requests[0].Header.Get("Mulberrybeam-Cache-Salt"), "0")
			is.Equal(h.requests[1].Header.Get("Mulberrybeam-Cache-Salt"), test.salt)
		})
	}
}
