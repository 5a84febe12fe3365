package soaker

import (
	"time"

	"mulberrybeam/process/standin/backend"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests: one that may run once, one that may run again, and a
// stream that may go on after the last event that the caller has.
const (
	KindOnce   Kind = "once"
	KindAgain  Kind = "again"
	KindStream Kind = "stream"
)

// History is what callers and targets saw of one run.
type History struct {
	Results  []Result
	Arrivals []backend.Arrival
	Changes  []Change
	Troubles []Trouble
	Stops    []Stop
	// CalmFrom is when all faults had ended and the time to recover was over.
	CalmFrom time.Time
}

// Result is what a caller got for one request.
type Result struct {
	Request string
	Kind    Kind
	Key     string
	// Host is the entry host that was asked.
	Host            string
	SentAt, EndedAt time.Time
	// Status is 0 without an answer.
	Status int
	// Whole says that the answer ended as its head promised.
	Whole  bool
	Body   string
	Events []string
}

// Change is something that the operator or a target wrote, and when the store
// acknowledged it.
type Change struct {
	At   time.Time
	Kind ChangeKind
	// Subject is the key, the zone or the target.
	Subject string
	// Until is when it was taken back, zero for never.
	Until time.Time
}

// ChangeKind is a kind of Change.
type ChangeKind string

// Kinds of changes: a key is taken away, a zone is to get nothing, a target
// leaves.
const (
	ChangeRevoke   ChangeKind = "revoke"
	ChangeEvacuate ChangeKind = "evacuate"
	ChangeDrain    ChangeKind = "drain"
)

// Trouble is a time in which a host, or all with an empty name, may be out of
// touch with the store.
type Trouble struct {
	Host     string
	Kind     string
	From, To time.Time
}

// Kinds of Trouble in which a process cannot answer.
const (
	troubleKill   = "kill"
	troubleFreeze = "freeze"
)

// Stop is a SIGTERM of a host's process.
type Stop struct {
	Host string
	At   time.Time
	// Took is how long the process went on.
	Took time.Duration
}
