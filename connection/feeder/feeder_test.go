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

// storeResponse is the response of the fake store to one call.
type storeResponse struct {
	list    []mulberrybeam.Object
	changes []mulberrybeam.ObjectChanged
	version string
	err     error
}

// scriptedStore is a fake store that returns the responses in order and cancels
// the feed after the last one. It records the versions of the calls.
type scriptedStore struct {
	responses []storeResponse
	cancel    context.CancelFunc
	versions  []string
}

func (s *scriptedStore) next() storeResponse {
	if len(s.responses) == 0 {
		s.cancel()
		return storeResponse{err: context.Canceled}
	}
	first := s.responses[0]
	s.responses = s.responses[1:]
	return first
}

func (s *scriptedStore) ListAt(context.Context, mulberrybeam.ObjectKind) ([]mulberrybeam.Object, string, error) {
	s.versions = append(s.versions, "list")
	response := s.next()
	return response.list, response.version, response.err
}

func (s *scriptedStore) Changes(_ context.Context, _ mulberrybeam.ObjectKind, version string, _ time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
	s.versions = append(s.versions, version)
	response := s.next()
	return response.changes, response.version, response.err
}

type fakeDecoder struct{}

func (fakeDecoder) Decode(object mulberrybeam.Object) (mulberrybeam.Record, error) {
	return mulberrybeam.Record{Host: &mulberrybeam.EntryHost{ID: mulberrybeam.ProcessID(object.Name)}}, nil
}

func runFeed(responses ...storeResponse) ([]mulberrybeam.Event, []string) {
	ctx, cancel := context.WithCancel(context.Background())
	store := &scriptedStore{responses: responses, cancel: cancel}
	var events []mulberrybeam.Event
	feeder.Feed{
		Kind: mulberrybeam.ObjectHost, Objects: store, Decoder: fakeDecoder{},
		Recheck:       &feeder.RecheckSignal{},
		BatchDelay:    func() time.Duration { return 0 },
		Now:           func() time.Duration { return time.Second },
		Deliver:       func(event mulberrybeam.Event) { events = append(events, event) },
		OnDecodeError: func(error) {},
	}.Run(ctx)
	return events, store.versions
}

func failure(code mulberrybeam.Code) error { return &mulberrybeam.Failure{Code: code} }

// Guards against a confirmation that is delivered before the changes of the same
// call. This caused API keys that were revoked during an outage to be accepted
// for a moment.
func TestConfirmationIsDeliveredAfterChanges(t *testing.T) {
	is := is.New(t)
	events, _ := runFeed(
		storeResponse{version: "1"},
		storeResponse{changes: []mulberrybeam.ObjectChanged{{Object: mulberrybeam.Object{Name: "a"}}}, version: "2"},
	)
	is.Equal(len(events), 3)
	_, changed := events[1].(mulberrybeam.RecordChanged)
	is.True(changed)
	_, confirmed := events[2].(mulberrybeam.FeedConfirmed)
	is.True(confirmed)
}

// Guards against missed changes: after a failed call the feed continues from the
// last version, and only lists again if that version has expired.
func TestContinuesFromLastVersion(t *testing.T) {
	is := is.New(t)
	events, versions := runFeed(
		storeResponse{version: "1"},
		storeResponse{version: "2"},
		storeResponse{err: failure(mulberrybeam.CodePlatformDown)},
		storeResponse{version: "3"},
		storeResponse{err: failure(mulberrybeam.CodeExpiredVersion)},
		storeResponse{version: "7"},
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

// relayedStore is a fake feed whose result was confirmed before its call.
type relayedStore struct{ *scriptedStore }

func (relayedStore) ConfirmedAt(mulberrybeam.ObjectKind) time.Duration { return time.Second / 2 }

// Guards against a confirmation that has the time of the feed's own call although
// the result is from an earlier call of another host.
func TestConfirmationHasTimeOfResult(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var events []mulberrybeam.Event
	feeder.Feed{
		Kind: mulberrybeam.ObjectHost, Decoder: fakeDecoder{}, Recheck: &feeder.RecheckSignal{},
		Objects:    relayedStore{&scriptedStore{responses: []storeResponse{{version: "1"}, {version: "2"}}, cancel: cancel}},
		BatchDelay: func() time.Duration { return 0 }, Now: func() time.Duration { return time.Second },
		Deliver: func(event mulberrybeam.Event) { events = append(events, event) },
	}.Run(ctx)
	is.Equal(events[1], mulberrybeam.FeedConfirmed{Kind: mulberrybeam.ObjectHost, SentAt: time.Second / 2})
}

// unresponsiveStore is a fake store that does not respond to calls that wait for
// changes, and whose history is gone. It records the wait time of each call.
type unresponsiveStore struct {
	mutex sync.Mutex
	waits []time.Duration
}

func (s *unresponsiveStore) ListAt(context.Context, mulberrybeam.ObjectKind) ([]mulberrybeam.Object, string, error) {
	return nil, "1", nil
}

func (s *unresponsiveStore) Changes(ctx context.Context, _ mulberrybeam.ObjectKind, _ string, wait time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
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
func TestFailedCallMakesOtherFeedsRecheck(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	recheck := &feeder.RecheckSignal{}
	listed := make(chan struct{}, 100)
	startFeed := func(wait time.Duration, store *unresponsiveStore, deliver func(mulberrybeam.Event)) {
		feeder.Feed{
			Kind: mulberrybeam.ObjectEvacuation, Objects: store, Decoder: fakeDecoder{}, MaxWait: wait, Recheck: recheck,
			BatchDelay: func() time.Duration { return 0 }, Now: func() time.Duration { return 0 },
			Deliver: deliver, OnDecodeError: func(error) {},
		}.Run(ctx)
	}
	longWaitStore := &unresponsiveStore{}
	go startFeed(time.Minute, longWaitStore, func(event mulberrybeam.Event) {
		if _, ok := event.(mulberrybeam.RecordsListed); ok {
			listed <- struct{}{}
		}
	})
	<-listed
	go startFeed(200*time.Millisecond, &unresponsiveStore{}, func(mulberrybeam.Event) {})
	select {
	case <-listed: // the second list, because the version has expired
	case <-ctx.Done():
		t.Fatal("the feed with the long wait did not check the store")
	}
	longWaitStore.mutex.Lock()
	defer longWaitStore.mutex.Unlock()
	is.True(len(longWaitStore.waits) >= 2)
	is.Equal(longWaitStore.waits[1], time.Duration(0))
}
