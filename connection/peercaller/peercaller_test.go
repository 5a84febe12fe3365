package peercaller_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/peercaller"
)

const loopback = "127.0.0.1:0"

// recordingHandler replies to FetchEnvironment with a document, counts the
// messages and records the last sender.
type recordingHandler struct {
	calls    atomic.Int64
	document []byte
	from     atomic.Value
}

func (h *recordingHandler) handle(_ context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	h.calls.Add(1)
	h.from.Store(from)
	switch message := message.(type) {
	case mulberrybeam.FetchEnvironment:
		return mulberrybeam.FetchEnvironmentReply{Revision: message.Above + 1, Document: h.document}, nil
	case mulberrybeam.Fence:
		return mulberrybeam.ExtendReply{}, nil
	default:
		return nil, errors.New("unsupported message")
	}
}

func serve(t testing.TB, handler peercaller.Handler, options ...peercaller.Option) string {
	t.Helper()
	address, stop, err := peercaller.Serve(loopback, handler, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop() })
	return address
}

func newCaller(t testing.TB, options ...peercaller.Option) *peercaller.Caller {
	t.Helper()
	caller, closePool := peercaller.New("a/1", options...)
	t.Cleanup(func() { _ = closePool() })
	return caller
}

// Guards against a call that loses its sender or its fields, and against
// concurrent calls that receive each other's replies.
func TestConcurrentCalls(t *testing.T) {
	is := is.New(t)
	handler := &recordingHandler{document: []byte("{}")}
	address := serve(t, handler.handle)
	caller := newCaller(t)
	var group sync.WaitGroup
	var failures atomic.Int64
	for i := range 50 {
		group.Go(func() {
			above := mulberrybeam.Revision(i)
			answer, err := caller.Call(t.Context(), address, mulberrybeam.FetchEnvironment{From: "a/1", Above: above})
			reply, matches := answer.(mulberrybeam.FetchEnvironmentReply)
			if err != nil || !matches || reply.Revision != above+1 {
				failures.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(failures.Load(), int64(0))
	is.Equal(handler.calls.Load(), int64(50))
	is.Equal(handler.from.Load(), mulberrybeam.ProcessID("a/1"))
}

// serveRaw counts the connections it accepts and passes each to a function.
func serveRaw(t *testing.T, hits *atomic.Int64, handleConn func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
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
			hits.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				handleConn(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// cutAfter forwards connections to a real server and closes them after some
// bytes of the reply.
func cutAfter(t *testing.T, hits *atomic.Int64, bytes int64, server string) string {
	return serveRaw(t, hits, func(conn net.Conn) {
		upstream, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		defer func() { _ = upstream.Close() }()
		go func() { _, _ = io.Copy(upstream, conn) }()
		_, _ = io.CopyN(conn, upstream, bytes)
	})
}

// Guards against calls to a faulty peer that hang, panic or succeed, and
// against NotRun on a call that may have been sent.
func TestPeerFaults(t *testing.T) {
	large := &recordingHandler{document: make([]byte, 100_000)}
	closedListener := func(t *testing.T, hits *atomic.Int64) string {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			t.Fatal(err)
		}
		hits.Add(1)
		_ = listener.Close()
		return listener.Addr().String()
	}
	blocking := func(t *testing.T, hits *atomic.Int64) string {
		return serve(t, func(ctx context.Context, _ mulberrybeam.ProcessID, _ mulberrybeam.Message) (mulberrybeam.Message, error) {
			hits.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		})
	}
	counted := func(t *testing.T, hits *atomic.Int64) string {
		return serve(t, func(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error) {
			hits.Add(1)
			return large.handle(ctx, from, message)
		})
	}
	cases := []struct {
		name    string
		start   func(*testing.T, *atomic.Int64) string
		message mulberrybeam.Message
		notRun  bool
	}{
		{"dead", closedListener, mulberrybeam.FetchEnvironment{}, true},
		{"slow", blocking, mulberrybeam.FetchEnvironment{}, false},
		{"garbage", func(t *testing.T, hits *atomic.Int64) string {
			return serveRaw(t, hits, func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) })
		}, mulberrybeam.FetchEnvironment{}, false},
		{"silent", func(t *testing.T, hits *atomic.Int64) string {
			return serveRaw(t, hits, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
		}, mulberrybeam.FetchEnvironment{}, false},
		{"oversized reply", counted, mulberrybeam.FetchEnvironment{}, false},
		{"reply cut off", func(t *testing.T, hits *atomic.Int64) string {
			return cutAfter(t, hits, 2_000, serve(t, large.handle))
		}, mulberrybeam.FetchEnvironment{}, false},
		{"refused", counted, mulberrybeam.Extend{}, false},
		{"reply of another type", counted, mulberrybeam.Fence{}, false},
		{"message is not a request", func(_ *testing.T, hits *atomic.Int64) string { hits.Add(1); return loopback }, mulberrybeam.FenceReply{}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var hits atomic.Int64
			address := test.start(t, &hits)
			caller := newCaller(t, peercaller.WithTimeout(500*time.Millisecond), peercaller.WithMaxMessageSize(50_000))
			_, err := caller.Call(t.Context(), address, test.message)
			var failure *mulberrybeam.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, mulberrybeam.CodePeerUnreachable)
			is.Equal(failure.Peer, address)
			is.Equal(failure.NotRun, test.notRun)
			is.True(hits.Load() > 0)
		})
	}
}

// Guards against an invalid or oversized request that stops the server or
// reaches the handler.
func TestInvalidRequests(t *testing.T) {
	is := is.New(t)
	handler := &recordingHandler{}
	refused := make(chan error, 10)
	address := serve(t, handler.handle, peercaller.WithMaxMessageSize(1_000), peercaller.WithErrorHandler(func(err error) { refused <- err }))
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: peer\r\n\r\n"))
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.True(<-refused != nil)
	caller := newCaller(t)
	// The encoding of an empty fact is one byte.
	for _, size := range []int{1_100, 100_000} {
		_, err = caller.Call(t.Context(), address, mulberrybeam.Exchange{Facts: make([]mulberrybeam.Fact, size)})
		is.True(err != nil)
	}
	is.Equal(handler.calls.Load(), int64(0))
	_, err = caller.Call(t.Context(), address, mulberrybeam.FetchEnvironment{})
	is.NoErr(err)
}

// Guards against a pooled connection that keeps failing after its peer
// restarted, and against a stop function that leaves connections open.
func TestPeerRestarts(t *testing.T) {
	is := is.New(t)
	handler := &recordingHandler{}
	address, stop, err := peercaller.Serve(loopback, handler.handle)
	is.NoErr(err)
	caller := newCaller(t)
	_, err = caller.Call(t.Context(), address, mulberrybeam.FetchEnvironment{})
	is.NoErr(err)
	is.NoErr(stop())
	_, err = caller.Call(t.Context(), address, mulberrybeam.FetchEnvironment{})
	is.True(err != nil)
	_, stop, err = peercaller.Serve(address, handler.handle)
	is.NoErr(err)
	defer func() { _ = stop() }()
	_, err = caller.Call(t.Context(), address, mulberrybeam.FetchEnvironment{})
	is.NoErr(err)
}
