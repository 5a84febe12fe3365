// Package service is a fake of a plain service over real HTTP. It records how
// often each call ran and has fault controls.
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

// Settings are the fixed properties of a service.
type Settings struct {
	// Address is "ip:port", or empty for an ephemeral loopback port.
	Address string
	// CallTime is the time of one run.
	CallTime time.Duration
	// MaxRunning bounds the calls in progress; further ones are refused.
	MaxRunning int
	// RestartAfter is the time from a crash to the next instance; 0 leaves
	// the service down until Restart.
	RestartAfter time.Duration
}

// Faults are the faults that can be set while the service runs. Counts that
// end in Next are used up by the calls that hit them.
type Faults struct {
	// RefuseNext refuses with 503 and not-run, UnavailableNext answers
	// with 503 without it, before the call runs.
	RefuseNext      int
	UnavailableNext int
	// BreakBeforeNext breaks the connection before the call runs,
	// BreakAfterNext after it ran, TruncateNext in the middle of the
	// answer.
	BreakBeforeNext int
	BreakAfterNext  int
	TruncateNext    int
	// MisdeliverNext answers with the answer to another request.
	MisdeliverNext int
	// CrashNext runs the call and then crashes.
	CrashNext int
	// Delay is added before a run, AnswerDelay after it.
	Delay       time.Duration
	AnswerDelay time.Duration
	// CallStatus replaces the status 200 when above 0.
	CallStatus int
}

// Answer is the body of an answer.
type Answer struct {
	Service   string `json:"service"`
	Call      string `json:"call"`
	RequestID string `json:"request-id"`
	Instance  string `json:"instance"`
	// BodyHash is the hexadecimal SHA-256 of the body that arrived.
	BodyHash string `json:"body-sha256"`
	// ContentType is the content type that arrived.
	ContentType string `json:"content-type"`
	// Run counts the runs of the same idempotency key on this service,
	// or of the same request id when there is no key.
	Run int `json:"run"`
}

// Option changes the settings of a service.
type Option func(*Settings)

// WithAddress sets the address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithCallTime sets the time of one run.
func WithCallTime(d time.Duration) Option {
	return func(s *Settings) { s.CallTime = d }
}

// WithRestartAfter sets the time from a crash to the next instance.
func WithRestartAfter(d time.Duration) Option {
	return func(s *Settings) { s.RestartAfter = d }
}

// WithMaxRunning bounds the calls in progress.
func WithMaxRunning(limit int) Option {
	return func(s *Settings) { s.MaxRunning = limit }
}

// Service is a fake plain service.
type Service struct {
	fixture.Control[Faults]
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

// New starts a service and returns its clean-up function.
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
	mux.HandleFunc("GET /v1/load", s.load)
	fixture.Mount(mux, &s.Control, &s.Counters)
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

// Address returns "ip:port".
func (s *Service) Address() string { return s.listener.Address() }

// RunsByKey returns how often an idempotency key ran, over all restarts.
func (s *Service) RunsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// RunsByID returns how often a request id ran, over all restarts.
func (s *Service) RunsByID(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// SetLeaving makes the service report that it is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Crash closes the service and all its connections at once.
func (s *Service) Crash() {
	s.Add("crashes")
	s.listener.Drop()
	if s.settings.RestartAfter > 0 {
		time.AfterFunc(s.settings.RestartAfter, func() { _ = s.Restart() })
	}
}

// Restart starts a new instance. The counts of runs stay.
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

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.reports++
	report := encoder.Load{Instance: s.instance, Sequence: s.reports, Running: s.running, Leaving: s.leaving}
	s.mu.Unlock()
	fixture.WriteJSON(w, http.StatusOK, report)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := fixture.ReadBody(r)
	if err != nil || !fixture.Pause(r, s.Faults().Delay) {
		fixture.Break()
	}
	if s.refuse(w) {
		return
	}
	if !s.begin() {
		s.Add("overloaded")
		fixture.Refuse(w, http.StatusTooManyRequests, "overloaded", "too many calls", true)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	// A call that started runs to its end when its caller is gone.
	timer := time.NewTimer(s.settings.CallTime)
	<-timer.C
	answer := s.run(r, body)
	if s.Take(func(f *Faults) *int { return &f.CrashNext }) {
		s.Crash()
		fixture.Break()
	}
	if s.Take(func(f *Faults) *int { return &f.BreakAfterNext }) {
		s.Add("broken-after-run")
		fixture.Break()
	}
	if !fixture.Pause(r, s.Faults().AnswerDelay) {
		fixture.Break()
	}
	s.answer(w, answer)
}

// refuse shows the faults that come before a run.
func (s *Service) refuse(w http.ResponseWriter) bool {
	switch {
	case s.Take(func(f *Faults) *int { return &f.RefuseNext }):
		s.Add("refused")
		fixture.Refuse(w, http.StatusServiceUnavailable, "overloaded", "refused on request", true)
	case s.Take(func(f *Faults) *int { return &f.UnavailableNext }):
		s.Add("unavailable")
		fixture.Refuse(w, http.StatusServiceUnavailable, "unavailable", "unavailable on request", false)
	case s.Take(func(f *Faults) *int { return &f.BreakBeforeNext }):
		s.Add("broken-before-run")
		fixture.Break()
	default:
		return false
	}
	return true
}

func (s *Service) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.settings.MaxRunning {
		return false
	}
	s.running++
	return true
}

func (s *Service) run(r *http.Request, body []byte) Answer {
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

func (s *Service) answer(w http.ResponseWriter, answer Answer) {
	if s.Take(func(f *Faults) *int { return &f.MisdeliverNext }) {
		s.Add("misdelivered")
		answer.RequestID = "other-request"
	}
	w.Header().Set("X-Instance-Id", answer.Instance)
	w.Header().Set("X-Request-Id", answer.RequestID)
	if s.Take(func(f *Faults) *int { return &f.TruncateNext }) {
		s.Add("truncated")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"service":`))
		_ = http.NewResponseController(w).Flush()
		fixture.Break()
	}
	status := http.StatusOK
	if set := s.Faults().CallStatus; set > 0 {
		status = set
	}
	fixture.WriteJSON(w, status, answer)
}
