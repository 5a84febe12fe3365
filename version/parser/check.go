package parser

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"mulberrybeam"
	"mulberrybeam/version/decoder"
)

// maxSlotsPerZone limits the lease renewals that a zone sends to the object API.
const maxSlotsPerZone = 32

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const allowedNames = "1 to 63 lowercase letters, digits, dots and hyphens, starting and ending with a letter or digit"

// checker validates one document and collects its problems.
type checker struct {
	document decoder.Document[mulberrybeam.Environment]
	problems decoder.Problems
	zones    map[mulberrybeam.ZoneName]bool
	models   map[mulberrybeam.ModelName]bool
	services map[mulberrybeam.ServiceName]bool
	targets  map[string]bool
}

func check(document decoder.Document[mulberrybeam.Environment]) decoder.Problems {
	c := &checker{
		document: document,
		zones:    map[mulberrybeam.ZoneName]bool{},
		models:   map[mulberrybeam.ModelName]bool{},
		services: map[mulberrybeam.ServiceName]bool{},
		targets:  map[string]bool{},
	}
	c.checkName("name", string(document.Value.Name))
	c.require(document.Value.Revision > 0, "revision", "an integer of 1 or more")
	c.checkRegions()
	c.checkModelsAndServices()
	c.checkEngineGroups()
	c.checkServiceGroups()
	c.checkStores()
	c.checkWorkspaces()
	c.checkLimits()
	slices.SortStableFunc(c.problems, func(a, b decoder.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.problems
}

func (c *checker) require(ok bool, path, allowed string) {
	if !ok {
		c.problems = append(c.problems, c.document.Problem(path, allowed))
	}
}

func (c *checker) checkName(path, name string) {
	c.require(namePattern.MatchString(name), path, allowedNames)
}

func (c *checker) checkRegions() {
	c.require(len(c.document.Value.Regions) > 0, "regions", "at least one region")
	for i, region := range c.document.Value.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.checkName(path+".name", string(region.Name))
		c.require(len(region.Zones) > 0, path+".zones", "at least one zone")
		for j, zone := range region.Zones {
			path := fmt.Sprintf("%s.zones[%d]", path, j)
			c.checkName(path+".name", string(zone.Name))
			c.require(!c.zones[zone.Name], path+".name", "a name that no other zone uses")
			c.zones[zone.Name] = true
			validState := zone.State == mulberrybeam.ZoneIn || zone.State == mulberrybeam.ZoneOut
			c.require(validState, path+".state", `"in" or "out"`)
			c.require(zone.Slots > 0 && zone.Slots <= maxSlotsPerZone, path+".slots", fmt.Sprintf("1 to %d", maxSlotsPerZone))
		}
	}
}

func (c *checker) checkModelsAndServices() {
	for i, model := range c.document.Value.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkName(path+".name", string(model.Name))
		c.require(!c.models[model.Name], path+".name", "a name that no other model uses")
		c.models[model.Name] = true
		c.require(model.Version != "", path+".version", "a non-empty weight version")
		c.require(model.MaxTokens > 0, path+".max-tokens", "an integer of 1 or more")
	}
	for i, service := range c.document.Value.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path+".name", string(service.Name))
		c.require(!c.services[service.Name], path+".name", "a name that no other service uses")
		c.services[service.Name] = true
		for j, call := range service.Calls {
			c.checkName(fmt.Sprintf("%s.calls[%d].name", path, j), call.Name)
		}
	}
}

func (c *checker) checkEngineGroups() {
	for i, group := range c.document.Value.EngineGroups {
		path := fmt.Sprintf("engine-groups[%d]", i)
		c.checkName(path+".name", group.Name)
		c.require(c.zones[group.Zone], path+".zone", "the name of a declared zone")
		c.require(len(group.Models) > 0, path+".models", "at least one model")
		for j, model := range group.Models {
			c.require(c.models[model], fmt.Sprintf("%s.models[%d]", path, j), "the name of a declared model")
		}
		c.require(group.PrefillRate > 0, path+".prefill-rate", "a number greater than 0")
		c.checkTargetLimits(path, group.ColdLimit, group.WarmLimit, group.WarmRequests)
		c.checkTargets(path, group.Targets)
	}
}

