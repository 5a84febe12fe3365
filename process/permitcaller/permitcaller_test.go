package permitcaller_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/permitcaller"
)

// hungOwner simulates a paused owner, which accepts messages and never answers.
type hungOwner struct{}

func (hungOwner) Call(ctx context.Context, address string, _ mulberrybeam.Message) (mulberrybeam.Message, error) {
	<-ctx.Done()
	return nil, &mulberrybeam.Failure{Code: mulberrybeam.CodePeerUnreachable, Step: mulberrybeam.StepPeer, Peer: address, Cause: ctx.Err()}
}

// Guards against a request that waits for the paused owner of a cold target until
// its own deadline instead of trying another target.
func TestAskOfHungOwnerTimesOutBeforeRequest(t *testing.T) {
	tests := map[string]struct {
		target  mulberrybeam.TargetID
		timeout time.Duration
	}{
		"in the same zone":    {"near", time.Second},
		"in another zone":     {"far", 2 * time.Second},
		"of a removed target": {"dropped", 2 * time.Second},
	}
	snapshot := &mulberrybeam.Snapshot{
		Self: "h1/1", Zone: "a",
		Tables: &mulberrybeam.Tables{Targets: map[mulberrybeam.TargetID]mulberrybeam.Target{
			"near": {ID: "near", Zone: "a"}, "far": {ID: "far", Zone: "b"},
		}},
		Targets: map[mulberrybeam.TargetID]mulberrybeam.TargetState{},
	}
	for name, test := range tests {
		snapshot.Targets[test.target] = mulberrybeam.TargetState{Owner: "h2/1", OwnerAddress: "127.0.0.1:1"}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller := permitcaller.New(func() *mulberrybeam.Snapshot { return snapshot }, nil, hungOwner{})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				begin := time.Now()
				_, err := caller.Ask(ctx, test.target, mulberrybeam.AskPermit{Target: test.target})
				var failure *mulberrybeam.Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Code, mulberrybeam.CodePeerUnreachable)
				is.Equal(time.Since(begin), test.timeout)

				// For 2 s, further calls fail at once, so that their
				// requests try other targets.
				for range 3 {
					_, err = caller.Ask(ctx, test.target, mulberrybeam.AskPermit{Target: test.target})
					is.True(errors.As(err, &failure) && failure.Code == mulberrybeam.CodeNoPermit)
				}
				is.Equal(time.Since(begin), test.timeout)
				time.Sleep(2 * time.Second)
				_, err = caller.Ask(ctx, test.target, mulberrybeam.AskPermit{Target: test.target})
				is.True(errors.As(err, &failure) && failure.Code == mulberrybeam.CodePeerUnreachable)
			})
		})
	}
}

// Guards against a call that uses up the queue timeout of a request, which is then
// refused although other targets have capacity.
func TestAskLeavesTimeForOtherTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		snapshot := &mulberrybeam.Snapshot{
			Tables: &mulberrybeam.Tables{Environment: &mulberrybeam.Environment{
				Limits: mulberrybeam.Limits{QueueTimeout: 2 * time.Second},
			}},
			Targets: map[mulberrybeam.TargetID]mulberrybeam.TargetState{"far": {Owner: "h2/1", OwnerAddress: "127.0.0.1:1"}},
		}
		caller := permitcaller.New(func() *mulberrybeam.Snapshot { return snapshot }, nil, hungOwner{})
		begin := time.Now()
		_, err := caller.Ask(t.Context(), "far", mulberrybeam.AskPermit{Target: "far"})
		is.True(err != nil)
		is.Equal(time.Since(begin), 500*time.Millisecond)
	})
}
