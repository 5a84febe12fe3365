package gossiper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/process/controller/controllertest"
)

// A new process must learn the facts of its zone when it joins. If it got them
// only in full exchanges, every ten rounds, it would not know the owners of
// targets until then.
func TestJoiningProcessReceivesFacts(t *testing.T) {
	is := is.New(t)
	const facts = 100
	fleet, probes := newFleet(1)
	fleet.Start(controllertest.Hosts(1, 3)...)
	is.True(fleet.RunUntil(time.Minute, func() bool { return converged(fleet) }))
	for i := range facts {
		fleet.Post("z1h1", drainEvent(fmt.Sprint("target ", i)))
	}
	hasFacts := func(host string) bool { return len(probes[host].facts) >= facts }
	is.True(fleet.RunUntil(5*time.Minute, func() bool { return hasFacts("z1h2") && hasFacts("z1h3") }))
	fleet.Restart("z1h2")
	is.True(fleet.RunUntil(time.Minute, func() bool { return converged(fleet) }))
	start := fleet.Now()
	is.True(fleet.RunUntil(spreadLimit, func() bool { return hasFacts("z1h2") }))
	t.Log("all facts known", fleet.Now()-start, "after joining")
}
