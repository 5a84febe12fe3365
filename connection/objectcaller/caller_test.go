package objectcaller_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/objectcaller"
	"mulberrybeam/connection/pacer"
	"mulberrybeam/process/standin/platform"
)

var _ mulberrybeam.ObjectClient = (*objectcaller.Caller)(nil)

func setUp(t *testing.T, options ...objectcaller.Option) (*platform.Platform, *objectcaller.Caller) {
	t.Helper()
	is := is.New(t)
	fake, closeFake, err := platform.New()
	is.NoErr(err)
	t.Cleanup(closeFake)
	caller, closeCaller := objectcaller.New("http://"+fake.Address(), "prod", append([]objectcaller.Option{
		objectcaller.WithUserAgent("host-1"), objectcaller.WithCallTimeout(200 * time.Millisecond),
		objectcaller.WithPacer(func(s *pacer.Settings) { s.BackoffBase = 5 * time.Millisecond }),
	}, options...)...)
	t.Cleanup(closeCaller)
	return fake, caller
}

func slot(name string, data string) mulberrybeam.Object {
	return mulberrybeam.Object{Kind: mulberrybeam.ObjectSlot, Name: name, Data: []byte(data)}
}

func checkFailure(t *testing.T, err error, code mulberrybeam.Code, notRun bool) {
	t.Helper()
	is := is.New(t)
	var failure *mulberrybeam.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, code)
	is.Equal(failure.NotRun, notRun)
	is.Equal(failure.Step, mulberrybeam.StepPlatform)
	is.Equal(failure.Peer, "platform")
}

// Guards against writes that ignore the version, and against wrong error codes.
func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	fake, caller := setUp(t)
	ctx := t.Context()
	first, err := caller.Create(ctx, slot("a", "1"))
	is.NoErr(err)
	_, err = caller.Create(ctx, slot("a", "2"))
	checkFailure(t, err, mulberrybeam.CodeExists, true)
	changed := first
	changed.Data = []byte("2")
	second, err := caller.Update(ctx, changed)
	is.NoErr(err)
	is.True(second.Version != first.Version)
	_, err = caller.Update(ctx, changed) // the version is old
	checkFailure(t, err, mulberrybeam.CodeConflict, true)
	checkFailure(t, caller.Delete(ctx, first), mulberrybeam.CodeConflict, true)
	got, err := caller.Get(ctx, mulberrybeam.ObjectSlot, "a")
	is.NoErr(err)
	is.Equal(got, second)
	items, err := caller.List(ctx, mulberrybeam.ObjectSlot)
	is.NoErr(err)
	is.Equal(items, []mulberrybeam.Object{second})
	is.NoErr(caller.Delete(ctx, second))
	_, err = caller.Get(ctx, mulberrybeam.ObjectSlot, "a")
	checkFailure(t, err, mulberrybeam.CodeNotFound, true)
	is.Equal(fake.Calls("update", "slots"), 2)
	tally := caller.Counts()[objectcaller.CallKey{Op: mulberrybeam.OpUpdate, Kind: mulberrybeam.ObjectSlot}]
	is.Equal(tally, objectcaller.CallCounts{Sent: 2, Succeeded: 2})
}

// Guards against an object of 1 MB that is refused, and a larger one that is
// accepted.
func TestObjectSizeLimit(t *testing.T) {
	is := is.New(t)
	_, caller := setUp(t, objectcaller.WithCallTimeout(10*time.Second))
	object := slot("a", "")
	object.Data = bytes.Repeat([]byte{1}, 1<<20)
	_, err := caller.Create(t.Context(), object)
	is.NoErr(err)
	object.Name, object.Data = "b", append(object.Data, 1)
	_, err = caller.Create(t.Context(), object)
	checkFailure(t, err, mulberrybeam.CodeBodyTooLarge, true)
}

// Guards against a write that is reported as not run although it may have taken
// effect, and against waiting beyond the timeout.
func TestPlatformFaults(t *testing.T) {
	tests := map[string]struct {
		faults  platform.Faults
		counter string
		code    mulberrybeam.Code
		notRun  bool
		applied bool
	}{
		"response lost":      {platform.Faults{LoseAnswersNext: 1}, "lost-answers", mulberrybeam.CodePlatformDown, false, true},
		"responses cut":      {platform.Faults{CutAnswers: []string{"host-1"}}, "cut-answers", mulberrybeam.CodePlatformDown, false, true},
		"requests cut":       {platform.Faults{CutRequests: []string{"host-1"}}, "cut-requests", mulberrybeam.CodePlatformDown, false, false},
		"another caller cut": {platform.Faults{CutRequests: []string{"host-2"}}, "create slots", "", false, true},
		"down":               {platform.Faults{Down: true}, "down", mulberrybeam.CodePlatformDown, false, false},
		"hung":               {platform.Faults{Hang: true}, "hung", mulberrybeam.CodePlatformDown, false, false},
		"slow":               {platform.Faults{Delay: time.Minute}, "create slots", mulberrybeam.CodePlatformDown, false, false},
		"limited":            {platform.Faults{LimitNext: 1}, "limited", mulberrybeam.CodePlatformBudget, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake, caller := setUp(t)
			fake.SetFaults(func(f *platform.Faults) { *f = test.faults })
			_, err := caller.Create(t.Context(), slot("a", "1"))
			is.Equal(fake.Count(test.counter), 1) // the fault occurred
			if test.code == "" {
				is.NoErr(err)
			} else {
				checkFailure(t, err, test.code, test.notRun)
			}
			fake.SetFaults(func(f *platform.Faults) { *f = platform.Faults{} })
			other, closeOther := objectcaller.New("http://"+fake.Address(), "prod")
			defer closeOther()
			_, err = other.Get(t.Context(), mulberrybeam.ObjectSlot, "a")
			is.Equal(err == nil, test.applied)
		})
	}
}

