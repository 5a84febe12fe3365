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

// simulation simulates a zone whose engines load what they are ordered to.
type simulation struct {
	machine  *swapper.Swapper
	now      time.Duration
	rand     *rand.Rand
	versions map[mulberrybeam.TargetID]mulberrybeam.WeightVersion
	running  int
	sends    []mulberrybeam.SendOrder
}

func newSimulation(engines int) *simulation {
	s := &simulation{
		machine: swapper.New("a"), now: time.Minute, rand: rand.New(rand.NewPCG(1, 1)),
		versions: map[mulberrybeam.TargetID]mulberrybeam.WeightVersion{},
	}
	group := mulberrybeam.EngineGroup{Zone: "a", Models: []mulberrybeam.ModelName{"m"}, ColdLimit: 1, WarmLimit: 10}
	for i := range engines {
		id := mulberrybeam.TargetID(fmt.Sprint("e", i))
		group.Targets = append(group.Targets, mulberrybeam.TargetAddress{ID: id})
		s.versions[id] = "v1"
	}
	s.step(mulberrybeam.ConfigurationChanged{Tables: compiler.Compile(&mulberrybeam.Environment{
		Regions:      []mulberrybeam.Region{{Zones: []mulberrybeam.Zone{{Name: "a", Slots: 1}}}},
		Models:       []mulberrybeam.Model{{Name: "m", Version: "v2"}},
		EngineGroups: []mulberrybeam.EngineGroup{group},
	})})
	return s
}

func (s *simulation) step(event mulberrybeam.Event) {
	for _, action := range s.machine.Step(mulberrybeam.Turn{Now: s.now, Rand: s.rand}, event) {
		if send, ok := action.(mulberrybeam.SendOrder); ok {
			s.sends = append(s.sends, send)
		}
	}
}

func (s *simulation) grantSlot(epoch mulberrybeam.Epoch, fresh bool) {
	s.step(mulberrybeam.SlotOwnershipChanged{Ownership: mulberrybeam.SlotOwnership{
		Slot: mulberrybeam.Slot{Zone: "a"}, Epoch: epoch, Since: s.now, Until: s.now + time.Hour, TakenOver: fresh,
	}})
}

// run sends reports and ticks for the given time and returns the orders sent
// meanwhile.
func (s *simulation) run(length time.Duration) []mulberrybeam.SendOrder {
	s.sends = nil
	for end := s.now + length; s.now < end; s.now += 100 * time.Millisecond {
		for id, version := range s.versions {
			s.step(mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Load: &mulberrybeam.LoadReport{
				Target: id, Running: s.running,
				WeightVersions: map[mulberrybeam.ModelName]mulberrybeam.WeightVersion{"m": version},
			}}})
			s.step(mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Phase: &mulberrybeam.PhaseFact{
				Target: id, Phase: mulberrybeam.PhaseWarm,
			}}})
		}
		s.step(mulberrybeam.Tick{})
	}
	return s.sends
}

// Guards against more than two concurrent loads, against orders by a process
// that does not hold the slot, and against orders that are repeated while
// reports lag.
func TestAtMostTwoConcurrentLoads(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5)
	is.Equal(len(s.run(2*time.Second)), 0)
	s.grantSlot(7, false)
	ordered := map[mulberrybeam.TargetID]int{}
	for _, wave := range []int{2, 2, 1, 0} {
		sends := s.run(2 * time.Second)
		is.Equal(len(sends), wave)
		for _, send := range sends {
			is.Equal(send.Order.Fencing, mulberrybeam.Epoch(7))
			ordered[send.Target.ID]++
			s.step(mulberrybeam.OrderDone{Ticket: send.Ticket})
			is.Equal(s.run(0), nil)
			s.versions[send.Target.ID] = "v2"
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
		s := newSimulation(3)
		s.running = test.running
		s.grantSlot(1, false)
		is.Equal(len(s.run(2*time.Second)), test.orders)
	}
}

// Guards against a new slot holder that orders loads while those of the previous
// holder may still be running.
func TestNewHolderWaitsForTheLongestOrder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	s.grantSlot(2, true)
	is.Equal(len(s.run(31*time.Second)), 0)
	is.Equal(len(s.run(2*time.Second)), 2)
}

// Guards against a failing engine that blocks the orders of others or is retried
// without a delay.
func TestFailedOrderIsRetriedLater(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	s.grantSlot(1, false)
	for _, send := range s.run(time.Second) {
		s.step(mulberrybeam.OrderDone{Ticket: send.Ticket, Err: errors.New("disk full")})
	}
	sends := s.run(4 * time.Second)
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Target.ID, mulberrybeam.TargetID("e2"))
	is.Equal(len(s.run(2*time.Second)), 1) // two are due, but one load is still running
}
