package followerchooser_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/followerchooser"
)

// peers returns count hosts that are spread over the zones.
func peers(count int, zones ...mulberrybeam.ZoneName) []mulberrybeam.EntryHost {
	var hosts []mulberrybeam.EntryHost
	for i := range count {
		hosts = append(hosts, mulberrybeam.EntryHost{
			ID: mulberrybeam.ProcessID(fmt.Sprint("front-", i)), Zone: zones[i%len(zones)], Address: fmt.Sprint("10.0.0.", i, ":1"),
		})
	}
	return hosts
}

// Guards against a change of today's deployments, and against a zone whose hosts
// wait for followers that it does not have.
func TestEveryHostFollowsInSmallFleetsAndZones(t *testing.T) {
	for name, hosts := range map[string][]mulberrybeam.EntryHost{
		"12 hosts in 3 zones": peers(12, "a", "b", "c"),
		"one host in a zone":  append(peers(40, "b", "c"), mulberrybeam.EntryHost{ID: "alone", Zone: "a", Address: "10.0.1.1:1"}),
		"no addresses":        {{ID: "front-0", Zone: "a"}},
		"none known":          nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, self := range append(hosts, mulberrybeam.EntryHost{ID: "alone", Zone: "a"}) {
				if self.Zone == "a" {
					is.True(!followerchooser.Plan(self.ID, "a", hosts).Active)
				}
			}
		})
	}
}

// Guards against hosts that choose different followers, ask across zones or all
// ask the same follower.
func TestHostsOfZoneChooseSameFollowers(t *testing.T) {
	is := is.New(t)
	hosts := peers(110, "a", "b", "c")
	byID := map[mulberrybeam.ProcessID]mulberrybeam.EntryHost{}
	followers := map[mulberrybeam.ProcessID]int{}
	plans := map[mulberrybeam.ProcessID]mulberrybeam.PropagationPlan{}
	for _, host := range hosts {
		byID[host.ID] = host
		plan := followerchooser.Plan(host.ID, host.Zone, hosts)
		is.True(plan.Active)
		is.Equal(plan.StoreFollowers, 6)
		if plan.Follower {
			is.Equal(len(plan.Sources), 0)
			followers[host.ID] = 0
		}
		plans[host.ID] = plan
	}
	is.Equal(len(followers), 6)
	for id, plan := range plans {
		if plan.Follower {
			continue
		}
		for i, source := range plan.Sources {
			is.Equal(byID[source.ID].Zone, byID[id].Zone)
			_, follows := followers[source.ID]
			is.Equal(follows, i < 2)
		}
		followers[plan.Sources[0].ID]++
	}
	for _, askers := range followers {
		is.True(askers >= 5 && askers <= 30)
	}
}

// Guards against a follower that must answer hundreds of hosts.
func TestFollowersGrowWithZone(t *testing.T) {
	is := is.New(t)
	is.Equal(followerchooser.Plan("front-0", "a", peers(380, "a", "b", "c")).StoreFollowers, 12)
}
