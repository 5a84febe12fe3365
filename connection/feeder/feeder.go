// Package feeder follows a kind of objects in the platform's store and hands
// what it reads to control. A feed lives as long as its connection can be
// regained, which is until the process ends.
package feeder

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
)

const (
	// firstPause and longestPause bound the wait after a failed call. The
	// longest is short enough that changes are seen within the bounds of the
	// deployment once the platform answers again.
	firstPause   = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Feed is what a feed needs.
type Feed struct {
	Kind    mulberrybeam.ObjectKind
	Objects mulberrybeam.ObjectFeed
	Decoder mulberrybeam.RecordDecoder
	// Wait is the longest time that one call waits for changes.
	Wait time.Duration
	// Settle returns a pause after a call that brought changes, so that
	// changes that come together cost one call.
	Settle func() time.Duration
	// Now is local monotonic time.
	Now func() time.Duration
	// Deliver hands an event to control.
	Deliver func(mulberrybeam.Event)
	// Skipped is told of content that cannot be read.
	Skipped func(err error)
	// Recheck is shared by the feeds of a process.
	Recheck *Recheck
}

// state is how a feed makes its next call.
type state struct {
	// version is the last that was read, empty when the kind must be listed.
	version string
	// lost says that the last call failed.
	lost bool
	// checking says that another feed has lost the store, so that the next
	// call does not wait.
	checking bool
}

// Run follows the kind until ctx ends.
func (f Feed) Run(ctx context.Context) {
	var now state
	pause := firstPause
	for ctx.Err() == nil {
		next, changed, err := f.step(ctx, now)
		var failure *mulberrybeam.Failure
		switch {
		case err == nil:
			now, pause = state{version: next}, firstPause
			if changed {
				pauser.Pause(ctx, f.Settle())
			}
			continue
		case errors.Is(err, errRaised):
			now.checking = true
			continue
		case errors.As(err, &failure) && failure.Code == mulberrybeam.CodeExpiredVersion:
			f.raise(now)
			now.version = ""
			continue
		}
		if !now.lost && ctx.Err() == nil {
			f.raise(now)
			f.Deliver(mulberrybeam.FeedLost{Kind: f.Kind, Err: err})
		}
		now.lost, now.checking = true, false
		pauser.Pause(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
}

// raise has the other feeds look at once, unless this one looked for another.
func (f Feed) raise(now state) {
	if !now.checking && !now.lost {
		f.Recheck.raise()
	}
}

// step lists the kind, or waits for changes when a version is known.
func (f Feed) step(ctx context.Context, now state) (string, bool, error) {
	sentAt := f.Now()
	if now.version == "" {
		objects, next, err := f.Objects.ListAt(ctx, f.Kind)
		if err != nil {
			return "", false, err
		}
		records := make(map[string]mulberrybeam.Record, len(objects))
		for _, object := range objects {
			records[object.Name] = f.decode(object)
		}
		f.Deliver(mulberrybeam.RecordsListed{Kind: f.Kind, Records: records, SentAt: sentAt, Regained: now.lost})
		return next, false, nil
	}
	changes, next, err := f.changes(ctx, now)
	if err != nil {
		return now.version, false, err
	}
	for _, change := range changes {
		changed := mulberrybeam.RecordChanged{Kind: f.Kind, Name: change.Object.Name, Removed: change.Deleted}
		if !change.Deleted {
			changed.Record = f.decode(change.Object)
		}
		f.Deliver(changed)
	}
	// The confirmation follows the changes, so that it never covers a state
	// that lacks them.
	f.Deliver(mulberrybeam.FeedConfirmed{Kind: f.Kind, SentAt: sentAt})
	return next, len(changes) > 0, nil
}

// changes makes a call that waits for changes, or one that does not while the
// store may be out of reach: it shows sooner whether the store answers.
func (f Feed) changes(ctx context.Context, now state) ([]mulberrybeam.ObjectChanged, string, error) {
	if now.lost || now.checking {
		return f.Objects.Changes(ctx, f.Kind, now.version, 0)
	}
	waiting, leave := f.Recheck.enter(ctx)
	defer leave()
	changes, next, err := f.Objects.Changes(waiting, f.Kind, now.version, f.Wait)
	if err != nil && errors.Is(context.Cause(waiting), errRaised) {
		return nil, "", errRaised
	}
	return changes, next, err
}

func (f Feed) decode(object mulberrybeam.Object) mulberrybeam.Record {
	record, err := f.Decoder.Decode(object)
	if err != nil {
		f.Skipped(err)
	}
	return record
}
