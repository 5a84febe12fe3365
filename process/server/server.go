// Package server is the HTTP front end towards callers.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"mulberrybeam"
	"mulberrybeam/request/forwarder"
	"mulberrybeam/request/keyer"
)

// Constants of the front end.
const (
	// maxBody bounds a request's body.
	maxBody = 1 << 20
	// maxHeader bounds a request's header.
	maxHeader = 32 << 10
	// headerTimeout bounds the reading of a header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 90 * time.Second
	// batchTokens bounds the tokens copied for a reader at once.
	batchTokens = 256
	// maxHints bounds the hints that are worked on at once. Further ones
	// are dropped, since a hint only saves time.
	maxHints = 16
	// cancelTimeout bounds the wait for cancelled runs at a shutdown that
	// was cut short.
	cancelTimeout = 2 * time.Second
	// unreadTimeout cancels an answer that is not streamed, and so cannot
	// be resumed, when its caller leaves.
	unreadTimeout = time.Millisecond
)

// Proxy passes a request on to another entry process of the zone. It returns
// false, and writes nothing, when the process is not known.
type Proxy func(process mulberrybeam.ProcessID, response http.ResponseWriter, request *http.Request) bool

// Settings are the dependencies and bounds of a Server.
type Settings struct {
	Snapshot  func() *mulberrybeam.Snapshot
	Forwarder *forwarder.Forwarder
	Keyer     *keyer.Keyer
	// Clock is local monotonic time, the same as the Forwarder's.
	Clock func() time.Duration
	Proxy Proxy
	// Grace is how long a run goes on without a reader.
	Grace time.Duration
	// Retention is how long a finished stream can be resumed.
	Retention time.Duration
	// ReadTimeout bounds the reading of a whole request, WriteTimeout each
	// write to a slow reader.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// StreamBytes bounds the tokens kept of one stream, FinishedBytes those
	// of all finished streams.
	StreamBytes   int
	FinishedBytes int
}

// Option changes the settings of a Server.
type Option func(*Settings)

// WithControl sets the function that returns the current snapshot.
func WithControl(snapshot func() *mulberrybeam.Snapshot) Option {
	return func(s *Settings) { s.Snapshot = snapshot }
}

// WithForwarder sets what runs requests, and its monotonic clock.
func WithForwarder(forwarder *forwarder.Forwarder) Option {
	return func(s *Settings) { s.Forwarder, s.Clock = forwarder, forwarder.Clock }
}

// WithKeyer sets the keys of context blocks and fingerprints.
func WithKeyer(keyer *keyer.Keyer) Option { return func(s *Settings) { s.Keyer = keyer } }

// WithProxy sets how streams of other processes are reached.
func WithProxy(proxy Proxy) Option { return func(s *Settings) { s.Proxy = proxy } }

// WithGrace sets how long a run goes on without a reader.
func WithGrace(grace time.Duration) Option { return func(s *Settings) { s.Grace = grace } }

// WithRetention sets how long a finished stream can be resumed.
func WithRetention(retention time.Duration) Option {
	return func(s *Settings) { s.Retention = retention }
}

// WithTimeouts sets the bounds of reading a request and of each write.
func WithTimeouts(read, write time.Duration) Option {
	return func(s *Settings) { s.ReadTimeout, s.WriteTimeout = read, write }
}

// WithBuffers sets the bytes kept of one stream and of all finished ones.
func WithBuffers(stream, finished int) Option {
	return func(s *Settings) { s.StreamBytes, s.FinishedBytes = stream, finished }
}

// Server serves callers over HTTP.
type Server struct {
	Settings
	app      *iris.Application
	http     *http.Server
	streams  *registry
	hints    chan struct{}
	retired  atomic.Bool
	draining atomic.Bool
	// admission orders the start of runs and the start of draining.
	admission sync.RWMutex
	runs      sync.WaitGroup
}

