// Package platform is a fake of the platform's object API over real HTTP, in
// the published form of Kubernetes resources, with fault controls.
package platform

import "time"

// Settings are the fixed properties of a platform.
type Settings struct {
	// Address is "ip:port", or empty for an ephemeral loopback port.
	Address string
	// ReadRate and WriteRate are the calls per second of all callers
	// together; 0 is no limit. A second's worth may come at once.
	ReadRate  float64
	WriteRate float64
	// History is the number of changes that a watch can start behind.
	History int
}

// Faults are the faults that can be set while the platform runs. Counts that
// end in Next are used up by the calls that hit them.
type Faults struct {
	// Down answers all calls with 503 and ends watches. Hang accepts calls
	// and neither runs nor answers them.
	Down bool
	Hang bool
	// Delay is added before each call runs.
	Delay time.Duration
	// LoseAnswersNext breaks the connection of a write after it took
	// effect.
	LoseAnswersNext int
	// LimitNext answers with 429.
	LimitNext int
	// CutRequests are the callers whose calls do not arrive. CutAnswers
	// are the callers whose calls take effect and whose answers and watch
	// events do not arrive. A caller is named by its User-Agent.
	CutRequests []string
	CutAnswers  []string
}

// Option changes the settings of a platform.
type Option func(*Settings)

// WithAddress sets the address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithRates sets the calls per second of all callers together.
func WithRates(read, write float64) Option {
	return func(s *Settings) { s.ReadRate, s.WriteRate = read, write }
}

// WithHistory sets the number of changes that a watch can start behind.
func WithHistory(changes int) Option {
	return func(s *Settings) { s.History = changes }
}
