package mulberrybeam

import (
	"context"
	"time"
)

// PartKey identifies a part of a prompt in kept context. Equal keys have equal
// context.
type PartKey struct {
	// Salt separates weight versions and isolated workspaces.
	Salt  string
	Model ModelName
	ID    string
}

// PartChange says that a store has a part whole, or has it no more.
type PartChange struct {
	Key    PartKey
	Tokens int
	Stored bool
}

// PartList is all that a store has whole.
type PartList struct {
	// Boot changes when the store starts.
	Boot uint64
	// Next is where changes go on.
	Next  uint64
	Parts []PartChange
}

// EngineClock is a reading of the clock that engines and stores share.
type EngineClock time.Duration

// PartChanges are the changes after a place in a store's history.
type PartChanges struct {
	Boot uint64
	Next uint64
	// Clock is when the store answered.
	Clock EngineClock
	// Lost says that changes are missing.
	Lost    bool
	Changes []PartChange
}

// PartClient asks stores of kept context what they have. Errors are Failures;
// CodeOverloaded says that the store has too many calls at the moment.
type PartClient interface {
	Parts(ctx context.Context, address string) (PartList, error)
	// PartChanges waits for changes after a place.
	PartChanges(ctx context.Context, address string, since uint64, wait time.Duration) (PartChanges, error)
	// FreeParts removes parts from the run of a store with a boot number.
	FreeParts(ctx context.Context, address string, boot uint64, keys []PartKey) error
}
