package requester_test

import (
	"bufio"
	"context"
	"errors"
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
	"mulberrybeam/connection/requester"
	"mulberrybeam/platform"
)

// scriptedServer is a server that sends raw bytes as the response to each
// request. A response that ends with closeSuffix closes the connection.
type scriptedServer struct {
	listener  net.Listener
	connCount atomic.Int32
	respond   func(conn, request int, id string) string
}

const closeSuffix = "\x00"

func newScriptedServer(t *testing.T, respond func(conn, request int, id string) string) *scriptedServer {
	s := &scriptedServer{respond: respond}
	s.listener = listen(t, func(conn net.Conn) { go s.serve(conn, int(s.connCount.Add(1))) })
	return s
}

// listen opens a listener until the end of the test and passes each connection to
// accepted, which must not block.
func listen(t *testing.T, accepted func(net.Conn)) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted(conn)
		}
	}()
	return listener
}

func (s *scriptedServer) serve(conn net.Conn, connNumber int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 1; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response, closeConn := strings.CutSuffix(s.respond(connNumber, i, request.Header.Get("Mulberrybeam-Request-Id")), closeSuffix)
		_, _ = io.WriteString(conn, response)
		if closeConn {
			return
		}
	}
}

func (s *scriptedServer) target() mulberrybeam.FleetTarget {
	return mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{ID: "t", Address: s.listener.Addr().String()}}
}

func newRequester(t *testing.T) *requester.Requester {
	start := time.Now()
	dialer := &net.Dialer{}
	c, closeIdle := requester.New(platform.Codec{}, dialer.DialContext, func() time.Duration { return time.Since(start) })
	t.Cleanup(closeIdle)
	return c
}

func newMessage(id string) requester.Message {
	return requester.Message{
		ID: mulberrybeam.RequestID(id), Method: http.MethodPost, URI: "/a/b?c=1", Host: "h",
		Header: http.Header{"Mulberrybeam-Request-Id": {id}}, Body: []byte("body"), HasBody: true,
	}
}

func sendAndRead(c *requester.Requester, s *scriptedServer, id string) (string, error) {
	answer, err := c.Send(context.Background(), s.target(), 0, newMessage(id))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func httpResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a response that goes to the caller of another request.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(_, _ int, id string) string { return httpResponse("late", "wrong") + httpResponse(id, "right") })
	body, err := sendAndRead(newRequester(t), s, "r1")
	is.NoErr(err)
	is.Equal(body, "right")
}

// Guards against reading extra data after a response as the next response.
func TestConnectionWithExtraDataIsNotReused(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(conn, _ int, id string) string {
		return httpResponse(id, fmt.Sprint(conn)) + httpResponse(id, "extra")
	})
	c := newRequester(t)
	for i := 1; i <= 3; i++ {
		body, err := sendAndRead(c, s, "same")
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(i))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against opening a connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(_, _ int, id string) string { return httpResponse(id, "x") })
	c := newRequester(t)
	for i := range 5 {
		_, err := sendAndRead(c, s, fmt.Sprint(i))
		is.NoErr(err)
	}
	is.Equal(s.connCount.Load(), int32(1))
	c.CloseUnused(func(mulberrybeam.InstanceID) bool { return false })
	_, err := sendAndRead(c, s, "next")
	is.NoErr(err)
	is.Equal(s.connCount.Load(), int32(2))
}

// Guards against sending a request over a connection that the target has closed.
func TestClosedConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(_, _ int, id string) string { return httpResponse(id, "x") + closeSuffix })
	c := newRequester(t)
	for i := range 3 {
		_, err := sendAndRead(c, s, fmt.Sprint(i))
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.connCount.Load(), int32(3))
}

// Guards against a truncated response that looks complete, and against NotRun
// being set after the request was sent.
func TestTruncatedResponses(t *testing.T) {
	cases := []struct {
		name     string
		response string
		inHead   bool
	}{
		{"nothing", closeSuffix, true},
		{"not HTTP", "garbage\r\n\r\n" + closeSuffix, true},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-", true},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort" + closeSuffix, false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n" + closeSuffix, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := strings.TrimSuffix(c.response, closeSuffix) + closeSuffix
			_, err := sendAndRead(newRequester(t), newScriptedServer(t, func(int, int, string) string { return raw }), "r")
			is.True(err != nil)
			var failure *mulberrybeam.Failure
			is.Equal(errors.As(err, &failure), c.inHead)
			if c.inHead {
				is.True(!failure.NotRun)
			}
		})
	}
}

// Guards against rejecting a response without a length, which ends when the
// target closes the connection.
func TestResponseThatEndsWithConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\n\r\nwhole" + closeSuffix })
	body, err := sendAndRead(newRequester(t), s, "r")
	is.NoErr(err)
	is.Equal(body, "whole")
}

// Guards against exceeding the connection limit, and against reporting a request
// as sent although the connection was refused.
func TestConnectionLimitAndRefusedConnections(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(_, _ int, id string) string { return httpResponse(id, "x") })
	c := newRequester(t)
	first, err := c.Send(context.Background(), s.target(), 1, newMessage("a"))
	is.NoErr(err)
	_, err = c.Send(context.Background(), s.target(), 1, newMessage("b"))
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeTargetRefused)
	first.Close()
	_ = s.listener.Close()
	stopped := s.target()
	stopped.ID = "gone"
	_, err = c.Send(context.Background(), stopped, 1, newMessage("c"))
	var failure *mulberrybeam.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.NotRun)
	is.True(c.RefusesConnections(context.Background(), stopped.Address))
}

// Guards against a target that continues to work on a cancelled request, because
// its connection stays open.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort" })
	ctx, cancel := context.WithCancel(context.Background())
	answer, err := newRequester(t).Send(ctx, s.target(), 0, newMessage("r"))
	is.NoErr(err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = io.ReadAll(answer)
	is.True(err != nil)
	answer.Close()
}
