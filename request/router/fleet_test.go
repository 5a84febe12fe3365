package router_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/compiler"
)

// fleet is a RouteView whose fields the tests set directly.
type fleet struct {
	tables   *mulberrybeam.Tables
	states   map[mulberrybeam.TargetID]mulberrybeam.TargetState
	inFlight map[mulberrybeam.TargetID]int
	cached   map[mulberrybeam.TargetID]int
	holders  []mulberrybeam.TargetID
	linkUse  float64
	// examined counts the targets that a policy has examined.
	examined int
}

func (f *fleet) Tables() *mulberrybeam.Tables { return f.tables }

func (f *fleet) Target(id mulberrybeam.TargetID) mulberrybeam.TargetState {
	f.examined++
	return f.states[id]
}

func (f *fleet) InFlight(id mulberrybeam.TargetID) int { return f.inFlight[id] }

func (f *fleet) CachedBlocks(id mulberrybeam.TargetID, keys []mulberrybeam.BlockKey) int {
	return min(f.cached[id], len(keys))
}

func (f *fleet) Holders([]mulberrybeam.BlockKey) []mulberrybeam.TargetID { return f.holders }

func (f *fleet) LinkUse(mulberrybeam.StoreID) float64 { return f.linkUse }

// newFleet returns a fleet of engines e0, e1, ... and as many service targets
// s0, s1, ..., assigned in turn to zones a and b of one region and zone c of
// another. All targets are warm.
func newFleet(size int) *fleet {
	zones := []mulberrybeam.ZoneName{"a", "b", "c"}
	environment := &mulberrybeam.Environment{
		Regions: []mulberrybeam.Region{
			{Name: "near", Zones: []mulberrybeam.Zone{{Name: "a", Slots: 1}, {Name: "b", Slots: 1}}},
			{Name: "far", Zones: []mulberrybeam.Zone{{Name: "c", Slots: 1}}},
		},
		Stores: []mulberrybeam.Store{{ID: "store", Zone: "a", LinkRate: 1e6}},
	}
	f := &fleet{
		states:   map[mulberrybeam.TargetID]mulberrybeam.TargetState{},
		inFlight: map[mulberrybeam.TargetID]int{},
		cached:   map[mulberrybeam.TargetID]int{},
	}
	for i := range size {
		zone := zones[i%len(zones)]
		engine := []mulberrybeam.TargetAddress{{ID: mulberrybeam.TargetID(fmt.Sprint("e", i))}}
		service := []mulberrybeam.TargetAddress{{ID: mulberrybeam.TargetID(fmt.Sprint("s", i))}}
		environment.EngineGroups = append(environment.EngineGroups, mulberrybeam.EngineGroup{
			Zone: zone, Models: []mulberrybeam.ModelName{"m"}, ColdLimit: 2, WarmLimit: 8, PrefillRate: 5000, Targets: engine,
		})
		environment.ServiceGroups = append(environment.ServiceGroups, mulberrybeam.ServiceGroup{
			Zone: zone, Service: "orders", ColdLimit: 2, WarmLimit: 8, Targets: service,
		})
		f.setReport(engine[0].ID, 0, 0)
		f.setReport(service[0].ID, 0, 0)
	}
	f.tables = compiler.Compile(environment)
	return f
}

// setReport sets a target to warm with a load report from time 0.
func (f *fleet) setReport(id mulberrybeam.TargetID, running, waiting int) {
	f.states[id] = mulberrybeam.TargetState{
		Phase: mulberrybeam.PhaseWarm, Instance: "1", Owner: "owner",
		Report: mulberrybeam.LoadReport{Target: id, Instance: "1", Sequence: 1, Running: running, Waiting: waiting},
	}
}

func (f *fleet) updateState(id mulberrybeam.TargetID, change func(*mulberrybeam.TargetState)) {
	state := f.states[id]
	change(&state)
	f.states[id] = state
}

// prompt returns a query from zone a for a prompt of complete blocks.
func prompt(blocks int) mulberrybeam.RouteQuery {
	request := &mulberrybeam.Request{Model: "m", Version: "v1", PromptTokens: blocks * 256}
	for i := range blocks {
		request.Keys = append(request.Keys, mulberrybeam.BlockKey{byte(i), byte(i >> 8), 77})
	}
	return mulberrybeam.RouteQuery{Request: request, Zone: "a"}
}

func serviceCall() mulberrybeam.RouteQuery {
	return mulberrybeam.RouteQuery{Request: &mulberrybeam.Request{Service: "orders", Call: "stock"}, Zone: "a"}
}

func turn(seed uint64, now time.Duration) mulberrybeam.Turn {
	return mulberrybeam.Turn{Now: now, Rand: rand.New(rand.NewPCG(seed, 1))}
}
