package mulberrybeam

import (
	"net/http"
	"time"
)

// InboundCall is what the head of a caller's request says.
type InboundCall struct {
	ID  RequestID
	Key string
	// Deadline is how long the caller waits, 0 when it does not say.
	Deadline time.Duration
	Model    ModelName
	// PromptTokens and OutputTokens are the prompt's length and the bound
	// of the answer's.
	PromptTokens int
	OutputTokens int
	// Parts are the prompt's parts in order. The last one is the request's
	// own.
	Parts []PromptPart
	// LastEvent is the last event of the stream that the caller has.
	LastEvent string
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// OutboundCall is what is said to the target of an attempt.
type OutboundCall struct {
	// Deadline is the time that is left.
	Deadline  time.Duration
	Instance  InstanceID
	Workspace WorkspaceName
	// Salt separates kept context.
	Salt string
	// FetchFrom and SaveTo have, for each part of the prompt, the address
	// of the store from which it is read and to which it is written; empty
	// for none.
	FetchFrom []string
	SaveTo    []string
	// FetchUntil is when a fetch that is not finished is given up, 0 for
	// never.
	FetchUntil EngineClock
	// Priority is sent when HasPriority is set.
	Priority    int
	HasPriority bool
	// Version is the weight version that the engine must have, 0 for any.
	Version int
	// LastEvent resumes a stream after an event.
	LastEvent string
}

// AnswerHead is what the head of a target's answer says.
type AnswerHead struct {
	// Request is empty when the answer names none.
	Request RequestID
	// NotRun says that the target did not run the request.
	NotRun bool
	// Stamped says that the answer is the target's own work.
	Stamped bool
}

// CallCodec reads and writes the heads of calls.
type CallCodec interface {
	Inbound(header http.Header) InboundCall
	// Outbound returns the header for a target: the caller's without what
	// only the system may set, and the system's own.
	Outbound(header http.Header, call OutboundCall) http.Header
	Answer(status int, header http.Header) AnswerHead
	// Reply removes from an answer what concerns one connection only.
	Reply(header http.Header)
	// RetryAfter states in a refusal when to come again.
	RetryAfter(header http.Header, after time.Duration)
}
