package chooser

import (
	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// chooseCold returns a cold target that this process may use. All entry
// processes share the target's rate.
func chooseCold(fleet *mulberrybeam.Fleet, query Query, eligible []candidate) (Choice, error) {
	most := max(coldRate(fleet, query)/max(len(fleet.EntryHosts), 1), 1)
	for i := range eligible {
		c := &eligible[i]
		if c.stats.ColdSends >= most {
			continue
		}
		if limit := ColdLimit(fleet, query, c.target.ID); c.stats.ColdSends < limit {
			return Choice{Target: *c.target, ColdLimit: limit, Reason: "all targets are cold"}, nil
		}
	}
	return Choice{}, noTarget(query.Service, "all targets are cold and at their rate limit")
}

// coldRate is the number of requests per second that all processes together may send
// to a cold target.
func coldRate(fleet *mulberrybeam.Fleet, query Query) int {
	// coldMargin leaves room for requests that are delayed in transit and
	// arrive together.
	const coldMargin = 0.6
	pool := fleet.Deployment.Pools[query.Service]
	return int(coldMargin * (pool.ColdRate*query.ColdOvershoot + float64(query.ColdSlack)))
}

// ColdLimit is this process's share of the requests per second that a cold
// target accepts. If there are more processes than requests, the first
// processes in rendezvous order get one request each.
func ColdLimit(fleet *mulberrybeam.Fleet, query Query, id mulberrybeam.InstanceID) int {
	total := coldRate(fleet, query)
	hosts := len(fleet.EntryHosts)
	if total >= hosts {
		return total / hosts
	}
	if isAmongFirst(string(id), fleet.EntryHosts, query.Self, total) {
		return 1
	}
	return 0
}

// isAmongFirst reports whether self is one of the first count hosts in the rendezvous
// order of a key. It stops at as many hosts that precede self, since sorting hundreds
// of hosts for each of thousands of cold targets took a host tens of milliseconds.
func isAmongFirst(key string, hosts []mulberrybeam.ProcessID, self mulberrybeam.ProcessID, count int) bool {
	own, preceding, listed := ranker.Score(key, string(self)), 0, false
	for _, host := range hosts {
		if preceding >= count {
			return false
		}
		if host == self {
			listed = true
			continue
		}
		if score := ranker.Score(key, string(host)); score > own || score == own && host < self {
			preceding++
		}
	}
	return listed && preceding < count
}
