// Package service provides a fake plain service that listens on a real HTTP
// port, counts how often each call ran, and supports fault injection.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// Settings configures a service. It does not change after the start.
type Settings struct {
	// Address is the listen address as "ip:port". If empty, the service
	// uses an ephemeral loopback port.
	Address string
	// CallTime is the time that running a call takes.
	CallTime time.Duration
	// MaxRunning is the maximum number of calls in progress. Further ones
	// are refused.
	MaxRunning int
	// RestartAfter is the delay between a crash and the start of the next
	// instance. If 0, the service stays down until Restart is called.
	RestartAfter time.Duration
}

// Faults holds the faults to inject, which can change while the service runs. A
// field whose name ends in Next is the number of upcoming calls to affect and
// decreases by one with each.
type Faults struct {
	// RefuseNext responds with status 503 and not-run, UnavailableNext with
	// status 503 without not-run. In both cases the call does not run.
	RefuseNext      int
	UnavailableNext int
	// BreakBeforeNext closes the connection before the call runs,
	// BreakAfterNext after it ran, and TruncateNext in the middle of the
	// response.
	BreakBeforeNext int
	BreakAfterNext  int
	TruncateNext    int
	// MisdeliverNext sends a response that names another request.
	MisdeliverNext int
	// CrashNext runs the call and then crashes.
	CrashNext int
	// Delay is added before the call runs, AnswerDelay after it.
	Delay       time.Duration
	AnswerDelay time.Duration
	// CallStatus replaces the response status 200 if above 0.
	CallStatus int
}

// Answer is the response body of a call.
type Answer struct {
	Service   string `json:"service"`
	Call      string `json:"call"`
	RequestID string `json:"request-id"`
	Instance  string `json:"instance"`
	// BodyHash is the hexadecimal SHA-256 hash of the request body.
	BodyHash string `json:"body-sha256"`
	// ContentType is the content type of the request.
	ContentType string `json:"content-type"`
	// Run is how many times this service has run the idempotency key, or
	// the request ID if there is no key, including this run.
	Run int `json:"run"`
}

// Option modifies the settings of a service before it starts.
type Option func(*Settings)

// WithAddress sets the listen address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithCallTime sets the time that running a call takes.
func WithCallTime(d time.Duration) Option {
	return func(s *Settings) { s.CallTime = d }
}

// WithRestartAfter sets the delay between a crash and the next instance.
func WithRestartAfter(d time.Duration) Option {
	return func(s *Settings) { s.RestartAfter = d }
}

// WithMaxRunning sets the maximum number of calls in progress.
func WithMaxRunning(limit int) Option {
	return func(s *Settings) { s.MaxRunning = limit }
}

// Service is a fake plain service.
type Service struct {
	fixture.FaultControl[Faults]
	fixture.Counters
	settings Settings
	listener *fixture.Listener

	mu       sync.Mutex
	instance string
	closed   bool
	running  int
	reports  uint64
	leaving  bool
	byKey    map[string]int
	byID     map[string]int
}

