package relayer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

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

// trickles sends the events up to last, and then the given text again and again
// without completing another event, until the connection is closed.
func trickles(last int, text string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		writeEvents(writer, 1, last)
		for request.Context().Err() == nil {
			_, _ = writer.Write([]byte(text))
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against a stalled stream that never ends because its target sends a
// byte now and then: it resumes on another target.
func TestTricklingStreamResumesOnAnotherTarget(t *testing.T) {
	rule := streamRule
	rule.Timeout = 8 * time.Second
	for _, text := range []string{"x", "data: x\n"} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, rule, trickles(2, text), resumesStream)
			begin := time.Now()
			got := h.call(nil)
			is.NoErr(got.err)
			is.Equal(strings.Count(got.body, "id: "), 6)
			is.True(time.Since(begin) < 5*time.Second)
		})
	}
}

// Guards against a slow but sound stream that is cut although it may not run on
// another target.
func TestSlowStreamIsNotCutOnItsLastTarget(t *testing.T) {
	slow := func(writer http.ResponseWriter, request *http.Request) {
		last := 0
		_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
		writer.Header().Set("Mulberrybeam-Response-Stamp", "second")
		for id := last + 1; id <= 4; id++ {
			writeEvents(writer, id, id)
			if id == 3 {
				time.Sleep(3200 * time.Millisecond)
			}
		}
	}
	rule := streamRule
	rule.Timeout = 10 * time.Second
	singleAttempt := rule
	singleAttempt.MaxAttempts = 1
	cases := []struct {
		name    string
		rule    mulberrybeam.Rule
		targets []http.HandlerFunc
	}{
		{"only one target allowed", singleAttempt, []http.HandlerFunc{slow, resumesStream}},
		{"second of two targets", rule, []http.HandlerFunc{abortsAfter(2), slow, resumesStream}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := newHarness(t, c.rule, c.targets...).call(nil)
			is.NoErr(got.err)
			is.Equal(strings.Count(got.body, "id: "), 4)
		})
	}
}

// Guards against a refusal whose body never ends and that holds the request.
func TestRefusalWithEndlessBody(t *testing.T) {
	is := is.New(t)
	endless := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Mulberrybeam-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		block := []byte(strings.Repeat("x", 4096))
		for request.Context().Err() == nil {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	}
	h := newHarness(t, onceRule, endless, respondsStamped("ok"))
	begin := time.Now()
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(got.body, "ok")
	is.True(time.Since(begin) < onceRule.Timeout/2)
}
