package mulberrybeam

import "time"

// Event is an input of the control state machines.
type Event interface{ event() }

// Ticket matches a result to the action that asked for it.
type Ticket uint64

// Tick comes every 100 ms.
type Tick struct{}

// MessageReceived is a peer's request, or the process's own traffic asking
// its own control. It is answered by a Reply with the same ticket.
type MessageReceived struct {
	From    ProcessID
	Message Message
	Ticket  Ticket
}

// ReplyReceived is a peer's answer to a Call.
type ReplyReceived struct {
	From    ProcessID
	Ticket  Ticket
	Message Message
	Err     error
	// SentAt is when the call was sent.
	SentAt time.Duration
}

// ObjectReplied is the object API's answer to a CallObject. An error does
// not tell whether a write took effect.
type ObjectReplied struct {
	Ticket Ticket
	Object Object
	Items  []Object
	Err    error
	SentAt time.Duration
}

// ObjectChanged is a change seen by a watch.
type ObjectChanged struct {
	Object  Object
	Deleted bool
}

// WatchEnded says that a watch broke off.
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

// OrderDone is the result of a SendOrder. An error leaves open whether the
// order took effect, unless it is a Failure with NotRun.
type OrderDone struct {
	Ticket Ticket
	Target TargetID
	Err    error
	SentAt time.Duration
}

// SignKind names what traffic saw of a target.
type SignKind string

// Kinds of signs.
const (
	SignCompleted SignKind = "completed"
	SignBroken    SignKind = "broken"
	SignInstance  SignKind = "new-instance"
	SignRefused   SignKind = "refused"
)

// TrafficSign is what a traffic goroutine saw of a target.
type TrafficSign struct {
	Kind     SignKind
	Target   TargetID
	Instance InstanceID
	// FirstToken is the time to first token of a completed request.
	FirstToken time.Duration
	// InFlight are the requests of this process that were in flight at
	// the target when its connection broke.
	InFlight []Fingerprint
	// Cleared is a suspected request that completed.
	Cleared *Fingerprint
}

// UseMeasured is the traffic's own use of links and workspaces.
type UseMeasured struct {
	Links      map[StoreID]float64
	Workspaces map[WorkspaceName]float64
}

// FactChanged says that a fact came up or was replaced.
type FactChanged struct {
	Fact Fact
	// Local says that this process states it.
	Local bool
}

// MembersChanged says that the members known of the zone or the relays of
// other zones changed.
type MembersChanged struct {
	Members []Member
	Relays  []Member
}

// RevisionSeen says that a peer has a configuration.
type RevisionSeen struct {
	From     ProcessID
	Address  string
	Revision Revision
}

// ConfigurationChanged says that a new revision is in force here.
type ConfigurationChanged struct {
	Environment *Environment
	Tables      *Tables
}

// RightChanged says that the process's own right to a slot began, was
// extended or ended. It has ended when Until is not after the turn's time.
type RightChanged struct {
	Right SlotRight
}

// ShutdownAsked starts a graceful shutdown.
type ShutdownAsked struct{}

// TargetCrashed says that a target crashed while it ran a request of this
// process.
type TargetCrashed struct {
	Crash CrashRecord
}

// RecordsListed replaces all that is known of a kind of objects.
type RecordsListed struct {
	Kind    ObjectKind
	Records map[string]Record
	// SentAt is when the list was asked for.
	SentAt time.Duration
	// Regained says that the platform did not answer before.
	Regained bool
}

// RecordChanged is a change of one object. Its record is empty when the
// content could not be read.
type RecordChanged struct {
	Kind    ObjectKind
	Name    string
	Record  Record
	Removed bool
}

// FeedConfirmed says that what is known of a kind was current at a time.
type FeedConfirmed struct {
	Kind   ObjectKind
	SentAt time.Duration
}

// FeedLost says that the platform does not answer for a kind.
type FeedLost struct {
	Kind ObjectKind
	Err  error
}

func (Tick) event()                 {}
func (MessageReceived) event()      {}
func (ReplyReceived) event()        {}
func (ObjectReplied) event()        {}
func (ObjectChanged) event()        {}
func (WatchEnded) event()           {}
func (TargetObserved) event()       {}
func (OrderDone) event()            {}
func (TrafficSign) event()          {}
func (UseMeasured) event()          {}
func (FactChanged) event()          {}
func (MembersChanged) event()       {}
func (RevisionSeen) event()         {}
func (ConfigurationChanged) event() {}
func (RightChanged) event()         {}
func (ShutdownAsked) event()        {}
func (TargetCrashed) event()        {}
func (RecordsListed) event()        {}
func (RecordChanged) event()        {}
func (FeedConfirmed) event()        {}
func (FeedLost) event()             {}
