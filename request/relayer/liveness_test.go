package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// serveUnframed answers one request with a response that ends with its connection, and
// stops listening if crashes is set: a little later, as the kernel does it for a process
// that ends. It returns the address.
func serveUnframed(t *testing.T, contentType, body string, crashes bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: r1\r\nMulberrybeam-Response-Stamp: s\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
		_ = conn.Close()
		if crashes {
			time.Sleep(5 * time.Millisecond)
			_ = listener.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against sound prompt parts that stay convicted because answers end with their
// connection, and against parts that are cleared although their target crashed at the
// end of such an answer.
func TestUnframedResponseClearsPartsIfItsTargetLives(t *testing.T) {
	const eventStream = "text/event-stream"
	onceStream := streamRule
	onceStream.Guarantee, onceStream.Resumable = mulberrybeam.GuaranteeAtMostOnce, false
	for name, c := range map[string]struct {
		rule              mulberrybeam.Rule
		contentType, body string
	}{
		"body":                    {repeatableRule, "text/plain", "x"},
		"body, at most once":      {onceRule, "text/plain", "x"},
		"stream":                  {streamRule, eventStream, eventText(1)},
		"stream, at most once":    {onceStream, eventStream, eventText(5)},
		"stream without an event": {onceStream, eventStream, ""},
	} {
		for _, crashes := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, c.rule, respondsStamped(""))
				fleet := *h.fleet.Load()
				fleet.Targets["s"][0].Address = serveUnframed(t, c.contentType, c.body, crashes)
				part := quarantiner.SharedParts("m", []mulberrybeam.PromptPart{{ID: deadlyPart}, {ID: "own"}})[0]
				fleet.Suspects = map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{part: {Crashes: quarantiner.ConvictionThreshold - 1}}
				h.fleet.Store(&fleet)
				got := h.call(func(header http.Header) {
					header.Set("Mulberrybeam-Model", "m")
					header.Set("Mulberrybeam-Prompt-Prefix", deadlyPart+":10,own:10")
				})
				if crashes {
					is.True(got.err != nil || got.status != http.StatusOK)
				} else {
					is.NoErr(got.err)
					is.Equal(got.body, c.body)
				}
				for range 100 {
					if h.completions.Load() > 0 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(h.completions.Load() > 0, !crashes)
			})
		}
	}
}

// Guards against an answer without a length that is told to be complete although it ended
// with the process of its target, whose connections are closed like any other, and against
// a crash that is not counted because such an answer hides it.
func TestAnswerCutByCrashIsNotComplete(t *testing.T) {
	const eventStream = "text/event-stream"
	onceStream := streamRule
	onceStream.Guarantee, onceStream.Resumable = mulberrybeam.GuaranteeAtMostOnce, false
	large := strings.Repeat("x", 128<<10)
	for name, c := range map[string]struct {
		rule              mulberrybeam.Rule
		contentType, body string
		// status and whole are what the caller gets; whole is empty if the answer is
		// broken off.
		status int
		whole  string
	}{
		"resumable stream":       {streamRule, eventStream, eventText(2), http.StatusOK, eventText(6)},
		"stream, at most once":   {onceStream, eventStream, eventText(2), http.StatusOK, ""},
		"body":                   {repeatableRule, "text/plain", "part", http.StatusOK, "whole"},
		"body, at most once":     {onceRule, "text/plain", "part", http.StatusBadGateway, "target-failed\n"},
		"large body":             {repeatableRule, "text/plain", large, http.StatusOK, ""},
		"empty stream":           {streamRule, eventStream, "", http.StatusOK, eventText(6)},
		"empty stream, one try":  {onceStream, eventStream, "", http.StatusBadGateway, "target-failed\n"},
		"empty body, repeatable": {repeatableRule, "text/plain", "", http.StatusOK, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			second := respondsStamped("whole")
			if c.rule.Streaming {
				second = withContentType(eventStream, resumesStream)
			}
			h := newHarness(t, c.rule, respondsStamped(""), second)
			fleet := *h.fleet.Load()
			fleet.Targets["s"][0].Address = serveUnframed(t, c.contentType, c.body, true)
			h.fleet.Store(&fleet)
			got := h.call(nil)
			is.Equal(got.err != nil, c.whole == "")
			is.Equal(got.status, c.status)
			if c.whole != "" {
				is.Equal(got.body, c.whole)
			}
			select {
			case crash := <-h.crashes:
				is.Equal(crash.Crash.Target, fleet.Targets["s"][0].Incarnation())
			case <-time.After(5 * time.Second):
				t.Error("the crash was not reported")
			}
		})
	}
}
