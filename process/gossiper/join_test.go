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
func TestNewProcessLearnsAllFactsAtOnce(t *testing.T) {
	is := is.New(t)
	const facts = 100
	fleet, probes := newFleet(1)
	fleet.Start(controllertest.Hosts(1, 3)...)
	is.True(fleet.RunUntil(time.Minute, func() bool { return together(fleet) }))
	for i := range facts {
		fleet.Post("z1h1", drain(fmt.Sprint("target ", i)))
	}
	heard := func(host string) bool { return len(probes[host].facts) >= facts }
	is.True(fleet.RunUntil(5*time.Minute, func() bool { return heard("z1h2") && heard("z1h3") }))
	fleet.Restart("z1h2")
	is.True(fleet.RunUntil(time.Minute, func() bool { return together(fleet) }))
	began := fleet.Now()
	is.True(fleet.RunUntil(spread, func() bool { return heard("z1h2") }))
	t.Log("all facts known", fleet.Now()-began, "after joining")
}
