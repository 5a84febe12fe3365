package processtest_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// connectionCount is the number of callers that only open connections.
	connectionCount = 400
	// writeTimeout ends the sending of a caller whose bytes are not read any more.
	writeTimeout = 10 * time.Second
)

// sender sends a request, or a part of one, on a connection that stays open.
type sender func(conn net.Conn, key, id string) error

// crowd sends from count callers at once and returns when each has sent all it sends
// or cannot go on. The connections stay open until the end of the test.
func (e *entry) crowd(t *testing.T, count int, senders ...sender) {
	t.Helper()
	keys := []string{"k1", "k2"}
	var group sync.WaitGroup
	for i := range count {
		conn, err := net.DialTimeout("tcp", e.address, answerTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		group.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			// A refused caller cannot write all.
			_ = senders[i%len(senders)](conn, keys[i/len(senders)%len(keys)], fmt.Sprint("crowd-", i))
		})
	}
	group.Wait()
}

// Guards against callers that use up the descriptors of a host by connections on which
// they send nothing.
func TestCrowdOfConnections(t *testing.T) {
	e := startEntry(t)
	e.crowd(t, connectionCount, func(net.Conn, string, string) error { return nil })
	e.awaitAnswer(t, "k1")
	e.check(t)
}

