package drainer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/connection/drainer"
)

// Guards against connections beyond the limit, against a caller that cannot connect
// because others stay connected without a request, and against a connection that is
// closed for another one while its request runs.
func TestConnectionsGiveWayToOthers(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := drainer.New(listener.(*net.TCPListener), drainer.WithMaxConnections(3))
	release := make(chan struct{})
	server := &http.Server{Handler: d.Handler(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/long" {
			<-release
		}
	}))}
	d.Attach(server)
	go func() { _ = server.Serve(d) }()
	t.Cleanup(func() { _ = server.Close() })
	running, silent, partial := dial(t, d), dial(t, d), dial(t, d)
	_, err = io.WriteString(running, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = io.WriteString(partial, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(dial(t, d)) // none has waited for long
	is.True(err == nil || isReset(err))
	time.Sleep(1100 * time.Millisecond)
	for i, given := range []net.Conn{silent, partial} {
		newcomer := dial(t, d)
		_, err = io.WriteString(newcomer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(newcomer), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.ReadAll(given)
		is.True(err == nil || isReset(err))
		replaced, rejected := d.Refused()
		is.Equal(replaced, i+1)
		is.Equal(rejected, 1)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(running), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

func isReset(err error) bool {
	_, isNetwork := err.(net.Error)
	return isNetwork
}
