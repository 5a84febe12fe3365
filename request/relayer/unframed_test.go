package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// respondsUnframed sends a response with neither a length nor chunks, which ends
// with its connection. A reset connection does not end it properly.
func respondsUnframed(contentType, body string, reset bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: r1\r\nMulberrybeam-Response-Stamp: first\r\nContent-Type: %s\r\n\r\n%s", contentType, body)
		if reset {
			time.Sleep(50 * time.Millisecond) // until the body was read
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Guards against a stream that was broken off inside an event, or reset, and looks
// complete to the caller, and against a complete one that does not.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	const eventStream = "text/event-stream"
	onceStream := streamRule
	onceStream.Guarantee, onceStream.Resumable = mulberrybeam.GuaranteeAtMostOnce, false
	singleAttempt := streamRule
	singleAttempt.MaxAttempts = 1
	resumes := withContentType(eventStream, resumesStream)
	chunked := func(body string) http.HandlerFunc {
		return respondsWith(http.StatusOK, body, "Mulberrybeam-Response-Stamp", "first", "Content-Type", eventStream)
	}
	cases := []struct {
		name   string
		rule   mulberrybeam.Rule
		first  http.HandlerFunc
		body   string
		broken bool
	}{
		{"complete", onceStream, respondsUnframed(eventStream, eventText(2), false), eventText(2), false},
		{"complete, resumable", streamRule, respondsUnframed(eventStream, eventText(2), false), eventText(2), false},
		{"inside an event", onceStream, respondsUnframed(eventStream, eventText(2)+"id: 3\nda", false), eventText(2) + "id: 3\nda", true},
		{"inside an event, resumable", streamRule, respondsUnframed(eventStream, eventText(2)+"id: 3\nda", false), eventText(6), false},
		{"inside an event, last attempt", singleAttempt, respondsUnframed(eventStream, eventText(2)+"id: 3\nda", false), eventText(2), true},
		{"before the empty line, resumable", streamRule, respondsUnframed(eventStream, eventText(2)+"id: 3\ndata: x\n", false), eventText(6), false},
		{"with a length, inside an event", onceStream, chunked(eventText(2) + "id: 3\n"), eventText(2) + "id: 3\n", true},
		{"with a length, inside an event, resumable", streamRule, chunked(eventText(2) + "id: 3\n"), eventText(6), false},
		{"reset", onceStream, respondsUnframed(eventStream, eventText(2), true), eventText(2), true},
		{"reset, resumable", streamRule, respondsUnframed(eventStream, eventText(2), true), eventText(6), false},
		{"body that is no stream", streamRule, respondsUnframed("application/json", `{"a": 1}`, false), `{"a": 1}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := newHarness(t, c.rule, c.first, resumes).call(nil)
			is.Equal(got.err != nil, c.broken)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, c.body)
		})
	}
}

// Guards against a body without length that was reset and counts as complete.
func TestResetOfABodyThatEndsWithItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		rule mulberrybeam.Rule
		want string
	}{"repeatable": {repeatableRule, "whole"}, "at most once": {onceRule, ""}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, c.rule, respondsUnframed("text/plain", "part", true), respondsStamped("whole"))
			got := h.call(nil)
			is.NoErr(got.err)
			if c.want == "" {
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(h.requestCount(), 1)
				return
			}
			is.Equal(got.body, c.want)
		})
	}
}
