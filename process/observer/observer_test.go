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

// zone simulates the observers of all members of a zone in virtual time.
type zone struct {
	now       time.Duration
	rand      *rand.Rand
	observers []*observer.Observer
	// polls counts polls by member and target, signs counts raised signs by
	// kind.
	polls   [members]map[mulberrybeam.TargetID]int
	signs   map[mulberrybeam.SignKind]int
	silent  bool
	leaving bool
	// dead members do not poll, although the others still list them as alive.
	dead [members]bool
}

func newZone() *zone {
	z := &zone{now: time.Minute, rand: rand.New(rand.NewPCG(1, 1)), signs: map[mulberrybeam.SignKind]int{}}
	group := mulberrybeam.EngineGroup{Zone: "a"}
	for i := range targets {
		group.Targets = append(group.Targets, mulberrybeam.TargetAddress{ID: mulberrybeam.TargetID(fmt.Sprint("t", i))})
	}
	tables := compiler.Compile(&mulberrybeam.Environment{
		Regions:      []mulberrybeam.Region{{Zones: []mulberrybeam.Zone{{Name: "a", Slots: 1}}}},
		EngineGroups: []mulberrybeam.EngineGroup{group},
	})
	var all []mulberrybeam.Member
	for i := range members {
		all = append(all, mulberrybeam.Member{ID: mulberrybeam.ProcessID(fmt.Sprint("p", i)), Zone: "a", State: mulberrybeam.MemberAlive})
	}
	for i := range members {
		z.observers = append(z.observers, observer.New(all[i]))
		z.step(i, mulberrybeam.ConfigurationChanged{Tables: tables})
		z.step(i, mulberrybeam.MembersChanged{Members: all})
	}
	return z
}

// step passes an event to a member's machine. Reports and facts are delivered
// without delay.
func (z *zone) step(member int, event mulberrybeam.Event) {
	turn := mulberrybeam.Turn{Now: z.now, Rand: z.rand}
	for _, action := range z.observers[member].Step(turn, event) {
		switch action := action.(type) {
		case mulberrybeam.Observe:
			z.polls[member][action.Target.ID]++
			if !z.silent {
				z.step(member, mulberrybeam.TargetObserved{Target: action.Target.ID, Report: mulberrybeam.LoadReport{Leaving: z.leaving}})
			}
		case mulberrybeam.Raise:
			z.raised(member, action.Event)
		}
	}
}

func (z *zone) raised(member int, event mulberrybeam.Event) {
	switch event := event.(type) {
	case mulberrybeam.TrafficSign:
		z.signs[event.Kind]++
	case mulberrybeam.FactChanged:
		event.Local = false
		for other := range members {
			if other != member {
				z.step(other, event)
			}
		}
	}
}

func (z *zone) run(length time.Duration) {
	for i := range z.polls {
		z.polls[i] = map[mulberrybeam.TargetID]int{}
	}
	for end := z.now + length; z.now < end; z.now += 100 * time.Millisecond {
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
	z := newZone()
	z.run(5 * time.Second)
	z.run(10 * time.Second)
	polled := 0
	for _, polls := range z.polls {
		polled += len(polls)
		for _, count := range polls {
			is.True(count >= 12 && count <= 25) // every 500 ms on average, in ticks of 100 ms
		}
	}
	is.Equal(polled, targets)
}

// A target must not count as silent while its poller is dead but not yet
// suspected, since the member ranked second takes over.
func TestBackupPollsForADeadMember(t *testing.T) {
	is := is.New(t)
	z := newZone()
	z.run(5 * time.Second)
	z.dead[0] = true
	is.True(len(z.polls[0]) > 0)
	z.run(10 * time.Second)
	is.Equal(z.signs[observer.SignSilent], 0)
}

// A target that stops reporting must be signalled as silent, once at each
// member.
func TestSilenceIsSignalledOnce(t *testing.T) {
	is := is.New(t)
	z := newZone()
	z.run(5 * time.Second)
	z.silent = true
	z.run(1900 * time.Millisecond) // the last fact received from other members may be a second old
	is.Equal(z.signs[observer.SignSilent], 0)
	z.run(10 * time.Second)
	is.Equal(z.signs[observer.SignSilent], members*targets)
}

// A target that reports leaving or is drained must be signalled, so that it gets
// no new work. It is signalled as returned only when neither is true any more.
func TestLeavingIsSignalled(t *testing.T) {
	is := is.New(t)
	z := newZone()
	z.run(5 * time.Second)
	z.leaving = true
	z.run(2 * time.Second)
	is.Equal(z.signs[observer.SignLeaving], members*targets)
	z.leaving = false
	drain := mulberrybeam.DrainFact{Target: "t0", Drained: true}
	z.step(1, mulberrybeam.FactChanged{Fact: mulberrybeam.Fact{Drain: &drain}})
	z.run(2 * time.Second)
	is.Equal(z.signs[observer.SignReturned], members*targets-1) // t0 is still drained at one member
}
