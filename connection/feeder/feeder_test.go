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

// answer is what the fake store says to one call.
type answer struct {
	list    []mulberrybeam.Object
	changes []mulberrybeam.ObjectChanged
	version string
	err     error
}

// script answers calls in order and cancels the feed after the last one.
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

// Guards against a confirmation that covers a state without the changes that
// came with it: keys revoked during an outage were accepted for a moment.
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

// Guards against a gap: after a lost answer the feed goes on from the last
// version, and only an expired one makes it list again.
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

// silent is a store whose watches were cut without a word. It notes the waits
// that it was asked for.
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

// Guards against an evacuation that is seen too late: the store cut all watches
// without a word and dropped its history, and a watch that waits long noticed
// it only when its own time was over.
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
	case <-listed: // for the second time, since its history was gone
	case <-ctx.Done():
		t.Fatal("the feed with the long wait did not notice the cut")
	}
	long.mutex.Lock()
	defer long.mutex.Unlock()
	is.True(len(long.waits) >= 2)
	is.Equal(long.waits[1], time.Duration(0))
}
