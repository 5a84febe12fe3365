package mulberrybeam

import "time"

// Action is an output of a control state machine. The control loop carries it
// out.
type Action interface{ action() }

// Call sends a message to a peer. The peer's reply arrives as a ReplyReceived
// event with the same ticket.
type Call struct {
	To      ProcessID
	Address string
	Message Message
	Ticket  Ticket
	Timeout time.Duration
}

// Reply is the response to a MessageReceived event with the same ticket.
type Reply struct {
	Ticket  Ticket
	Message Message
}

// ObjectOp is an operation of the object API.
type ObjectOp string

// Operations of the object API.
const (
	OpGet    ObjectOp = "get"
	OpList   ObjectOp = "list"
	OpCreate ObjectOp = "create"
	OpUpdate ObjectOp = "update"
	OpDelete ObjectOp = "delete"
	OpWatch  ObjectOp = "watch"
	// OpStatus replaces the status of an object.
	OpStatus ObjectOp = "status"
)

// CallObject runs an operation of the object API. The result arrives as an
// ObjectReplied event with the same ticket.
type CallObject struct {
	Op     ObjectOp
	Object Object
	Ticket Ticket
}

// WatchObject watches one object for changes after a version. Changes arrive as
// ObjectChanged events until a WatchEnded event.
type WatchObject struct {
	Kind    ObjectKind
	Name    string
	Version string
}

// Observe fetches a target's load report and its cache events after a sequence
// number. The result arrives as a TargetObserved event.
type Observe struct {
	Target Target
	After  uint64
}

// SendOrder sends an order to an engine. The result arrives as an OrderDone
// event with the same ticket.
type SendOrder struct {
	Target Target
	Order  Order
	Ticket Ticket
	// NotAfter is the local monotonic time after which the process may no
	// longer send the order.
	NotAfter time.Duration
}

// EmitEvent delivers an event to all state machines in the same turn.
type EmitEvent struct {
	Event Event
}

// PublishSnapshot requests a new snapshot at the end of the turn.
type PublishSnapshot struct{}

// RecordEntry adds an entry to the timeline.
type RecordEntry struct {
	Entry Entry
}

func (Call) action()            {}
func (Reply) action()           {}
func (CallObject) action()      {}
func (WatchObject) action()     {}
func (Observe) action()         {}
func (SendOrder) action()       {}
func (EmitEvent) action()       {}
func (PublishSnapshot) action() {}
func (RecordEntry) action()     {}
