package mulberrybeam

import (
	"net/http"
	"time"
)

// InboundCall holds the fields parsed from the header of a caller's request.
type InboundCall struct {
	ID  RequestID
	Key string
	// Deadline is how long the caller waits, or 0 if the caller sets no limit.
	Deadline time.Duration
	Model    ModelName
	// PromptTokens is the length of the prompt, and OutputTokens the maximum
	// length of the answer.
	PromptTokens int
	OutputTokens int
	// Parts are the prompt's parts in order. The last part belongs to this
	// request alone.
	Parts []PromptPart
	// LastEvent is the ID of the last stream event that the caller received.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of the stream that
	// the caller takes up.
	Resumes RequestID
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// OutboundCall holds the fields written to the header of one attempt at a
// target.
type OutboundCall struct {
	// Deadline is the time remaining.
	Deadline  time.Duration
	Instance  InstanceID
	Workspace WorkspaceName
	// Salt keeps the stored context of isolated workspaces and of different
	// weight versions apart.
	Salt string
	// FetchFrom and SaveTo hold, for each part of the prompt, the address of
	// the store to read its context from and to write it to. An empty address
	// means none.
	FetchFrom []string
	SaveTo    []string
	// FetchDeadline is when the engine abandons an unfinished fetch, or 0 for no
	// limit.
	FetchDeadline EngineClock
	// Priority is sent only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Version is the weight version that the engine must have, or 0 for any.
	Version int
	// LastEvent is the ID of the event after which to resume the stream.
	LastEvent string
}

// AnswerHead holds the fields parsed from the status and header of a target's
// answer.
type AnswerHead struct {
	// Request is empty if the answer names no request.
	Request RequestID
	// NotRun reports that the target did not run the request.
	NotRun bool
	// Instance is the target that answered, or empty if the answer does not name it.
	Instance InstanceID
	// Leaving reports that the target is about to stop.
	Leaving bool
	// RetryAfter is how long the target wants no more requests from this process,
	// or 0 if it did not ask for a pause.
	RetryAfter time.Duration
	// Fragility is what the target states about the refusals that it bears.
	Fragility Fragility
	// Stamped reports that the answer carries the target's response stamp,
	// which shows that the target itself produced it.
	Stamped bool
}

// CallCodec reads and writes the headers of calls.
type CallCodec interface {
	Inbound(header http.Header) InboundCall
	// Outbound returns the header to send to a target: the caller's header,
	// without the fields that only the system may set, plus the system's own
	// fields.
	Outbound(header http.Header, call OutboundCall) http.Header
	Answer(status int, header http.Header) AnswerHead
	// Reply removes the hop-by-hop fields from an answer's header.
	Reply(header http.Header)
	// RetryAfter sets the header field that tells a refused caller when to
	// retry.
	RetryAfter(header http.Header, after time.Duration)
}
