package mulberrybeam

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// IsolationPhase is what a host believes about its own paths to targets.
type IsolationPhase string

// Phases of isolation.
const (
	// PhaseConnected means that the host reaches targets.
	PhaseConnected IsolationPhase = "connected"
	// PhaseSuspecting means that the host checks whether it still does.
	PhaseSuspecting IsolationPhase = "suspecting"
	// PhaseIsolated means that the host reaches no target.
	PhaseIsolated IsolationPhase = "isolated"
	// PhaseReturning means that it reaches targets again, and sends a growing share
	// of its requests to them.
	PhaseReturning IsolationPhase = "returning"
)

// TargetFailure is the last failure to open a connection to a target.
type TargetFailure struct {
	Address string
	At      time.Duration
	Reason  string
}

// IsolationEvidence is what a decision on isolation was based on.
type IsolationEvidence struct {
	// Before is the phase before the decision, Lasted how long it lasted, and Phase the
	// phase since.
	Before, Phase IsolationPhase
	Lasted        time.Duration
	// Failures are the targets to which no connection could be opened since one was
	// opened to any, ordered by address.
	Failures []TargetFailure
	// Silent is the number of targets that were sent requests since any target sent
	// something, and SilentFor the time since then.
	Silent    int
	SilentFor time.Duration
}

// Isolation tells the request path whether this host reaches targets. It is safe for
// concurrent use.
type Isolation interface {
	// RecordSent records that a request is sent to a target, and RecordReceived that
	// any target sent something, at local monotonic times.
	RecordSent(now time.Duration, address string)
	RecordReceived(now time.Duration)
	// Phase returns the current phase.
	Phase() IsolationPhase
	// SendsDirectly decides whether a new request is sent to targets, or passed on.
	SendsDirectly(random *rand.Rand) bool
}

// Helper is an entry host through which requests are passed on.
type Helper struct {
	ID ProcessID
	// Address is the "ip:port" at which it accepts requests of other hosts.
	Address string
	Zone    ZoneName
}

// PassedCall holds the fields written to the header of a request that is passed on.
type PassedCall struct {
	From ProcessID
	// Deadline is the time remaining.
	Deadline time.Duration
	// LastEvent is the ID of the event after which to resume the stream, and Resumes the
	// request that brought its first event. The caller's are kept where they are empty.
	LastEvent string
	Resumes   RequestID
}

// PassedRefusal says why a helper refused a request itself.
type PassedRefusal string

// Refusals of helpers.
const (
	// PassedBusy means that another helper may do better.
	PassedBusy PassedRefusal = "busy"
	// PassedIsolated means that the helper reaches no target.
	PassedIsolated PassedRefusal = "isolated"
	// PassedFinal means that another helper would refuse as well.
	PassedFinal PassedRefusal = "final"
)

// PassedAnswer holds the fields that a helper adds to an answer.
type PassedAnswer struct {
	// Request is the request that is answered. NotRun is set if it did not run.
	Request RequestID
	NotRun  bool
	Refusal PassedRefusal
	// Target is the target that answered, with its software version and service.
	Target   InstanceID
	Software SoftwareVersion
	Service  ServiceName
}

// PassingCodec reads and writes the headers of requests that are passed on between entry
// hosts.
type PassingCodec interface {
	// PassOn returns the header to send to a helper: the caller's header with the
	// caller's key, without the fields that only the system may set.
	PassOn(header http.Header, call PassedCall) http.Header
	// PassedFrom returns the host that a request comes from.
	PassedFrom(header http.Header) ProcessID
	// Mark adds the fields of a helper to the header of an answer.
	Mark(header http.Header, answer PassedAnswer)
	// Unmark removes them and returns them.
	Unmark(header http.Header) PassedAnswer
}

// HelperOutcome is how a request ended at a helper.
type HelperOutcome string

// Outcomes at a helper.
const (
	// HelperAnswered means that the helper passed on a target's response or a refusal
	// that another helper would repeat.
	HelperAnswered HelperOutcome = "answered"
	// HelperRefused means that the helper cannot help at the moment.
	HelperRefused HelperOutcome = "refused"
	// HelperIsolated means that the helper reaches no target itself.
	HelperIsolated HelperOutcome = "isolated"
	// HelperUnreachable means that no connection to it could be opened.
	HelperUnreachable HelperOutcome = "unreachable"
	// HelperFailed means that the connection broke, or that the helper was silent.
	HelperFailed HelperOutcome = "failed"
	// HelperUnneeded means that the caller left, or that another attempt took over.
	HelperUnneeded HelperOutcome = "unneeded"
)

// Helpers chooses the helpers of requests. It is safe for concurrent use.
type Helpers interface {
	// Begin returns a helper that is not among tried and counts the request at it, or
	// false if none is worth asking. Answer is called when the helper begins to answer,
	// with whether it helped. End must be called for each request.
	Begin(random *rand.Rand, tried []ProcessID) (Helper, bool)
	Answer(id ProcessID, helped bool)
	End(id ProcessID, answered bool, outcome HelperOutcome)
}
