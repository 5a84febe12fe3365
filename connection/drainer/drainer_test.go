package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/connection/drainer"
)

// stopTime is longer than a stop takes that has nothing to wait for.
const stopTime = 2 * time.Second

func listen(t *testing.T) *drainer.Drainer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return drainer.New(listener.(*net.TCPListener))
}

func dial(t *testing.T, d *drainer.Drainer) net.Conn {
	conn, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// acceptUnread accepts connections without reading from them.
func acceptUnread(d *drainer.Drainer) (accepted chan net.Conn) {
	accepted = make(chan net.Conn, 8)
	go func() {
		defer close(accepted)
		for {
			conn, err := d.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return accepted
}

// Guards against a stop that closes a connection with an unread request, and
// against one that waits for connections on which nothing arrives.
func TestDrainKeepsConnectionsWithUnreadBytes(t *testing.T) {
	is := is.New(t)
	d := listen(t)
	accepted := acceptUnread(d)
	caller := dial(t, d)
	_, err := io.WriteString(caller, "G")
	is.NoErr(err)
	silent := dial(t, d)
	<-accepted
	<-accepted
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	done := make(chan drainer.Stats, 1)
	go func() {
		stats, err := d.Drain(ctx)
		is.NoErr(err)
		done <- stats
	}()
	_, err = io.ReadAll(silent)
	is.NoErr(err)
	is.NoErr(caller.SetReadDeadline(time.Now().Add(stopTime / 2)))
	_, err = io.ReadAll(caller)
	var failure net.Error
	is.True(errors.As(err, &failure) && failure.Timeout()) // not closed
	is.Equal(<-done, drainer.Stats{Closed: 2, Arriving: 1})
}

// Guards against a stop that resets the connections of the accept queue.
func TestDrainTakesTheAcceptQueue(t *testing.T) {
	is := is.New(t)
	d := listen(t)
	callers := []net.Conn{dial(t, d), dial(t, d), dial(t, d)}
	for _, caller := range callers {
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	done := make(chan drainer.Stats, 1)
	go func() {
		stats, err := d.Drain(ctx)
		is.NoErr(err)
		done <- stats
	}()
	time.Sleep(50 * time.Millisecond)
	server := &http.Server{Handler: http.NotFoundHandler()}
	d.Attach(server)
	is.True(errors.Is(server.Serve(d), net.ErrClosed))
	for _, caller := range callers {
		answer, err := io.ReadAll(caller)
		is.NoErr(err)
		is.True(len(answer) > 0)
	}
	is.Equal(<-done, drainer.Stats{Accepted: 3})
	is.NoErr(ctx.Err()) // ends early
}

// Guards against requests that run on after their connection was closed at the end
// of a stop.
func TestDrainCancelsRunningRequests(t *testing.T) {
	is := is.New(t)
	d := listen(t)
	started, ended := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		close(ended)
	})}
	d.Attach(server)
	go func() { _ = server.Serve(d) }()
	_, err := io.WriteString(dial(t, d), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	stats, err := d.Drain(ctx)
	is.NoErr(err)
	is.Equal(stats, drainer.Stats{Interrupted: 1})
	<-ended
}

// Guards against a stop that closes kept connections at the moment it closes the
// listener, while requests sent shortly before are still on their way.
func TestDrainWaitsForBytesOnTheirWay(t *testing.T) {
	is := is.New(t)
	d := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) })}
	d.Attach(server)
	served := make(chan struct{})
	go func() {
		_ = server.Serve(d)
		close(served)
	}()
	caller := dial(t, d)
	reader := bufio.NewReader(caller)
	call := func() error {
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		_, err := http.ReadResponse(reader, nil)
		return err
	}
	is.NoErr(call())
	time.Sleep(stopTime / 4)
	done := make(chan drainer.Stats, 1)
	go func() {
		stats, err := d.Drain(t.Context())
		is.NoErr(err)
		done <- stats
	}()
	<-served // the listener is closed
	is.NoErr(call())
	is.Equal(<-done, drainer.Stats{Closed: 1})
}

// Guards against a stop that closes the listener while callers still open connections,
// and against one that waits for them for ever.
func TestAwaitQuietWaitsForTheLastConnection(t *testing.T) {
	const quiet = 150 * time.Millisecond
	is := is.New(t)
	d := listen(t)
	acceptUnread(d)
	start := time.Now()
	d.AwaitQuiet(t.Context(), quiet)
	is.True(time.Since(start) < quiet) // nothing was accepted
	lastAt := make(chan time.Time, 1)
	go func() {
		for range 10 {
			dial(t, d)
			time.Sleep(quiet / 5)
		}
		lastAt <- time.Now()
	}()
	time.Sleep(quiet / 5)
	d.AwaitQuiet(t.Context(), quiet)
	is.True(time.Since(<-lastAt) > quiet/2)
	dial(t, d)
	ctx, cancel := context.WithTimeout(t.Context(), quiet/5)
	defer cancel()
	d.AwaitQuiet(ctx, time.Hour)
	is.True(ctx.Err() != nil)
}
