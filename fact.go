package mulberrybeam

import "time"

// Stamp is a hybrid logical clock reading. Stamps of one process rise, and a
// stamp given after a message was received is above the message's stamp.
type Stamp struct {
	// Wall is in milliseconds since the Unix epoch.
	Wall    int64
	Counter uint32
	Process ProcessID
}

// FactKind names what a fact is about.
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

// Fact is a statement that spreads over the fleet. Of two facts with the same
// kind and key the one with the higher stamp holds. Exactly one of the value
// fields is set, by Kind.
type Fact struct {
	Kind FactKind
	// Key identifies the subject: a target, slot, fingerprint, store or
	// workspace, with the process where each process has its own statement.
	Key   string
	Stamp Stamp
	// TTL is how long the fact holds after it was last received.
	TTL    time.Duration
	Phase  *PhaseFact
	Slot   *SlotFact
	Load   *LoadReport
	Crash  *CrashFact
	Link   *LinkFact
	Demand *DemandFact
	Drain  *DrainFact
}

// PhaseFact is an owner's word on a target.
type PhaseFact struct {
	Target   TargetID
	Instance InstanceID
	Phase    Phase
	Epoch    Epoch
}

// SlotFact says who holds a slot of a zone.
type SlotFact struct {
	Zone    ZoneName
	Slot    int
	Epoch   Epoch
	Holder  ProcessID
	Address string
}

// CrashFact counts the crashes of targets at which a request was in flight.
// A count of 0 clears the suspicion.
type CrashFact struct {
	Fingerprint Fingerprint
	Count       int
	// Target is where the last crash happened.
	Target TargetID
}

// LinkFact is one process's use of a store's link.
type LinkFact struct {
	Store   StoreID
	Process ProcessID
	// Rate is in bytes per second over the last few seconds.
	Rate float64
}

// DemandFact is one process's demand of a workspace.
type DemandFact struct {
	Workspace WorkspaceName
	Process   ProcessID
	// Rate is in requests per second over the last few seconds.
	Rate float64
}

// DrainFact says that a target or a host takes no new work.
type DrainFact struct {
	// Target or Process is set.
	Target  TargetID
	Process ProcessID
	// Drained is false when the target or host is brought back.
	Drained bool
}

// MemberState is what is known of an entry process.
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
	// Heartbeat rises by 1 each second while the process runs.
	Heartbeat uint64
	State     MemberState
	// Revision is the configuration in force at the process.
	Revision Revision
	// CallerAddress is where the process serves callers. Peers pass calls
	// about its streams on to it.
	CallerAddress string
}

// Slot is a numbered share of a zone's right to hand out permits.
type Slot struct {
	Zone   ZoneName
	Number int
}

// SlotLease is the content of a slot's object in the object API.
type SlotLease struct {
	Slot   Slot
	Holder ProcessID
	// Address is where the holder is reached by its peers.
	Address  string
	Epoch    Epoch
	Electors []ProcessID
	// Nonce tells the holder's own write from another's when an answer
	// was lost.
	Nonce string
}

// SlotRight is a process's own right to a slot.
type SlotRight struct {
	Slot  Slot
	Epoch Epoch
	// Since is when the right began, Until when it ends, both in local
	// monotonic time.
	Since time.Duration
	Until time.Duration
	// Fresh says that the epoch began with a take-over, so that permits
	// of an earlier holder may be outstanding.
	Fresh bool
}
