// Package peercaller sends messages between entry processes over drpc, with
// pooled connections and optional mutual TLS.
package peercaller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"reflect"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"mulberrybeam"
	"mulberrybeam/connection/peerencoder"
)

const (
	// defaultTimeout limits a call whose context has no deadline. It is
	// the timeout for calls between zones.
	defaultTimeout = 2 * time.Second
	// poolExpiration is how long an unused connection stays open. A
	// process calls each of 54 members about every 27 s.
	poolExpiration = time.Minute
	// poolCapacity limits the idle connections of a process, poolPerPeer
	// those to one peer.
	poolCapacity = 128
	poolPerPeer  = 2
	// frameOverhead is the number of bytes that drpc's framing may add to
	// a message of the maximum size.
	frameOverhead = 4 << 10
	// maxIdleBuffer is the largest buffer, in bytes, that an idle
	// connection retains. Without a limit, a large document would keep its
	// memory allocated on each connection.
	maxIdleBuffer = 16 << 10
)

// serverName is the DNS name in the certificates of all peers. Peers are
// addressed by IP and may be replaced at any time, so a certificate proves that
// a peer belongs to the fleet, not which host it is.
const serverName = "mulberrybeam"

// settings are the options of clients and servers.
type settings struct {
	tls              *tls.Config
	maxMessageSize   int
	timeout          time.Duration
	idleTimeout      time.Duration
	handshakeTimeout time.Duration
	maxConnections   int
	onError          func(error)
}

// Option configures a Caller or a server.
type Option func(*settings)

// WithMutualTLS makes both sides present a certificate and reject a peer whose
// certificate is missing or not signed by the authority. The certificate must
// name the DNS name "mulberrybeam" and allow client and server authentication.
func WithMutualTLS(certificate tls.Certificate, authority *x509.CertPool) Option {
	return func(s *settings) {
		s.tls = &tls.Config{
			Certificates: []tls.Certificate{certificate},
			RootCAs:      authority,
			ClientCAs:    authority,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ServerName:   serverName,
			MinVersion:   tls.VersionTLS13,
		}
	}
}

// WithMaxMessageSize sets the maximum size of a message in bytes.
func WithMaxMessageSize(bytes int) Option { return func(s *settings) { s.maxMessageSize = bytes } }

// WithTimeout sets the timeout of calls whose context has no deadline.
func WithTimeout(timeout time.Duration) Option { return func(s *settings) { s.timeout = timeout } }

func newSettings(options []Option) settings {
	s := settings{
		maxMessageSize: peerencoder.MaxMessageSize, timeout: defaultTimeout,
		idleTimeout: defaultIdleTimeout, handshakeTimeout: defaultHandshakeTimeout, maxConnections: defaultMaxConnections,
		onError: func(error) {},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

func (s settings) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: s.maxMessageSize + frameOverhead},
		Stream: drpcstream.Options{MaximumBufferSize: maxIdleBuffer},
	}
}

// Caller implements mulberrybeam.PeerClient.
type Caller struct {
	settings
	self mulberrybeam.ProcessID
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

var _ mulberrybeam.PeerClient = (*Caller)(nil)

// New returns a Caller and a function that closes its idle connections.
func New(self mulberrybeam.ProcessID, options ...Option) (*Caller, func() error) {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: poolPerPeer,
	})
	return &Caller{settings: newSettings(options), self: self, pool: pool}, pool.Close
}

// Call sends a message and returns the peer's reply. A failed call is not
// retried. Errors are Failures with CodePeerUnreachable; NotRun is set if the
// message was certainly not sent.
func (c *Caller) Call(ctx context.Context, address string, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	for _, method := range methods {
		if method.request != reflect.TypeOf(message) {
			continue
		}
		ctx = drpcmetadata.Add(ctx, fromKey, string(c.self))
		reply, err := method.invoke(ctx, c.pool.Get(ctx, address, c.dial), c.maxMessageSize, message)
		if err != nil {
			return nil, unreachableFailure(address, err)
		}
		return reply, nil
	}
	return nil, unreachableFailure(address, &notSentError{fmt.Errorf("message type %T is not a request", message)})
}

// notSentError is an error that occurred before anything was sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

func unreachableFailure(address string, cause error) error {
	var notSent *notSentError
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodePeerUnreachable, Step: mulberrybeam.StepPeer, Peer: address,
		Message: "call failed", NotRun: errors.As(cause, &notSent), Cause: cause,
	}
}

func (c *Caller) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &notSentError{err}
	}
	if c.tls != nil {
		tlsConn := tls.Client(conn, c.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, &notSentError{errors.Join(err, conn.Close())}
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: c.managerOptions()}), nil
}
