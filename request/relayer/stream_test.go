package relayer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
)

// writeEvents writes the events with the IDs from and to, inclusive, and all
// between.
func writeEvents(writer http.ResponseWriter, from, to int) {
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", id)
	}
	_ = http.NewResponseController(writer).Flush()
}

// abortsAfter sends the events up to last, then aborts in the middle of the
// next.
func abortsAfter(last int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		writeEvents(writer, 1, last)
		_, _ = fmt.Fprintf(writer, "id: %d\nda", last+1)
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
}

// resumesStream resumes a stream of six events after the Last-Event-Id header.
func resumesStream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Mulberrybeam-Response-Stamp", "second")
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	writeEvents(writer, last+1, 6)
}

// Guards against missing or duplicate events when a stream resumes on another
// target.
func TestStreamResumesOnAnotherTarget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, streamRule, abortsAfter(2), resumesStream)
	got := h.call(nil)
	is.NoErr(got.err)
	var want strings.Builder
	for id := 1; id <= 6; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: x\n\n", id)
	}
	is.Equal(got.body, want.String())
	is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "first")
}

// Guards against a closed connection in place of a 502 response when the stream
// is interrupted before its first event and no retry is allowed.
func TestStreamInterruptedBeforeFirstEvent(t *testing.T) {
	is := is.New(t)
	singleAttempt := streamRule
	singleAttempt.MaxAttempts = 1
	h := newHarness(t, singleAttempt, abortsAfter(0))
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "")

	h = newHarness(t, streamRule, abortsAfter(0), resumesStream)
	got = h.call(nil)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "second")
}

// Guards against an interrupted stream that looks complete to the caller, and
// against a second run of a stream that must not be resumed.
func TestNonResumableStreamIsNotRetried(t *testing.T) {
	is := is.New(t)
	rule := streamRule
	rule.Guarantee, rule.Resumable = mulberrybeam.GuaranteeAtMostOnce, false
	h := newHarness(t, rule, abortsAfter(2), resumesStream)
	got := h.call(nil)
	is.True(got.err != nil)
	is.Equal(h.requestCount(), 1)
}

// Guards against a stream that resumes on a target that has left since the
// request arrived.
func TestStreamResumesOnRemainingTarget(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, streamRule, func(writer http.ResponseWriter, request *http.Request) {
		fleet := *h.fleet.Load()
		targets := fleet.Targets["s"]
		fleet.Targets = map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": {targets[0], targets[2]}}
		h.fleet.Store(&fleet)
		abortsAfter(2)(writer, request)
	}, resumesStream, resumesStream)
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(h.requests[1].Header.Get("Mulberrybeam-Expect-Instance"), "t2")
}
