package mulberrybeam

import "time"

// Priority orders requests in queues and on links.
type Priority int

// Priorities from the most to the least urgent.
const (
	PriorityInteractive Priority = iota
	PriorityBatch
	PriorityPrefetch
	PriorityExport
)

// Request is one admitted call from a caller.
type Request struct {
	ID          RequestID
	Environment EnvironmentName
	Workspace   WorkspaceName
	Priority    Priority
	// Model is set for a prompt, Service and Call for a service call.
	Model   ModelName
	Version WeightVersion
	Service ServiceName
	Call    string
	// Repeatable says that the request may run more than once.
	Repeatable     bool
	IdempotencyKey string
	// Body holds the raw bytes as the caller sent them, ContentType what
	// the caller said of them.
	Body        []byte
	ContentType string
	// Keys are the chained keys of the prompt's whole context blocks.
	Keys []BlockKey
	// PromptTokens estimates the prompt's length.
	PromptTokens int
	Stream       bool
	// Fingerprint identifies workspace and body.
	Fingerprint Fingerprint
	// Arrived and Deadline are local monotonic times.
	Arrived  time.Duration
	Deadline time.Duration
}

// Fingerprint identifies a request's workspace and raw body.
type Fingerprint [16]byte

// Token is one event of an answer stream.
type Token struct {
	Request RequestID
	// Sequence counts the stream's tokens from 1.
	Sequence uint64
	Text     string
	// End marks the end of the whole answer. It has no text.
	End bool
	// FinishReason is set with End.
	FinishReason string
	// Usage is set with End when the engine reports it.
	Usage *Usage
}

// Usage is an engine's count of the tokens of one run.
type Usage struct {
	// PromptTokens has the whole prompt, CachedTokens the part whose
	// context the engine did not compute for the run.
	PromptTokens int
	CachedTokens int
}

// Source is where the context of a prompt comes from.
type Source string

// Sources of context.
const (
	SourceCache     Source = "prefix-cache"
	SourceImport    Source = "import"
	SourceRecompute Source = "recompute"
)

// RouteQuery is what a routing policy needs to know of a request.
type RouteQuery struct {
	Request *Request
	// Zone is the zone of the entry host.
	Zone ZoneName
	// Tried are targets that must not be picked.
	Tried []TargetID
	// Kept are whole kept contexts of the prompt in stores, longest first.
	Kept []Manifest
	// Isolated says that the request is suspected of a crash.
	Isolated bool
}

// Route is the decision of a routing policy.
type Route struct {
	Target TargetID
	Source Source
	// Import is the manifest to import when Source is SourceImport.
	Import Manifest
	// CachedTokens and RecomputedTokens split the prompt.
	CachedTokens     int
	ImportedTokens   int
	RecomputedTokens int
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
	// NeedsPermit says that the target is cold or the request suspected.
	NeedsPermit bool
	// Reason explains the choice to operators.
	Reason string
}

// EngineCall is one attempt of a prompt at an engine.
type EngineCall struct {
	Request *Request
	Target  Target
	// Instance is the instance that the decision was about, empty for any.
	// The call fails unsent when the target has another one.
	Instance InstanceID
	Attempt  int
	Priority Priority
	// After is the last sequence number the caller already has, and
	// Generated the text up to it.
	After     uint64
	Generated []string
}

// EngineStream is an open answer of an engine. Next blocks for the next
// event and returns io.EOF after the end of the connection.
type EngineStream interface {
	Instance() InstanceID
	WeightVersion() WeightVersion
	Next() (Token, error)
	Close() error
}

// ServiceRequest is one attempt of a service call at a target.
type ServiceRequest struct {
	Request *Request
	Target  Target
	// Instance has the meaning of EngineCall.
	Instance InstanceID
	Attempt  int
}

// ServiceAnswer is the whole answer of a service call.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Instance    InstanceID
}
