package run_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/process/aggregator"
	"mulberrybeam/cmd/mulberryload/run"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/service"
)

// Guards against errors in a load description that are accepted or reported only
// one at a time.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		document string
		errors   []string
	}{
		"defaults":       {"{\"workspaces\": [{\"key\": \"k\"}]} // comment\n", nil},
		"no JSON":        {`{`, []string{"unexpected EOF"}},
		"unknown field":  {`{"rates": 1}`, []string{"rates"}},
		"several errors": {`{"duration": "x", "rate": 0, "service-share": 2}`, []string{"duration", "rate", "workspace", "share 2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := run.Parse([]byte(test.document))
			if len(test.errors) == 0 {
				is.NoErr(err)
			}
			for _, text := range test.errors {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), text))
			}
		})
	}
}

// Guards against an example file that cannot be parsed.
func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile(filepath.Join("..", "example.jsonc"))
	is.NoErr(err)
	settings, err := run.Parse(document)
	is.NoErr(err)
	is.Equal(settings.Plan.ReturnMin, time.Second)
}

// startEntry starts an engine, a service and a proxy that acts as an entry
// process and only forwards requests. It returns the address of the proxy.
func startEntry(t *testing.T) (*engine.Engine, *service.Service, string) {
	t.Helper()
	is := is.New(t)
	prompts, closePrompts, err := engine.New(engine.WithVersion("summary", "v1"),
		engine.WithSettings(func(s *engine.Settings) { s.TokenTime, s.PrefillRate = time.Millisecond, 1e6 }))
	is.NoErr(err)
	t.Cleanup(closePrompts)
	calls, closeCalls, err := service.New()
	is.NoErr(err)
	t.Cleanup(closeCalls)
	proxy := func(address string) http.Handler {
		handler := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
		handler.FlushInterval = -1
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The server closes a request body that has not been read when
			// the response starts, and the proxy then aborts the response.
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(w, r)
		})
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/chat/", proxy(prompts.Address()))
	mux.HandleFunc("/v1/services/", func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = "/v1/" + strings.TrimPrefix(r.URL.Path, "/v1/services/")
		proxy(calls.Address()).ServeHTTP(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return prompts, calls, strings.TrimPrefix(server.URL, "http://")
}

func runLoad(t *testing.T, address, document string) aggregator.Results {
	t.Helper()
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "load.json")
	is.NoErr(os.WriteFile(name, []byte(document), 0o600))
	var stdout bytes.Buffer
	is.NoErr(run.Start(t.Context(), run.Options{File: name, Entry: []string{address}}, &stdout))
	var results aggregator.Results
	is.NoErr(json.Unmarshal(stdout.Bytes(), &results))
	return results
}

const load = `{
	"duration": "1s", "rate": 60, "return-min": "50ms", "service-share": 0.4, "non-repeatable-share": 0.5,
	"first-prompt-bytes": 512, "growth-bytes": 128, "max-tokens": 4, "timeout": "5s", "resend-share": %RESEND%,
	"workspaces": [{"name": "large", "key": "a", "share": 5}, {"name": "small", "key": "b"}],
}`

// Guards against answers that count as correct without being checked, and
// against faults that do not show up in the results.
func TestStart(t *testing.T) {
	t.Run("no faults", func(t *testing.T) {
		is := is.New(t)
		prompts, _, address := startEntry(t)
		results := runLoad(t, address, strings.ReplaceAll(load, "%RESEND%", "0"))
		is.True(results.Prompts.Sent > 0 && results.Calls.Sent > 0)
		is.Equal(results.Prompts.Correct, results.Prompts.Sent)
		is.Equal(results.Calls.Correct, results.Calls.Sent)
		is.Equal(results.DoubleRuns, 0)
		is.Equal(len(results.Failures), 0)
		is.Equal(results.FirstTokenMs.Count, int64(results.Prompts.Sent))
		is.True(results.FirstTokenReturnMs.Count > 0) // there are later turns
		is.Equal(prompts.Count("completed"), results.Prompts.Sent)
	})
	t.Run("faults", func(t *testing.T) {
		is := is.New(t)
		prompts, calls, address := startEntry(t)
		prompts.SetFaults(func(f *engine.Faults) { f.RefuseNext, f.LoseNext, f.NoEndNext = 2, 1, 1 })
		calls.SetFaults(func(f *service.Faults) { f.UnavailableNext = 1 })
		results := runLoad(t, address, strings.ReplaceAll(load, "%RESEND%", "1"))
		is.Equal(results.Failures, map[string]int{"overloaded": 2, "incomplete-answer": 1, "unavailable": 1})
		is.Equal(results.Prompts.Failed, 3)
		is.Equal(results.Prompts.NotRun, 2)
		is.Equal(results.Prompts.Wrong, 1) // a token was lost
		is.True(results.DoubleRuns > 0)    // this entry does not deduplicate calls
		is.Equal(results.Calls.Wrong, 0)
		is.Equal(results.Calls.Failed, 1)
	})
}

// Guards against latency that is measured from the time of sending instead of
// the intended arrival, which would hide a stalled system (coordinated omission).
func TestLatencyCountsFromTheIntendedArrival(t *testing.T) {
	is := is.New(t)
	prompts, _, address := startEntry(t)
	prompts.SetFaults(func(f *engine.Faults) { f.HeaderDelay = 300 * time.Millisecond })
	results := runLoad(t, address, strings.ReplaceAll(load, "%RESEND%", "0"))
	is.True(results.FirstTokenMs.P50 >= 300)
	is.True(results.Prompts.Sent > 20) // the load did not wait for answers
}
