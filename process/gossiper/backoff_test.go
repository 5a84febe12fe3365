package gossiper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/gossiper"
)

// A process that starts during a platform outage must find its peers soon after
// the outage ends. With the backoff of other processes it would retry only
// after up to 30 s.
func TestUnjoinedProcessRetriesPlatform(t *testing.T) {
	is := is.New(t)
	noMembers := func([]byte) ([]mulberrybeam.Member, error) { return nil, nil }
	machine := gossiper.New(gossiper.LocalMember{ID: "h/1", Zone: "a", Address: "127.0.0.1:1"},
		gossiper.WithDirectory(func([]mulberrybeam.Member) []byte { return nil }, noMembers))
	turn := mulberrybeam.Turn{Rand: rand.New(rand.NewPCG(1, 1)), Wall: time.Unix(1_900_000_000, 0)}
	down := &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown}
	calls, last, longest := 0, time.Duration(0), time.Duration(0)
	for ; turn.Now < 5*time.Minute; turn.Now += 100 * time.Millisecond {
		for _, action := range machine.Step(turn, mulberrybeam.Tick{}) {
			call, ok := action.(mulberrybeam.CallObject)
			if !ok {
				continue
			}
			calls++
			longest = max(longest, turn.Now-last)
			last = turn.Now
			machine.Step(turn, mulberrybeam.ObjectReplied{Ticket: call.Ticket, Err: down})
		}
	}
	is.True(calls > 50)
	is.True(longest <= 4*time.Second+200*time.Millisecond)
}
