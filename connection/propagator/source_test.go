package propagator_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/pauser"
	"mulberrybeam/connection/propagationencoder"
	"mulberrybeam/connection/propagator"
	"mulberrybeam/process/starter"
)

// quietStore has no objects and no changes.
type quietStore struct{}

func (quietStore) ListAt(context.Context, mulberrybeam.ObjectKind) ([]mulberrybeam.Object, string, error) {
	return nil, "1", nil
}

func (quietStore) Changes(ctx context.Context, _ mulberrybeam.ObjectKind, _ string, wait time.Duration) ([]mulberrybeam.ObjectChanged, string, error) {
	pauser.Pause(ctx, wait)
	return nil, "1", ctx.Err()
}

// scriptedFollower answers asks. Change is applied to its answers, unless it is silent.
type scriptedFollower struct {
	mutex  sync.Mutex
	change func(state *mulberrybeam.PropagationState)
	silent bool
}

func (s *scriptedFollower) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		for {
			ask, err := propagationencoder.ReadAsk(far)
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			answer := mulberrybeam.PropagationAnswer{ID: ask.ID}
			s.mutex.Lock()
			for _, cursor := range ask.Cursors {
				state := mulberrybeam.PropagationState{
					Kind: cursor.Kind, Status: mulberrybeam.StatusCurrent, Since: cursor.Version, Next: cursor.Version,
				}
				s.change(&state)
				answer.States = append(answer.States, state)
			}
			silent := s.silent
			s.mutex.Unlock()
			if !silent && propagationencoder.WriteAnswer(far, answer) != nil {
				return
			}
		}
	}()
	return near, nil
}

// Guards against a kind that leaves its follower for the store without a trace in the
// log, or with a line for each call.
func TestChangeOfSourceIsLogged(t *testing.T) {
	for name, test := range map[string]struct {
		change func(state *mulberrybeam.PropagationState)
		silent bool
		reason string
		age    time.Duration
	}{
		"store lost": {
			change: func(state *mulberrybeam.PropagationState) { state.Status = mulberrybeam.StatusLost },
			reason: "the follower lost the store", age: 500 * time.Millisecond,
		},
		"unknown cursor": {
			change: func(state *mulberrybeam.PropagationState) { state.Status = mulberrybeam.StatusUnknown },
			reason: "the follower cannot answer from version 1", age: 2 * time.Second,
		},
		"old confirmation": {
			change: func(state *mulberrybeam.PropagationState) { state.Offset = -10 * time.Second },
			reason: "the follower's answer was 10.", age: 2 * time.Second,
		},
		"answer for another version": {
			change: func(state *mulberrybeam.PropagationState) { state.Next = "0" },
			reason: "the follower's answer from version 1 to 0 does not continue version 1, or was from before the last list", age: 2 * time.Second,
		},
		"no answer": {silent: true, reason: "no answer in time", age: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				lines := linesOfSource(t, test.change, test.silent)
				is.Equal(len(lines), 2)
				is.True(strings.HasPrefix(lines[0], "relies on a follower, confirmed "))
				is.True(strings.HasPrefix(lines[1], "asks the store: "+test.reason))
				_, text, _ := strings.Cut(lines[1], ", confirmed ")
				age, err := time.ParseDuration(strings.TrimSuffix(text, " ago"))
				is.NoErr(err)
				is.True(age > 0 && age <= test.age)
			})
		})
	}
}

// linesOfSource returns the lines about the source of targets, while a follower answers
// for 10 s and then, for 20 s, with a change or not at all.
func linesOfSource(t *testing.T, change func(state *mulberrybeam.PropagationState), silent bool) []string {
	ctx, cancel := context.WithCancel(t.Context())
	follower := &scriptedFollower{change: func(*mulberrybeam.PropagationState) {}}
	startedAt := time.Now()
	var lines []string
	var mutex sync.Mutex
	p := propagator.New(propagator.Config{
		Self: "front-1", Store: quietStore{}, Policies: starter.Policies(bounds), Dial: follower.dial,
		Plan: func() mulberrybeam.PropagationPlan {
			return mulberrybeam.PropagationPlan{Active: true, Sources: []mulberrybeam.EntryHost{{ID: "front-2"}}}
		},
		Now:      func() time.Duration { return time.Since(startedAt) },
		OnResult: func(mulberrybeam.ObjectKind, string, time.Duration) {},
		OnEvent: func(subject, text string) {
			mutex.Lock()
			defer mutex.Unlock()
			if subject == string(mulberrybeam.ObjectTarget) {
				lines = append(lines, text)
			}
		},
	})
	var workers sync.WaitGroup
	workers.Go(func() { p.Run(ctx) })
	workers.Go(func() {
		_, version, _ := p.ListAt(ctx, mulberrybeam.ObjectTarget)
		for ctx.Err() == nil {
			_, _, _ = p.Changes(ctx, mulberrybeam.ObjectTarget, version, time.Second)
		}
	})
	time.Sleep(10 * time.Second)
	follower.mutex.Lock()
	if change != nil {
		follower.change = change
	}
	follower.silent = silent
	follower.mutex.Unlock()
	time.Sleep(20 * time.Second)
	cancel()
	workers.Wait()
	time.Sleep(time.Second) // the follower's connections end
	return lines
}
