package relayer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
)

// events writes the events with the IDs from and to, inclusive, and all between.
func events(writer http.ResponseWriter, from, to int) {
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", id)
	}
	_ = http.NewResponseController(writer).Flush()
}

// breaksAfter sends the events up to last, then aborts in the middle of the next.
func breaksAfter(last int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "first")
		events(writer, 1, last)
		_, _ = fmt.Fprintf(writer, "id: %d\nda", last+1)
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
}

// goesOn resumes a stream of six events after the Last-Event-Id header.
func goesOn(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Mulberrybeam-Response-Stamp", "second")
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	events(writer, last+1, 6)
}

// Guards against missing or duplicate events when a stream resumes on another
// target.
func TestStreamGoesOnAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	b := newBench(t, stream, breaksAfter(2), goesOn)
	got := b.call(nil)
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
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	is := is.New(t)
	single := stream
	single.MaxAttempts = 1
	b := newBench(t, single, breaksAfter(0))
	got := b.call(nil)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "")

	b = newBench(t, stream, breaksAfter(0), goesOn)
	got = b.call(nil)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("Mulberrybeam-Response-Stamp"), "second")
}

// Guards against an interrupted stream that looks complete to the caller, and
// against a second run of a stream that must not be resumed.
func TestStreamThatMayNotGoOn(t *testing.T) {
	is := is.New(t)
	rule := stream
	rule.Guarantee, rule.Resumable = mulberrybeam.GuaranteeOnce, false
	b := newBench(t, rule, breaksAfter(2), goesOn)
	got := b.call(nil)
	is.True(got.err != nil)
	is.Equal(b.runs(), 1)
}

// Guards against a stream that resumes on a target that has left since the
// request arrived.
func TestStreamGoesOnAtATargetThatIsStillThere(t *testing.T) {
	is := is.New(t)
	var b *bench
	b = newBench(t, stream, func(writer http.ResponseWriter, request *http.Request) {
		fleet := *b.fleet.Load()
		targets := fleet.Targets["s"]
		fleet.Targets = map[mulberrybeam.ServiceName][]mulberrybeam.FleetTarget{"s": {targets[0], targets[2]}}
		b.fleet.Store(&fleet)
		breaksAfter(2)(writer, request)
	}, goesOn, goesOn)
	got := b.call(nil)
	is.NoErr(got.err)
	is.Equal(b.arrived[1].Header.Get("Mulberrybeam-Expect-Instance"), "t2")
}
