package planner_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/process/planner"
)

func plan() planner.Plan {
	return planner.Plan{
		Seed: 1, Duration: 100 * time.Second, Rate: 100,
		Workspaces: []planner.Workspace{{Name: "large"}, {Name: "middle"}, {Name: "small"}},
		FirstBytes: 100, GrowthBytes: 50, ReturnMin: time.Second, ReturnShape: 1.1, MaxTurns: 5,
		ServiceShare: 0.3, NonRepeatableShare: 0.5, ResendShare: 0.2,
	}
}

// Guards against a load that differs between runs with the same seed, or that
// does not match the rate and shares of the plan.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	arrivals := planner.Arrivals(plan())
	is.Equal(arrivals, planner.Arrivals(plan()))
	other := plan()
	other.Seed = 2
	is.True(len(planner.Arrivals(other)) != len(arrivals) || planner.Arrivals(other)[0] != arrivals[0])
	is.True(len(arrivals) > 9500 && len(arrivals) < 10500) // 10,000 plus or minus five standard deviations

	var large, services, returns int
	last := time.Duration(0)
	turns := map[int]int{}
	for _, arrival := range arrivals {
		is.True(arrival.At >= last)
		last = arrival.At
		if arrival.Workspace == 0 {
			large++
		}
		if arrival.Kind != planner.Prompt {
			services++
			continue
		}
		is.Equal(arrival.Turn, turns[arrival.Conversation]+1) // turns are consecutive
		turns[arrival.Conversation]++
		if arrival.Turn > 1 {
			returns++
		}
	}
	share := func(part int) float64 { return float64(part) / float64(len(arrivals)) }
	is.True(share(large) > 0.52 && share(large) < 0.57) // 6/11
	is.True(share(services) > 0.27 && share(services) < 0.33)
	is.True(returns > 1000)
}

// Guards against a later turn whose prompt does not consist of the earlier
// turns, their answers and a new message.
func TestBodyGrowsByTheAnswer(t *testing.T) {
	is := is.New(t)
	answer := func([]byte, int) ([]string, error) { return []string{"an", "swer"}, nil }
	chat := func(turn int) planner.Chat {
		body, err := planner.Body(plan(), "m", 2, 7, turn, answer)
		is.NoErr(err)
		var chat planner.Chat
		is.NoErr(json.Unmarshal(body, &chat))
		return chat
	}
	first, third := chat(1), chat(3)
	is.Equal(len(first.Messages), 1)
	is.Equal(len(first.Messages[0].Content), 100)
	is.Equal(len(third.Messages), 5)
	is.Equal(third.Messages[0], first.Messages[0])
	is.Equal(third.Messages[1], planner.Message{Role: "assistant", Content: "answer"})
	is.Equal(len(third.Messages[2].Content), 50)
}
