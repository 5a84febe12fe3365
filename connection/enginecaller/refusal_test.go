package enginecaller_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
)

// Guards against a wrong NotRun if no connection could be opened, if the
// connection was closed before the response, if the engine refused another
// request, and if it refused the weight version.
func TestNotRunOfFailedCalls(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		fake, caller, target := setUp(t)
		fake.Crash()
		_, err := caller.Generate(t.Context(), newCall(target, "r1"))
		checkFailure(t, err, mulberrybeam.CodeTargetFailed, true)
	})
	t.Run("closed after the request", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close()
		go func() {
			if connection, err := listener.Accept(); err == nil {
				_, _ = connection.Read(make([]byte, 4096)) // request for the load report
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"instance\": \"i1\"}")
				_, _ = connection.Read(make([]byte, 4096))
				_ = connection.Close()
			}
		}()
		_, caller, target := setUp(t)
		target.Address = listener.Addr().String()
		_, err = caller.Generate(t.Context(), newCall(target, "r1"))
		checkFailure(t, err, mulberrybeam.CodeTargetFailed, false)
	})
	t.Run("refusal of another request", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(w, `{"instance": "i1"}`)
				return
			}
			w.Header().Set("X-Request-Id", "r0")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"error":{"code":"overloaded","not-run":true}}`)
		}))
		defer server.Close()
		_, caller, target := setUp(t)
		target.Address = strings.TrimPrefix(server.URL, "http://")
		_, err := caller.Generate(t.Context(), newCall(target, "r1"))
		checkFailure(t, err, mulberrybeam.CodeTargetFailed, false)
	})
	t.Run("wrong version", func(t *testing.T) {
		_, caller, target := setUp(t)
		call := newCall(target, "r1")
		call.Request.Version = "v2"
		_, err := caller.Generate(t.Context(), call)
		checkFailure(t, err, mulberrybeam.CodeTargetRefused, true)
	})
}
