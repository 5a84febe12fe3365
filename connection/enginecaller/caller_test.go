package enginecaller_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/enginecaller"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/store"
)

var _ mulberrybeam.EngineClient = (*enginecaller.Caller)(nil)

const chatBody = `{"model": "summary",  "messages": [{"role":"user","content":"a<b trip"}], "max_tokens": 6, "seed": 9007199254740993}`

func fastSettings(s *engine.Settings) {
	s.Versions["summary"] = "v1"
	s.TokenTime = time.Millisecond
	s.PrefillRate = 1e6
}

func setUp(t *testing.T, options ...engine.Option) (*engine.Engine, *enginecaller.Caller, mulberrybeam.Target) {
	t.Helper()
	is := is.New(t)
	fake, closeFake, err := engine.New(append([]engine.Option{engine.WithSettings(fastSettings)}, options...)...)
	is.NoErr(err)
	t.Cleanup(closeFake)
	caller, closeCaller := enginecaller.New(enginecaller.WithIdleTimeout(300 * time.Millisecond))
	t.Cleanup(closeCaller)
	return fake, caller, mulberrybeam.Target{ID: "engine-1", Address: fake.Address()}
}

func newCall(target mulberrybeam.Target, id mulberrybeam.RequestID) mulberrybeam.EngineCall {
	return mulberrybeam.EngineCall{
		Request: &mulberrybeam.Request{ID: id, Model: "summary", Version: "v1", Body: []byte(chatBody)},
		Target:  target, Attempt: 1,
	}
}

func readTokens(stream mulberrybeam.EngineStream) ([]mulberrybeam.Token, error) {
	defer stream.Close()
	var tokens []mulberrybeam.Token
	for {
		token, err := stream.Next()
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, token)
	}
}

// Guards against changing the caller's fields in the body sent to the engine,
// and against a caller that sets an extension field itself.
func TestBodyKeepsCallerFields(t *testing.T) {
	tests := map[string]struct{ raw, want string }{
		"numbers and whitespace are kept": {
			`{"seed": 9007199254740993, "messages": [ {"a" : "<"} ]}`,
			`{"seed":9007199254740993,"messages":[ {"a" : "<"} ],`,
		},
		"extension fields are replaced": {
			`{"context":{"salt":"x"},"Context":{"salt":"y"},"STREAM":false,"model":"m","priority":9}`,
			`{"model":"m",`,
		},
		"empty object": {`{}`, `{`},
	}
	added := `"stream":true,"priority":1,"context":{"salt":"01000000000000000000000000000000",` +
		`"keys":["01000000000000000000000000000000"],"block-bytes":1024,"version":"v1","generated":["a "]}}`
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := enginecaller.RequestBody(mulberrybeam.EngineCall{
				Request: &mulberrybeam.Request{
					Body: []byte(test.raw), Version: "v1", Keys: []mulberrybeam.BlockKey{{1}},
				},
				Priority: mulberrybeam.PriorityBatch, After: 1, Generated: []string{"a "},
			})
			is.NoErr(err)
			is.Equal(string(body), test.want+added)
			is.True(json.Valid(body))
		})
	}
	for _, raw := range []string{``, `[]`, `{} {}`, `{"a":`, `{"a" 1}`, `{"a":1`} {
		_, err := enginecaller.RequestBody(mulberrybeam.EngineCall{Request: &mulberrybeam.Request{Body: []byte(raw)}})
		is.New(t).True(err != nil) // not a JSON object
	}
}

// Guards against bodies for which the engine would not read the added fields, or
// for which a field of the caller is lost.
func FuzzBody(f *testing.F) {
	for _, raw := range []string{`{}`, chatBody, `{"context":1,"a":{"context":[]}}`, `{"\u0063ontext":{"salt":"x"}}`, `{"a":"\ud800"}`} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		is := is.New(t)
		body, err := enginecaller.RequestBody(mulberrybeam.EngineCall{Request: &mulberrybeam.Request{Body: []byte(raw), Version: "v1"}})
		var before, after map[string]any
		if json.Unmarshal([]byte(raw), &before) != nil || before == nil {
			is.True(err != nil)
			return
		}
		is.NoErr(err)
		is.NoErr(json.Unmarshal(body, &after))
		is.Equal(after["context"].(map[string]any)["version"], "v1")
		for _, name := range []string{"stream", "priority", "context"} {
			maps.DeleteFunc(before, func(field string, _ any) bool { return strings.EqualFold(field, name) })
			delete(after, name)
		}
		is.Equal(after, before)
	})
}

