package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// Guards against a body that is awaited although its announced length is beyond the
// limit, and against a chunked body that passes for whole although it broke off.
func TestUnusableBodiesReachNoTarget(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\nMulberrybeam-Request-Id: r\r\n"
	for name, c := range map[string]struct {
		body   string
		closes bool
		status int
	}{
		"announced beyond the limit": {"Content-Length: 4194305\r\n\r\n", false, http.StatusRequestEntityTooLarge},
		"chunks beyond the limit":    {"Transfer-Encoding: chunked\r\n\r\n400001\r\n" + strings.Repeat("x", 4<<20+1), false, http.StatusRequestEntityTooLarge},
		"chunks that break off":      {"Transfer-Encoding: chunked\r\n\r\n5\r\nab", true, http.StatusServiceUnavailable},
		"length that breaks off":     {"Content-Length: 5\r\n\r\nab", true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, mulberrybeam.Rule{Guarantee: mulberrybeam.GuaranteeAtMostOnce, Timeout: 5 * time.Second}, respondsStamped("ok"))
			conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = io.WriteString(conn, head+c.body)
			is.NoErr(err)
			if c.closes {
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.True(response.Close)
			h.mutex.Lock()
			defer h.mutex.Unlock()
			is.Equal(len(h.requests), 0)
		})
	}
}
