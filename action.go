package mulberrybeam

import "time"

// Action is an output of the control state machines.
type Action interface{ action() }

// Call sends a message to a peer. Its answer is a ReplyReceived with the
// same ticket.
type Call struct {
	To      ProcessID
	Address string
	Message Message
	Ticket  Ticket
	Timeout time.Duration
}

// Reply answers a MessageReceived.
type Reply struct {
	Ticket  Ticket
	Message Message
}

// ObjectOp names an operation of the object API.
type ObjectOp string

// Operations of the object API.
const (
	OpGet    ObjectOp = "get"
	OpList   ObjectOp = "list"
	OpCreate ObjectOp = "create"
	OpUpdate ObjectOp = "update"
	OpDelete ObjectOp = "delete"
	OpWatch  ObjectOp = "watch"
)

// CallObject runs an operation of the object API. Its answer is an
// ObjectReplied with the same ticket.
type CallObject struct {
	Op     ObjectOp
	Object Object
	Ticket Ticket
}

// WatchObject watches one object from a version on. Changes come as
// ObjectChanged until WatchEnded.
type WatchObject struct {
	Kind    ObjectKind
	Name    string
	Version string
}

// Observe asks a target for its load report and its cache events after a
// sequence number. Its result is a TargetObserved.
type Observe struct {
	Target Target
	After  uint64
}

// SendOrder sends an order to an engine. Its result is an OrderDone with the
// same ticket.
type SendOrder struct {
	Target Target
	Order  Order
	Ticket Ticket
	// NotAfter is when the right to send the order ends, in local
	// monotonic time.
	NotAfter time.Duration
}

// Raise feeds an event to all machines in the same turn.
type Raise struct {
	Event Event
}

// Publish asks for a new snapshot at the end of the turn.
type Publish struct{}

// Note records an event on the time line.
type Note struct {
	Entry Entry
}

func (Call) action()        {}
func (Reply) action()       {}
func (CallObject) action()  {}
func (WatchObject) action() {}
func (Observe) action()     {}
func (SendOrder) action()   {}
func (Raise) action()       {}
func (Publish) action()     {}
func (Note) action()        {}
