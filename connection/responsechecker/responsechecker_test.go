package responsechecker_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/connection/responsechecker"
)

// serve responds on each connection once the head of the request has arrived, and
// returns the URL.
func serve(t *testing.T, respond func(conn *net.TCPConn, body io.Reader)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), request.Body)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: responsechecker.Transport{RoundTripper: transport}, Timeout: 10 * time.Second}
}

// post sends a body of the given size and reads the response.
func post(client *http.Client, url string, size int) (int, string, error) {
	response, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Guards against a response with an invalid status that counts as a success, since it is
// below 300.
func TestInvalidStatus(t *testing.T) {
	for _, c := range []struct {
		status string
		valid  bool
	}{
		{"000", false},
		{"001", false},
		{"099", false},
		{"+20", false},
		{"101", false},
		{"200", true},
		{"204", true},
		{"404", true},
		{"599", true},
		{"600", false},
		{"999", false},
	} {
		t.Run(c.status, func(t *testing.T) {
			is := is.New(t)
			url := serve(t, func(conn *net.TCPConn, _ io.Reader) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", c.status)
			})
			for _, size := range []int{0, 4} {
				status, _, err := post(newClient(t), url, size)
				is.Equal(err == nil, c.valid)
				if c.valid {
					is.Equal(fmt.Sprint(status), c.status)
				}
			}
		})
	}
}

// Guards against a response without a length that was reset while the request was being
// written and counts as complete, and against a complete one that counts as cut.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	const (
		rounds     = 20
		largeBytes = 16 << 20
		readTime   = 10 * time.Millisecond
	)
	unframed := func(conn *net.TCPConn, _ io.Reader) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody") }
	for name, c := range map[string]struct {
		size    int
		respond func(conn *net.TCPConn, body io.Reader)
		cut     bool
	}{
		"reset": {largeBytes, func(conn *net.TCPConn, body io.Reader) {
			unframed(conn, body)
			time.Sleep(readTime)
			_ = conn.SetLinger(0)
		}, true},
		"request read": {largeBytes, func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, largeBytes/2)
			unframed(conn, body)
			time.Sleep(readTime)
			_, _ = io.Copy(io.Discard, body)
		}, false},
		"small request": {4, unframed, false},
		"no request":    {0, unframed, false},
		"length, reset": {largeBytes, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			time.Sleep(readTime)
			_ = conn.SetLinger(0)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := serve(t, c.respond)
			for range rounds {
				is := is.New(t)
				_, body, err := post(newClient(t), url, c.size)
				if !c.cut {
					is.NoErr(err)
					is.Equal(body, "body")
					continue
				}
				is.True(err != nil)
			}
		})
	}
}

// Guards against an end of the body that later reads report as another one.
func TestEndOfBodyIsRepeated(t *testing.T) {
	is := is.New(t)
	reset := errors.New("reset")
	for _, c := range []struct{ written, want error }{{nil, io.EOF}, {reset, io.ErrUnexpectedEOF}} {
		body := responsechecker.NewBody(bytes.NewReader([]byte("x")), func() error { return c.written })
		buffer := make([]byte, 4)
		n, err := body.Read(buffer)
		is.Equal(n, 1)
		is.NoErr(err)
		for range 2 {
			_, err = body.Read(buffer)
			is.True(errors.Is(err, c.want))
		}
	}
}
