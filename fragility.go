package mulberrybeam

import "time"

// Fragility is what a target states about the refusals that it bears. Its zero value is
// that of a target that states nothing.
type Fragility struct {
	// Stated reports that the target is fragile: it falls over if it has to refuse more
	// than MaxRefusals requests of all hosts within a second for want of room.
	Stated      bool
	MaxRefusals int
	// Malformed is the beginning of a value that could not be read, or empty. MaxRefusals
	// is then 0.
	Malformed string
}

// SharedFragility is a target's statement that it is fragile, as an entry host heard it
// from the target itself.
type SharedFragility struct {
	Target      InstanceID
	MaxRefusals int
	// Age is the time since the response that stated it.
	Age time.Duration
}

// ShareTicket identifies the loan of a share of a fragile target by one process to another.
type ShareTicket uint64

// ShareAsk is the request of a process to borrow a share of a fragile target.
type ShareAsk struct {
	Target InstanceID
	Ticket ShareTicket
}

// ShareUpdate is what a process says to a peer about shares of fragile targets.
type ShareUpdate struct {
	Asks []ShareAsk
	// Grants are the asks of the peer for which it may use a share, and Returned the loans
	// of the peer that ended.
	Grants   []ShareTicket
	Returned []ShareTicket
	// Held are all loans that the sender has from any process.
	Held []ShareTicket
}

// ShareMessage is a ShareUpdate for one process.
type ShareMessage struct {
	To ProcessID
	ShareUpdate
}
