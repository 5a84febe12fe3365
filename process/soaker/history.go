package soaker

import (
	"time"

	"mulberrybeam/process/standin/backend"
)

// RequestKind is a kind of request.
type RequestKind string

// Kinds of requests: one that may run at most once, one that may be repeated,
// and a stream that can be resumed after the last event that was received.
const (
	KindAtMostOnce RequestKind = "once"
	KindRepeatable RequestKind = "again"
	KindStream     RequestKind = "stream"
)

// History records what callers and targets observed during one run.
type History struct {
	Results     []Result
	Arrivals    []backend.Arrival
	Changes     []Change
	Disruptions []Disruption
	Stops       []Stop
	Outages     []Outage
	Crashes     []Crash
	PartFaults  []PartFault
	Orders      []Order
	// OrdersWeights reports that weights had to be ordered.
	OrdersWeights bool
	// RecoveredAt is the end of the recovery period that follows the last fault.
	RecoveredAt time.Time
}

// Result is the outcome of one request as its caller observed it.
type Result struct {
	Request string
	Kind    RequestKind
	Key     string
	// Host is the entry host that the request was sent to.
	Host            string
	SentAt, EndedAt time.Time
	// Timeout is the deadline of the request, counted from SentAt.
	Timeout time.Duration
	// Parts lists the IDs of the parts of a prompt. All but the last are shared
	// with other prompts.
	Parts []string
	// Kept reports that the head was sent in two parts on a connection that had
	// served a request before.
	Kept bool
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Complete reports whether the body was read to its end without an error.
	Complete bool
	Body     string
	Events   []string
}

// Change is a change that an operator or a target wrote to the store. At is when
// the store acknowledged it.
type Change struct {
	At   time.Time
	Kind ChangeKind
	// Subject is the API key, the zone or the target ID.
	Subject string
	// RevertedAt is when the change was reverted, or zero if it was not.
	RevertedAt time.Time
}

// ChangeKind is a kind of Change.
type ChangeKind string

// Kinds of changes: an API key is revoked, a zone is evacuated, a target drains.
const (
	ChangeRevoke   ChangeKind = "revoke"
	ChangeEvacuate ChangeKind = "evacuate"
	ChangeDrain    ChangeKind = "drain"
)

// Disruption is a period in which a host may be unable to reach the store. An empty
// Host stands for all hosts.
type Disruption struct {
	Host     string
	Kind     string
	From, To time.Time
}

// Kinds of Disruption during which the process cannot respond.
const (
	disruptionKill   = "kill"
	disruptionFreeze = "freeze"
)

// Other kinds of Disruption: the process starts after a planned stop, and the store is
// restored until operators and targets have written again what it lacks.
const (
	disruptionStart   = "start"
	disruptionRestore = "restore"
)

// Order is an order to load weights that reached an engine.
type Order struct {
	At             time.Time
	Engine, Holder string
	Token          uint64
}

// Stop is the shutdown of an entry process by SIGTERM.
type Stop struct {
	Host string
	At   time.Time
	// Duration is the time from the signal to the exit of the process.
	Duration time.Duration
}

// Outage is a period in which a target or its link may break off responses. A
// target that is silent and then continues has no outage. A zero To stands for
// the end of the run.
type Outage struct {
	Target   string
	From, To time.Time
}

// PartFault is a period in which prompts with a part crashed targets.
type PartFault struct {
	Part     string
	From, To time.Time
}

// Crash is the crash of a target that had begun to answer a prompt.
type Crash struct {
	At              time.Time
	Request, Target string
	// Part is the part of the prompt that caused the crash.
	Part string
}
