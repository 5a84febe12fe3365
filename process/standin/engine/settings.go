// Package engine provides a fake model engine that listens on a real HTTP port
// and supports fault injection. Its answers are a deterministic function of the
// prompt, so that a test can compute the expected answer by itself.
package engine

import (
	"time"
)

const (
	// BlockBytes is the length of a context block in bytes of the rendered
	// prompt.
	BlockBytes = 1024
	// BytesPerToken is the estimated token length, the same as in the rest
	// of the system.
	BytesPerToken = 4
	// BlockTokens is the length of a context block in tokens.
	BlockTokens = BlockBytes / BytesPerToken
)

// Settings configures an engine. It does not change after the start.
type Settings struct {
	// Address is the listen address as "ip:port". If empty, the engine uses
	// an ephemeral loopback port.
	Address string
	// Versions maps each model to the weight version loaded at start.
	Versions map[string]string
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// PrefillChunk is the maximum number of prompt tokens computed in one
	// step, so that a long prompt does not stall the other answers.
	PrefillChunk int
	// TokenTime is the duration of a step with one running request.
	// BatchTime is added for each further running request.
	TokenTime time.Duration
	BatchTime time.Duration
	// MaxRunning is the maximum size of the batch, MaxWaiting that of the
	// queue.
	MaxRunning int
	MaxWaiting int
	// AnswerTokens is the length of an answer if the request does not set
	// max_tokens.
	AnswerTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// StartCold makes every instance start cold. A cold engine crashes
	// when more than ColdLimit requests are in flight. It turns warm after
	// WarmRequests completed answers, but not before WarmTime has passed.
	StartCold    bool
	ColdLimit    int
	WarmRequests int
	WarmTime     time.Duration
	// RestartAfter is the delay between a crash and the start of the next
	// instance. If 0, the engine stays down until Restart is called.
	RestartAfter time.Duration
	// ReportLag is the age of the values in load reports.
	ReportLag time.Duration
	// EventLag is the delay before cache events are published. Every
	// EventGap-th event is dropped; 0 publishes all events.
	EventLag time.Duration
	EventGap int
	// ChecksFencing makes the engine refuse orders with a stale fencing
	// number.
	ChecksFencing bool
	// LoadTime is the time to load weights when no other engine loads.
	LoadTime time.Duration
	// WeightStore is the weight store. Engines with the same WeightStore share its
	// bandwidth.
	WeightStore *WeightStore
	// ExportBlockBytes is the size of one exported block in bytes.
	ExportBlockBytes int
}

// Faults holds the faults to inject, which can change while the engine runs. A
// field whose name ends in Next is the number of upcoming completions to affect
// and decreases by one with each.
type Faults struct {
	// CrashMark crashes the engine when it runs a request whose body
	// contains this text.
	CrashMark string
	// RefuseNext responds with status 429 and not-run. FailNext responds
	// with status 500 without not-run, so that the caller cannot tell
	// whether the request ran.
	RefuseNext int
	FailNext   int
	// BreakNext breaks the connection after BreakAfter tokens.
	BreakNext  int
	BreakAfter int
	// DuplicateNext sends a token twice, MisdeliverNext sends a token of
	// another request, LoseNext omits a token, NoEndNext omits the end
	// marker, and StallNext stops sending. All but NoEndNext take effect
	// after BreakAfter tokens.
	DuplicateNext  int
	MisdeliverNext int
	LoseNext       int
	NoEndNext      int
	StallNext      int
	// HeaderDelay delays the response headers of completions.
	HeaderDelay time.Duration
	// LoadDown makes load reports fail, EventsDown cache events.
	LoadDown   bool
	EventsDown bool
	// OrderDelay delays orders before their fencing token is checked.
	OrderDelay time.Duration
}

// Option modifies the settings of an engine before it starts.
type Option func(*Settings)

// WithSettings applies a function to the settings.
func WithSettings(change func(*Settings)) Option { return change }

// WithAddress sets the listen address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithVersion adds a model and the weight version loaded at start.
func WithVersion(model, version string) Option {
	return func(s *Settings) { s.Versions[model] = version }
}

// WithCold makes every instance start cold, with the given limit of requests in
// flight and the conditions for turning warm.
func WithCold(limit, warmRequests int, warmTime time.Duration) Option {
	return func(s *Settings) {
		s.StartCold, s.ColdLimit, s.WarmRequests, s.WarmTime = true, limit, warmRequests, warmTime
	}
}

// WithFencing sets whether the engine checks fencing tokens.
func WithFencing(checks bool) Option {
	return func(s *Settings) { s.ChecksFencing = checks }
}

// WithWeightStore sets the weight store, which other engines may share.
func WithWeightStore(loader *WeightStore) Option {
	return func(s *Settings) { s.WeightStore = loader }
}

func defaults() Settings {
	return Settings{
		Versions:         map[string]string{},
		PrefillRate:      20000,
		PrefillChunk:     2048,
		TokenTime:        5 * time.Millisecond,
		BatchTime:        200 * time.Microsecond,
		MaxRunning:       16,
		MaxWaiting:       64,
		AnswerTokens:     8,
		CacheBlocks:      4096,
		ColdLimit:        2,
		WarmRequests:     4,
		LoadTime:         400 * time.Millisecond,
		ExportBlockBytes: 1024,
		WeightStore:      &WeightStore{},
	}
}
