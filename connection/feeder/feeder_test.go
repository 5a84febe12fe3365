package feeder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/feeder"
)

// answer is the response of the fake store to one call.
type answer struct {
	list    []mulberrybeam.Object
	changes []mulberrybeam.ObjectChanged
	version string
	err     error
}

// script is a fake store that returns the answers in order and cancels the feed
// after the last one. It records the versions of the calls.
type script struct {
	answers  []answer
	cancel   context.CancelFunc
	versions []string
}

func (s *script) next() answer {
	if len(s.answers) == 0 {
		s.cancel()
		return answer{err: context.Canceled}
	}
	first := s.answers[0]
	s.answers = s.answers[1:]
	return first
}

func (s *script) ListAt(context.Context, mulberrybeam.ObjectKind) ([]mulberrybeam.Object, string, error) {
	s.versions = append(s.versions, "list")
	a := s.next()
	return a.list, a.version, a.err
}

func (s *script) Changes(_ context.Context, _ mulberrybeam.ObjectKind, version string, _ time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
	s.versions = append(s.versions, version)
	a := s.next()
	return a.changes, a.version, a.err
}

type decoder struct{}

func (decoder) Decode(object mulberrybeam.Object) (mulberrybeam.Record, error) {
	return mulberrybeam.Record{Host: &mulberrybeam.EntryHost{ID: mulberrybeam.ProcessID(object.Name)}}, nil
}

func play(answers ...answer) ([]mulberrybeam.Event, []string) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := &script{answers: answers, cancel: cancel}
	var events []mulberrybeam.Event
	feeder.Feed{
		Kind: mulberrybeam.ObjectHost, Objects: calls, Decoder: decoder{},
		Recheck: &feeder.Recheck{},
		Settle:  func() time.Duration { return 0 },
		Now:     func() time.Duration { return time.Second },
		Deliver: func(event mulberrybeam.Event) { events = append(events, event) },
		Skipped: func(error) {},
	}.Run(ctx)
	return events, calls.versions
}

func failure(code mulberrybeam.Code) error { return &mulberrybeam.Failure{Code: code} }

// Guards against a confirmation that is delivered before the changes of the same
// call. This caused API keys that were revoked during an outage to be accepted
// for a moment.
func TestConfirmationFollowsChanges(t *testing.T) {
	is := is.New(t)
	events, _ := play(
		answer{version: "1"},
		answer{changes: []mulberrybeam.ObjectChanged{{Object: mulberrybeam.Object{Name: "a"}}}, version: "2"},
	)
	is.Equal(len(events), 3)
	_, changed := events[1].(mulberrybeam.RecordChanged)
	is.True(changed)
	_, confirmed := events[2].(mulberrybeam.FeedConfirmed)
	is.True(confirmed)
}

// Guards against missed changes: after a failed call the feed continues from the
// last version, and only lists again if that version has expired.
func TestFollowsFromTheLastVersion(t *testing.T) {
	is := is.New(t)
	events, versions := play(
		answer{version: "1"},
		answer{version: "2"},
		answer{err: failure(mulberrybeam.CodePlatformDown)},
		answer{version: "3"},
		answer{err: failure(mulberrybeam.CodeExpiredVersion)},
		answer{version: "7"},
	)
	is.Equal(versions, []string{"list", "1", "2", "2", "3", "list", "7"})
	lost := 0
	for _, event := range events {
		if _, ok := event.(mulberrybeam.FeedLost); ok {
			lost++
		}
	}
	is.Equal(lost, 1)
}

// silent is a fake store whose pending calls never get a response, and whose
// history is gone. It records the wait time of each call.
type silent struct {
	mutex sync.Mutex
	waits []time.Duration
}

func (s *silent) ListAt(context.Context, mulberrybeam.ObjectKind) ([]mulberrybeam.Object, string, error) {
	return nil, "1", nil
}

func (s *silent) Changes(ctx context.Context, _ mulberrybeam.ObjectKind, _ string, wait time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
	s.mutex.Lock()
	s.waits = append(s.waits, wait)
	s.mutex.Unlock()
	if wait == 0 {
		return nil, "", failure(mulberrybeam.CodeExpiredVersion)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
	return nil, "", &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown, Cause: ctx.Err()}
}

// Guards against an evacuation that is seen too late. If the store drops all
// watches without closing them and discards its history, a call with a long wait
// would notice it only at its own timeout.
func TestFeedsTellEachOtherOfACut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	recheck := &feeder.Recheck{}
	listed := make(chan struct{}, 100)
	follow := func(wait time.Duration, store *silent, deliver func(mulberrybeam.Event)) {
		feeder.Feed{
			Kind: mulberrybeam.ObjectEvacuation, Objects: store, Decoder: decoder{}, Wait: wait, Recheck: recheck,
			Settle: func() time.Duration { return 0 }, Now: func() time.Duration { return 0 },
			Deliver: deliver, Skipped: func(error) {},
		}.Run(ctx)
	}
	long := &silent{}
	go follow(time.Minute, long, func(event mulberrybeam.Event) {
		if _, ok := event.(mulberrybeam.RecordsListed); ok {
			listed <- struct{}{}
		}
	})
	<-listed
	go follow(200*time.Millisecond, &silent{}, func(mulberrybeam.Event) {})
	select {
	case <-listed: // the second list, because the version has expired
	case <-ctx.Done():
		t.Fatal("the feed with the long wait did not check the store")
	}
	long.mutex.Lock()
	defer long.mutex.Unlock()
	is.True(len(long.waits) >= 2)
	is.Equal(long.waits[1], time.Duration(0))
}