// New returns a server and the function that shuts it down: it refuses new
// requests, waits until running ones have ended, and closes all connections.
// When ctx ends first, it cancels the streams.
func New(options ...Option) (*Server, func(ctx context.Context) error, error) {
	settings := Settings{
		Proxy: func(mulberrybeam.ProcessID, http.ResponseWriter, *http.Request) bool { return false },
		Grace: 10 * time.Second, Retention: time.Minute,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		StreamBytes: 1 << 20, FinishedBytes: 32 << 20,
	}
	for _, option := range options {
		option(&settings)
	}
	s := &Server{
		Settings: settings, app: iris.New(), hints: make(chan struct{}, maxHints),
		streams: newRegistry(settings.Retention, settings.FinishedBytes),
	}
	if err := s.route(); err != nil {
		return nil, nil, err
	}
	s.http = &http.Server{
		Handler: s.app, ReadHeaderTimeout: headerTimeout, ReadTimeout: settings.ReadTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	return s, s.shutdown, nil
}

// Handler returns the HTTP handler, for tests and other listeners.
func (s *Server) Handler() http.Handler { return s.app }

// Serve accepts connections until the shutdown. It returns nil after it.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Retire makes the readiness probe fail while requests are still taken, so
// that the balancer can notice before the server drains.
func (s *Server) Retire() { s.retired.Store(true) }

// Drain refuses new requests. Running ones go on and can be resumed.
func (s *Server) Drain() {
	s.admission.Lock()
	defer s.admission.Unlock()
	s.draining.Store(true)
}

func (s *Server) shutdown(ctx context.Context) error {
	s.Drain()
	ended := make(chan struct{})
	go func() {
		s.runs.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		s.streams.cancelAll()
		select {
		case <-ended:
		case <-time.After(cancelTimeout):
		}
	}
	s.streams.close()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

func (s *Server) route() error {
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.app.Post("/v1/chat/completions", s.chat)
	s.app.Post("/v1/services/{service}/{call}", s.service)
	s.app.Get("/v1/streams/{id}", s.resume)
	s.app.Delete("/v1/streams/{id}", s.cancel)
	s.app.Post("/v1/hints", s.hint)
	s.app.Get("/livez", func(ctx iris.Context) { s.text(ctx, http.StatusOK, "ok") })
	s.app.Get("/readyz", s.ready)
	s.app.Any("/{path:path}", func(ctx iris.Context) {
		s.refuse(ctx, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNotFound, Step: mulberrybeam.StepAccept, Message: "no such path or method", NotRun: true,
		})
	})
	return s.app.Build()
}

// begin counts a run unless the server drains. The run must call runs.Done.
func (s *Server) begin() *mulberrybeam.Failure {
	s.admission.RLock()
	defer s.admission.RUnlock()
	snapshot := s.Snapshot()
	if s.draining.Load() || snapshot != nil && snapshot.Draining {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeShuttingDown, Step: mulberrybeam.StepAccept, Message: "this host takes no new requests",
			NotRun: true, RetryAfter: time.Second,
		}
	}
	if snapshot == nil || snapshot.Tables == nil {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNotReady, Step: mulberrybeam.StepAccept, Message: "no configuration is in force",
			NotRun: true, RetryAfter: time.Second,
		}
	}
	s.runs.Add(1)
	return nil
}

func (s *Server) ready(ctx iris.Context) {
	snapshot := s.Snapshot()
	switch {
	case s.retired.Load() || s.draining.Load() || snapshot != nil && snapshot.Draining:
		s.text(ctx, http.StatusServiceUnavailable, string(mulberrybeam.CodeShuttingDown))
	case snapshot == nil || snapshot.Tables == nil || !snapshot.Ready:
		s.text(ctx, http.StatusServiceUnavailable, string(mulberrybeam.CodeNotReady))
	default:
		s.text(ctx, http.StatusOK, "ready")
	}
}
