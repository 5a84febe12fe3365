package mulberrybeam

import (
	"context"
	"time"
)

// PartKey identifies the stored context of a prompt part. Parts with equal keys
// have the same context.
type PartKey struct {
	// Salt keeps the context of different weight versions and of isolated
	// workspaces apart.
	Salt  string
	Model ModelName
	ID    string
}

// PartChange reports that a store now holds a part in full, or no longer holds
// it.
type PartChange struct {
	Key    PartKey
	Tokens int
	Stored bool
}

// PartList lists all parts that a store holds in full.
type PartList struct {
	// Boot changes whenever the store restarts.
	Boot uint64
	// Next is the position in the store's change history to continue from.
	Next  uint64
	Parts []PartChange
}

// EngineClock is a reading of the clock that engines and stores share.
type EngineClock time.Duration

// PartChanges lists the changes after a position in a store's change history.
type PartChanges struct {
	Boot uint64
	Next uint64
	// Clock is the time at which the store answered.
	Clock EngineClock
	// Lost reports that some changes are missing from the history.
	Lost    bool
	Changes []PartChange
}

// PartClient queries the stores that hold context. Errors are of type Failure;
// CodeOverloaded means that the store is handling too many calls at the moment.
type PartClient interface {
	Parts(ctx context.Context, address string) (PartList, error)
	// PartChanges waits for changes after a position.
	PartChanges(ctx context.Context, address string, since uint64, wait time.Duration) (PartChanges, error)
	// FreeParts removes parts from a store, provided that the store's boot
	// number is still the given one.
	FreeParts(ctx context.Context, address string, boot uint64, keys []PartKey) error
}