// New starts a service and returns a function that stops it.
func New(options ...Option) (*Service, func(), error) {
	settings := Settings{CallTime: time.Millisecond, MaxRunning: 64}
	for _, option := range options {
		option(&settings)
	}
	s := &Service{
		settings: settings, instance: uuid.NewString(),
		byKey: map[string]int{}, byID: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{service}/{call}", s.call)
	mux.HandleFunc("GET /v1/load", s.loadReport)
	fixture.Mount(mux, &s.FaultControl, &s.Counters)
	listener, closeListener, err := fixture.Listen(settings.Address, mux)
	if err != nil {
		return nil, nil, err
	}
	s.listener = listener
	return s, func() {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		closeListener()
	}, nil
}

// Address returns the listen address as "ip:port".
func (s *Service) Address() string { return s.listener.Address() }

// RunsByKey returns how many times an idempotency key ran, across restarts.
func (s *Service) RunsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// RunsByID returns how many times a request ID ran, across restarts.
func (s *Service) RunsByID(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// SetLeaving sets whether load reports say that the service is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Crash closes the listener and all connections immediately. The service
// restarts automatically if Settings.RestartAfter is set.
func (s *Service) Crash() {
	s.Add("crashes")
	s.listener.Drop()
	if s.settings.RestartAfter > 0 {
		time.AfterFunc(s.settings.RestartAfter, func() { _ = s.Restart() })
	}
}

// Restart starts a new instance. The run counts are kept.
func (s *Service) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.listener.Drop()
	s.instance = uuid.NewString()
	s.Add("restarts")
	return s.listener.Reopen()
}

func (s *Service) loadReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.reports++
	report := encoder.LoadReport{Instance: s.instance, Sequence: s.reports, Running: s.running, Leaving: s.leaving}
	s.mu.Unlock()
	fixture.WriteJSON(w, http.StatusOK, report)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := fixture.ReadBody(r)
	if err != nil || !fixture.Pause(r, s.Faults().Delay) {
		fixture.AbortConnection()
	}
	if s.refuseByFault(w) {
		return
	}
	if !s.beginCall() {
		s.Add("overloaded")
		fixture.WriteError(w, http.StatusTooManyRequests, "overloaded", "too many calls in progress", true)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	// A started call runs to completion even if the caller disconnects.
	timer := time.NewTimer(s.settings.CallTime)
	<-timer.C
	answer := s.recordRun(r, body)
	if s.TakeFault(func(f *Faults) *int { return &f.CrashNext }) {
		s.Crash()
		fixture.AbortConnection()
	}
	if s.TakeFault(func(f *Faults) *int { return &f.BreakAfterNext }) {
		s.Add("broken-after-run")
		fixture.AbortConnection()
	}
	if !fixture.Pause(r, s.Faults().AnswerDelay) {
		fixture.AbortConnection()
	}
	s.writeAnswer(w, answer)
}

// refuseByFault injects the faults that take effect before a call runs. It
// reports whether it sent a response.
func (s *Service) refuseByFault(w http.ResponseWriter) bool {
	switch {
	case s.TakeFault(func(f *Faults) *int { return &f.RefuseNext }):
		s.Add("refused")
		fixture.WriteError(w, http.StatusServiceUnavailable, "overloaded", "refused by an injected fault", true)
	case s.TakeFault(func(f *Faults) *int { return &f.UnavailableNext }):
		s.Add("unavailable")
		fixture.WriteError(w, http.StatusServiceUnavailable, "unavailable", "unavailable because of an injected fault", false)
	case s.TakeFault(func(f *Faults) *int { return &f.BreakBeforeNext }):
		s.Add("broken-before-run")
		fixture.AbortConnection()
	default:
		return false
	}
	return true
}

func (s *Service) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.settings.MaxRunning {
		return false
	}
	s.running++
	return true
}

func (s *Service) recordRun(r *http.Request, body []byte) Answer {
	sum := sha256.Sum256(body)
	key, id := r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id]++
	run := s.byID[id]
	if key != "" {
		s.byKey[key]++
		run = s.byKey[key]
	}
	s.Add("runs")
	if run > 1 {
		s.Add("repeated-runs")
	}
	return Answer{
		Service: r.PathValue("service"), Call: r.PathValue("call"), RequestID: id,
		Instance: s.instance, BodyHash: hex.EncodeToString(sum[:]), Run: run,
		ContentType: r.Header.Get("Content-Type"),
	}
}

func (s *Service) writeAnswer(w http.ResponseWriter, answer Answer) {
	if s.TakeFault(func(f *Faults) *int { return &f.MisdeliverNext }) {
		s.Add("misdelivered")
		answer.RequestID = "other-request"
	}
	w.Header().Set("X-Instance-Id", answer.Instance)
	w.Header().Set("X-Request-Id", answer.RequestID)
	if s.TakeFault(func(f *Faults) *int { return &f.TruncateNext }) {
		s.Add("truncated")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"service":`))
		_ = http.NewResponseController(w).Flush()
		fixture.AbortConnection()
	}
	status := http.StatusOK
	if set := s.Faults().CallStatus; set > 0 {
		status = set
	}
	fixture.WriteJSON(w, status, answer)
}
