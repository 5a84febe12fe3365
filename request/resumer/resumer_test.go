package resumer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam/request/resumer"
)

// Guards against lost, duplicated or truncated events, however the stream is
// split into reads.
func TestCompleteEventsInAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 5).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var stream strings.Builder
		for i := range count {
			fmt.Fprintf(&stream, "id: %d%sdata: %s%s%s", i+1, end, rapid.StringMatching(`[a-z ]{0,12}`).Draw(t, "data"), end, end)
		}
		incomplete := rapid.StringMatching(`(id: 9|data: x)?`).Draw(t, "incomplete event")
		rest := stream.String() + incomplete
		var splitter resumer.Splitter
		var complete bytes.Buffer
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			complete.Write(splitter.Feed([]byte(rest[:n])))
			rest = rest[n:]
		}
		if splitter.InsideEvent() != (incomplete != "") {
			t.Fatalf("inside an event: %t", splitter.InsideEvent())
		}
		if complete.String() != stream.String() || string(splitter.Rest()) != incomplete || splitter.Events != count {
			t.Fatalf("got %q and %q", complete.String(), splitter.Rest())
		}
		if count > 0 && splitter.LastID != fmt.Sprint(count) {
			t.Fatalf("last id %q", splitter.LastID)
		}
	})
}

// Guards against an incomplete event of a broken run that is prepended to the
// first event of the next run.
func TestDropDiscardsTheIncompleteEvent(t *testing.T) {
	is := is.New(t)
	var splitter resumer.Splitter
	splitter.Feed([]byte("id: 1\n\nid: 2\nda"))
	splitter.Drop()
	is.Equal(string(splitter.Feed([]byte("id: 2\n\n"))), "id: 2\n\n")
	is.Equal(splitter.LastID, "2")
	is.True(splitter.Resumable())
}

// Guards against resuming a stream whose position is unknown because its events
// have no ids.
func TestStreamWithoutIDs(t *testing.T) {
	is := is.New(t)
	var splitter resumer.Splitter
	is.True(splitter.Resumable())
	splitter.Feed([]byte("data: x\n\n"))
	is.True(!splitter.Resumable())
}

// Guards against a stream that was broken off inside an event and counts as
// complete, and against a complete one that does not.
func TestInsideEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"":                                false,
		"data: x\n\n":                     false,
		"data: x\r\n\r\n":                 false,
		"data: x\r\r":                     false,
		"data: x\n\r\n":                   false,
		"data: x\n\n\n":                   false,
		"data: x\n\n: comment\n":          false,
		": comment\ndata: x\n\n":          false,
		"d":                               true,
		"data: x":                         true,
		"data: x\n":                       true,
		"data: x\r\n":                     true,
		"data: x\r\n\r\nd":                true,
		"data: x\n\ndata: y\n":            true,
		"data: x\n\n: comm":               true,
		"data: x\n\ndata: y\n: comment\n": true,
		"data: x\n:":                      true,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var whole, single resumer.Splitter
			whole.Observe([]byte(text))
			is.Equal(whole.InsideEvent(), want)
			for i := range len(text) {
				single.Observe([]byte(text[i : i+1]))
			}
			is.Equal(single.InsideEvent(), want)
			whole.Drop()
			is.True(!whole.InsideEvent())
		})
	}
}

// Guards against an event that is returned twice, and against events without a
// number that count as repeated.
func TestRepeatedEvents(t *testing.T) {
	for _, c := range []struct {
		stream, want string
		repeated     bool
	}{
		{"id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n", "id: 1\n\nid: 2\n\n", true},
		{"id: 9\n\nid: 10\n\nid: 1\n\n", "id: 9\n\nid: 10\n\n", true},
		{"id: 9\n\ndata: x\n\nid: 10\n\n", "id: 9\n\ndata: x\n\nid: 10\n\n", false},
		{"id: b\n\nid: a\n\n", "id: b\n\nid: a\n\n", false},
	} {
		t.Run(c.stream, func(t *testing.T) {
			is := is.New(t)
			var splitter resumer.Splitter
			is.Equal(string(splitter.Feed([]byte(c.stream))), c.want)
			is.Equal(splitter.Repeated(), c.repeated)
			is.Equal(len(splitter.Feed([]byte("id: 11\n\n"))) == 0, c.repeated)
			splitter.Drop()
			is.True(!splitter.Repeated())
		})
	}
}

// Guards against a stream without the end of an event that is kept in memory.
func TestEventWithoutEndIsNotKept(t *testing.T) {
	const maxKept = 128 << 10
	is := is.New(t)
	splitter := &resumer.Splitter{}
	chunk, forwarded := bytes.Repeat([]byte("x"), 8<<10), 0
	for range 1000 {
		forwarded += len(splitter.Feed(chunk))
		is.True(len(splitter.Rest()) <= maxKept)
	}
	is.True(!splitter.Resumable())
	is.Equal(forwarded+len(splitter.Rest()), 1000*len(chunk))
}
