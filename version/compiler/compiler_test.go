package compiler_test

import (
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/compiler"
)

// Guards against new requests to a zone that operators have taken out, and
// against dropping its targets while they still run requests.
func TestZoneTakenOutGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	group := func(zone mulberrybeam.ZoneName, id mulberrybeam.TargetID) mulberrybeam.EngineGroup {
		return mulberrybeam.EngineGroup{
			Zone:    zone,
			Models:  []mulberrybeam.ModelName{"summary"},
			Targets: []mulberrybeam.TargetAddress{{ID: id, Address: "127.0.0.1:1"}},
		}
	}
	tables := compiler.Compile(&mulberrybeam.Environment{
		Regions: []mulberrybeam.Region{{Name: "r", Zones: []mulberrybeam.Zone{
			{Name: "a", State: mulberrybeam.ZoneIn, Slots: 3},
			{Name: "b", State: mulberrybeam.ZoneOut, Slots: 3},
		}}},
		EngineGroups: []mulberrybeam.EngineGroup{group("a", "a1"), group("b", "b1")},
	})

	is.Equal(tables.EnginesByModel["summary"], []mulberrybeam.TargetID{"a1"})
	is.Equal(tables.TargetsByZone["b"], []mulberrybeam.TargetID{"b1"})
	is.Equal(tables.SlotOf["b1"].Zone, mulberrybeam.ZoneName("b"))
	is.True(tables.SlotOf["b1"].Number < 3)
}
