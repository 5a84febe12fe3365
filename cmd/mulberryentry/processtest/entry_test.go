// Package processtest_test tests the entry process in an operating system process of
// its own, over loopback, against callers that do not cooperate. Its tests run one
// after the other, since they measure the process.
package processtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulberrybeam/process/standin/metastore"
)

const (
	// memoryMB and descriptors are the limits in the settings of the process, lower
	// than those of any host so that a small crowd reaches them.
	memoryMB    = 64
	descriptors = 256
	// maxBodyBytes is the body limit of the configuration.
	maxBodyBytes = 4 << 20
	// answerTimeout bounds how long the tests wait for a condition. It is no
	// expectation of speed.
	answerTimeout = 60 * time.Second
)

// binary is the path of the entry program that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mulberryentry-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "mulberryentry")
	if output, err := exec.Command("go", "build", "-o", binary, "mulberrybeam/cmd/mulberryentry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// entry is a running entry process with a store and one target.
type entry struct {
	address string
	command *exec.Cmd
	exited  chan struct{}
}

const settingsText = `node = "front-a-1"
ip = "127.0.0.1"
zone = "a"
[zones]
a = "r"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
memory_mb = %d
file_descriptors = %d
[bounds]
grace_s = 8
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 50
[platform]
address = %q
`

const configuration = `{"version":3,
	"routes":[
		{"name":"plain","host":"h","path_prefix":"/plain/","kind":"unsafe","timeout_ms":15000,"target_latency_ms":1000,"max_attempts":1,"service":"s"},
		{"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"max_attempts":1,"service":"s","gap_aim_ms":1000}],
	"services":[{"name":"s","max_connections":400}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"w1","api_keys":["k1"]},{"name":"w2","api_keys":["k2"]}]}`

// startEntry starts the process and waits until it answers.
func startEntry(t *testing.T) *entry {
	t.Helper()
	objects := metastore.New()
	store, target := httptest.NewServer(objects), httptest.NewServer(http.HandlerFunc(serveTarget))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
		target.CloseClientConnections()
		target.Close()
	})
	objects.Put("config", "main", fmt.Sprintf(configuration, maxBodyBytes))
	objects.Put("servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","slots":64,"state":"ready"}`, strings.TrimPrefix(target.URL, "http://")))
	caller, ready := freePort(t), freePort(t)
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(settingsText, caller, ready, memoryMB, descriptors, strings.TrimPrefix(store.URL, "http://"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e := &entry{address: fmt.Sprint("127.0.0.1:", caller), exited: make(chan struct{})}
	e.start(t, settings)
	e.awaitAnswer(t, "k1")
	return e
}

// start starts the process. The kernel kills it when the thread that started it ends,
// so that it does not outlive a test binary that is killed.
func (e *entry) start(t *testing.T, settings string) {
	t.Helper()
	e.command = exec.Command(binary, "--settings", settings)
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		started <- e.command.Start()
		_ = e.command.Wait()
		close(e.exited)
	}()
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = e.command.Process.Kill()
		<-e.exited
	})
}

func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// serveTarget answers streams with events until the caller closes, and other requests
// with the number of bytes of their body.
func serveTarget(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Mulberrybeam-Response-Stamp", "s")
	writer.Header().Set("Mulberrybeam-Request-Id", request.Header.Get("Mulberrybeam-Request-Id"))
	received, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		_, _ = fmt.Fprint(writer, received)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for id := 1; err == nil; id++ {
		_, err = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 32<<10))
	}
}

// send sends one request and returns the status and body of the answer.
func (e *entry) send(request string, body io.Reader) (int, string, error) {
	conn, err := net.DialTimeout("tcp", e.address, answerTimeout)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, "", err
	}
	if _, err := io.Copy(conn, body); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// head returns the head of a request without its final empty line.
func head(path, key, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: %s\r\nMulberrybeam-Request-Id: %s\r\n", path, key, id)
}

// awaitAnswer sends an ordinary request until it is answered, as callers do that are
// refused or whose connection is closed.
func (e *entry) awaitAnswer(t *testing.T, key string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		e.checkAlive(t)
		status, answer, err := e.send(head("/plain/x", key, "ordinary")+"Content-Length: 4\r\n\r\nbody", strings.NewReader(""))
		if err == nil && status == http.StatusOK && answer == "4" {
			return
		}
		last = fmt.Sprint("status ", status, ", answer ", answer, ", error ", err)
	}
	t.Fatalf("an ordinary request with key %s is not answered: %s", key, last)
}

func (e *entry) checkAlive(t *testing.T) {
	t.Helper()
	select {
	case <-e.exited:
		t.Fatalf("the process has ended: %s", e.command.ProcessState)
	default:
	}
}

// peakMemoryMB returns the largest resident memory of the process so far.
func (e *entry) peakMemoryMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes >> 10
		}
	}
	t.Fatal("the peak of the memory is unknown")
	return 0
}

func (e *entry) descriptorCount(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// check checks that the process is within the limits of its settings.
func (e *entry) check(t *testing.T) {
	t.Helper()
	e.checkAlive(t)
	peak, open := e.peakMemoryMB(t), e.descriptorCount(t)
	t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak, memoryMB, open, descriptors)
	if peak >= memoryMB {
		t.Errorf("the process had %d MB, its host has %d", peak, memoryMB)
	}
	if open >= descriptors {
		t.Errorf("the process has %d descriptors, its host allows %d", open, descriptors)
	}
}
