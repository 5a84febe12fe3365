package mulberrybeam

import "time"

// Gauge is what the traffic of this process has seen of a target.
type Gauge struct {
	// Own is the work of this process at the target, and Peers that of the
	// other entry hosts as they last told.
	Own   TargetLoad
	Peers TargetLoad
	// HeardAt is when the target last sent a byte to this process.
	HeardAt time.Duration
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

// Load is the work of all entry hosts at the target.
func (g Gauge) Load() TargetLoad { return g.Own.Plus(g.Peers) }

// TargetLoad is work at a target that has not ended.
type TargetLoad struct {
	Requests int
	// Unread are the tokens of prompts that the target has to read before
	// their first token, and Held those of all prompts, which take memory.
	Unread int
	Held   int
}

// Plus returns the sum.
func (l TargetLoad) Plus(other TargetLoad) TargetLoad {
	return TargetLoad{Requests: l.Requests + other.Requests, Unread: l.Unread + other.Unread, Held: l.Held + other.Held}
}

// LoadShare is what an entry host tells its peers of its work at targets.
type LoadShare struct {
	From ProcessID
	// Sequence rises with each share of a run of the process.
	Sequence uint64
	Targets  []SharedLoad
}

// SharedLoad is the work of an entry host at one target.
type SharedLoad struct {
	Target InstanceID
	Load   TargetLoad
}
