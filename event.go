package mulberrybeam

import "time"

// Event is an input of the control state machines.
type Event interface{ event() }

// Ticket correlates a result with the action that requested it.
type Ticket uint64

// Tick is delivered every 100 ms.
type Tick struct{}

// MessageReceived is a request from a peer, or from this process's own request
// path to its control loop. It is answered by a Reply with the same ticket.
type MessageReceived struct {
	From    ProcessID
	Message Message
	Ticket  Ticket
}

// ReplyReceived is a peer's reply to a Call.
type ReplyReceived struct {
	From    ProcessID
	Ticket  Ticket
	Message Message
	Err     error
	// SentAt is when the call was sent.
	SentAt time.Duration
}

// ObjectReplied is the object API's response to a CallObject. After an error it
// is unknown whether a write took effect.
type ObjectReplied struct {
	Ticket Ticket
	Object Object
	Items  []Object
	Err    error
	SentAt time.Duration
}

// ObjectChanged is a change reported by a watch.
type ObjectChanged struct {
	Object  Object
	Deleted bool
}

// WatchEnded reports that a watch was interrupted.
type WatchEnded struct {
	Kind ObjectKind
	Name string
	Err  error
}

// TargetObserved is the result of an Observe.
type TargetObserved struct {
	Target TargetID
	Report LoadReport
	Events []CacheEvent
	Err    error
}

// OrderDone is the result of a SendOrder. After an error it is unknown whether
// the order took effect, unless the error is a Failure with NotRun set.
type OrderDone struct {
	Ticket Ticket
	Target TargetID
	Err    error
	SentAt time.Duration
}

// SignalKind classifies what the request path observed about a target.
type SignalKind string

// Kinds of observations.
const (
	SignalCompleted   SignalKind = "completed"
	SignalBroken      SignalKind = "broken"
	SignalNewInstance SignalKind = "new-instance"
	SignalRefused     SignalKind = "refused"
)

// TargetSignal is an observation about a target, made by a goroutine that
// handles a request.
type TargetSignal struct {
	Kind     SignalKind
	Target   TargetID
	Instance InstanceID
	// FirstToken is the time to first token of a completed request.
	FirstToken time.Duration
	// InFlight identifies this process's requests that were in flight at the
	// target when its connection broke.
	InFlight []Fingerprint
	// Cleared is the fingerprint of a suspected request that completed.
	Cleared *Fingerprint
}

// UsageMeasured reports this process's use of each store's link, in bytes per
// second, and of each workspace, in requests per second.
type UsageMeasured struct {
	Links      map[StoreID]float64
	Workspaces map[WorkspaceName]float64
}

// FactChanged reports that a fact was added or replaced.
type FactChanged struct {
	Fact Fact
	// Local reports whether this process originated the fact.
	Local bool
}

// MembersChanged reports that the known members of the zone or the relays of
// other zones changed.
type MembersChanged struct {
	Members []Member
	Relays  []Member
}

// RevisionSeen reports which configuration revision a peer has.
type RevisionSeen struct {
	From     ProcessID
	Address  string
	Revision Revision
}

// ConfigurationChanged reports that a new revision is in force in this process.
type ConfigurationChanged struct {
	Environment *Environment
	Tables      *Tables
}

// SlotOwnershipChanged reports that this process gained, extended or lost a slot. The
// slot is lost if Until is not after the time of the turn.
type SlotOwnershipChanged struct {
	Ownership SlotOwnership
}

// ShutdownRequested starts a graceful shutdown.
type ShutdownRequested struct{}

// TargetCrashed reports that a target crashed while running a request of this
// process.
type TargetCrashed struct {
	Crash CrashRecord
}

// PartsCompleted reports that a request of this process with these shared prompt
// parts got a complete answer, or so much of one that its target had got past the
// beginning, at which a part crashes it.
type PartsCompleted struct {
	Parts []SharedPart
}

// PartCleared reports that a completed request clears a prompt part of crashes.
type PartCleared struct {
	Clearance PartClearance
}

// RecordsListed carries a full list of the objects of a kind, which replaces
// all earlier records of that kind.
type RecordsListed struct {
	Kind    ObjectKind
	Records map[string]Record
	// SentAt is when the list was requested, and Era the era of the store that it shows.
	SentAt time.Duration
	Era    StoreEra
	// AfterOutage reports that the platform was not answering before this list.
	AfterOutage bool
}

// RecordChanged is a change to one object. Its record is empty if the content
// could not be decoded.
type RecordChanged struct {
	Kind    ObjectKind
	Name    string
	Record  Record
	Removed bool
}

// FeedConfirmed reports that the records of a kind were up to date at SentAt.
type FeedConfirmed struct {
	Kind   ObjectKind
	SentAt time.Duration
}

// FeedLost reports that the platform no longer answers for a kind.
type FeedLost struct {
	Kind ObjectKind
	Err  error
}

// StoreEraChanged reports that the platform's store has another history than before.
type StoreEraChanged struct {
	Era      StoreEra
	Previous StoreEra
	// First reports that the store has not stated an era before, so that nothing may be
	// lost.
	First bool
}

func (Tick) event()                 {}
func (MessageReceived) event()      {}
func (ReplyReceived) event()        {}
func (ObjectReplied) event()        {}
func (ObjectChanged) event()        {}
func (WatchEnded) event()           {}
func (TargetObserved) event()       {}
func (OrderDone) event()            {}
func (TargetSignal) event()         {}
func (UsageMeasured) event()        {}
func (FactChanged) event()          {}
func (MembersChanged) event()       {}
func (RevisionSeen) event()         {}
func (ConfigurationChanged) event() {}
func (SlotOwnershipChanged) event() {}
func (ShutdownRequested) event()    {}
func (TargetCrashed) event()        {}
func (PartsCompleted) event()       {}
func (PartCleared) event()          {}
func (RecordsListed) event()        {}
func (RecordChanged) event()        {}
func (FeedConfirmed) event()        {}
func (FeedLost) event()             {}
func (StoreEraChanged) event()      {}
