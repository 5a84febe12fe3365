package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// closeDelay is when a stop closes the connections that wait for a request.
	closeDelay = 2800 * time.Millisecond
	// exchangeTimeout limits an exchange of the tests.
	exchangeTimeout = 4 * time.Second
)

// rawCaller is a caller that decides when each byte of a request is sent.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (h *harness) dialRaw(t *testing.T) *rawCaller {
	conn, err := net.Dial("tcp", h.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

// requestParts returns a request that must not be sent again, in two parts. The
// first one ends within the header.
func requestParts(id string) []string {
	return strings.SplitAfterN(request("/a/", id), "Api-Key: k\r\n", 2)
}

// send sends parts with a pause after each.
func (c *rawCaller) send(pause time.Duration, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// receive returns the status of the next answer, and whether it announces the end
// of the connection.
func (c *rawCaller) receive() (status int, closing bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(exchangeTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// startStop stops the process in the background and returns when the stop began.
func (h *harness) startStop(t *testing.T) time.Time {
	h.stopped = true
	done := make(chan struct{})
	startedAt := time.Now()
	go func() {
		h.process.Shutdown()
		close(done)
	}()
	t.Cleanup(func() { <-done })
	return startedAt
}

// Guards against kept connections that a planned stop closes without an answer
// while the head of a request is arriving in two parts.
func TestShutdownAnswersRequestsInTwoParts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, answerOK)
	h.awaitStatus(t, "not ready", http.StatusOK, h.settings.CallerAddress+"/a/", "k")
	callers := make([]*rawCaller, 20)
	for i := range callers {
		callers[i] = h.dialRaw(t)
		is.NoErr(callers[i].send(0, strings.Join(requestParts(fmt.Sprint("first-", i)), "")))
		status, _, err := callers[i].receive()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	startedAt := h.startStop(t)
	time.Sleep(time.Until(startedAt.Add(closeDelay - 100*time.Millisecond)))
	result := &outcomes{}
	var group sync.WaitGroup
	for i, caller := range callers {
		group.Go(func() {
			result.record(caller.exchange(200*time.Millisecond, requestParts(fmt.Sprint("second-", i))...))
		})
	}
	group.Wait()
	is.Equal(result.failures, []string(nil))
}

// exchange sends a request and describes what is wrong with its answer.
func (c *rawCaller) exchange(pause time.Duration, parts ...string) string {
	if err := c.send(pause, parts...); err != nil {
		return "request was not sent: " + err.Error()
	}
	status, closing, err := c.receive()
	switch {
	case err != nil:
		return "no answer: " + err.Error()
	case status != http.StatusOK && status != http.StatusServiceUnavailable:
		return fmt.Sprint("status ", status)
	case !closing:
		return "the answer does not announce the end of the connection"
	}
	return ""
}

// Guards against connections that a planned stop resets, with whole requests in
// them, because they were in the accept queue when it closed the listener.
func TestShutdownAnswersQueuedConnections(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, answerOK)
	h.awaitStatus(t, "not ready", http.StatusOK, h.settings.CallerAddress+"/a/", "k")
	startedAt := h.startStop(t)
	result := &outcomes{}
	var group sync.WaitGroup
	for i := range 32 {
		group.Go(func() {
			time.Sleep(time.Until(startedAt.Add(closeDelay - 40*time.Millisecond)))
			for j := 0; time.Since(startedAt) < closeDelay+100*time.Millisecond; j++ {
				conn, err := net.Dial("tcp", h.settings.CallerAddress)
				if err != nil {
					return
				}
				caller := &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
				result.record(caller.exchange(0, strings.Join(requestParts(fmt.Sprint("queued-", i, "-", j)), "")))
				_ = conn.Close()
			}
		})
	}
	group.Wait()
	t.Log(result.answered, "requests answered")
	is.Equal(result.failures, []string(nil))
}

// Guards against answers that are written after a stop has begun but do not
// announce the end of the connection, on which the caller then sends a request
// that crosses the closing.
func TestShutdownAnnouncesEndInLateAnswers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			time.Sleep(400 * time.Millisecond)
		}
		answerOK(writer, request)
	})
	h.awaitStatus(t, "not ready", http.StatusOK, h.settings.CallerAddress+"/a/", "k")
	caller := h.dialRaw(t)
	is.NoErr(caller.send(100*time.Millisecond, strings.Join(requestParts("late"), "")))
	h.startStop(t)
	status, closing, err := caller.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(closing)
}
