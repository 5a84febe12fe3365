// Package engine is a fake of a model engine over real HTTP, with fault
// controls. Its answers are a function of the prompt, so that a test can check
// them without a second engine.
package engine

import (
	"time"
)

const (
	// BlockBytes is the length of a context block of the rendered prompt.
	BlockBytes = 1024
	// BytesPerToken is the estimate that the whole system uses.
	BytesPerToken = 4
	// BlockTokens is the length of a context block in tokens.
	BlockTokens = BlockBytes / BytesPerToken
)

// Settings are the fixed properties of an engine.
type Settings struct {
	// Address is "ip:port", or empty for an ephemeral loopback port.
	Address string
	// Versions are the weight versions loaded at start, by model.
	Versions map[string]string
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// PrefillChunk bounds the prompt tokens computed in one step, so that
	// a long prompt does not stop the other answers.
	PrefillChunk int
	// TokenTime is the time of a step with one running request, and
	// BatchTime what each further one adds.
	TokenTime time.Duration
	BatchTime time.Duration
	// MaxRunning bounds the batch, MaxWaiting the queue before it.
	MaxRunning int
	MaxWaiting int
	// AnswerTokens is the length of an answer without max_tokens.
	AnswerTokens int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// StartCold makes every instance start cold. A cold engine crashes
	// when more than ColdLimit requests are in flight. It turns warm after
	// WarmRequests whole answers and WarmTime.
	StartCold    bool
	ColdLimit    int
	WarmRequests int
	WarmTime     time.Duration
	// RestartAfter is the time from a crash to the next instance; 0 leaves
	// the engine down until Restart.
	RestartAfter time.Duration
	// ReportLag is the age of the figures of load reports.
	ReportLag time.Duration
	// EventLag is how late cache events are published. Every EventGap-th
	// event is never published; 0 publishes all.
	EventLag time.Duration
	EventGap int
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// LoadTime is the time to load weights alone.
	LoadTime time.Duration
	// Loader is shared by the engines that load from one weight store.
	Loader *Loader
	// ExportBlockBytes is the size of one exported block.
	ExportBlockBytes int
}

// Faults are the faults that can be set while the engine runs. Counts that end
// in Next are used up by the completions that hit them.
type Faults struct {
	// CrashMark crashes the engine when a prompt with this text runs.
	CrashMark string
	// RefuseNext refuses with 429 and not-run; FailNext fails with 500 and
	// leaves open whether the request ran.
	RefuseNext int
	FailNext   int
	// BreakNext breaks the connection after BreakAfter tokens.
	BreakNext  int
	BreakAfter int
	// DuplicateNext sends a token twice, MisdeliverNext sends a token of
	// another request, LoseNext leaves a token out, NoEndNext leaves the
	// end marker out, and StallNext stops sending. All happen after
	// BreakAfter tokens, but for the end marker.
	DuplicateNext  int
	MisdeliverNext int
	LoseNext       int
	NoEndNext      int
	StallNext      int
	// HeaderDelay delays the response headers of completions.
	HeaderDelay time.Duration
	// LoadDown and EventsDown fail load reports and cache events.
	LoadDown   bool
	EventsDown bool
	// OrderDelay delays orders before they are checked.
	OrderDelay time.Duration
}

// Option changes the settings of an engine.
type Option func(*Settings)

// WithSettings changes any of the settings.
func WithSettings(change func(*Settings)) Option { return change }

// WithAddress sets the address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithVersion adds a model with the weight version loaded at start.
func WithVersion(model, version string) Option {
	return func(s *Settings) { s.Versions[model] = version }
}

// WithCold makes the engine start cold.
func WithCold(limit, warmRequests int, warmTime time.Duration) Option {
	return func(s *Settings) {
		s.StartCold, s.ColdLimit, s.WarmRequests, s.WarmTime = true, limit, warmRequests, warmTime
	}
}

// WithFencing sets whether the engine checks fencing numbers.
func WithFencing(checks bool) Option {
	return func(s *Settings) { s.ChecksFencing = checks }
}

// WithLoader shares a weight store with other engines.
func WithLoader(loader *Loader) Option {
	return func(s *Settings) { s.Loader = loader }
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
		Loader:           &Loader{},
	}
}
