package soaker

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberrybeam/connection/pauser"
	"mulberrybeam/process/standin/backend"
)

// FaultSplitHeads is the name of the fault in which callers pause in the middle
// of request heads while their host is stopped.
const FaultSplitHeads = "split-heads"

const (
	splitCallers = 24
	// maxIdleTime is the maximum time for which a connection is idle between two
	// requests. It exceeds the time after which a stopping host closes idle
	// connections.
	maxIdleTime = 3500 * time.Millisecond
	// splitTime is how long the callers send requests before and after the
	// signal that stops the host.
	splitTime = 1500 * time.Millisecond
	// The pause in a request head.
	minHeadPause = 50 * time.Millisecond
	maxHeadPause = 600 * time.Millisecond
	dialTimeout  = time.Second
)

// splitHeads stops a host to which callers send split requests.
func splitHeads(r *run, random *rand.Rand) {
	h := r.randomHost(random)
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var group sync.WaitGroup
	for i := range splitCallers {
		number := random.Uint32()
		group.Go(func() { r.sendSplitRequests(ctx, h, fmt.Sprintf("split %x-%d", number, i)) })
	}
	r.pause(splitTime)
	r.stop(h)
	r.pause(splitTime)
	cancel()
	group.Wait()
}

// sendSplitRequests sends split requests to a host over one keep-alive connection at
// a time until ctx is canceled.
func (r *run) sendSplitRequests(ctx context.Context, h *host, name string) {
	random := r.random(name)
	var conn *splitConn
	for i := 0; ctx.Err() == nil; i++ {
		result := r.newResult(random, fmt.Sprintf("%x-%s-%d", r.seed, strings.ReplaceAll(name, " ", "-"), i))
		result.Host = h.name
		if conn == nil {
			conn = dialHost(h.callerAddress)
		} else {
			result.Kept = true
		}
		pause := minHeadPause + time.Duration(random.Int64N(int64(maxHeadPause-minHeadPause)))
		if conn != nil && !conn.send(&result, pause) {
			conn.close()
			conn = nil
		}
		if !result.SentAt.IsZero() {
			r.withLock(func() { r.history.Results = append(r.history.Results, result) })
		}
		pauser.Pause(ctx, time.Duration(random.Int64N(int64(maxIdleTime))))
	}
	if conn != nil {
		conn.close()
	}
}

// splitConn is a connection on which the head of each request is sent in two
// parts.
type splitConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialHost returns a connection to the address, or nil if the host does not accept
// one.
func dialHost(address string) *splitConn {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil
	}
	return &splitConn{conn, bufio.NewReader(conn)}
}

func (s *splitConn) close() { _ = s.Close() }

// send sends one request with a pause in its head, and records its response in
// result. It reports whether the connection can be used again.
func (s *splitConn) send(result *Result, pause time.Duration) bool {
	_ = s.SetDeadline(time.Now().Add(pause + result.Timeout + time.Second))
	result.SentAt = time.Now()
	// A failed write needs no handling, because the read fails too.
	_, _ = fmt.Fprintf(s, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", result.path(), routeHost, backend.HeaderRequestID, result.Request)
	ended := make(chan bool, 1)
	go func() { ended <- s.receive(result) }()
	select {
	case <-ended:
		return false
	case <-time.After(pause):
	}
	_, _ = fmt.Fprintf(s, "%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", backend.HeaderAPIKey, result.Key,
		backend.HeaderDeadline, result.Timeout.Milliseconds(), len(result.Request), result.Request)
	return <-ended
}

// receive reads a response and reports whether the connection stays open.
func (s *splitConn) receive(result *Result) bool {
	defer func() { result.EndedAt = time.Now() }()
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	result.readResponse(response)
	return result.Complete && !response.Close
}
