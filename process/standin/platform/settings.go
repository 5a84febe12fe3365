// Package platform provides a fake of the platform's object API that listens on
// a real HTTP port and supports fault injection. The API follows the
// conventions of Kubernetes resources.
package platform

import "time"

// Settings configures a platform. It does not change after the start.
type Settings struct {
	// Address is the listen address as "ip:port". If empty, the platform
	// uses an ephemeral loopback port.
	Address string
	// ReadRate and WriteRate limit the calls per second of all callers
	// together, with a burst of one second's calls; 0 means no limit.
	ReadRate  float64
	WriteRate float64
	// History is the number of changes kept for watches that start from an
	// older version.
	History int
}

// Faults holds the faults to inject, which can change while the platform runs.
// A field whose name ends in Next is the number of upcoming calls to affect and
// decreases by one with each.
type Faults struct {
	// Down makes all calls fail with status 503 and ends all watches. Hang
	// accepts calls but neither runs nor answers them.
	Down bool
	Hang bool
	// Delay is added before each call runs.
	Delay time.Duration
	// LoseAnswersNext closes the connection of a write after the write took
	// effect.
	LoseAnswersNext int
	// LimitNext makes calls fail with status 429.
	LimitNext int
	// CutRequests lists the callers whose calls never arrive. CutAnswers
	// lists the callers whose calls take effect but who receive no response
	// and no watch events. Callers are identified by their User-Agent.
	CutRequests []string
	CutAnswers  []string
}

// Option modifies the settings of a platform before it starts.
type Option func(*Settings)

// WithAddress sets the listen address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithRates limits the reads and writes per second of all callers together.
func WithRates(read, write float64) Option {
	return func(s *Settings) { s.ReadRate, s.WriteRate = read, write }
}

// WithHistory sets the number of changes kept for watches that start from an
// older version.
func WithHistory(changes int) Option {
	return func(s *Settings) { s.History = changes }
}
