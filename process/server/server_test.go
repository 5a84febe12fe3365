package server_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/server"
)

// Guards against invalid requests that reach a target, and against error
// responses whose status, code or not-run differs from the design page.
func TestInvalidRequestsAreRejectedWithNotRun(t *testing.T) {
	e := startServer(t, "h/1")
	withField := func(field string) string { return strings.Replace(promptBody, `"stream":true`, field, 1) }
	const chat, place = "/v1/chat/completions", "/v1/services/orders/place"
	noKey := []string{"Authorization", ""}
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     mulberrybeam.Code
	}{
		{"API key missing", "POST", chat, promptBody, noKey, 401, mulberrybeam.CodeUnauthorized},
		{"API key unknown", "POST", chat, promptBody, []string{"Authorization", "Bearer secre"}, 401, mulberrybeam.CodeUnauthorized},
		{"wrong authorization scheme", "POST", chat, promptBody, []string{"Authorization", "Basic secret"}, 401, mulberrybeam.CodeUnauthorized},
		{"not JSON", "POST", chat, "hello", nil, 400, mulberrybeam.CodeBadRequest},
		{"JSON array", "POST", chat, "[]", nil, 400, mulberrybeam.CodeBadRequest},
		{"data after the object", "POST", chat, promptBody + "{}", nil, 400, mulberrybeam.CodeBadRequest},
		{"no model", "POST", chat, strings.Replace(promptBody, `"model":"m",`, "", 1), nil, 400, mulberrybeam.CodeBadRequest},
		{"no messages", "POST", chat, `{"model":"m"}`, nil, 400, mulberrybeam.CodeBadRequest},
		{"message without a role", "POST", chat, `{"model":"m","messages":[{}]}`, nil, 400, mulberrybeam.CodeBadRequest},
		{"max_tokens too small", "POST", chat, withField(`"max_tokens":0`), nil, 400, mulberrybeam.CodeBadRequest},
		{"max_tokens too large", "POST", chat, withField(`"max_tokens":101`), nil, 400, mulberrybeam.CodeBadRequest},
		{"unknown priority", "POST", chat, withField(`"priority":2`), nil, 400, mulberrybeam.CodeBadRequest},
		{"repeated field", "POST", chat, withField(`"Messages":[]`), nil, 400, mulberrybeam.CodeBadRequest},
		{"unknown model", "POST", chat, strings.Replace(promptBody, `"m"`, `"n"`, 1), nil, 404, mulberrybeam.CodeUnknownModel},
		{"body too large", "POST", chat, strings.Repeat(" ", 1<<20) + promptBody, nil, 413, mulberrybeam.CodeBodyTooLarge},
		{"invalid hint", "POST", "/v1/hints", "hello", nil, 400, mulberrybeam.CodeBadRequest},
		{"unknown service", "POST", "/v1/services/orders/steal", "{}", nil, 404, mulberrybeam.CodeUnknownService},
		{"idempotency key missing", "POST", place, "{}", nil, 400, mulberrybeam.CodeIdempotencyKeyMissing},
		{"idempotency key of version 4", "POST", place, "{}", []string{"Idempotency-Key", uuid.NewString()}, 400, mulberrybeam.CodeIdempotencyKeyInvalid},
		{"idempotency key expired", "POST", place, "{}", []string{"Idempotency-Key", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}, 422, mulberrybeam.CodeIdempotencyKeyExpired},
		{"platform down", "POST", place, "{}", []string{"Idempotency-Key", uuid.Must(uuid.NewV7()).String()}, 503, mulberrybeam.CodePlatformDown},
		{"unknown path", "GET", "/v2", "", nil, 404, mulberrybeam.CodeNotFound},
		{"wrong method", "GET", chat, "", nil, 404, mulberrybeam.CodeNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response := e.send(c.method, c.path, c.body, c.header...)
			is.Equal(response.StatusCode, c.status)
			body := readError(t, response)
			is.Equal(body.Error.Code, string(c.code))
			is.True(body.Error.Message != "" && body.Error.Step != "")
			is.True(*body.Error.NotRun)
		})
	}
	is.New(t).Equal(e.engine.runs.Load(), int64(0))
}

