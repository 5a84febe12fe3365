package processtest_test

import (
	"bytes"
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
	// crowdSize is the number of callers of a crowd, and connectionCount that of callers
	// that only open connections.
	crowdSize       = 40
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

func write(conn net.Conn, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

// sendWhole announces a body of the largest legal size and sends all but its last byte.
func sendWhole(conn net.Conn, key, id string) error {
	return write(conn, head("/plain/x", key, id), fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), strings.Repeat("x", maxBodyBytes-1))
}

// sendPieces is like sendWhole, piece by piece.
func sendPieces(conn net.Conn, key, id string) error {
	const pieceSize = 16 << 10
	err := write(conn, head("/plain/x", key, id), fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))
	for sent := 0; sent < maxBodyBytes-pieceSize && err == nil; sent += pieceSize {
		err = write(conn, strings.Repeat("x", pieceSize))
		time.Sleep(time.Millisecond)
	}
	return err
}

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// sendLargeChunk sends a body of the largest legal size in one chunk, but for its last
// byte.
func sendLargeChunk(conn net.Conn, key, id string) error {
	return write(conn, head("/plain/x", key, id), chunkedHead, fmt.Sprintf("%x\r\n", maxBodyBytes), strings.Repeat("x", maxBodyBytes-1))
}

// smallChunks is a body of nearly the largest legal size in chunks of one byte,
// without its end.
var smallChunks = sync.OnceValue(func() []byte { return bytes.Repeat([]byte("1\r\nx\r\n"), maxBodyBytes-1) })

func sendSmallChunks(conn net.Conn, key, id string) error {
	if err := write(conn, head("/plain/x", key, id), chunkedHead); err != nil {
		return err
	}
	_, err := conn.Write(smallChunks())
	return err
}

// sendFarTooLong announces a body far over the limit and sends some of it.
func sendFarTooLong(conn net.Conn, key, id string) error {
	return write(conn, head("/plain/x", key, id), fmt.Sprintf("Content-Length: %d\r\n\r\n", 2<<30), strings.Repeat("x", 2*maxBodyBytes))
}

// sendEndlessChunks sends chunks until the connection is closed.
func sendEndlessChunks(conn net.Conn, key, id string) error {
	err := write(conn, head("/plain/x", key, id), chunkedHead)
	for chunk := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"; err == nil; {
		err = write(conn, chunk)
	}
	return err
}

// Guards against a process that runs out of memory because callers send many bodies at
// once, most of which stop just short of their end.
func TestCrowdOfBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		send sender
	}{
		{"whole", sendWhole},
		{"piece by piece", sendPieces},
		{"one large chunk", sendLargeChunk},
		{"very small chunks", sendSmallChunks},
		{"announced far over the limit", sendFarTooLong},
		{"chunks without end", sendEndlessChunks},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t)
			e.crowd(t, crowdSize, c.send)
			e.awaitAnswer(t, "k1")
			e.check(t)
		})
	}
}

// Guards against a mix of such bodies over two keys that keeps the ordinary requests of
// either key from being answered.
func TestCrowdOfTwoKeys(t *testing.T) {
	e := startEntry(t)
	e.crowd(t, crowdSize, sendWhole, sendPieces, sendLargeChunk, sendSmallChunks, sendFarTooLong, sendEndlessChunks)
	e.awaitAnswer(t, "k1")
	e.awaitAnswer(t, "k2")
	e.check(t)
}

// Guards against heads that are kept without bound: many fields take much more memory
// than their bytes.
func TestCrowdOfHeads(t *testing.T) {
	e := startEntry(t)
	fields := &strings.Builder{}
	for i := 0; fields.Len() < 16<<10; i++ {
		_, _ = fmt.Fprintf(fields, "%x:\r\n", i)
	}
	e.crowd(t, connectionCount, func(conn net.Conn, key, id string) error {
		return write(conn, head("/plain/x", key, id), fields.String())
	})
	e.awaitAnswer(t, "k1")
	e.check(t)
}

// Guards against callers that use up the descriptors of a host by connections on which
// they send nothing.
func TestCrowdOfConnections(t *testing.T) {
	e := startEntry(t)
	e.crowd(t, connectionCount, func(net.Conn, string, string) error { return nil })
	e.awaitAnswer(t, "k1")
	e.check(t)
}

// Guards against callers that do not read the answers that they asked for and keep what
// their requests hold for ever, long after the deadlines of these.
func TestCrowdOfSlowReaders(t *testing.T) {
	e := startEntry(t)
	before := e.descriptorCount(t)
	e.crowd(t, crowdSize, func(conn net.Conn, key, id string) error {
		return write(conn, head("/stream/x", key, id), "Mulberrybeam-Request-Deadline: 2000\r\nContent-Length: 0\r\n\r\n")
	})
	e.awaitAnswer(t, "k1")
	e.check(t)
	open := 0
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if open = e.descriptorCount(t); open < before+crowdSize/2 {
			return
		}
	}
	t.Errorf("%d descriptors are open, %d were before %d callers stopped to read", open, before, crowdSize)
}

// Guards against limits that keep out a single body of the largest legal size in calm.
func TestLargestBodyIsServed(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	for name, text := range map[string]string{
		"whole":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBodyBytes, body),
		"chunked": fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, maxBodyBytes, body),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t)
			status, answer, err := e.send(head("/plain/x", "k1", "largest"), strings.NewReader(text))
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(answer, fmt.Sprint(maxBodyBytes))
			e.check(t)
		})
	}
}
