package chooser

import (
	"slices"
	"sync"

	"mulberrybeam"
)

// maxCachedShares limits the memory of a cache where targets state ever different bounds.
const maxCachedShares = 10_000

// ShareCache keeps the shares that a process has of fragile targets, since each takes a
// hash of every host. It is safe for concurrent use. Its zero value is empty.
type ShareCache struct {
	mutex sync.Mutex
	// hosts are those for which the shares were computed.
	hosts  []mulberrybeam.ProcessID
	shares map[shareKey]int
}

// shareKey is what the shares of a process depend on beside the hosts.
type shareKey struct {
	target             mulberrybeam.InstanceID
	slots, maxRefusals int
}

// get returns the result of Shares. A nil cache computes it.
func (c *ShareCache) get(hosts []mulberrybeam.ProcessID, self mulberrybeam.ProcessID, target *mulberrybeam.FleetTarget, maxRefusals int) int {
	if c == nil {
		return Shares(hosts, self, target, maxRefusals)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	same := len(hosts) == len(c.hosts) && (len(hosts) == 0 || &hosts[0] == &c.hosts[0] || slices.Equal(hosts, c.hosts))
	if !same || c.shares == nil || len(c.shares) >= maxCachedShares {
		c.shares = map[shareKey]int{}
	}
	c.hosts = hosts
	key := shareKey{target.ID, target.Slots, maxRefusals}
	shares, known := c.shares[key]
	if !known {
		shares = Shares(hosts, self, target, maxRefusals)
		c.shares[key] = shares
	}
	return shares
}