// Guards against states of the process in which a request is accepted, or
// rejected without not-run.
func TestRejectionsByState(t *testing.T) {
	changeSnapshot := func(update func(*mulberrybeam.Snapshot)) func(*testServer) {
		return func(e *testServer) {
			changed := *e.snapshot.Load()
			update(&changed)
			e.snapshot.Store(&changed)
		}
	}
	withRunningRequest := func(key string) func(*testServer) {
		return func(e *testServer) {
			go func() { e.engine.texts <- "a" }()
			is.New(t).Equal(e.send("POST", "/v1/chat/completions", promptBody, "Authorization", "Bearer "+key).StatusCode, 200)
		}
	}
	cases := []struct {
		name, key string
		prepare   func(*testServer)
		status    int
		code      mulberrybeam.Code
		ready     int
	}{
		{"draining", "secret", func(e *testServer) { e.Drain() }, 503, mulberrybeam.CodeShuttingDown, 503},
		{"draining per snapshot", "secret", changeSnapshot(func(s *mulberrybeam.Snapshot) { s.Draining = true }), 503, mulberrybeam.CodeShuttingDown, 503},
		{"no configuration", "secret", changeSnapshot(func(s *mulberrybeam.Snapshot) { s.Tables = nil }), 503, mulberrybeam.CodeNotReady, 503},
		{"no target", "secret", func(e *testServer) { e.policy.noTarget.Store(true) }, 503, mulberrybeam.CodeNoTarget, 200},
		{"in-flight limit", "other", withRunningRequest("other"), 503, mulberrybeam.CodeQueueTimeout, 200},
		{"rate limit", "rare", withRunningRequest("rare"), 429, mulberrybeam.CodeWorkspaceLimit, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := startServer(t, "h/1")
			c.prepare(e)
			response := e.send("POST", "/v1/chat/completions", promptBody, "Authorization", "Bearer "+c.key)
			is.Equal(response.StatusCode, c.status)
			body := readError(t, response)
			is.Equal(body.Error.Code, string(c.code))
			is.True(*body.Error.NotRun)
			is.Equal(response.Header.Get("Retry-After") != "", body.Error.RetryAfterMs != nil)
			is.True(c.status != 429 || body.Error.RetryAfterMs != nil)
			is.Equal(e.send("GET", "/readyz", "").StatusCode, c.ready)
			is.Equal(e.send("GET", "/livez", "").StatusCode, 200)
		})
	}
}

// Guards against tokens that are held back until later ones arrive, and against
// streams that end because of the timeout for reading the request.
func TestTokensAreFlushedImmediately(t *testing.T) {
	is := is.New(t)
	const readTimeout = 20 * time.Millisecond
	e := startServer(t, "h/1", server.WithTimeouts(readTimeout, time.Second))
	go func() { e.engine.texts <- "a" }()
	response := e.send("POST", "/v1/chat/completions", promptBody)
	stream := newEventReader(response)
	id, text := stream.next(t) // the engine has not produced "b" yet
	is.Equal(id+text, "1a")
	time.Sleep(3 * readTimeout)
	e.engine.texts <- "b"
	id, text = stream.next(t)
	is.Equal(id+text, "2b")
	close(e.engine.texts)
	id, _ = stream.next(t)
	is.Equal(id, "3")
	_, text = stream.next(t)
	is.Equal(text, "[DONE]")

	second := startServer(t, "h/1")
	go func() { second.engine.texts <- "a"; second.engine.texts <- "b"; close(second.engine.texts) }()
	body, err := io.ReadAll(second.send("POST", "/v1/chat/completions", strings.Replace(promptBody, "true", "false", 1)).Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), `"message":{"role":"assistant","content":"ab"},"finish_reason":"stop"`))
	is.True(strings.Contains(string(body), `"completion_tokens":2`))
}

