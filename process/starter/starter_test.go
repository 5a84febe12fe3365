package starter_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/standin/metastore"
	"mulberrybeam/process/starter"
)

// output collects the log of a running process.
type output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(line []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.Write(line)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.String()
}

// site is an entry process with a stand-in for the platform's store and one
// target.
type site struct {
	store    *metastore.Store
	process  *starter.Process
	settings mulberrybeam.HostSettings
	metrics  int
	log      *output
	stopped  bool
}

func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func address(port int) string { return fmt.Sprint("127.0.0.1:", port) }

func newSite(t *testing.T, handler http.HandlerFunc) *site {
	s := &site{store: metastore.New(), log: &output{}, metrics: freePort(t)}
	store := httptest.NewServer(s.store)
	target := httptest.NewServer(handler)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
		target.Close()
	})
	s.store.Put("config", "main", `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":100,"max_attempts":1,"service":"s"}],
		"services":[{"name":"s","max_connections":50}],"tenants":[{"name":"w","api_keys":["k"]}]}`)
	s.store.Put("servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","slots":4,"state":"ready"}`, strings.TrimPrefix(target.URL, "http://")))
	s.settings = mulberrybeam.HostSettings{
		ID: "front-a-1", Zone: "a", StoreAddress: strings.TrimPrefix(store.URL, "http://"),
		CallerAddress: address(freePort(t)), ReadyAddress: address(freePort(t)),
		Bounds: mulberrybeam.HostBounds{Grace: 6 * time.Second, FailClosed: true, RevokeWithin: 4 * time.Second, OrderLease: time.Second},
	}
	process, err := starter.Start(s.settings, s.metrics, s.log)
	if err != nil {
		t.Fatal(err)
	}
	s.process = process
	t.Cleanup(func() {
		if !s.stopped {
			s.process.Shutdown()
		}
	})
	return s
}

func (s *site) get(t *testing.T, address, key string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Api-Key", key)
	request.Header.Set("Mulberrybeam-Request-Id", "r-77")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// until waits until a request returns a status, and fails with what otherwise.
func (s *site) until(t *testing.T, what string, want int, address, key string) {
	t.Helper()
	for range 500 {
		if status, _ := s.get(t, address, key); status == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal(what)
}

func works(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
	writer.Header().Set("Mulberrybeam-Request-Id", request.Header.Get("Mulberrybeam-Request-Id"))
	_, _ = io.WriteString(writer, "ok")
}

// Guards against faults anywhere on the path of a request from the caller to the
// target, and against events that are missing in the log or the metrics.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, works)
	s.until(t, "not ready", http.StatusOK, s.settings.ReadyAddress+"/-/ready", "")
	status, body := s.get(t, s.settings.CallerAddress+"/a/b", "k")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	_, registered := s.store.Get("entry-hosts", "front-a-1")
	is.True(registered)
	s.store.Put("config", "main", `{"version":4,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"unsafe","service":"s"}],"services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k2"]}]}`)
	s.until(t, "a revoked key is accepted", http.StatusUnauthorized, s.settings.CallerAddress+"/a/b", "k")
	s.until(t, "a new key is refused", http.StatusOK, s.settings.CallerAddress+"/a/b", "k2")
	s.store.Put("servers", "i-1", `{"state":"draining"}`)
	s.until(t, "a target whose entry cannot be read is used", http.StatusServiceUnavailable, s.settings.CallerAddress+"/a/b", "k2")
	status, body = s.get(t, address(s.metrics)+"/metrics", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "mulberrybeam_events_total"))
	s.process.Shutdown()
	s.stopped = true
	for _, want := range []string{`"subject":"start"`, "revision 3 is in force", `"request":"r-77"`, "status 200 after 1 attempts", `"code":"unauthorized"`, "stopped"} {
		is.True(strings.Contains(s.log.String(), want))
	}
}

// Guards against API keys that are accepted although the platform has not
// confirmed them for a long time.
func TestKeysAreRefusedInALongOutage(t *testing.T) {
	s := newSite(t, works)
	s.until(t, "request is not served", http.StatusOK, s.settings.CallerAddress+"/a/b", "k")
	s.store.SetFaults(metastore.Faults{Status: http.StatusServiceUnavailable})
	s.until(t, "a key is accepted without confirmation", http.StatusServiceUnavailable, s.settings.CallerAddress+"/a/b", "k")
	s.store.SetFaults(metastore.Faults{})
	s.until(t, "request is not served after the outage", http.StatusOK, s.settings.CallerAddress+"/a/b", "k")
}

// Guards against a shutdown that interrupts a request, and against a readiness
// probe that still succeeds while the process shuts down.
func TestShutdownFinishesRequests(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	s := newSite(t, func(writer http.ResponseWriter, request *http.Request) {
		close(begun)
		time.Sleep(1500 * time.Millisecond)
		works(writer, request)
	})
	s.until(t, "not ready", http.StatusOK, s.settings.ReadyAddress+"/-/ready", "")
	answered := make(chan int, 1)
	go func() {
		status, _ := s.get(t, s.settings.CallerAddress+"/a/b", "k")
		answered <- status
	}()
	<-begun
	stopped := make(chan struct{})
	go func() {
		s.process.Shutdown()
		close(stopped)
	}()
	s.until(t, "still ready", http.StatusServiceUnavailable, s.settings.ReadyAddress+"/-/ready", "")
	is.Equal(<-answered, http.StatusOK)
	<-stopped
	s.stopped = true
}
