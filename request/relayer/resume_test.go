package relayer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// respondsWith sends a complete response with the header fields, in pairs of name
// and value.
func respondsWith(status int, body string, fields ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(fields); i += 2 {
			writer.Header().Set(fields[i], fields[i+1])
		}
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}
}

// withContentType sets the content type of a handler's response.
func withContentType(contentType string, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Content-Type", contentType)
		handler(writer, request)
	}
}

// eventText returns the events with the IDs from 1 to last as writeEvents sends
// them.
func eventText(last int) string {
	var text strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", id)
	}
	return text.String()
}

// Guards against an error response, or a body that is no stream, in the middle of
// a stream that is resumed, and against such a stream that looks complete.
func TestErrorResponseToAResumedStream(t *testing.T) {
	const stamp, notRun, contentType = "Mulberrybeam-Response-Stamp", "Mulberrybeam-Not-Executed", "Content-Type"
	cases := map[string]http.HandlerFunc{
		"500":                     respondsWith(500, "oops\n\n", stamp, "second"),
		"502 that ends early":     respondsWith(502, "oops\n\n", stamp, "second", "Content-Length", "99"),
		"503":                     respondsWith(503, "oops\n\n", stamp, "second"),
		"404":                     respondsWith(404, "oops\n\n", stamp, "second"),
		"400 that did not run":    respondsWith(400, "oops\n\n", notRun, "1"),
		"302":                     respondsWith(302, "oops\n\n", stamp, "second", "Location", "/x"),
		"204":                     respondsWith(204, "", stamp, "second"),
		"206":                     respondsWith(206, "oops\n\n", stamp, "second"),
		"500 as event stream":     respondsWith(500, "data: oops\n\n", stamp, "second", contentType, "text/event-stream"),
		"200 without signature":   respondsWith(200, "data: oops\n\n", contentType, "text/event-stream"),
		"200 with JSON":           respondsWith(200, `{"error":"oops"}`, stamp, "second", contentType, "application/json"),
		"200 with text":           respondsWith(200, "HTTP/1.1 503 oops\r\n\r\n", stamp, "second", contentType, "text/plain"),
		"200 with a type unknown": respondsWith(200, "oops\n\n", stamp, "second", contentType, ";"),
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, streamRule, withContentType("text/event-stream", abortsAfter(2)), second)
			got := h.call(nil)
			is.True(got.err != nil)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventText(2))
			is.Equal(h.requestCount(), 2)
		})
	}
}

// Guards against a resumption that is given up after a refusal, or because the
// content types of two targets are written differently.
func TestStreamResumesAfterARefusal(t *testing.T) {
	is := is.New(t)
	refusal := respondsWith(503, "busy\n\n", "Mulberrybeam-Not-Executed", "1")
	h := newHarness(t, streamRule, withContentType("text/event-stream", abortsAfter(2)), refusal,
		withContentType("Text/Event-Stream; charset=utf-8", resumesStream))
	got := h.call(nil)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(6))
}

// Guards against events that the caller already has in a stream that is resumed at
// a target which begins it anew.
func TestResumedStreamThatBeginsAnew(t *testing.T) {
	stream := func(handler http.HandlerFunc) http.HandlerFunc { return withContentType("text/event-stream", handler) }
	anew := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Mulberrybeam-Response-Stamp", "second")
		writeEvents(writer, 1, 6)
	}
	three := streamRule
	three.MaxAttempts = 3
	is := is.New(t)
	got := newHarness(t, streamRule, stream(abortsAfter(2)), stream(anew)).call(nil)
	is.True(got.err != nil)
	is.Equal(got.body, eventText(2))
	got = newHarness(t, three, stream(abortsAfter(2)), stream(anew), stream(resumesStream)).call(nil)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(6))
}
