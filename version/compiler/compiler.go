// Package compiler builds the lookup tables for request handling from the
// configuration document of one revision.
package compiler

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Compile returns the lookup tables of a validated document. They refer to the
// document, which must not be changed afterwards.
func Compile(environment *mulberrybeam.Environment) *mulberrybeam.Tables {
	tables := &mulberrybeam.Tables{
		Environment:        environment,
		Targets:            map[mulberrybeam.TargetID]mulberrybeam.Target{},
		EnginesByModel:     map[mulberrybeam.ModelName][]mulberrybeam.TargetID{},
		TargetsByService:   map[mulberrybeam.ServiceName][]mulberrybeam.TargetID{},
		TargetsByZone:      map[mulberrybeam.ZoneName][]mulberrybeam.TargetID{},
		Models:             map[mulberrybeam.ModelName]mulberrybeam.Model{},
		Calls:              map[mulberrybeam.ServiceName]map[string]mulberrybeam.ServiceCall{},
		Stores:             map[mulberrybeam.StoreID]mulberrybeam.Store{},
		Workspaces:         map[mulberrybeam.WorkspaceName]mulberrybeam.Workspace{},
		WorkspaceByKeyHash: map[string]mulberrybeam.WorkspaceName{},
		Zones:              map[mulberrybeam.ZoneName]mulberrybeam.Zone{},
		RegionOf:           map[mulberrybeam.ZoneName]mulberrybeam.RegionName{},
		SlotOf:             map[mulberrybeam.TargetID]mulberrybeam.Slot{},
	}
	addZonesAndStores(tables)
	addModelsServicesAndWorkspaces(tables)
	addEngineTargets(tables)
	addServiceTargets(tables)
	return tables
}

func addZonesAndStores(tables *mulberrybeam.Tables) {
	for _, region := range tables.Environment.Regions {
		for _, zone := range region.Zones {
			tables.Zones[zone.Name] = zone
			tables.RegionOf[zone.Name] = region.Name
		}
	}
	for _, store := range tables.Environment.Stores {
		tables.Stores[store.ID] = store
	}
}

func addModelsServicesAndWorkspaces(tables *mulberrybeam.Tables) {
	for _, model := range tables.Environment.Models {
		tables.Models[model.Name] = model
	}
	for _, service := range tables.Environment.Services {
		calls := map[string]mulberrybeam.ServiceCall{}
		for _, call := range service.Calls {
			calls[call.Name] = call
		}
		tables.Calls[service.Name] = calls
	}
	for _, workspace := range tables.Environment.Workspaces {
		tables.Workspaces[workspace.Name] = workspace
		for _, hash := range workspace.KeyHashes {
			tables.WorkspaceByKeyHash[hash] = workspace.Name
		}
	}
}

func addEngineTargets(tables *mulberrybeam.Tables) {
	for _, group := range tables.Environment.EngineGroups {
		for _, address := range group.Targets {
			addTarget(tables, mulberrybeam.Target{
				ID:            address.ID,
				Kind:          mulberrybeam.KindEngine,
				Group:         group.Name,
				Zone:          group.Zone,
				Address:       address.Address,
				Models:        group.Models,
				ColdLimit:     group.ColdLimit,
				WarmLimit:     group.WarmLimit,
				WarmRequests:  group.WarmRequests,
				WarmTime:      group.WarmTime,
				ChecksFencing: group.ChecksFencing,
				PrefillRate:   group.PrefillRate,
			})
		}
	}
}

func addServiceTargets(tables *mulberrybeam.Tables) {
	for _, group := range tables.Environment.ServiceGroups {
		for _, address := range group.Targets {
			addTarget(tables, mulberrybeam.Target{
				ID:           address.ID,
				Kind:         mulberrybeam.KindService,
				Group:        group.Name,
				Zone:         group.Zone,
				Address:      address.Address,
				Service:      group.Service,
				ColdLimit:    group.ColdLimit,
				WarmLimit:    group.WarmLimit,
				WarmRequests: group.WarmRequests,
				WarmTime:     group.WarmTime,
			})
		}
	}
}

func addTarget(tables *mulberrybeam.Tables, target mulberrybeam.Target) {
	tables.Targets[target.ID] = target
	tables.TargetsByZone[target.Zone] = append(tables.TargetsByZone[target.Zone], target.ID)
	tables.SlotOf[target.ID] = slotOf(target, tables.Zones[target.Zone].Slots)
	if tables.Zones[target.Zone].State == mulberrybeam.ZoneOut {
		return
	}
	for _, model := range target.Models {
		tables.EnginesByModel[model] = append(tables.EnginesByModel[model], target.ID)
	}
	if target.Service != "" {
		tables.TargetsByService[target.Service] = append(tables.TargetsByService[target.Service], target.ID)
	}
}

func slotOf(target mulberrybeam.Target, slots int) mulberrybeam.Slot {
	best := mulberrybeam.Slot{Zone: target.Zone}
	var highest uint64
	for number := range slots {
		score := ranker.Score(string(target.ID), fmt.Sprint(number))
		if score > highest {
			best.Number = number
			highest = score
		}
	}
	return best
}