// Guards against a circuit breaker that never opens, lets calls through while
// open, or stays open after the platform has recovered.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	fake, caller := setUp(t)
	fake.Crash()
	var err error
	for range 100 {
		if _, err = caller.Get(t.Context(), mulberrybeam.ObjectSlot, "a"); caller.BreakerOpen() {
			break
		}
		checkFailure(t, err, mulberrybeam.CodePlatformDown, true) // connection refused
	}
	is.True(caller.BreakerOpen())
	is.NoErr(fake.Restart())
	deadline := time.Now().Add(5 * time.Second)
	for caller.BreakerOpen() && time.Now().Before(deadline) {
		_, err = caller.Get(t.Context(), mulberrybeam.ObjectSlot, "a")
		time.Sleep(time.Millisecond)
	}
	is.True(!caller.BreakerOpen())
	checkFailure(t, err, mulberrybeam.CodeNotFound, true)
	tally := caller.Counts()[objectcaller.CallKey{Op: mulberrybeam.OpGet, Kind: mulberrybeam.ObjectSlot}]
	is.Equal(tally.Failed, tally.Sent-1)
	is.Equal(tally.Pending, 0)
}

// Guards against a call budget that is not enforced or cannot be raised.
func TestBudget(t *testing.T) {
	is := is.New(t)
	fake, caller := setUp(t)
	caller.SetBudget(2000, 0, 1)
	_, err := caller.Create(t.Context(), slot("b", "1"))
	checkFailure(t, err, mulberrybeam.CodePlatformBudget, true)
	is.Equal(fake.Calls("create", "slots"), 0) // the refused call was not sent
	caller.SetBudget(2000, 300, 1)
	_, err = caller.Create(t.Context(), slot("b", "1"))
	is.NoErr(err)
}

type watchedChange struct {
	content string
	deleted bool
}

func startWatch(ctx context.Context, caller *objectcaller.Caller, name, version string) (chan watchedChange, chan error) {
	changes, ended := make(chan watchedChange, 10), make(chan error, 1)
	go func() {
		ended <- caller.Watch(ctx, mulberrybeam.ObjectSlot, name, version, func(change mulberrybeam.ObjectChanged) {
			changes <- watchedChange{change.Object.Name + string(change.Object.Data), change.Deleted}
		})
	}()
	return changes, ended
}

// Guards against a watch that misses changes, reports those of other objects,
// or does not end.
func TestWatch(t *testing.T) {
	is := is.New(t)
	fake, caller := setUp(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, err := caller.Create(ctx, slot("a", "1"))
	is.NoErr(err)
	one, oneEnded := startWatch(ctx, caller, "a", first.Version)
	all, allEnded := startWatch(ctx, caller, "", "")
	is.Equal(<-all, watchedChange{"a1", false})
	first.Data = []byte("2")
	second, err := caller.Update(ctx, first)
	is.NoErr(err)
	_, err = caller.Create(ctx, slot("b", "1"))
	is.NoErr(err)
	is.NoErr(caller.Delete(ctx, second))
	is.Equal(<-one, watchedChange{"a2", false})
	is.Equal(<-one, watchedChange{"a2", true})
	is.Equal([]watchedChange{<-all, <-all, <-all}, []watchedChange{{"a2", false}, {"b1", false}, {"a2", true}})
	is.Equal(caller.Counts()[objectcaller.CallKey{Op: mulberrybeam.OpWatch, Kind: mulberrybeam.ObjectSlot}].Pending, 2)

	fake.BreakWatches()
	checkFailure(t, <-oneEnded, mulberrybeam.CodePlatformDown, false)
	checkFailure(t, <-allEnded, mulberrybeam.CodePlatformDown, false)
	is.Equal(fake.Count("watches-broken"), 2)

	fake.Compact()
	_, ended := startWatch(ctx, caller, "a", first.Version)
	checkFailure(t, <-ended, mulberrybeam.CodeExpiredVersion, true)

	_, ended = startWatch(ctx, caller, "a", "")
	cancel()
	is.True(<-ended != nil) // cancelling the context ends a watch
}

// Guards against watch events that get through a one-way network partition.
func TestWatchDuringPartition(t *testing.T) {
	is := is.New(t)
	fake, caller := setUp(t)
	changes, _ := startWatch(t.Context(), caller, "a", "")
	for fake.Count("watches-started") == 0 {
		time.Sleep(time.Millisecond)
	}
	fake.SetFaults(func(f *platform.Faults) { f.CutAnswers = []string{"host-1"} })
	_, err := caller.Create(t.Context(), slot("a", "1"))
	checkFailure(t, err, mulberrybeam.CodePlatformDown, false)
	is.Equal(len(changes), 0)
	fake.SetFaults(func(f *platform.Faults) { f.CutAnswers = nil })
	is.Equal(<-changes, watchedChange{"a1", false})
}
