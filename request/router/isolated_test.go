package router_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/router"
)

// Guards against two hosts that send copies of a suspected request to two
// targets: both could crash before either host learns of the other's crash.
func TestAllHostsPickTheSameTargetForASuspectedRequest(t *testing.T) {
	is := is.New(t)
	picked := map[mulberrybeam.TargetID]bool{}
	for request := range 50 {
		query := mulberrybeam.RouteQuery{
			Request:  &mulberrybeam.Request{Model: "m", Fingerprint: mulberrybeam.Fingerprint{byte(request)}},
			Tried:    []mulberrybeam.TargetID{"e3"},
			Isolated: true,
		}
		first, second := newFleet(20), newFleet(20)
		second.inFlight["e5"] = 3
		second.holders = []mulberrybeam.TargetID{"e7"}
		query.Zone = "a"
		one, err := router.New().Pick(mulberrybeam.Turn{Rand: rand.New(rand.NewPCG(1, 1))}, first, query)
		is.NoErr(err)
		query.Zone = "c"
		other, err := router.New().Pick(mulberrybeam.Turn{Rand: rand.New(rand.NewPCG(2, 2))}, second, query)
		is.NoErr(err)
		is.Equal(one.Target, other.Target)
		is.True(one.Target != "e3")
		picked[one.Target] = true
	}
	is.True(len(picked) > 5) // suspected requests are spread over targets
}
