// Package feeder watches all objects of one kind in the platform's object store
// and passes their content and changes to the control loop as events. After an
// error it retries until its context ends.
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
	// minRetryDelay and maxRetryDelay limit the base of the exponential
	// backoff after failed calls. maxRetryDelay is short enough for changes to
	// be seen within the deployment's time limits once the platform responds
	// again.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Feed watches the objects of one kind.
type Feed struct {
	Kind    mulberrybeam.ObjectKind
	Objects mulberrybeam.ObjectFeed
	Decoder mulberrybeam.RecordDecoder
	// MaxWait is the maximum time that one call waits for changes (long polling).
	MaxWait time.Duration
	// BatchDelay returns the delay after a call that returned changes, so that one
	// call returns several changes that are made at about the same time.
	BatchDelay func() time.Duration
	// Now returns the local monotonic time.
	Now func() time.Duration
	// Deliver passes an event to the control loop.
	Deliver func(mulberrybeam.Event)
	// OnDecodeError is called with the error for each object whose content cannot be
	// decoded.
	OnDecodeError func(err error)
	// Recheck is shared by all feeds of a process.
	Recheck *RecheckSignal
}

// pollState determines the next call of a feed.
type pollState struct {
	// version is the last version that was read, or empty if the objects must
	// be listed.
	version string
	// relisted is set if the last call listed the objects.
	relisted bool
	// failing is set if the last call failed.
	failing bool
	// rechecking is set if another feed's call failed, so that the next call
	// must not wait for changes.
	rechecking bool
}

// Run delivers events until ctx ends.
func (f Feed) Run(ctx context.Context) {
	var state pollState
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		next, changed, err := f.poll(ctx, state)
		var failure *mulberrybeam.Failure
		switch {
		case err == nil:
			if state.version != "" {
				retryDelay = minRetryDelay
			}
			state = pollState{version: next, relisted: state.version == ""}
			if changed {
				pauser.Pause(ctx, f.BatchDelay())
			}
			continue
		case errors.Is(err, errRecheck):
			state.rechecking = true
			continue
		case errors.As(err, &failure) && failure.Code == mulberrybeam.CodeExpiredVersion:
			f.notifyOthers(state)
			if state.relisted {
				// A list did not help, so that the store must not be asked without a pause.
				pauser.Pause(ctx, retryDelay/2+rand.N(retryDelay))
				retryDelay = min(2*retryDelay, maxRetryDelay)
			}
			state.version = ""
			continue
		}
		if !state.failing && ctx.Err() == nil {
			f.notifyOthers(state)
			f.Deliver(mulberrybeam.FeedLost{Kind: f.Kind, Err: err})
		}
		state.failing, state.rechecking = true, false
		pauser.Pause(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// notifyOthers makes the other feeds check the store immediately. It does
// nothing if this feed is already failing or made its call because of another
// feed.
func (f Feed) notifyOthers(state pollState) {
	if !state.rechecking && !state.failing {
		f.Recheck.Notify()
	}
}

// poll lists the objects if no version is known, and otherwise waits for
// changes. It returns the next version and whether there were changes.
func (f Feed) poll(ctx context.Context, state pollState) (string, bool, error) {
	sentAt := f.Now()
	if state.version == "" {
		objects, next, err := f.Objects.ListAt(ctx, f.Kind)
		if err != nil {
			return "", false, err
		}
		records := make(map[string]mulberrybeam.Record, len(objects))
		for _, object := range objects {
			records[object.Name] = f.decode(object)
		}
		version, _ := mulberrybeam.ParseStoreVersion(next)
		f.Deliver(mulberrybeam.RecordsListed{Kind: f.Kind, Records: records, SentAt: sentAt, Era: version.Era, AfterOutage: state.failing})
		return next, false, nil
	}
	changes, next, err := f.changes(ctx, state)
	if err != nil {
		return state.version, false, err
	}
	for _, change := range changes {
		changed := mulberrybeam.RecordChanged{Kind: f.Kind, Name: change.Object.Name, Removed: change.Deleted}
		if !change.Deleted {
			changed.Record = f.decode(change.Object)
		}
		f.Deliver(changed)
	}
	if source, ok := f.Objects.(mulberrybeam.ConfirmedFeed); ok {
		sentAt = source.ConfirmedAt(f.Kind)
	}
	// The confirmation must come after the changes. Otherwise it would confirm
	// a state from which they are missing.
	f.Deliver(mulberrybeam.FeedConfirmed{Kind: f.Kind, SentAt: sentAt})
	return next, len(changes) > 0, nil
}

// changes requests the changes since the last version. The call waits for
// changes, unless the store may be unreachable: without the wait the feed sees
// sooner whether the store responds.
func (f Feed) changes(ctx context.Context, state pollState) ([]mulberrybeam.ObjectChanged, string, error) {
	if state.failing || state.rechecking {
		return f.Objects.Changes(ctx, f.Kind, state.version, 0)
	}
	waitCtx, done := f.Recheck.register(ctx)
	defer done()
	changes, next, err := f.Objects.Changes(waitCtx, f.Kind, state.version, f.MaxWait)
	if err != nil && errors.Is(context.Cause(waitCtx), errRecheck) {
		return nil, "", errRecheck
	}
	return changes, next, err
}

// decode returns the record of an object, or an empty one if its content cannot
// be decoded.
func (f Feed) decode(object mulberrybeam.Object) mulberrybeam.Record {
	record, err := f.Decoder.Decode(object)
	if err != nil {
		f.OnDecodeError(err)
	}
	return record
}
