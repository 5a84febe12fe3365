package peercaller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mulberrybeam"
)

const (
	// defaultIdle is how long a connection on which nothing arrives stays
	// open. It exceeds the poolExpiration of the peers.
	defaultIdle = 2 * time.Minute
	// defaultHandshake limits the TLS handshake.
	defaultHandshake = 5 * time.Second
	// defaultMaxPeers limits the open connections. It exceeds two from
	// each of 54 members and 12 relays.
	defaultMaxPeers = 512
	// acceptRetry is the delay after a failed accept, for example when
	// the process is out of file descriptors.
	acceptRetry = 100 * time.Millisecond
)

// Handler returns the reply to a message. The sender's process ID, from, is not
// authenticated.
type Handler func(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error)

// WithIdle sets how long a server keeps a connection on which nothing arrives.
func WithIdle(idle time.Duration) Option { return func(s *settings) { s.idle = idle } }

// WithRefused sets a function that receives the errors of accepting and serving
// connections.
func WithRefused(refused func(error)) Option { return func(s *settings) { s.refused = refused } }

// Serve listens on an address and passes each received message to the handler,
// on a goroutine of its connection. It returns the address it listens on and a
// function that closes the listener and all connections and waits for running
// handlers.
func Serve(address string, handler Handler, options ...Option) (string, func() error, error) {
	s := newSettings(options)
	mux := drpcmux.New()
	for _, method := range methods {
		if err := method.register(mux, s.maxSize, handler); err != nil {
			return "", nil, fmt.Errorf("register %s: %w", method.request, err)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("listen for peers on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	accepting := &acceptor{
		settings: s,
		listener: listener,
		server:   drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: s.manager()}),
		free:     make(chan struct{}, s.maxPeers),
	}
	accepting.running.Add(1)
	go accepting.run(ctx)
	return listener.Addr().String(), func() error {
		cancel()
		err := listener.Close()
		accepting.running.Wait()
		return err
	}, nil
}

// acceptor accepts connections and serves each on a goroutine of its own.
type acceptor struct {
	settings
	listener net.Listener
	server   *drpcserver.Server
	free     chan struct{}
	running  sync.WaitGroup
}

func (a *acceptor) run(ctx context.Context) {
	defer a.running.Done()
	for {
		select {
		case a.free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := a.listener.Accept()
		if err != nil {
			<-a.free
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			a.refused(fmt.Errorf("accept connection: %w", err))
			select {
			case <-time.After(acceptRetry):
			case <-ctx.Done():
				return
			}
			continue
		}
		a.running.Add(1)
		go a.serve(ctx, conn)
	}
}

func (a *acceptor) serve(ctx context.Context, conn net.Conn) {
	defer a.running.Done()
	defer func() { <-a.free }()
	peer := conn.RemoteAddr().String()
	secured, err := a.secure(ctx, conn)
	if err != nil {
		_ = conn.Close()
		a.refused(fmt.Errorf("peer %s: TLS handshake: %w", peer, err))
		return
	}
	if err := a.server.ServeOne(ctx, idleConn{secured, a.idle}); err != nil && ctx.Err() == nil {
		a.refused(fmt.Errorf("peer %s: %w", peer, err))
	}
}

func (a *acceptor) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if a.tls == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.handshake)
	defer cancel()
	secured := tls.Server(conn, a.tls)
	return secured, secured.HandshakeContext(ctx)
}

// idleConn fails a read if nothing arrives within the idle timeout.
type idleConn struct {
	net.Conn
	idle time.Duration
}

func (c idleConn) Read(data []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}
