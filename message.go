package mulberrybeam

import "time"

// Message is sent between entry processes.
type Message interface{ message() }

// Exchange offers the sender's digest of members and facts.
type Exchange struct {
	From     ProcessID
	Zone     ZoneName
	Members  []Member
	Relays   []Member
	Revision Revision
	Facts    []Fact
	// Digest has the stamps of all facts and is set on full exchanges.
	Digest []FactDigest
	// Joining says that the sender is new and needs all facts.
	Joining bool
}

// FactDigest names a fact and its stamp.
type FactDigest struct {
	Kind  FactKind
	Key   string
	Stamp Stamp
}

// ExchangeReply answers an Exchange with what the sender lacks.
type ExchangeReply struct {
	Members  []Member
	Relays   []Member
	Revision Revision
	Facts    []Fact
	// Wanted are facts of the sender's digest that the receiver lacks.
	Wanted []FactDigest
}

// FetchEnvironment asks a peer for its configuration.
type FetchEnvironment struct {
	From  ProcessID
	Above Revision
}

// FetchEnvironmentReply has the peer's configuration document, or no
// document when the peer has none above the revision asked for.
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

// FenceReply says whether the elector promises it. Remaining is how long an
// extension that it granted may still run.
type FenceReply struct {
	Fenced    bool
	Remaining time.Duration
}

// Extend asks an elector to extend the sender's right to a slot.
type Extend struct {
	From  ProcessID
	Slot  Slot
	Epoch Epoch
}

// ExtendReply says whether the elector grants one more lease length.
type ExtendReply struct {
	Granted bool
}

// AskPermit asks the owner of a target for the right to send one request.
type AskPermit struct {
	From     ProcessID
	Target   TargetID
	Instance InstanceID
	Request  RequestID
	// Isolated asks that no other suspected request runs at the target.
	Isolated bool
	// RunLimit bounds the run of the request at the target.
	RunLimit time.Duration
}

// AskPermitReply grants or refuses a permit.
type AskPermitReply struct {
	Granted bool
	Permit  uint64
	Epoch   Epoch
	// Valid is how long after asking the request may be sent.
	Valid time.Duration
	// Warm says that the target needs no permit now.
	Warm       bool
	RetryAfter time.Duration
	// Reason explains a refusal.
	Reason string
}

// ReleasePermit gives a permit back.
type ReleasePermit struct {
	From   ProcessID
	Target TargetID
	Permit uint64
	Epoch  Epoch
	// Completed says that the run ended with a whole answer.
	Completed bool
	// Crashed says that the connection broke during the run.
	Crashed bool
	// FirstToken is the time to first token seen, 0 when none came, and
	// Expected what the route estimated.
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
