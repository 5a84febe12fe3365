package mulberrybeam

import "time"

// Message is sent between entry processes.
type Message interface{ message() }

// Exchange is a gossip message with the sender's members, recent facts and, on
// full exchanges, a digest of all facts.
type Exchange struct {
	From     ProcessID
	Zone     ZoneName
	Members  []Member
	Relays   []Member
	Revision Revision
	Facts    []Fact
	// Digest holds the stamps of all facts. It is set on full exchanges only.
	Digest []FactDigest
	// Joining reports that the sender is new and needs all facts.
	Joining bool
}

// FactDigest identifies one version of a fact.
type FactDigest struct {
	Kind  FactKind
	Key   string
	Stamp Stamp
}

// ExchangeReply answers an Exchange with the members and facts that the sender
// of the Exchange lacks.
type ExchangeReply struct {
	Members  []Member
	Relays   []Member
	Revision Revision
	Facts    []Fact
	// Wanted lists the facts in the sender's digest that the receiver lacks.
	Wanted []FactDigest
}

// FetchEnvironment asks a peer for its configuration if that is newer than the
// revision Above.
type FetchEnvironment struct {
	From  ProcessID
	Above Revision
}

// FetchEnvironmentReply contains the peer's configuration document. Document is
// empty if the peer has no revision newer than the requested one.
type FetchEnvironmentReply struct {
	Revision Revision
	Document []byte
}

// Fence asks an elector never to extend an epoch of a slot again.
type Fence struct {
	From  ProcessID
	Slot  Slot
	Epoch Epoch
}

// FenceReply reports whether the elector agrees. Remaining is how long an
// extension that it already granted may still be valid.
type FenceReply struct {
	Fenced    bool
	Remaining time.Duration
}

// Extend asks an elector to extend the sender's hold on a slot.
type Extend struct {
	From  ProcessID
	Slot  Slot
	Epoch Epoch
}

// ExtendReply reports whether the elector grants an extension by one lease
// duration.
type ExtendReply struct {
	Granted bool
}

// AskPermit asks the owner of a target for a permit to send one request.
type AskPermit struct {
	From     ProcessID
	Target   TargetID
	Instance InstanceID
	Request  RequestID
	// Isolated requests that no other suspected request runs at the target at
	// the same time.
	Isolated bool
	// MaxRuns limits how long the request may run at the target.
	RunLimit time.Duration
}

// AskPermitReply grants or refuses a permit.
type AskPermitReply struct {
	Granted bool
	Permit  uint64
	Epoch   Epoch
	// Valid is how long after asking the request may still be sent.
	Valid time.Duration
	// Warm reports that the target is warm and needs no permit at present.
	Warm       bool
	RetryAfter time.Duration
	// Reason explains a refusal.
	Reason string
}

// ReleasePermit returns a permit to the owner of the target.
type ReleasePermit struct {
	From   ProcessID
	Target TargetID
	Permit uint64
	Epoch  Epoch
	// Completed reports that the run ended with a complete answer.
	Completed bool
	// Crashed reports that the connection broke during the run.
	Crashed bool
	// FirstToken is the measured time to first token, or 0 if no token arrived.
	// Expected is the router's estimate of it.
	FirstToken time.Duration
	Expected   time.Duration
}

// ReleasePermitReply acknowledges a release.
type ReleasePermitReply struct{}

func (Exchange) message()              {}
func (ExchangeReply) message()         {}
func (FetchEnvironment) message()      {}
func (FetchEnvironmentReply) message() {}
func (Fence) message()                 {}
func (FenceReply) message()            {}
func (Extend) message()                {}
func (ExtendReply) message()           {}
func (AskPermit) message()             {}
func (AskPermitReply) message()        {}
func (ReleasePermit) message()         {}
func (ReleasePermitReply) message()    {}