// Guards against a response that is incomplete, altered or out of order.
func TestGenerateReturnsCompleteResponse(t *testing.T) {
	is := is.New(t)
	fake, caller, target := setUp(t)
	stream, err := caller.Generate(t.Context(), newCall(target, "r1"))
	is.NoErr(err)
	is.Equal(string(stream.Instance()), fake.Instance())
	is.Equal(string(stream.WeightVersion()), "v1")
	tokens, err := readTokens(stream)
	is.Equal(err, io.EOF)
	want, err := engine.ExpectedAnswer([]byte(chatBody), 6)
	is.NoErr(err)
	is.Equal(len(tokens), 7) // six tokens and the end marker
	for n, text := range want {
		is.Equal(tokens[n], mulberrybeam.Token{Request: "r1", Sequence: uint64(n + 1), Text: text})
	}
	end := tokens[6]
	is.True(end.Usage != nil && end.Usage.PromptTokens > 0)
	is.Equal(end.Usage.CachedTokens, 0) // the first run of the prompt
	end.Usage = nil
	is.Equal(end, mulberrybeam.Token{Request: "r1", Sequence: 7, End: true, FinishReason: "stop"})
}

// Guards against opening a new connection after each complete response.
func TestCompleteResponsesReuseConnection(t *testing.T) {
	is := is.New(t)
	_, caller, target := setUp(t)
	var opened int
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			opened++
		}
	}}
	for range 5 {
		stream, err := caller.Generate(httptrace.WithClientTrace(t.Context(), trace), newCall(target, "r1"))
		is.NoErr(err)
		for token := (mulberrybeam.Token{}); !token.End; {
			token, err = stream.Next()
			is.NoErr(err)
		}
		is.NoErr(stream.Close())
	}
	is.Equal(opened, 1)
}

// Guards against repeated or skipped tokens in a resumed stream.
func TestGenerateResumesAfterSequence(t *testing.T) {
	is := is.New(t)
	fake, caller, target := setUp(t)
	want, err := engine.ExpectedAnswer([]byte(chatBody), 6)
	is.NoErr(err)
	call := newCall(target, "r1")
	call.After, call.Generated, call.Attempt = 4, want[:4], 2
	stream, err := caller.Generate(t.Context(), call)
	is.NoErr(err)
	tokens, err := readTokens(stream)
	is.Equal(err, io.EOF)
	is.Equal(tokens[0], mulberrybeam.Token{Request: "r1", Sequence: 5, Text: want[4]})
	is.Equal(len(tokens), 3)
	is.Equal(fake.Count("resumed"), 1)
	is.Equal(fake.Count("generated-mismatches"), 0)
}

// Guards against hiding faults of a response stream, and against reporting them
// with the wrong code.
func TestGenerateFaults(t *testing.T) {
	tests := map[string]struct {
		faults  engine.Faults
		counter string
		code    mulberrybeam.Code // empty if the stream ends with io.EOF
		notRun  bool
		tokens  int
	}{
		"broken connection": {engine.Faults{BreakNext: 1, BreakAfter: 3}, "broken", mulberrybeam.CodeStreamBroken, false, 3},
		"no end marker":     {engine.Faults{NoEndNext: 1}, "no-end", mulberrybeam.CodeStreamBroken, false, 6},
		"stalled":           {engine.Faults{StallNext: 1, BreakAfter: 2}, "stalled", mulberrybeam.CodeTimeout, false, 2},
		"refused":           {engine.Faults{RefuseNext: 1}, "refused", mulberrybeam.CodeOverloaded, true, 0},
		"failed":            {engine.Faults{FailNext: 1}, "failed", mulberrybeam.CodeTargetFailed, false, 0},
		"duplicated":        {engine.Faults{DuplicateNext: 1}, "duplicated", "", false, 8},
		"misdelivered":      {engine.Faults{MisdeliverNext: 1}, "misdelivered", "", false, 8},
		"lost":              {engine.Faults{LoseNext: 1, BreakAfter: 1}, "lost", "", false, 6},
		"crash":             {engine.Faults{CrashMark: "a<b"}, "marked-crashes", mulberrybeam.CodeStreamBroken, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake, caller, target := setUp(t)
			fake.SetFaults(func(f *engine.Faults) { *f = test.faults })
			stream, err := caller.Generate(t.Context(), newCall(target, "r1"))
			var tokens []mulberrybeam.Token
			if err == nil {
				tokens, err = readTokens(stream)
			}
			is.Equal(fake.Count(test.counter), 1) // the fault was injected
			is.Equal(len(tokens), test.tokens)
			if test.code == "" {
				is.Equal(err, io.EOF)
				return
			}
			checkFailure(t, err, test.code, test.notRun)
		})
	}
}

func checkFailure(t *testing.T, err error, code mulberrybeam.Code, notRun bool) {
	t.Helper()
	is := is.New(t)
	var failure *mulberrybeam.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, code)
	is.Equal(failure.NotRun, notRun)
	is.Equal(failure.Peer, "engine-1")
	is.True(failure.Step != "")
}

