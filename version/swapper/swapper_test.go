package swapper_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/compiler"
	"mulberrybeam/version/swapper"
)

// zone simulates a zone whose engines load what they are ordered to.
type zone struct {
	machine  *swapper.Swapper
	now      time.Duration
	rand     *rand.Rand
	versions map[mulberrybeam.TargetID]mulberrybeam.WeightVersion
	running  int
	sends    []mulberrybeam.SendOrder
}

func newZone(engines int) *zone {
	z := &zone{
		machine: swapper.New("a"), now: time.Minute, rand: rand.New(rand.NewPCG(1, 1)),
		versions: map[mulberrybeam.TargetID]mulberrybeam.WeightVersion{},
	}
	group := mulberrybeam.EngineGroup{Zone: "a", Models: []mulberrybeam.ModelName{"m"}, ColdLimit: 1, WarmLimit: 10}
	for i := range engines {
		id := mulberrybeam.TargetID(fmt.Sprint("e", i))
		group.Targets = append(group.Targets, mulberrybeam.TargetAddress{ID: id})
		z.versions[id] = "v1"
	}
	z.step(mulberrybeam.ConfigurationChanged{Tables: compiler.Compile(&mulberrybeam.Environment{
		Regions:      []mulberrybeam.Region{{Zones: []mulberrybeam.Zone{{Name: "a", Slots: 1}}}},
		Models:       []mulberrybeam.Model{{Name: "m", Version: "v2"}},
		EngineGroups: []mulberrybeam.EngineGroup{group},
	})})
	return z
}

func (z *zone) step(event mulberrybeam.Event) {
	for _, action := range z.machine.Step(mulberrybeam.Turn{Now: z.now, Rand: z.rand}, event) {
		if send, ok := action.(mulberrybeam.SendOrder); ok {
			z.sends = append(z.sends, send)
		}
	}
}

func (z *zone) hold(epoch mulberrybeam.Epoch, fresh bool) {
	z.step(mulberrybeam.RightChanged{Right: mulberrybeam.SlotRight{
		Slot: mulberrybeam.Slot{Zone: "a"}, Epoch: epoch, Since: z.now, Until: z.now + time.Hour, Fresh: fresh,
	}})
}

// run sends reports and ticks for the given time and returns the orders sent
// meanwhile.
func (z *zone) run(length time.Duration) []mulberrybeam.SendOrder {
	z.sends = nil
	for end := z.now + length; z.now < end; z.now += 100 * time.Millisecond {
		for id, version := range z.versions {
			z.step(mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Load: &mulberrybeam.LoadReport{
				Target: id, Running: z.running,
				WeightVersions: map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{"m": version},
			}}})
			z.step(mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Phase: &mulberrybeam.PhaseFact{
				Target: id, Phase: mulberrybeam.PhaseWarm,
			}}})
		}
		z.step(mulberrybeam.Tick{})
	}
	return z.sends
}

// Guards against more than two concurrent loads, against orders by a process
// that does not hold the slot, and against orders that are repeated while
// reports lag.
func TestWavesOfTwo(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	is.Equal(len(z.run(2*time.Second)), 0)
	z.hold(7, false)
	ordered := map[mulberrybeam.TargetID]int{}
	for _, wave := range []int{2, 2, 1, 0} {
		sends := z.run(2 * time.Second)
		is.Equal(len(sends), wave)
		for _, send := range sends {
			is.Equal(send.Order.Fencing, mulberrybeam.Epoch(7))
			ordered[send.Target.ID]++
			z.step(mulberrybeam.OrderDone{Ticket: send.Ticket})
			is.Equal(z.run(0), nil)
			z.versions[send.Target.ID] = "v2"
		}
	}
	is.Equal(len(ordered), 5)
}

// Guards against an upgrade that leaves too little capacity for the current
// load.
func TestRemainingEnginesCarryTheLoad(t *testing.T) {
	for _, test := range []struct {
		running, orders int
	}{
		{7, 0}, // 21 running, remaining capacity 20 × 0.8
		{5, 1}, // 15 running, remaining capacity 10 × 0.8 with two loading
		{2, 2},
	} {
		is := is.New(t)
		z := newZone(3)
		z.running = test.running
		z.hold(1, false)
		is.Equal(len(z.run(2*time.Second)), test.orders)
	}
}

// Guards against a new slot holder that orders loads while those of the previous
// holder may still be running.
func TestNewHolderWaitsForTheLongestOrder(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	z.hold(2, true)
	is.Equal(len(z.run(31*time.Second)), 0)
	is.Equal(len(z.run(2*time.Second)), 2)
}

// Guards against a failing engine that blocks the orders of others or is retried
// without a delay.
func TestFailedOrderIsRetriedLater(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	z.hold(1, false)
	for _, send := range z.run(time.Second) {
		z.step(mulberrybeam.OrderDone{Ticket: send.Ticket, Err: errors.New("disk full")})
	}
	sends := z.run(4 * time.Second)
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Target.ID, mulberrybeam.TargetID("e2"))
	is.Equal(len(z.run(2*time.Second)), 1) // two are due, but one load is still running
}