func (c *checker) checkServiceGroups() {
	for i, group := range c.document.Value.ServiceGroups {
		path := fmt.Sprintf("service-groups[%d]", i)
		c.checkName(path+".name", group.Name)
		c.require(c.zones[group.Zone], path+".zone", "the name of a declared zone")
		c.require(c.services[group.Service], path+".service", "the name of a declared service")
		c.checkTargetLimits(path, group.ColdLimit, group.WarmLimit, group.WarmRequests)
		c.checkTargets(path, group.Targets)
	}
}

func (c *checker) checkTargetLimits(path string, cold, warm, requests int) {
	c.require(requests > 0, path+".warm-requests", "an integer of 1 or more")
	c.require(cold > 0, path+".cold-limit", "an integer of 1 or more")
	c.require(warm >= cold, path+".warm-limit", "an integer not below cold-limit")
}

func (c *checker) checkTargets(path string, targets []mulberrybeam.TargetAddress) {
	for i, target := range targets {
		path := fmt.Sprintf("%s.targets[%d]", path, i)
		c.checkID(path+".id", string(target.ID))
		c.checkAddress(path+".address", target.Address)
	}
}

func (c *checker) checkID(path, id string) {
	c.checkName(path, id)
	c.require(!c.targets[id], path, "an ID that no other target or store uses")
	c.targets[id] = true
}

func (c *checker) checkAddress(path, address string) {
	_, err := netip.ParseAddrPort(address)
	c.require(err == nil, path, `an IP address and port such as "10.0.0.7:8000"`)
}

func (c *checker) checkStores() {
	for i, store := range c.document.Value.Stores {
		path := fmt.Sprintf("stores[%d]", i)
		c.checkID(path+".id", string(store.ID))
		c.require(c.zones[store.Zone], path+".zone", "the name of a declared zone")
		c.checkAddress(path+".address", store.Address)
		c.require(store.LinkRate > 0, path+".link-rate", "a number of bytes per second greater than 0")
	}
}

func (c *checker) checkWorkspaces() {
	names := map[mulberrybeam.WorkspaceName]bool{}
	keys := map[string]bool{}
	for i, workspace := range c.document.Value.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(path+".name", string(workspace.Name))
		c.require(!names[workspace.Name], path+".name", "a name that no other workspace uses")
		names[workspace.Name] = true
		for j, hash := range workspace.KeyHashes {
			path := fmt.Sprintf("%s.key-hashes[%d]", path, j)
			decoded, err := hex.DecodeString(hash)
			c.require(err == nil && len(decoded) == 32, path, "a SHA-256 hash of 64 hexadecimal digits")
			c.require(!keys[hash], path, "a key hash that is listed only once")
			keys[hash] = true
		}
		c.require(workspace.Weight > 0, path+".weight", "an integer of 1 or more")
		c.require(workspace.RequestsPerSecond > 0, path+".requests-per-second", "a number greater than 0")
		c.require(workspace.MaxInFlight > 0, path+".max-in-flight", "an integer of 1 or more")
	}
}

func (c *checker) checkLimits() {
	limits := c.document.Value.Limits
	c.require(limits.QueueLength > 0, "limits.queue-length", "an integer of 1 or more")
	c.require(limits.PlatformReadRate > 0, "limits.platform-read-rate", "a number of calls per second greater than 0")
	c.require(limits.PlatformWriteRate > 0, "limits.platform-write-rate", "a number of calls per second greater than 0")
	// With a shorter retention, a process that was paused could send a call
	// whose intent record has expired.
	const minRetention = "1m0s"
	c.require(limits.IdempotencyRetention.Minutes() >= 1, "limits.idempotency-retention", minRetention+" or more")
}