// Guards against a blocked Next that does not return after Close, and against a
// run that continues after it was cancelled.
func TestCloseAndCancel(t *testing.T) {
	is := is.New(t)
	fake, caller, target := setUp(t, engine.WithSettings(func(s *engine.Settings) { s.TokenTime = 100 * time.Millisecond }))
	stream, err := caller.Generate(t.Context(), newCall(target, "r1"))
	is.NoErr(err)
	streamErr := make(chan error, 1)
	go func() {
		_, err := readTokens(stream)
		streamErr <- err
	}()
	is.NoErr(stream.Close())
	checkFailure(t, <-streamErr, mulberrybeam.CodeCancelled, false)

	stream, err = caller.Generate(t.Context(), newCall(target, "r2"))
	is.NoErr(err)
	is.NoErr(caller.Cancel(t.Context(), target, "r2"))
	_, err = readTokens(stream)
	checkFailure(t, err, mulberrybeam.CodeStreamBroken, false)
	is.Equal(fake.Count("cancelled"), 1)
	is.NoErr(caller.Cancel(t.Context(), target, "r2")) // an unknown run is not an error

	ctx, cancel := context.WithCancel(t.Context())
	stream, err = caller.Generate(ctx, newCall(target, "r3"))
	is.NoErr(err)
	cancel()
	_, err = readTokens(stream)
	checkFailure(t, err, mulberrybeam.CodeCancelled, false)
}

// Guards against losing fields of load reports, cache events and orders.
func TestControlCalls(t *testing.T) {
	is := is.New(t)
	fake, caller, target := setUp(t, engine.WithFencing(true),
		engine.WithSettings(func(s *engine.Settings) { s.ReportLag, s.LoadTime = 40*time.Millisecond, time.Millisecond }))
	call := newCall(target, "r1")
	call.Request.Keys = []mulberrybeam.BlockKey{{1}, {2}}
	stream, err := caller.Generate(t.Context(), call)
	is.NoErr(err)
	_, err = readTokens(stream)
	is.Equal(err, io.EOF)
	events, err := caller.CacheEvents(t.Context(), target, 0)
	is.NoErr(err)
	is.Equal(len(events), 1)
	is.Equal(events[0].Stored, []mulberrybeam.BlockKey{{2}, {1}})
	is.Equal(string(events[0].Instance), fake.Instance())

	order := mulberrybeam.Order{Kind: mulberrybeam.OrderLoadWeights, Model: "summary", Version: "v2", Fencing: 5}
	is.NoErr(caller.Order(t.Context(), target, order))
	order.Fencing = 4
	checkFailure(t, caller.Order(t.Context(), target, order), mulberrybeam.CodeConflict, true)

	report, err := caller.Load(t.Context(), target)
	is.NoErr(err)
	is.Equal(report.Target, target.ID)
	is.Equal(report.Lag, 40*time.Millisecond)
	is.Equal(report.WeightVersions["summary"], mulberrybeam.WeightVersion("v2"))
	fake.SetFaults(func(f *engine.Faults) { f.LoadDown = true })
	_, err = caller.Load(t.Context(), target)
	checkFailure(t, err, mulberrybeam.CodeTargetFailed, false)
}

// Guards against importing data that is missing, corrupt, truncated or of
// another generation.
func TestExportAndImport(t *testing.T) {
	tests := map[string]struct {
		faults     store.Faults
		generation uint64
		counter    string
	}{
		"whole":              {store.Faults{}, 3, ""},
		"corrupt":            {store.Faults{CorruptNext: 1}, 3, "corrupted"},
		"truncated data":     {store.Faults{TruncateNext: 1}, 3, "truncated"},
		"another generation": {store.Faults{}, 2, "data-missing"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake, caller, target := setUp(t)
			contextStore, closeStore, err := store.New()
			is.NoErr(err)
			defer closeStore()
			storeInfo := mulberrybeam.Store{ID: "store-1", Address: contextStore.Address()}
			keys := []mulberrybeam.BlockKey{{1}, {2}}
			call := newCall(target, "r1")
			call.Request.Keys = keys
			stream, err := caller.Generate(t.Context(), call)
			is.NoErr(err)
			_, err = readTokens(stream)
			is.Equal(err, io.EOF)
			manifest, err := caller.ExportContext(t.Context(), target, storeInfo, keys, 3)
			is.NoErr(err)
			is.Equal(manifest.Store, storeInfo.ID)
			is.Equal(manifest.Blocks, 2)
			is.NoErr(fake.Restart())
			// The connection pool of the first caller may still have a
			// connection to the previous instance.
			caller, closeCaller := enginecaller.New()
			defer closeCaller()
			contextStore.SetFaults(func(f *store.Faults) { *f = test.faults })
			manifest.Generation = test.generation
			tokens, err := caller.ImportContext(t.Context(), target, storeInfo, manifest, append(keys, mulberrybeam.BlockKey{3}))
			if test.counter == "" {
				is.NoErr(err)
				is.Equal(tokens, 2*engine.BlockTokens)
				return
			}
			is.Equal(contextStore.Count(test.counter), 1) // the fault was injected
			checkFailure(t, err, mulberrybeam.CodeContextUnavailable, true)
		})
	}
}
