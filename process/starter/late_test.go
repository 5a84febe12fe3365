package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateHarness returns a process whose stop ends 4.7 s after its start, in front of a
// target that streams until the returned function is called and then answers
// requests at once. It also returns the ids of the requests that reached the target.
func lateHarness(t *testing.T) (h *harness, finish func(), reached func() []string) {
	var mutex sync.Mutex
	var ids []string
	release := make(chan struct{})
	h = newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Mulberrybeam-Request-Id")
		mutex.Lock()
		ids = append(ids, id)
		mutex.Unlock()
		writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
		writer.Header().Set("Mulberrybeam-Request-Id", id)
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "id: 1\nevent: message\ndata: x\n\n")
		_ = http.NewResponseController(writer).Flush()
		if id == "first" {
			<-release
		}
		_, _ = io.WriteString(writer, "id: 2\nevent: done\ndata: x\n\n")
	})
	h.store.Put("config", "main", `{"version":4,"routes":[
		{"name":"a","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"max_attempts":1,"service":"s","gap_aim_ms":10000},
		{"name":"b","host":"h","path_prefix":"/b/","kind":"unsafe","timeout_ms":400,"target_latency_ms":100,"max_attempts":1,"service":"s"}],
		"services":[{"name":"s","max_connections":50}],"tenants":[{"name":"w","api_keys":["k"]}]}`)
	h.awaitStatus(t, "not ready", http.StatusOK, h.settings.CallerAddress+"/b/", "k")
	return h, sync.OnceFunc(func() { close(release) }), func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]string(nil), ids...)
	}
}

func request(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\nMulberrybeam-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", path, id)
}

// Guards against requests on kept connections that a planned stop takes although it
// ends before their deadline, and then cuts.
func TestShutdownRefusesRequestsItWouldCut(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		status int
	}{
		"deadline after the stop":  {"/a/", http.StatusServiceUnavailable},
		"deadline before the stop": {"/b/", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h, finish, reached := lateHarness(t)
			defer finish()
			caller := h.dialRaw(t)
			is.NoErr(caller.send(0, request("/a/", "first")))
			response, err := http.ReadResponse(caller.reader, nil)
			is.NoErr(err)
			is.True(!response.Close) // the head precedes the stop
			startedAt := h.startStop(t)
			time.Sleep(time.Until(startedAt.Add(closeDelay + 200*time.Millisecond)))
			finish()
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.NoErr(caller.send(0, request(test.path, "second")))
			status, closing, err := caller.receive()
			is.NoErr(err)
			is.Equal(status, test.status)
			is.True(closing)
			is.Equal(strings.Contains(fmt.Sprint(reached()), "second"), test.status == http.StatusOK)
		})
	}
}

// Guards against requests whose body arrives late in a planned stop and that are
// then passed on and cut.
func TestShutdownRefusesRequestsWithLateBodies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, finish, reached := lateHarness(t)
	defer finish()
	caller := h.dialRaw(t)
	text := request("/a/", "slow")
	is.NoErr(caller.send(0, text[:len(text)-4]))
	startedAt := h.startStop(t)
	time.Sleep(time.Until(startedAt.Add(closeDelay + 400*time.Millisecond)))
	is.NoErr(caller.send(0, text[len(text)-4:]))
	status, closing, err := caller.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(closing)
	is.True(!strings.Contains(fmt.Sprint(reached()), "slow"))
}
