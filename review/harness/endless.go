//go:build review

package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// ContextStore is a context store that holds nothing. In trouble, it sends bytes that
// are no answer until its caller closes the connection.
type ContextStore struct {
	Address string
	// Endless is set while the store is in trouble, and Calls counts the calls that it
	// answers so.
	Endless atomic.Bool
	Calls   atomic.Int64
}

// StartContextStore starts a context store.
func (c *Case) StartContextStore() (*ContextStore, error) {
	listener, err := net.Listen("tcp", c.newIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &ContextStore{Address: listener.Addr().String()}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	c.onClose(func() { _ = server.Close() })
	return s, nil
}

// ServeHTTP answers a call for the content or its changes.
func (s *ContextStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if s.Endless.Load() {
		s.Calls.Add(1)
		s.sendEndless(writer)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if request.URL.Path == "/-/kv-list" {
		_, _ = io.WriteString(writer, `{"boot_epoch":77120,"next_page_token":1,"held":[]}`)
		return
	}
	wait(request)
	_, _ = io.WriteString(writer, `{"boot_epoch":77120,"next_page_token":1,"lost":false,"events":[],"clock_ms":1000}`)
}

// sendEndless writes the head of an answer that does not end.
func (s *ContextStore) sendEndless(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	for {
		if _, err := conn.Write(headLines); err != nil {
			return
		}
	}
}

// headLines are lines of a head, 16 MB of them.
var headLines = func() []byte {
	const size = 16 << 20
	lines := make([]byte, 0, size+64)
	for number := 1; len(lines) < size; number++ {
		lines = fmt.Appendf(lines, "x%x:\r\n", number)
	}
	return lines
}()

// wait waits for as long as the caller allows.
func wait(request *http.Request) {
	milliseconds, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
	case <-request.Context().Done():
	}
}
