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
}

// Run follows the kind until ctx ends.
func (f Feed) Run(ctx context.Context) {
	version := ""
	lost := false
	pause := firstPause
	for ctx.Err() == nil {
		next, changed, err := f.step(ctx, version, lost)
		var failure *mulberrybeam.Failure
		switch {
		case err == nil:
			version, lost, pause = next, false, firstPause
			if changed {
				wait(ctx, f.Settle())
			}
			continue
		case errors.As(err, &failure) && failure.Code == mulberrybeam.CodeExpiredVersion:
			version = ""
			continue
		}
		if !lost && ctx.Err() == nil {
			f.Deliver(mulberrybeam.FeedLost{Kind: f.Kind, Err: err})
		}
		lost = true
		wait(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
}

// step lists the kind, or waits for changes when a version is known.
func (f Feed) step(ctx context.Context, version string, lost bool) (string, bool, error) {
	sentAt := f.Now()
	if version == "" {
		objects, next, err := f.Objects.ListAt(ctx, f.Kind)
		if err != nil {
			return "", false, err
		}
		records := make(map[string]mulberrybeam.Record, len(objects))
		for _, object := range objects {
			records[object.Name] = f.decode(object)
		}
		f.Deliver(mulberrybeam.RecordsListed{Kind: f.Kind, Records: records, SentAt: sentAt, Regained: lost})
		return next, false, nil
	}
	wait := f.Wait
	if lost {
		// A short call shows sooner that the platform answers again.
		wait = 0
	}
	changes, next, err := f.Objects.Changes(ctx, f.Kind, version, wait)
	if err != nil {
		return version, false, err
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

func (f Feed) decode(object mulberrybeam.Object) mulberrybeam.Record {
	record, err := f.Decoder.Decode(object)
	if err != nil {
		f.Skipped(err)
	}
	return record
}

func wait(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
