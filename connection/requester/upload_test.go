package requester_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/requester"
)

const (
	// uploadBytes is larger than the socket buffers of a connection whose target does
	// not read.
	uploadBytes = 16 << 20
	// arrivedBytes is the part of the request that the target reads before it answers.
	arrivedBytes = 16 << 10
	// readTime is enough for the caller to read the part of the body that was sent.
	readTime = 10 * time.Millisecond
)

// serveUpload passes each connection to respond once the head of the request, and some
// of its body, has arrived.
func serveUpload(t *testing.T, respond func(conn *net.TCPConn)) mulberrybeam.FleetTarget {
	listener := listen(t, func(conn net.Conn) {
		go func() {
			defer func() { _ = conn.Close() }()
			if _, err := io.ReadFull(conn, make([]byte, arrivedBytes)); err == nil {
				respond(conn.(*net.TCPConn))
			}
		}()
	})
	return mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{ID: "t", Address: listener.Addr().String()}}
}

func uploadMessage() requester.Message {
	message := newMessage("r1")
	message.Body = bytes.Repeat([]byte("x"), uploadBytes)
	return message
}

// respondEarly sends an answer before the upload was read.
func respondEarly(conn *net.TCPConn, framing, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: r1\r\n%s\r\n%s", framing, body)
	time.Sleep(readTime)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against an answer without a length whose connection was reset while the upload
// was being written, and that counts as complete: the write that fails takes the error
// of the connection, and the read after it gets the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 20
	cases := []struct {
		name     string
		respond  func(conn *net.TCPConn)
		body     string
		complete bool
	}{
		{"reset", func(conn *net.TCPConn) {
			respondEarly(conn, "", "part")
			reset(conn)
		}, "part", false},
		{"reset before the body", func(conn *net.TCPConn) {
			respondEarly(conn, "", "")
			reset(conn)
		}, "", false},
		{"closed with unread data", func(conn *net.TCPConn) {
			respondEarly(conn, "", "part")
		}, "part", false},
		{"end of the answer, then reset", func(conn *net.TCPConn) {
			respondEarly(conn, "", "part")
			_ = conn.CloseWrite()
			time.Sleep(readTime)
			reset(conn)
		}, "part", false},
		{"end of the answer, upload read", func(conn *net.TCPConn) {
			respondEarly(conn, "", "whole")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, "whole", true},
		{"length, then reset", func(conn *net.TCPConn) {
			respondEarly(conn, "Content-Length: 5\r\n", "whole")
			reset(conn)
		}, "whole", true},
		{"chunks, then reset", func(conn *net.TCPConn) {
			respondEarly(conn, "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n")
			reset(conn)
		}, "whole", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for range rounds {
				is := is.New(t)
				target := serveUpload(t, c.respond)
				answer, err := newRequester(t).Send(t.Context(), target, 0, uploadMessage())
				if err != nil {
					is.True(!c.complete)
					continue
				}
				is.Equal(answer.Status, http.StatusOK)
				body, err := io.ReadAll(answer)
				answer.Close()
				is.Equal(string(body), c.body)
				is.Equal(err == nil, c.complete)
			}
		})
	}
}
