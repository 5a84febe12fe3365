// Package followerchooser decides which entry hosts of a zone follow the store
// for the others, by rendezvous hashing. Hosts whose lists of hosts differ may
// choose differently, which costs calls but endangers no deadline, because
// every answer has its own age and a host that is asked becomes a follower.
package followerchooser

import (
	"slices"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// maxDirectHosts is the number of entry hosts up to which every host follows
	// the store by itself. It is the number up to which the pauses between calls
	// are not stretched.
	maxDirectHosts = 16
	// minFollowers is the number of followers of a zone, so that one of them may
	// fail. askersPerFollower limits the hosts that one follower answers, since each
	// gets 2.5 answers a second: a follower and 20 askers took 10 ms of processor time
	// a second together, where a small host has 134 ms.
	minFollowers      = 2
	askersPerFollower = 40
	// spareSources is the number of hosts that are asked after the followers, for
	// the case that all of them are gone. Entries of hosts that are gone remain in
	// the store.
	spareSources = 4
)

// rankKey is the key of the rendezvous order of followers.
const rankKey = "store-followers"

// Plan returns the part of the host self. The peers are all registered entry
// hosts.
func Plan(self mulberrybeam.ProcessID, zone mulberrybeam.ZoneName, peers []mulberrybeam.EntryHost) mulberrybeam.PropagationPlan {
	members := map[mulberrybeam.ProcessID]mulberrybeam.EntryHost{}
	zoneSizes := map[mulberrybeam.ZoneName]int{}
	var ids []mulberrybeam.ProcessID
	for _, peer := range peers {
		if peer.Address == "" {
			continue
		}
		zoneSizes[peer.Zone]++
		if peer.Zone == zone {
			members[peer.ID] = peer
			ids = append(ids, peer.ID)
		}
	}
	count := followerCount(len(ids))
	if _, registered := members[self]; !registered || len(peers) <= maxDirectHosts || len(ids) < 2*count {
		return mulberrybeam.PropagationPlan{StoreFollowers: len(peers)}
	}
	plan := mulberrybeam.PropagationPlan{Active: true}
	for _, size := range zoneSizes {
		plan.StoreFollowers += min(size, followerCount(size))
	}
	ranked := ranker.Top(rankKey, ids, count+spareSources)
	if slices.Contains(ranked[:count], self) {
		plan.Follower = true
		return plan
	}
	// Each asker starts with a follower of its own, so that askers are spread.
	order := append(ranker.Top(string(self), ranked[:count], count), ranked[count:]...)
	for _, id := range order {
		if id != self {
			plan.Sources = append(plan.Sources, members[id])
		}
	}
	return plan
}

// followerCount returns the number of followers of a zone.
func followerCount(hosts int) int {
	return max(minFollowers, (hosts+askersPerFollower-1)/askersPerFollower)
}
