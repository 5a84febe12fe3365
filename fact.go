package mulberrybeam

import "time"

// Stamp is a hybrid logical clock timestamp. The stamps of one process
// increase, and a stamp issued after receiving a message is greater than the
// message's stamp.
type Stamp struct {
	// Wall is in milliseconds since the Unix epoch.
	Wall    int64
	Counter uint32
	Process ProcessID
}

// FactKind is the subject that a fact describes.
type FactKind string

// Kinds of facts.
const (
	FactPhase  FactKind = "phase"
	FactSlot   FactKind = "slot"
	FactLoad   FactKind = "load"
	FactCrash  FactKind = "crash"
	FactLink   FactKind = "link"
	FactDemand FactKind = "demand"
	FactDrain  FactKind = "drain"
)

// Fact is a piece of state that the entry processes spread by gossip. Of two
// facts with the same kind and key, the one with the greater stamp wins. Kind
// determines which value field is set; all others are nil.
type Fact struct {
	Kind FactKind
	// Key identifies the subject: a target, slot, fingerprint, store or
	// workspace. Where each process publishes its own fact, the key also
	// contains the process.
	Key   string
	Stamp Stamp
	// TTL is how long the fact stays valid after it was last received.
	TTL    time.Duration
	Phase  *PhaseFact
	Slot   *SlotFact
	Load   *LoadReport
	Crash  *CrashFact
	Link   *LinkFact
	Demand *DemandFact
	Drain  *DrainFact
}

// PhaseFact is the phase of a target as its owner publishes it.
type PhaseFact struct {
	Target   TargetID
	Instance InstanceID
	Phase    Phase
	Epoch    Epoch
}

// SlotFact identifies the holder of a slot of a zone.
type SlotFact struct {
	Zone    ZoneName
	Slot    int
	Epoch   Epoch
	Holder  ProcessID
	Address string
}

// CrashFact counts the target crashes during which a request was in flight. A
// count of 0 clears the suspicion.
type CrashFact struct {
	Fingerprint Fingerprint
	Count       int
	// Target is where the most recent crash occurred.
	Target TargetID
}

// LinkFact is one process's use of a store's link.
type LinkFact struct {
	Store   StoreID
	Process ProcessID
	// Rate is in bytes per second over the last few seconds.
	Rate float64
}

// DemandFact is the request rate that one process receives for a workspace.
type DemandFact struct {
	Workspace WorkspaceName
	Process   ProcessID
	// Rate is in requests per second over the last few seconds.
	Rate float64
}

// DrainFact reports that a target or an entry process takes no new work.
type DrainFact struct {
	// Exactly one of Target and Process is set.
	Target  TargetID
	Process ProcessID
	// Drained is false when the target or process takes new work again.
	Drained bool
}

// MemberState is the liveness of an entry process as its peers know it.
type MemberState string

// States of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
	MemberLeaving MemberState = "leaving"
	MemberLeft    MemberState = "left"
)

// Member is an entry process as its peers see it.
type Member struct {
	ID      ProcessID
	Zone    ZoneName
	Address string
	// Heartbeat increases by 1 each second while the process runs.
	Heartbeat uint64
	State     MemberState
	// Revision is the configuration in force in the process.
	Revision Revision
	// CallerAddress is where the process accepts callers. Peers forward calls
	// about its streams to this address.
	CallerAddress string
}

// Slot is a numbered part of a zone's targets. Its holder grants the permits
// for those targets.
type Slot struct {
	Zone   ZoneName
	Number int
}

// SlotLease is the content of a slot's object in the object API.
type SlotLease struct {
	Slot   Slot
	Holder ProcessID
	// Address is where peers reach the holder.
	Address  string
	Epoch    Epoch
	Electors []ProcessID
	// Nonce lets the holder recognize its own write after a response was lost.
	Nonce string
}

// SlotOwnership is the period during which this process holds a slot.
type SlotOwnership struct {
	Slot  Slot
	Epoch Epoch
	// Since is when the period begins and Until when it ends, in local
	// monotonic time.
	Since time.Duration
	Until time.Duration
	// TakenOver reports that the epoch began with a takeover, so permits granted by
	// an earlier holder may still be outstanding.
	TakenOver bool
}
