package mulberrybeam

import "time"

// Gauge is what the traffic of this process has seen of a target.
type Gauge struct {
	// InFlight counts this process's own requests at the target.
	InFlight int
	// PromptTokens are the tokens of those that have not answered yet.
	PromptTokens int
	// Load is the target's last report, SeenAt when it came and SentBefore
	// the requests of this process in flight then.
	Load       LoadSample
	SeenAt     time.Duration
	SentBefore int
	// Latency averages the time to the first byte of recent answers.
	Latency time.Duration
	// ErrorShare averages recent failures, from 0 to 1.
	ErrorShare float64
	// AvoidUntil is when the target may be tried again after it refused a
	// request or could not be reached.
	AvoidUntil time.Duration
	// SuspectUntil is until when the target may be in a cold start that it
	// has not announced.
	SuspectUntil time.Duration
	// ColdSends counts the requests sent within the last second.
	ColdSends int
}

// Others estimates the requests of other processes at the target.
func (g Gauge) Others() int {
	return max(g.Load.Running+g.Load.Waiting-g.SentBefore, 0)
}
