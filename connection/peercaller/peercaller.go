// Package peercaller sends messages between entry processes by drpc, with
// pooled connections and, if an option says so, mutual TLS.
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
	// defaultTimeout bounds a call whose context has no deadline. It is
	// the design's timeout across zones.
	defaultTimeout = 2 * time.Second
	// poolExpiration closes connections that were not used for a while.
	// A process calls each of 54 members about every 27 s.
	poolExpiration = time.Minute
	// poolCapacity bounds the idle connections of a process and
	// poolPerPeer those to one peer.
	poolCapacity = 128
	poolPerPeer  = 2
	// frameOverhead is what drpc may add to a message of the largest size.
	frameOverhead = 4 << 10
	// keptBuffer is the largest buffer that an idle connection keeps, so
	// that one large document does not hold memory at each connection.
	keptBuffer = 16 << 10
)

// serverName is the DNS name that the certificates of all peers carry. Peers
// are reached by IP number and replaced at any time, so a certificate proves
// that a peer belongs to the fleet and not which host it is.
const serverName = "mulberrybeam"

// settings are common to both sides.
type settings struct {
	tls       *tls.Config
	maxSize   int
	timeout   time.Duration
	idle      time.Duration
	handshake time.Duration
	maxPeers  int
	refused   func(error)
}

// Option configures a Caller or a server.
type Option func(*settings)

// WithMutualTLS makes both sides show a certificate signed by the authority
// and refuse a peer without one. The certificate must carry the DNS name
// "mulberrybeam" and be usable for client and server.
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

// WithMaxSize bounds a message in bytes.
func WithMaxSize(bytes int) Option { return func(s *settings) { s.maxSize = bytes } }

// WithTimeout bounds calls whose context has no deadline.
func WithTimeout(timeout time.Duration) Option { return func(s *settings) { s.timeout = timeout } }

func newSettings(options []Option) settings {
	s := settings{
		maxSize: peerencoder.MaxSize, timeout: defaultTimeout,
		idle: defaultIdle, handshake: defaultHandshake, maxPeers: defaultMaxPeers,
		refused: func(error) {},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

func (s settings) manager() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: s.maxSize + frameOverhead},
		Stream: drpcstream.Options{MaximumBufferSize: keptBuffer},
	}
}

// Caller is a mulberrybeam.PeerClient.
type Caller struct {
	settings
	self mulberrybeam.ProcessID
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

var _ mulberrybeam.PeerClient = (*Caller)(nil)

// New returns a client and a function that closes its idle connections.
func New(self mulberrybeam.ProcessID, options ...Option) (*Caller, func() error) {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: poolPerPeer,
	})
	return &Caller{settings: newSettings(options), self: self, pool: pool}, pool.Close
}

// Call sends a message and returns the peer's answer. It is not repeated when
// it fails. Errors are Failures with CodePeerUnreachable; NotRun is set when
// the peer surely did not get the message.
func (c *Caller) Call(ctx context.Context, address string, message mulberrybeam.Message) (mulberrybeam.Message, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	for _, method := range methods {
		if method.request != reflect.TypeOf(message) {
			continue
		}
		ctx = drpcmetadata.Add(ctx, fromKey, string(c.self))
		answer, err := method.invoke(ctx, c.pool.Get(ctx, address, c.dial), c.maxSize, message)
		if err != nil {
			return nil, unreachable(address, err)
		}
		return answer, nil
	}
	return nil, unreachable(address, &dialError{fmt.Errorf("message type %T is no request", message)})
}

// dialError says that nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func unreachable(address string, cause error) error {
	var notSent *dialError
	return &mulberrybeam.Failure{
		Code: mulberrybeam.CodePeerUnreachable, Step: mulberrybeam.StepPeer, Peer: address,
		Message: "call failed", NotRun: errors.As(cause, &notSent), Cause: cause,
	}
}

func (c *Caller) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	if c.tls != nil {
		secured := tls.Client(conn, c.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, &dialError{errors.Join(err, conn.Close())}
		}
		conn = secured
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: c.manager()}), nil
}
