package mulberrybeam

import "time"

// PropagationPolicy determines how one kind of objects is passed on between the
// entry hosts of a zone.
type PropagationPolicy struct {
	// FollowerWait is the longest time that a call of a follower waits for changes.
	FollowerWait time.Duration
	// MaxAge is how long a confirmation by a follower may be relied on, counted
	// from when the follower sent the confirming call to the store.
	MaxAge time.Duration
	// Bounded reports that a deadline of the deployment depends on the kind, so that
	// it is confirmed to the control loop often.
	Bounded bool
}

// PropagationPlan is the part of one entry host in the propagation.
type PropagationPlan struct {
	// Active is false if every host follows the store by itself.
	Active bool
	// Follower reports that this host follows the store for others.
	Follower bool
	// Sources are the hosts to ask, in order of preference. They are empty if
	// this host is a follower.
	Sources []EntryHost
	// StoreFollowers is the number of hosts of all zones that follow the store.
	StoreFollowers int
}

// PropagationAsk asks a follower for the changes after the given versions. The
// next ask on the same connection replaces it.
type PropagationAsk struct {
	ID      uint64
	From    ProcessID
	Cursors []PropagationCursor
}

// PropagationCursor is the version that an asker has of one kind.
type PropagationCursor struct {
	Kind    ObjectKind
	Version string
	// Probe reports that the asker cannot take changes at the moment and only
	// wants to know whether the follower could answer.
	Probe bool
}

// PropagationAnswer answers the ask with the same ID.
type PropagationAnswer struct {
	ID     uint64
	States []PropagationState
}

// PropagationStatus tells what a follower knows of one kind.
type PropagationStatus int

// Values of PropagationStatus. They are sent, so that new ones are appended.
const (
	// StatusUnknown means that the follower cannot answer yet: it is behind the version,
	// or it follows the kind only since a moment ago.
	StatusUnknown PropagationStatus = iota
	// StatusCurrent means that the answer has all changes from Since to Next.
	StatusCurrent
	// StatusLost means that the store does not answer the follower.
	StatusLost
	// StatusAskStore means that the asker must get the changes from the store: they are
	// too large to pass on, or the follower's history does not reach back to the version.
	StatusAskStore
)

// PropagationState is a follower's answer for one kind.
type PropagationState struct {
	Kind   ObjectKind
	Status PropagationStatus
	// Since is the version that was asked for, and Next the store revision up to
	// which the changes are complete.
	Since string
	Next  string
	// Offset is the time from when the follower read the ask to when it had sent
	// the store call that confirms Next. It is negative if the call came first.
	Offset  time.Duration
	Changes []ObjectChanged
}
