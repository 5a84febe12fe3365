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

// zone is the observers of all members of a zone.
type zone struct {
	now       time.Duration
	rand      *rand.Rand
	observers []*observer.Observer
	// polls counts by member and target, signs by kind.
	polls   [members]map[mulberrybeam.TargetID]int
	signs   map[mulberrybeam.SignKind]int
	silent  bool
	leaving bool
	// dead do not poll, although the others still believe them alive.
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

// step runs a member's machine. Reports and facts arrive at once.
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

// Guards against targets that nobody or everybody polls.
func TestOneMemberPollsEachTarget(t *testing.T) {
	is := is.New(t)
	z := newZone()
	z.run(5 * time.Second)
	z.run(10 * time.Second)
	polled := 0
	for _, polls := range z.polls {
		polled += len(polls)
		for _, count := range polls {
			is.True(count >= 12 && count <= 25) // every 500 ms, in ticks of 100 ms
		}
	}
	is.Equal(polled, targets)
}

// Guards against targets that count as silent because their poller died and
// is not yet suspected.
func TestBackupPollsForADeadMember(t *testing.T) {
	is := is.New(t)
	z := newZone()
	z.run(5 * time.Second)
	z.dead[0] = true
	is.True(len(z.polls[0]) > 0)
	z.run(10 * time.Second)
	is.Equal(z.signs[observer.SignSilent], 0)
}

// Guards against targets that stay trusted without reports, and against a
// doubt that is raised again and again.
func TestSilenceIsSignalledOnce(t *testing.T) {
	is := is.New(t)
	z := newZone()
	z.run(5 * time.Second)
	z.silent = true
	z.run(1900 * time.Millisecond) // others' last fact may be a second old
	is.Equal(z.signs[observer.SignSilent], 0)
	z.run(10 * time.Second)
	is.Equal(z.signs[observer.SignSilent], members*targets)
}

// Guards against new work for targets that are leaving or drained.
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
	is.Equal(z.signs[observer.SignReturned], members*targets-1) // t0 stays drained at one member
}
