package requester_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// floodingServer answers each request with a prefix and then repeats text until
// the client closes the connection.
type floodingServer struct {
	listener net.Listener
	sent     atomic.Int64
	closed   chan struct{}
}

func newFloodingServer(t *testing.T, prefix func(id string) string, text string) *floodingServer {
	s := &floodingServer{closed: make(chan struct{}, 16)}
	s.listener = listen(t, func(conn net.Conn) { go s.flood(conn, prefix, text) })
	return s
}

func (s *floodingServer) flood(conn net.Conn, prefix func(id string) string, text string) {
	defer func() {
		_ = conn.Close()
		s.closed <- struct{}{}
	}()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, prefix(request.Header.Get("Mulberrybeam-Request-Id")))
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for {
		n, err := conn.Write(block)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a target that sends bytes which are no answer without end, until
// the caller closes. They must neither fill the memory nor hold the request.
func TestEndlessBytesBeforeTheAnswer(t *testing.T) {
	constant := func(text string) func(string) string { return func(string) string { return text } }
	const otherHead = "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: other\r\n"
	cases := []struct {
		name   string
		prefix func(id string) string
		text   string
	}{
		{"status line", constant("HTTP/1.1 200 "), "O"},
		{"bytes that are no answer", constant(""), "\x00"},
		{"field name", constant("HTTP/1.1 200 OK\r\n"), "X"},
		{"field value", constant("HTTP/1.1 200 OK\r\nX: "), "y"},
		{"fields", func(id string) string { return "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: " + id + "\r\n" }, "X: y\r\n"},
		{"interim answers", constant(""), "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body of another request's answer", constant(otherHead + "Transfer-Encoding: chunked\r\n\r\n"), "1\r\nx\r\n"},
		{"body without length of another request's answer", constant(otherHead + "\r\n"), "x"},
		{"answers to other requests", constant(""), otherHead + "Content-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFloodingServer(t, c.prefix, c.text)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			target := mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{ID: "t", Address: s.listener.Addr().String()}}
			_, err := newRequester(t).Send(ctx, target, 0, newMessage("r1"))
			is.True(err != nil)
			is.NoErr(ctx.Err()) // ended by the limit, not by the deadline
			is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeTargetFailed)
			<-s.closed
			// The limits and what the sockets on both sides buffer.
			is.True(s.sent.Load() < 16<<20)
		})
	}
}

// Guards against a late copy of a refusal that is taken for the response to a
// retry of the same request on the same connection: the caller would be told
// that a request did not run that the target runs.
func TestRetryDoesNotGetTheCopyOfAnEarlierRefusal(t *testing.T) {
	refusal := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Busy\r\nMulberrybeam-Request-Id: %s\r\nMulberrybeam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	for _, between := range []int{0, 1, 2, 20} {
		t.Run(fmt.Sprint(between, " requests between"), func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(conn, request int, id string) string {
				switch {
				case conn == 1 && request == 1:
					return refusal(id)
				case conn == 1 && id == "r1":
					return refusal(id) + httpResponse(id, "right") // the copy arrives just after the retry
				}
				return httpResponse(id, "right")
			})
			c := newRequester(t)
			answer, err := c.Send(t.Context(), s.target(), 0, newMessage("r1"))
			is.NoErr(err)
			is.True(answer.Head.NotRun)
			_, _ = io.Copy(io.Discard, answer)
			answer.Close()
			for i := range between {
				body, err := sendAndRead(c, s, fmt.Sprint("other", i))
				is.NoErr(err)
				is.Equal(body, "right")
			}
			body, err := sendAndRead(c, s, "r1")
			is.NoErr(err)
			is.Equal(body, "right")
		})
	}
}

// Guards against a copy of an earlier refusal that is taken for the response to
// the next request on the connection because it has no request ID.
func TestResponseWithoutIDOnAKeptConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nMulberrybeam-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
	cases := []struct {
		name, id, copied, body string
		failed                 bool
	}{
		{"refusal before the response", "r2", refusal, "right", false},
		{"two refusals before the response", "r2", refusal + refusal, "right", false},
		{"other response before the response", "r2", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "right", false},
		{"refusal that closes the connection", "r2", strings.Replace(refusal, "\r\n", "\r\nConnection: close\r\n", 1) + closeSuffix, "", true},
		{"refusal without length", "r2", strings.Replace(refusal, "Content-Length: 4\r\n", "", 1) + closeSuffix, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(conn, request int, id string) string {
				is.Equal(conn, 1)
				if request == 1 {
					return httpResponse(id, "first")
				}
				if copied, closes := strings.CutSuffix(c.copied, closeSuffix); closes {
					return copied + closeSuffix
				}
				return c.copied + httpResponse(id, "right")
			})
			client := newRequester(t)
			body, err := sendAndRead(client, s, "r1")
			is.NoErr(err)
			is.Equal(body, "first")
			body, err = sendAndRead(client, s, c.id)
			is.Equal(err != nil, c.failed)
			is.Equal(body, c.body)
			if c.failed {
				is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeTargetFailed)
			}
		})
	}
}

// Guards against skipping the only response on a new connection because it has no
// request ID, as that to a request without one.
func TestResponseWithoutIDOnANewConnection(t *testing.T) {
	for _, id := range []string{"r1", ""} {
		t.Run("request "+id, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(int, int, string) string {
				return "HTTP/1.1 503 Busy\r\nMulberrybeam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			})
			client := newRequester(t)
			for range 2 {
				answer, err := client.Send(t.Context(), s.target(), 0, newMessage(id))
				is.NoErr(err)
				is.True(answer.Head.NotRun)
				_, _ = io.Copy(io.Discard, answer)
				answer.Close()
			}
		})
	}
}
