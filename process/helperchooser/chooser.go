package helperchooser

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"mulberrybeam"
)

// Config has what a Chooser needs.
type Config struct {
	Self mulberrybeam.ProcessID
	Zone mulberrybeam.ZoneName
	Now  func() time.Duration
	// Fleet returns the current fleet, or nil if it is not known yet.
	Fleet func() *mulberrybeam.Fleet
	// Memory is that for callers in bytes, or 0 if it is not known.
	Memory int64
}

// Stats are the counts of a Chooser.
type Stats struct {
	// Passed counts the requests passed on by outcome, and Accepted and Refused those of
	// other hosts, since the start.
	Passed            map[mulberrybeam.HelperOutcome]int64
	Accepted, Refused int64
	// Running is the number of requests of other hosts at present.
	Running int64
}

// Chooser shares a Table and an Intake among requests. It is safe for concurrent use; the
// control goroutine never takes its lock.
type Chooser struct {
	config Config

	mutex  sync.Mutex
	table  *Table
	intake Intake
	stats  Stats
	// helpers are those of fleet.
	helpers []mulberrybeam.Helper
	fleet   *mulberrybeam.Fleet
}

var _ mulberrybeam.Helpers = (*Chooser)(nil)

// New returns a Chooser.
func New(config Config) *Chooser {
	return &Chooser{
		config: config, table: NewTable(config.Zone), intake: NewIntake(config.Memory),
		stats: Stats{Passed: map[mulberrybeam.HelperOutcome]int64{}},
	}
}

// Hear records a datagram of another host.
func (c *Chooser) Hear(id mulberrybeam.ProcessID, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.Hear(c.config.Now(), id, isolated)
}

// Begin implements mulberrybeam.Helpers.
func (c *Chooser) Begin(random *rand.Rand, tried []mulberrybeam.ProcessID) (mulberrybeam.Helper, bool) {
	fleet := c.config.Fleet()
	if fleet == nil {
		return mulberrybeam.Helper{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.fleet != fleet {
		c.fleet, c.helpers = fleet, helpersOf(fleet, c.config.Self)
	}
	return c.table.Begin(c.config.Now(), random, c.helpers, tried)
}

// Answer implements mulberrybeam.Helpers.
func (c *Chooser) Answer(id mulberrybeam.ProcessID, helped bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.Answer(c.config.Now(), id, helped)
}

// End implements mulberrybeam.Helpers.
func (c *Chooser) End(id mulberrybeam.ProcessID, answered bool, outcome mulberrybeam.HelperOutcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stats.Passed[outcome]++
	c.table.End(c.config.Now(), id, answered, outcome)
}

// Accept counts a request of another host with a body of this size, or returns false if
// there is no room. Release must be called once it has ended.
func (c *Chooser) Accept(bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.intake.Begin(bytes) {
		c.stats.Refused++
		return false
	}
	c.stats.Accepted++
	return true
}

// Release frees the room of a request.
func (c *Chooser) Release(bytes int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.intake.End(bytes)
}

// Stats returns the current counts. The map must not be changed.
func (c *Chooser) Stats() Stats {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stats := c.stats
	stats.Passed = map[mulberrybeam.HelperOutcome]int64{}
	for outcome, count := range c.stats.Passed {
		stats.Passed[outcome] = count
	}
	stats.Running = int64(c.intake.Requests)
	return stats
}

// Reports returns how many hosts were heard of lately, and how many of them said that they
// reach no target.
func (c *Chooser) Reports() (heard, isolated int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.table.Reports(c.config.Now())
}

// RemoveIdle removes the state of hosts that are gone.
func (c *Chooser) RemoveIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RemoveIdle(c.config.Now())
}

// helpersOf returns the other registered hosts with the addresses at which they take
// requests: the port after that of the peer address.
func helpersOf(fleet *mulberrybeam.Fleet, self mulberrybeam.ProcessID) []mulberrybeam.Helper {
	helpers := make([]mulberrybeam.Helper, 0, len(fleet.Peers))
	for _, peer := range fleet.Peers {
		host, text, err := net.SplitHostPort(peer.Address)
		if err != nil || peer.ID == self {
			continue
		}
		port, err := strconv.Atoi(text)
		if err != nil {
			continue
		}
		helpers = append(helpers, mulberrybeam.Helper{ID: peer.ID, Zone: peer.Zone, Address: net.JoinHostPort(host, strconv.Itoa(port+1))})
	}
	return helpers
}
