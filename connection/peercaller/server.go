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
	// defaultIdleTimeout is how long a connection on which nothing arrives
	// stays open. It exceeds the poolExpiration of the peers.
	defaultIdleTimeout = 2 * time.Minute
	// defaultHandshakeTimeout limits the TLS handshake.
	defaultHandshakeTimeout = 5 * time.Second
	// defaultMaxConnections limits the open connections. It exceeds two
	// from each of 54 members and 12 relays.
	defaultMaxConnections = 512
	// acceptRetryDelay is the delay after a failed accept, for example when
	// the process is out of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// Handler returns the reply to a message. The sender's process ID, from, is not
// authenticated.
type Handler func(ctx context.Context, from mulberrybeam.ProcessID, message mulberrybeam.Message) (mulberrybeam.Message, error)

// WithIdleTimeout sets how long a server keeps a connection on which nothing arrives.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.idleTimeout = timeout }
}

// WithErrorHandler sets a function that receives the errors of accepting and serving
// connections.
func WithErrorHandler(onError func(error)) Option { return func(s *settings) { s.onError = onError } }

// Serve listens on an address and passes each received message to the handler,
// on a goroutine of its connection. It returns the address it listens on and a
// function that closes the listener and all connections and waits for running
// handlers.
func Serve(address string, handler Handler, options ...Option) (string, func() error, error) {
	s := newSettings(options)
	mux := drpcmux.New()
	for _, method := range methods {
		if err := method.register(mux, s.maxMessageSize, handler); err != nil {
			return "", nil, fmt.Errorf("register %s: %w", method.request, err)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("listen for peers on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &acceptor{
		settings:  s,
		listener:  listener,
		server:    drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: s.managerOptions()}),
		semaphore: make(chan struct{}, s.maxConnections),
	}
	a.running.Add(1)
	go a.run(ctx)
	return listener.Addr().String(), func() error {
		cancel()
		err := listener.Close()
		a.running.Wait()
		return err
	}, nil
}

// acceptor accepts connections and serves each on a goroutine of its own.
type acceptor struct {
	settings
	listener net.Listener
	server   *drpcserver.Server
	// semaphore limits the open connections.
	semaphore chan struct{}
	running   sync.WaitGroup
}

func (a *acceptor) run(ctx context.Context) {
	defer a.running.Done()
	for {
		select {
		case a.semaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := a.listener.Accept()
		if err != nil {
			<-a.semaphore
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			a.onError(fmt.Errorf("accept connection: %w", err))
			select {
			case <-time.After(acceptRetryDelay):
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
	defer func() { <-a.semaphore }()
	peer := conn.RemoteAddr().String()
	secured, err := a.secure(ctx, conn)
	if err != nil {
		_ = conn.Close()
		a.onError(fmt.Errorf("peer %s: TLS handshake: %w", peer, err))
		return
	}
	if err := a.server.ServeOne(ctx, idleConn{secured, a.idleTimeout}); err != nil && ctx.Err() == nil {
		a.onError(fmt.Errorf("peer %s: %w", peer, err))
	}
}

func (a *acceptor) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if a.tls == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, a.tls)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// idleConn fails a read if nothing arrives within the idle timeout.
type idleConn struct {
	net.Conn
	timeout time.Duration
}

func (c idleConn) Read(data []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}
