package encoder_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
)

// serveResponse starts a server that always sends the given response, and
// returns a call to it.
func serveResponse(t *testing.T, status int, body string) encoder.Call {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status < http.StatusContinue {
			// net/http sends no such status.
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				_ = conn.Close()
			}
			return
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return encoder.Call{Method: http.MethodGet, URL: server.URL, Peer: "p", Step: mulberrybeam.StepAnswer}
}

// Guards against NotRun being set although the target did not state it, and
// against losing the code or the retry delay of an error response.
func TestErrorResponses(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   mulberrybeam.Failure
	}{
		"overloaded": {
			429, `{"error":{"code":"overloaded","message":"m","not-run":true,"retry-after-ms":250}}`,
			mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded, NotRun: true, RetryAfter: 250 * time.Millisecond},
		},
		"stale fencing": {
			409, `{"error":{"code":"stale-fencing","not-run":true}}`,
			mulberrybeam.Failure{Code: mulberrybeam.CodeConflict, NotRun: true},
		},
		"wrong version": {
			409, `{"error":{"code":"wrong-version","not-run":true}}`,
			mulberrybeam.Failure{Code: mulberrybeam.CodeTargetRefused, NotRun: true},
		},
		"429 without body":     {429, ``, mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded}},
		"500 without not-run":  {500, `{"error":{"code":"x"}}`, mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}},
		"not-run at top level": {503, `{"not-run":true}`, mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}},
		"not JSON":             {502, `<html>`, mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}},
		"redirect":             {302, ``, mulberrybeam.Failure{Code: mulberrybeam.CodeTargetRefused}},
		"status 000":           {0, `{"instance":"i"}`, mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}},
		"truncated JSON":       {200, `{"instance":`, mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}},
		"too large":            {200, strings.Repeat(" ", 8<<20+1), mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed}},
	}
	client, closeClient := encoder.NewClient(time.Second)
	defer closeClient()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := encoder.Fetch[encoder.LoadReport](t.Context(), client, serveResponse(t, test.status, test.body))
			var failure *mulberrybeam.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Peer, "p")
			is.Equal(failure.Step, mulberrybeam.StepAnswer)
			got := mulberrybeam.Failure{Code: failure.Code, NotRun: failure.NotRun, RetryAfter: failure.RetryAfter}
			is.Equal(got, test.want)
		})
	}
}

// Guards against JSON field names that differ from docs/protocol.md, and against
// manifests with invalid keys or checksums being accepted.
func TestJSONFieldNames(t *testing.T) {
	is := is.New(t)
	client, closeClient := encoder.NewClient(time.Second)
	defer closeClient()
	load, err := encoder.Fetch[encoder.LoadReport](t.Context(), client, serveResponse(t, 200, `{"instance": "i", "sequence": 12, "lag-ms": 300,
		"running": 3, "waiting": 1, "weight-versions": {"summary": "v1"}, "leaving": true}`))
	is.NoErr(err)
	is.Equal(load.Decode("e"), mulberrybeam.LoadReport{
		Target: "e", Instance: "i", Sequence: 12, Lag: 300 * time.Millisecond, Running: 3, Waiting: 1,
		WeightVersions: map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{"summary": "v1"}, Leaving: true,
	})
	manifest, err := encoder.Fetch[encoder.Manifest](t.Context(), client, serveResponse(t, 200, `{"key": "0a000000000000000000000000000000",
		"blocks": 4, "bytes": 4096, "checksum": "ff", "generation": 3, "tier": "memory"}`))
	is.NoErr(err)
	converted, err := manifest.Decode("s")
	is.NoErr(err)
	is.Equal(converted, mulberrybeam.Manifest{
		Key: mulberrybeam.BlockKey{10}, Store: "s", Blocks: 4, Bytes: 4096, Checksum: 255, Generation: 3, Tier: mulberrybeam.TierMemory,
	})
	for _, invalid := range []encoder.Manifest{{Key: "0a"}, {Key: "zz"}, {Key: manifest.Key, Checksum: "g"}} {
		_, err := invalid.Decode("s")
		is.True(err != nil)
	}
}
