package feeder_test

import (
	"context"
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