// Guards against missing or repeated events in streams that are resumed on the
// same process or through another one, and against access to streams of another
// workspace.
func TestResume(t *testing.T) {
	is := is.New(t)
	owner := startServer(t, "h/1")
	peer := startServer(t, "h/2", server.WithProxy(server.ProxyTo("http", func(id mulberrybeam.ProcessID) (string, bool) {
		return owner.address, id == "h/1"
	}, http.DefaultTransport)))
	go func() { owner.engine.texts <- "a"; owner.engine.texts <- "b" }()
	interrupted := owner.send("POST", "/v1/chat/completions", promptBody)
	path := "/v1/streams/" + interrupted.Header.Get("X-Request-Id")
	stream := newEventReader(interrupted)
	stream.next(t)
	stream.next(t)
	is.NoErr(interrupted.Body.Close())
	is.Equal(owner.send("GET", path, "", "Authorization", "Bearer other").StatusCode, 404)
	is.Equal(owner.send("DELETE", path, "", "Authorization", "Bearer other").StatusCode, 404)
	is.Equal(owner.send("GET", path, "", "Last-Event-ID", "x").StatusCode, 400)
	is.Equal(owner.send("GET", "/v1/streams/h", "").StatusCode, 404)
	is.Equal(owner.send("GET", "/v1/streams/aC8z.1", "").StatusCode, 404) // of process h/3
	for _, via := range []*testServer{owner, peer} {
		resumed := newEventReader(via.send("GET", path, "", "Last-Event-ID", "1"))
		id, text := resumed.next(t)
		is.Equal(id+text, "2b")
	}
	resumed := newEventReader(peer.send("GET", path, "", "Last-Event-ID", "2"))
	close(owner.engine.texts)
	id, _ := resumed.next(t)
	is.Equal(id, "3")
	_, text := resumed.next(t)
	is.Equal(text, "[DONE]")
	is.Equal(owner.engine.runs.Load(), int64(1))
	is.NoErr(<-owner.engine.ended) // the run was not cancelled
}

// Guards against runs that continue without a reader after the grace period, and
// against a cancellation that does not reach the engine.
func TestRunsWithoutReadersAreCancelled(t *testing.T) {
	is := is.New(t)
	const grace = 30 * time.Millisecond
	e := startServer(t, "h/1", server.WithResumeGrace(grace))
	go func() { e.engine.texts <- "a" }()
	response := e.send("POST", "/v1/chat/completions", promptBody)
	newEventReader(response).next(t)
	disconnectedAt := time.Now()
	is.NoErr(response.Body.Close())
	is.True(errors.Is(<-e.engine.ended, context.Canceled))
	is.True(time.Since(disconnectedAt) >= grace) // the caller had time to resume

	go func() { e.engine.texts <- "a" }()
	stream := e.send("POST", "/v1/chat/completions", promptBody)
	is.Equal(e.send("DELETE", "/v1/streams/"+stream.Header.Get("X-Request-Id"), "").StatusCode, 204)
	is.True(errors.Is(<-e.engine.ended, context.Canceled))
	reader := newEventReader(stream)
	reader.next(t)
	_, text := reader.next(t)
	is.Equal(text, "error") // never reported as complete
}

// Guards against a caller that stops reading and thereby blocks the engine or
// other readers, or makes the buffers grow without limit.
func TestSlowReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	const kept, size, count = 1 << 20, 64 << 10, 400 // 25 MiB, far more than socket buffers hold
	e := startServer(t, "h/1", server.WithBuffers(kept, 8*kept), server.WithTimeouts(time.Second, 50*time.Millisecond))
	connection, err := net.Dial("tcp", e.address)
	is.NoErr(err)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nConnection: close\r\nContent-Length: "+
		"74\r\n\r\n"+promptBody)
	is.NoErr(err)
	is.Equal(len(promptBody), 74)
	text := strings.Repeat("x", size)
	for range count {
		select {
		case e.engine.texts <- text:
		case <-time.After(10 * time.Second):
			t.Fatal("the slow reader blocks the engine")
		}
	}
	close(e.engine.texts)
	is.NoErr(<-e.engine.ended) // the whole answer was read from the engine
	is.NoErr(connection.SetReadDeadline(time.Now().Add(10 * time.Second)))
	got, _ := io.Copy(io.Discard, connection)
	is.True(got < size*count/2) // the server disconnected the reader
}

// Guards against a shutdown that interrupts a running stream or accepts a new
// request.
func TestShutdownWaitsForStreams(t *testing.T) {
	is := is.New(t)
	e := startServer(t, "h/1")
	go func() { e.engine.texts <- "a" }()
	response := e.send("POST", "/v1/chat/completions", promptBody)
	stream := newEventReader(response)
	stream.next(t)
	stopped := make(chan error)
	go func() { stopped <- e.stop(context.Background()) }()
	for e.send("GET", "/readyz", "").StatusCode == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.send("POST", "/v1/chat/completions", promptBody).StatusCode, 503)
	resumed := newEventReader(e.send("GET", "/v1/streams/"+response.Header.Get("X-Request-Id"), "", "Last-Event-ID", "1"))
	e.engine.texts <- "b"
	close(e.engine.texts)
	for _, reader := range []eventReader{stream, resumed} {
		id, text := reader.next(t)
		is.Equal(id+text, "2b")
		reader.next(t)
		_, text = reader.next(t)
		is.Equal(text, "[DONE]")
	}
	is.NoErr(<-stopped)
}
