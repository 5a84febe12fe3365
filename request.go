package mulberrybeam

import "time"

// Priority orders requests in queues and transfers on links.
type Priority int

// Priorities, from the most to the least urgent.
const (
	PriorityInteractive Priority = iota
	PriorityBatch
	PriorityPrefetch
	PriorityExport
)

// Request is one admitted request from a caller.
type Request struct {
	ID          RequestID
	Environment EnvironmentName
	Workspace   WorkspaceName
	Priority    Priority
	// Model and Version are set for a prompt, Service and Call for a service
	// call.
	Model   ModelName
	Version WeightVersion
	Service ServiceName
	Call    string
	// Repeatable reports whether the request may run more than once.
	Repeatable     bool
	IdempotencyKey string
	// Body holds the raw bytes that the caller sent, and ContentType their type
	// as stated by the caller.
	Body        []byte
	ContentType string
	// Keys are the chained keys of the prompt's complete context blocks.
	Keys []BlockKey
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	Stream       bool
	// Fingerprint identifies the workspace and the body.
	Fingerprint Fingerprint
	// Arrived and Deadline are local monotonic times.
	Arrived  time.Duration
	Deadline time.Duration
}

// Fingerprint is a keyed hash of a request's workspace and raw body.
type Fingerprint [16]byte

// Token is one event of an answer stream.
type Token struct {
	Request RequestID
	// Sequence numbers the tokens of the stream, starting at 1.
	Sequence uint64
	Text     string
	// End marks the end of the complete answer. The event has no text.
	End bool
	// FinishReason is set together with End.
	FinishReason string
	// Usage is set together with End if the engine reports it.
	Usage *Usage
}

// Usage is an engine's token count for one run.
type Usage struct {
	// PromptTokens is the length of the whole prompt. CachedTokens is the part
	// of it whose context the engine did not have to compute.
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

// RouteQuery is the input of a routing policy for one request.
type RouteQuery struct {
	Request *Request
	// Zone is the zone of the entry host.
	Zone ZoneName
	// Tried lists the targets that must not be picked again.
	Tried []TargetID
	// StoredContexts lists the complete contexts of the prompt in stores, longest first.
	StoredContexts []Manifest
	// Isolated reports that the request is suspected of crashing targets.
	Isolated bool
}

// Route is the decision of a routing policy.
type Route struct {
	Target TargetID
	Source Source
	// Import is the manifest to import if Source is SourceImport.
	Import Manifest
	// CachedTokens, ImportedTokens and RecomputedTokens add up to the length of
	// the prompt.
	CachedTokens     int
	ImportedTokens   int
	RecomputedTokens int
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
	// NeedsPermit reports that the target is cold or the request is suspected
	// of crashing targets.
	NeedsPermit bool
	// Reason explains the choice to operators.
	Reason string
}

// EngineCall is one attempt at running a prompt on an engine.
type EngineCall struct {
	Request *Request
	Target  Target
	// Instance is the instance that the request was routed to, or empty for
	// any. The call fails before sending if the target now has another
	// instance.
	Instance InstanceID
	Attempt  int
	Priority Priority
	// After is the sequence number of the last token that the caller already
	// has, and Generated the text up to that token.
	After     uint64
	Generated []string
}

// EngineStream is an open answer stream of an engine. Next blocks until the
// next event and returns io.EOF after the connection has ended.
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
	// Instance works as in EngineCall.
	Instance InstanceID
	Attempt  int
}

// ServiceAnswer is the complete answer of a service call.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Instance    InstanceID
}
