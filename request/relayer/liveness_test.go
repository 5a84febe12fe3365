package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// serveUnframed answers one request with a response that ends with its connection, and
// stops listening before the end if crashes is set. It returns the address.
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
		if crashes {
			_ = listener.Close()
		}
		_ = conn.Close()
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
				is.NoErr(got.err)
				is.Equal(got.body, c.body)
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
