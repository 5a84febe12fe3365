package controllertest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/controller/controllertest"
)

// pinger is a state machine that, on each tick, calls a peer and updates an
// object. It replies to the calls that it receives.
type pinger struct {
	start    controllertest.StartInfo
	peer     string
	replies  int
	failures int
	changes  int
	watching bool
	version  string
	events   []string
}

func (p *pinger) Step(turn mulberrybeam.Turn, event mulberrybeam.Event) []mulberrybeam.Action {
	p.events = append(p.events, fmt.Sprintf("%v %T", turn.Now, event))
	switch event := event.(type) {
	case mulberrybeam.Tick:
		actions := []mulberrybeam.Action{
			mulberrybeam.Call{Address: p.peer, Message: mulberrybeam.Extend{From: p.start.ID}, Ticket: 1, Timeout: time.Second},
			mulberrybeam.CallObject{
				Op: mulberrybeam.OpUpdate, Ticket: 2,
				Object: mulberrybeam.Object{Kind: mulberrybeam.ObjectSlot, Name: "s", Version: p.version, Data: []byte{1}},
			},
			mulberrybeam.PublishSnapshot{},
		}
		if !p.watching {
			p.watching = true
			actions = append(actions, mulberrybeam.WatchObject{Kind: mulberrybeam.ObjectSlot, Name: "s"})
		}
		return actions
	case mulberrybeam.MessageReceived:
		return []mulberrybeam.Action{mulberrybeam.Reply{Ticket: event.Ticket, Message: mulberrybeam.ExtendReply{Granted: true}}}
	case mulberrybeam.ReplyReceived:
		p.countReply(event.Err)
	case mulberrybeam.ObjectReplied:
		if event.Err == nil {
			p.version = event.Object.Version
		}
	case mulberrybeam.ObjectChanged:
		p.changes++
		p.version = event.Object.Version
	case mulberrybeam.WatchEnded:
		p.watching = false
	}
	return nil
}

func (p *pinger) countReply(err error) {
	if err != nil {
		p.failures++
		return
	}
	p.replies++
}

func (p *pinger) FillSnapshot(snapshot *mulberrybeam.Snapshot) { snapshot.Ready = true }

func newPingerPair(seed uint64) (*controllertest.Fleet, map[string]*pinger) {
	hosts := controllertest.Hosts(2, 1)
	pingers := map[string]*pinger{}
	fleet := controllertest.New(
		controllertest.WithSeed(seed),
		controllertest.WithMachineFactory(func(start controllertest.StartInfo) []mulberrybeam.StateMachine {
			peer := hosts[0].Address
			if start.Name == hosts[0].Name {
				peer = hosts[1].Address
			}
			pingers[start.Name] = &pinger{start: start, peer: peer}
			return []mulberrybeam.StateMachine{pingers[start.Name]}
		}))
	fleet.Platform.Put(mulberrybeam.ObjectSlot, "s", nil)
	fleet.Start(hosts...)
	return fleet, pingers
}

// Guards against injected faults that have no effect or do not end: each fault
// must be counted, must make calls fail, and must be reversible.
func TestFaults(t *testing.T) {
	cases := []struct {
		fault   controllertest.Fault
		inject  func(*controllertest.Fleet)
		recover func(*controllertest.Fleet)
	}{
		{controllertest.FaultLoss, func(f *controllertest.Fleet) { f.Network.LossRate = 1 }, func(f *controllertest.Fleet) { f.Network.LossRate = 0 }},
		{controllertest.FaultLinkCut, func(f *controllertest.Fleet) { f.Network.Cut("z1h1", "z2h1") }, func(f *controllertest.Fleet) { f.Network.RemoveCuts() }},
		{controllertest.FaultLinkCut, func(f *controllertest.Fleet) { f.Network.CutZones("z1", "z2") }, func(f *controllertest.Fleet) { f.Network.RemoveCuts() }},
		{controllertest.FaultProcessDown, func(f *controllertest.Fleet) { f.Kill("z2h1") }, func(f *controllertest.Fleet) { f.Restart("z2h1") }},
		{controllertest.FaultPaused, func(f *controllertest.Fleet) { f.Pause("z2h1") }, func(f *controllertest.Fleet) { f.Resume("z2h1") }},
	}
	for _, test := range cases {
		t.Run(string(test.fault), func(t *testing.T) {
			is := is.New(t)
			fleet, pingers := newPingerPair(3)
			fleet.Run(2 * time.Second)
			is.Equal(pingers["z1h1"].failures, 0)
			test.inject(fleet)
			fleet.Run(5 * time.Second)
			is.True(fleet.FaultCount(test.fault) > 0)
			is.True(pingers["z1h1"].failures > 0)
			test.recover(fleet)
			fleet.Run(2 * time.Second)
			failures, replies := pingers["z1h1"].failures, pingers["z1h1"].replies
			fleet.Run(time.Second)
			is.Equal(pingers["z1h1"].failures, failures)
			is.True(pingers["z1h1"].replies > replies)
		})
	}
}

// Guards against platform faults that have no effect, and against a lost
// response that also loses the write.
func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		fault      controllertest.Fault
		inject     func(*controllertest.Platform)
		wantWrites bool
	}{
		{controllertest.FaultPlatformDown, func(p *controllertest.Platform) { p.SetDown(true) }, false},
		{controllertest.FaultPlatformSlow, func(p *controllertest.Platform) { p.ExtraDelay = time.Second }, true},
		{controllertest.FaultAnswerLost, func(p *controllertest.Platform) { p.AnswerLossRate = 1 }, true},
		{controllertest.FaultPlatformCut, func(p *controllertest.Platform) { p.SetZoneCut("z1", true); p.SetZoneCut("z2", true) }, false},
	}
	for _, test := range cases {
		t.Run(string(test.fault), func(t *testing.T) {
			is := is.New(t)
			fleet, _ := newPingerPair(4)
			fleet.Run(time.Second)
			test.inject(fleet.Platform)
			fleet.Run(100 * time.Millisecond)
			before, _ := fleet.Platform.Get(mulberrybeam.ObjectSlot, "s")
			fleet.Run(5 * time.Second)
			after, _ := fleet.Platform.Get(mulberrybeam.ObjectSlot, "s")
			is.True(fleet.FaultCount(test.fault) > 0)
			is.Equal(before.Version != after.Version, test.wantWrites)
		})
	}
}

// Guards against runs that differ although the seed is the same, which could
// not be reproduced, and against clock drift that does not affect the clocks of
// the process.
func TestDeterminismAndDrift(t *testing.T) {
	is := is.New(t)
	run := func() []string {
		fleet, pingers := newPingerPair(5)
		fleet.SetDrift("z2h1", 0.05, time.Minute)
		fleet.Network.LossRate = 0.2
		fleet.Run(10 * time.Second)
		is.Equal(fleet.Process("z2h1").Now(), 10500*time.Millisecond)
		is.Equal(fleet.Process("z2h1").WallTime().Sub(fleet.Process("z1h1").WallTime()), time.Minute+500*time.Millisecond)
		is.True(fleet.Process("z1h1").Snapshot.Ready)
		is.True(pingers["z1h1"].changes > 0)
		is.True(fleet.FaultCount(controllertest.FaultLoss) > 0)
		return pingers["z1h1"].events
	}
	is.Equal(run(), run())
}
