package carrier_test

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
	"mulberrybeam/connection/carrier"
	"mulberrybeam/platform"
)

// script is a server that sends raw bytes as the response to each request. A
// response that ends with closeMark closes the connection.
type script struct {
	listener net.Listener
	conns    atomic.Int32
	answers  func(conn, request int, id string) string
}

const closeMark = "\x00"

func newScript(t *testing.T, answers func(conn, request int, id string) string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: listener, answers: answers}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, int(s.conns.Add(1)))
		}
	}()
	return s
}

func (s *script) serve(conn net.Conn, number int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 1; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer, closing := strings.CutSuffix(s.answers(number, i, request.Header.Get("Mulberrybeam-Request-Id")), closeMark)
		_, _ = io.WriteString(conn, answer)
		if closing {
			return
		}
	}
}

func (s *script) target() mulberrybeam.FleetTarget {
	return mulberrybeam.FleetTarget{LiveTarget: mulberrybeam.LiveTarget{ID: "t", Address: s.listener.Addr().String()}}
}

func newCarrier(t *testing.T) *carrier.Carrier {
	start := time.Now()
	dialer := &net.Dialer{}
	c, closeIdle := carrier.New(platform.Codec{}, dialer.DialContext, func() time.Duration { return time.Since(start) })
	t.Cleanup(closeIdle)
	return c
}

func message(id string) carrier.Message {
	return carrier.Message{
		ID: mulberrybeam.RequestID(id), Method: http.MethodPost, URI: "/a/b?c=1", Host: "h",
		Header: http.Header{"Mulberrybeam-Request-Id": {id}}, Body: []byte("body"), HasBody: true,
	}
}

func send(c *carrier.Carrier, s *script, id string) (string, error) {
	answer, err := c.Send(context.Background(), s.target(), 0, message(id))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a response that goes to the caller of another request.
func TestAnswersOfOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(_, _ int, id string) string { return answer("late", "wrong") + answer(id, "right") })
	body, err := send(newCarrier(t), s, "r1")
	is.NoErr(err)
	is.Equal(body, "right")
}

// Guards against reading extra data after a response as the next response.
func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(conn, _ int, id string) string { return answer(id, fmt.Sprint(conn)) + answer(id, "extra") })
	c := newCarrier(t)
	for i := 1; i <= 3; i++ {
		body, err := send(c, s, "same")
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(i))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against opening a connection for each request.
func TestSoundConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(_, _ int, id string) string { return answer(id, "x") })
	c := newCarrier(t)
	for i := range 5 {
		_, err := send(c, s, fmt.Sprint(i))
		is.NoErr(err)
	}
	is.Equal(s.conns.Load(), int32(1))
	c.Retain(func(mulberrybeam.InstanceID) bool { return false })
	_, err := send(c, s, "next")
	is.NoErr(err)
	is.Equal(s.conns.Load(), int32(2))
}

// Guards against sending a request over a connection that the target has closed.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(_, _ int, id string) string { return answer(id, "x") + closeMark })
	c := newCarrier(t)
	for i := range 3 {
		_, err := send(c, s, fmt.Sprint(i))
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.conns.Load(), int32(3))
}

// Guards against a truncated response that looks complete, and against NotRun
// being set after the request was sent.
func TestBrokenAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		inHead bool
	}{
		{"nothing", closeMark, true},
		{"not HTTP", "garbage\r\n\r\n" + closeMark, true},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-", true},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort" + closeMark, false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n" + closeMark, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := strings.TrimSuffix(c.answer, closeMark) + closeMark
			_, err := send(newCarrier(t), newScript(t, func(int, int, string) string { return raw }), "r")
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
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\n\r\nwhole" + closeMark })
	body, err := send(newCarrier(t), s, "r")
	is.NoErr(err)
	is.Equal(body, "whole")
}

// Guards against exceeding the connection limit, and against reporting a request
// as sent although the connection was refused.
func TestConnectionLimitAndRefusedConnections(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(_, _ int, id string) string { return answer(id, "x") })
	c := newCarrier(t)
	first, err := c.Send(context.Background(), s.target(), 1, message("a"))
	is.NoErr(err)
	_, err = c.Send(context.Background(), s.target(), 1, message("b"))
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeTargetRefused)
	first.Close()
	_ = s.listener.Close()
	gone := s.target()
	gone.ID = "gone"
	_, err = c.Send(context.Background(), gone, 1, message("c"))
	var failure *mulberrybeam.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.NotRun)
	is.True(c.Crashed(context.Background(), gone.Address))
}

// Guards against a target that continues to work on a cancelled request, because
// its connection stays open.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	s := newScript(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort" })
	ctx, cancel := context.WithCancel(context.Background())
	answer, err := newCarrier(t).Send(ctx, s.target(), 0, message("r"))
	is.NoErr(err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = io.ReadAll(answer)
	is.True(err != nil)
	answer.Close()
}
