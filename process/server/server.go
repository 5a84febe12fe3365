// Package server implements the HTTP API that an entry process offers to callers.
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

// Limits of the HTTP server.
const (
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 32 << 10
	// headerTimeout limits the time to read a request header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may stay open without requests.
	idleTimeout = 90 * time.Second
	// maxBatchTokens limits the number of tokens that a reader gets at a time.
	maxBatchTokens = 256
	// maxHints limits the number of hints processed concurrently. Further
	// hints are dropped, because a hint only saves time.
	maxHints = 16
	// cancelTimeout limits the wait for cancelled runs when the time for a
	// shutdown is over.
	cancelTimeout = 2 * time.Second
	// nonStreamingGrace is the grace period of an answer that is not streamed. It
	// is short, because such an answer cannot be resumed once its caller has
	// disconnected.
	nonStreamingGrace = time.Millisecond
)

// Proxy forwards a request to another entry process of the zone. It returns
// false, and writes nothing, if the process is unknown or unreachable.
type Proxy func(process mulberrybeam.ProcessID, response http.ResponseWriter, request *http.Request) bool

// Settings holds the dependencies and limits of a Server.
type Settings struct {
	Snapshot  func() *mulberrybeam.Snapshot
	Forwarder *forwarder.Forwarder
	Keyer     *keyer.Keyer
	// Clock returns local monotonic time. It must be the Forwarder's clock.
	Clock func() time.Duration
	Proxy Proxy
	// ResumeGrace is how long a run continues without a reader.
	ResumeGrace time.Duration
	// Retention is how long a finished stream can be resumed.
	Retention time.Duration
	// ReadTimeout limits the time to read a whole request, and WriteTimeout
	// the time of each write to a caller.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// StreamBytes limits the buffered tokens of one stream, in bytes, and
	// FinishedBytes those of all finished streams.
	StreamBytes   int
	FinishedBytes int
}

// Option changes the settings of a Server.
type Option func(*Settings)

// WithSnapshot sets the function that returns the current snapshot.
func WithSnapshot(snapshot func() *mulberrybeam.Snapshot) Option {
	return func(s *Settings) { s.Snapshot = snapshot }
}

// WithForwarder sets the forwarder that runs requests, and uses its clock.
func WithForwarder(forwarder *forwarder.Forwarder) Option {
	return func(s *Settings) { s.Forwarder, s.Clock = forwarder, forwarder.Clock }
}

// WithKeyer sets the keyer, which derives the keys of context blocks and the
// fingerprints of requests.
func WithKeyer(keyer *keyer.Keyer) Option { return func(s *Settings) { s.Keyer = keyer } }

// WithProxy sets the function that forwards requests for streams of other
// processes.
func WithProxy(proxy Proxy) Option { return func(s *Settings) { s.Proxy = proxy } }

// WithResumeGrace sets how long a run continues without a reader.
func WithResumeGrace(grace time.Duration) Option { return func(s *Settings) { s.ResumeGrace = grace } }

// WithRetention sets how long a finished stream can be resumed.
func WithRetention(retention time.Duration) Option {
	return func(s *Settings) { s.Retention = retention }
}

// WithTimeouts sets the time limits for reading a request and for each write.
func WithTimeouts(read, write time.Duration) Option {
	return func(s *Settings) { s.ReadTimeout, s.WriteTimeout = read, write }
}

// WithBuffers sets the maximum number of buffered bytes of one stream and of all
// finished streams.
func WithBuffers(stream, finished int) Option {
	return func(s *Settings) { s.StreamBytes, s.FinishedBytes = stream, finished }
}

// Server serves callers over HTTP.
type Server struct {
	Settings
	app       *iris.Application
	http      *http.Server
	streams   *registry
	hintSlots chan struct{}
	notReady  atomic.Bool
	draining  atomic.Bool
	// drainMutex is held for reading to start a run and for writing to start
	// draining, so that no run starts after draining has begun.
	drainMutex sync.RWMutex
	runs       sync.WaitGroup
}

// New returns a server and a function that shuts it down. The function rejects
// new requests, waits until the running ones have ended, and closes all
// connections. If ctx is done first, it cancels the remaining streams.
func New(options ...Option) (*Server, func(ctx context.Context) error, error) {
	settings := Settings{
		Proxy:       func(mulberrybeam.ProcessID, http.ResponseWriter, *http.Request) bool { return false },
		ResumeGrace: 10 * time.Second, Retention: time.Minute,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		StreamBytes: 1 << 20, FinishedBytes: 32 << 20,
	}
	for _, option := range options {
		option(&settings)
	}
	s := &Server{
		Settings: settings, app: iris.New(), hintSlots: make(chan struct{}, maxHints),
		streams: newRegistry(settings.Retention, settings.FinishedBytes),
	}
	if err := s.registerRoutes(); err != nil {
		return nil, nil, err
	}
	s.http = &http.Server{
		Handler: s.app, ReadHeaderTimeout: headerTimeout, ReadTimeout: settings.ReadTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s, s.shutdown, nil
}

// Handler returns the HTTP handler, for tests and for listeners that Serve does
// not manage.
func (s *Server) Handler() http.Handler { return s.app }

// Serve accepts connections until the server is shut down, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// MarkNotReady makes the readiness probe fail while requests are still accepted, so
// that the load balancer can notice before the server drains.
func (s *Server) MarkNotReady() { s.notReady.Store(true) }

// Drain rejects new requests. Running requests continue, and their streams can be
// resumed.
func (s *Server) Drain() {
	s.drainMutex.Lock()
	defer s.drainMutex.Unlock()
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

func (s *Server) registerRoutes() error {
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.app.Post("/v1/chat/completions", s.handleChat)
	s.app.Post("/v1/services/{service}/{call}", s.handleService)
	s.app.Get("/v1/streams/{id}", s.handleResume)
	s.app.Delete("/v1/streams/{id}", s.handleCancel)
	s.app.Post("/v1/hints", s.handleHint)
	s.app.Get("/livez", func(ctx iris.Context) { s.writeText(ctx, http.StatusOK, "ok") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Any("/{path:path}", func(ctx iris.Context) {
		s.writeError(ctx, &mulberrybeam.Failure{
			Code: mulberrybeam.CodeNotFound, Step: mulberrybeam.StepAccept, Message: "no such path or method", NotRun: true,
		})
	})
	return s.app.Build()
}

// beginRun adds a request to s.runs, unless the server is draining or has no
// configuration. The run must call s.runs.Done when it ends.
func (s *Server) beginRun() *mulberrybeam.Failure {
	s.drainMutex.RLock()
	defer s.drainMutex.RUnlock()
	snapshot := s.Snapshot()
	if s.draining.Load() || snapshot != nil && snapshot.Draining {
		return &mulberrybeam.Failure{
			Code: mulberrybeam.CodeShuttingDown, Step: mulberrybeam.StepAccept, Message: "this host accepts no new requests",
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

func (s *Server) handleReady(ctx iris.Context) {
	snapshot := s.Snapshot()
	switch {
	case s.notReady.Load() || s.draining.Load() || snapshot != nil && snapshot.Draining:
		s.writeText(ctx, http.StatusServiceUnavailable, string(mulberrybeam.CodeShuttingDown))
	case snapshot == nil || snapshot.Tables == nil || !snapshot.Ready:
		s.writeText(ctx, http.StatusServiceUnavailable, string(mulberrybeam.CodeNotReady))
	default:
		s.writeText(ctx, http.StatusOK, "ready")
	}
}
