package observer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/observer"
	"mulberrybeam/version/compiler"
)

const (
	members = 3
	targets = 12
)

// zoneSimulation runs the observers of all members of a zone in virtual time.
type zoneSimulation struct {
	now       time.Duration
	rand      *rand.Rand
	observers []*observer.Observer
	// pollCounts counts polls by member and target, signalCounts the emitted
	// signals by kind.
	pollCounts     [members]map[mulberrybeam.TargetID]int
	signalCounts   map[mulberrybeam.SignalKind]int
	targetsSilent  bool
	targetsLeaving bool
	// dead marks members that do not poll, although the others still list
	// them as alive.
	dead [members]bool
}

func newZoneSimulation() *zoneSimulation {
	z := &zoneSimulation{now: time.Minute, rand: rand.New(rand.NewPCG(1, 1)), signalCounts: map[mulberrybeam.SignalKind]int{}}
	group := mulberrybeam.EngineGroup{Zone: "a"}
	for i := range targets {
		group.Targets = append(group.Targets, mulberrybeam.TargetAddress{ID: mulberrybeam.TargetID(fmt.Sprint("t", i))})
	}
	tables := compiler.Compile(&mulberrybeam.Environment{
		Regions:      []mulberrybeam.Region{{Zones: []mulberrybeam.Zone{{Name: "a", Slots: 1}}}},
		EngineGroups: []mulberrybeam.EngineGroup{group},
	})
	var allMembers []mulberrybeam.Member
	for i := range members {
		allMembers = append(allMembers, mulberrybeam.Member{ID: mulberrybeam.ProcessID(fmt.Sprint("p", i)), Zone: "a", State: mulberrybeam.MemberAlive})
	}
	for i := range members {
		z.observers = append(z.observers, observer.New(allMembers[i]))
		z.step(i, mulberrybeam.ConfigurationChanged{Tables: tables})
		z.step(i, mulberrybeam.MembersChanged{Members: allMembers})
	}
	return z
}

// step passes an event to a member's machine. Reports and facts are delivered
// without delay.
func (z *zoneSimulation) step(member int, event mulberrybeam.Event) {
	turn := mulberrybeam.Turn{Now: z.now, Rand: z.rand}
	for _, action := range z.observers[member].Step(turn, event) {
		switch action := action.(type) {
		case mulberrybeam.Observe:
			z.pollCounts[member][action.Target.ID]++
			if !z.targetsSilent {
				z.step(member, mulberrybeam.TargetObserved{Target: action.Target.ID, Report: mulberrybeam.LoadReport{Leaving: z.targetsLeaving}})
			}
		case mulberrybeam.EmitEvent:
			z.handleEmitted(member, action.Event)
		}
	}
}

func (z *zoneSimulation) handleEmitted(member int, event mulberrybeam.Event) {
	switch event := event.(type) {
	case mulberrybeam.TargetSignal:
		z.signalCounts[event.Kind]++
	case mulberrybeam.FactChanged:
		event.Local = false
		for other := range members {
			if other != member {
				z.step(other, event)
			}
		}
	}
}

func (z *zoneSimulation) run(duration time.Duration) {
	for i := range z.pollCounts {
		z.pollCounts[i] = map[mulberrybeam.TargetID]int{}
	}
	for end := z.now + duration; z.now < end; z.now += 100 * time.Millisecond {
		for i := range members {
			if !z.dead[i] {
				z.step(i, mulberrybeam.Tick{})
			}
		}
	}
}

// Each target must be polled by exactly one member of the zone.
func TestOneMemberPollsEachTarget(t *testing.T) {
	is := is.New(t)
	z := newZoneSimulation()
	z.run(5 * time.Second)
	z.run(10 * time.Second)
	polled := 0
	for _, counts := range z.pollCounts {
		polled += len(counts)
		for _, count := range counts {
			is.True(count >= 12 && count <= 25) // every 500 ms on average, in ticks of 100 ms
		}
	}
	is.Equal(polled, targets)
}

// A target must not count as silent while its poller is dead but not yet
// suspected, since the member ranked second takes over.
func TestBackupPollsForADeadMember(t *testing.T) {
	is := is.New(t)
	z := newZoneSimulation()
	z.run(5 * time.Second)
	z.dead[0] = true
	is.True(len(z.pollCounts[0]) > 0)
	z.run(10 * time.Second)
	is.Equal(z.signalCounts[observer.SignalSilent], 0)
}

// A target that stops reporting must be signalled as silent, once at each
// member.
func TestSilenceIsSignalledOnce(t *testing.T) {
	is := is.New(t)
	z := newZoneSimulation()
	z.run(5 * time.Second)
	z.targetsSilent = true
	z.run(1900 * time.Millisecond) // the last fact received from other members may be a second old
	is.Equal(z.signalCounts[observer.SignalSilent], 0)
	z.run(10 * time.Second)
	is.Equal(z.signalCounts[observer.SignalSilent], members*targets)
}

// A target that reports leaving or is drained must be signalled, so that it
// gets no new work. It is signalled as returned only when neither is true any
// more.
func TestLeavingIsSignalled(t *testing.T) {
	is := is.New(t)
	z := newZoneSimulation()
	z.run(5 * time.Second)
	z.targetsLeaving = true
	z.run(2 * time.Second)
	is.Equal(z.signalCounts[observer.SignalLeaving], members*targets)
	z.targetsLeaving = false
	drain := mulberrybeam.DrainFact{Target: "t0", Drained: true}
	z.step(1, mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Drain: &drain}})
	z.run(2 * time.Second)
	is.Equal(z.signalCounts[observer.SignalReturned], members*targets-1) // t0 is still drained at one member
}
