package enginecaller_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/enginecaller"
)

// Guards against default settings with which a sound engine that sends nothing for
// two seconds is given up, before the head or in the middle of its stream.
func TestSilentEngineIsWaitedFor(t *testing.T) {
	const silence, tokenCount = 2 * time.Second, 3
	for name, silentBefore := range map[string]int{"before the head": 1, "in the stream": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/load" { // new connections begin with a load report
					_, _ = io.WriteString(w, `{"instance":"e1"}`)
					return
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("Content-Type", "text/event-stream")
				for number := 1; number <= tokenCount; number++ {
					if number == silentBefore {
						time.Sleep(silence)
					}
					reason := "null"
					if number == tokenCount {
						reason = `"stop"`
					}
					_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"t%d\"},\"finish_reason\":%s}]}\n\n", number, number, reason)
					_ = http.NewResponseController(w).Flush()
				}
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
			}))
			defer server.Close()
			caller, closeCaller := enginecaller.New()
			defer closeCaller()
			target := mulberrybeam.Target{ID: "engine-1", Address: strings.TrimPrefix(server.URL, "http://")}
			stream, err := caller.Generate(t.Context(), newCall(target, "r1"))
			is.NoErr(err)
			tokens, err := readTokens(stream)
			is.Equal(err, io.EOF)
			is.True(len(tokens) > 0 && tokens[len(tokens)-1].End)
		})
	}
}
