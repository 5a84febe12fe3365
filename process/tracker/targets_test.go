package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/wavescheduler"
)

// randomEvent returns a change of one of a few targets, zones, leases and weights.
func randomEvent(random *rand.Rand) mulberrybeam.RecordChanged {
	id := mulberrybeam.InstanceID(fmt.Sprint("t", random.IntN(40)))
	switch random.IntN(12) {
	case 0:
		return mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectEvacuation, Name: "b", Removed: random.IntN(2) == 0}
	case 1:
		var upgraded []mulberrybeam.UpgradedEngine
		for i := range random.IntN(20) {
			upgraded = append(upgraded, mulberrybeam.UpgradedEngine{Engine: mulberrybeam.InstanceID(fmt.Sprint("t", i)), Model: "m", Version: 2})
		}
		return mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectLease, Record: mulberrybeam.Record{Lease: &mulberrybeam.LeaderLease{Upgraded: upgraded}}}
	case 2:
		version := 1 + random.IntN(4)
		return mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectWeights, Record: mulberrybeam.Record{Weights: &mulberrybeam.DesiredWeights{Model: "m", Version: version}}}
	case 3, 4:
		return mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: string(id), Removed: true}
	}
	record := target(id)
	record.Target.Service = mulberrybeam.ServiceName(fmt.Sprint("s", random.IntN(3)))
	record.Target.Zone = [2]mulberrybeam.ZoneName{"a", "b"}[random.IntN(2)]
	record.Target.Draining = random.IntN(5) == 0
	record.Target.Versions = map[mulberrybeam.ModelName]int{"m": 1 + random.IntN(3)}
	if random.IntN(4) == 0 {
		record.Target.Versions = nil
	}
	return mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectTarget, Name: string(id), Record: record}
}

// Guards against a fleet that, changed one by one, differs from one that is built
// from all events at once, and against lists that are changed after they were
// published.
func TestChangesOneByOneGiveTheSameFleet(t *testing.T) {
	for seed := range uint64(60) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		stepwise, atOnce := newFixture(), newFixture()
		var earlier *mulberrybeam.Fleet
		var copied []mulberrybeam.FleetTarget
		for range 200 {
			event := randomEvent(random)
			stepwise.now += time.Millisecond
			atOnce.now = stepwise.now
			stepwise.step(event)
			atOnce.step(event)
			if random.IntN(3) == 0 {
				if earlier != nil {
					is.Equal(earlier.Targets["s1"], copied)
				}
				earlier = stepwise.fleet()
				copied = slices.Clone(earlier.Targets["s1"])
			}
		}
		fleet := stepwise.fleet()
		is.Equal(fleet.Targets, atOnce.fleet().Targets)
		is.Equal(fleet.Leaving, atOnce.fleet().Leaving)
		is.Equal(fleet.Leaving, expectedLeaving(fleet))
		for _, targets := range fleet.Targets {
			is.True(slices.IsSortedFunc(targets, func(a, b mulberrybeam.FleetTarget) int { return strings.Compare(string(a.ID), string(b.ID)) }))
		}
	}
}

func expectedLeaving(fleet *mulberrybeam.Fleet) map[mulberrybeam.InstanceID]bool {
	var engines []wavescheduler.Engine
	for _, targets := range fleet.Targets {
		for _, target := range targets {
			if version, found := target.Versions["m"]; found {
				engines = append(engines, wavescheduler.Engine{ID: target.ID, Version: version})
			}
		}
	}
	leaving := map[mulberrybeam.InstanceID]bool{}
	for _, id := range wavescheduler.CurrentAndNextWave("m", fleet.Weights["m"].Version, engines) {
		leaving[id] = true
	}
	return leaving
}

// Guards against an empty list that is left for a service, and against targets that
// cannot return to a service that has none.
func TestServiceWithoutTargetsIsNotListed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.fleet()
	f.sendChange(mulberrybeam.ObjectTarget, "t1", mulberrybeam.Record{}, true)
	f.sendChange(mulberrybeam.ObjectTarget, "t2", mulberrybeam.Record{}, true)
	_, listed := f.fleet().Targets["s"]
	is.True(!listed)
	f.sendChange(mulberrybeam.ObjectTarget, "t1", target("t1"), false)
	is.Equal(f.targetCount(), 1)
}
