package starter_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/process/standin/metastore"
)

// Guards against 404 and 401 from a host that does not have the configuration yet, or
// has one that may be outdated. A caller gives up a valid request at these.
func TestNoNotFoundWithoutCurrentConfiguration(t *testing.T) {
	is := is.New(t)
	down := metastore.Faults{Status: http.StatusServiceUnavailable}
	h := newHarness(t, answerOK, func(h *harness) {
		h.settings.Bounds.ConfigWithin = time.Second
		h.settings.Bounds.FailClosed = false
		h.store.SetFaults(down)
	})
	unknownRoute, knownRoute := h.settings.CallerAddress+"/z/", h.settings.CallerAddress+"/a/b"
	for range 20 {
		status, _ := h.get(t, unknownRoute, "k")
		is.Equal(status, http.StatusServiceUnavailable)
		status, _ = h.get(t, knownRoute, "x")
		is.Equal(status, http.StatusServiceUnavailable)
		time.Sleep(10 * time.Millisecond)
	}
	h.store.SetFaults(metastore.Faults{})
	h.awaitStatus(t, "an unknown route is not refused", http.StatusNotFound, unknownRoute, "k")
	h.awaitStatus(t, "an unknown key is not refused", http.StatusUnauthorized, knownRoute, "x")
	h.store.SetFaults(down)
	h.awaitStatus(t, "an outdated configuration says that a route is unknown", http.StatusServiceUnavailable, unknownRoute, "k")
	h.awaitStatus(t, "an outdated configuration says that a key is unknown", http.StatusServiceUnavailable, knownRoute, "x")
	status, _ := h.get(t, knownRoute, "k")
	is.Equal(status, http.StatusOK) // what the configuration has is still served
	h.store.SetFaults(metastore.Faults{})
	h.awaitStatus(t, "an unknown route is not refused after the outage", http.StatusNotFound, unknownRoute, "k")
}
