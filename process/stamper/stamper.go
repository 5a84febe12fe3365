// Package stamper is a hybrid logical clock. Its stamps increase within a
// process, exceed every stamp that the process has seen, and stay close to wall
// time as long as the wall clocks of the fleet are close to each other.
package stamper

import (
	"cmp"
	"math"
	"time"

	"mulberrybeam"
)

// MaxClockSkew limits how far a stamp of another process may be ahead of the local
// wall clock. Without a limit, one process with a wrong clock would permanently
// advance the clocks of all others.
const MaxClockSkew = 10 * time.Minute

// Clock is the clock of one process. It is not safe for concurrent use.
type Clock struct {
	last mulberrybeam.Stamp
}

// New returns the clock of a process.
func New(process mulberrybeam.ProcessID) *Clock {
	return &Clock{last: mulberrybeam.Stamp{Process: process}}
}

// Next returns a stamp greater than all that were returned or seen before.
func (s *Clock) Next(wall time.Time) mulberrybeam.Stamp {
	millis := wall.UnixMilli()
	switch {
	case millis > s.last.Wall:
		s.last.Wall, s.last.Counter = millis, 0
	case s.last.Counter == math.MaxUint32:
		s.last.Wall, s.last.Counter = s.last.Wall+1, 0
	default:
		s.last.Counter++
	}
	return s.last
}

// Update advances the clock to a stamp of another process. If the stamp is more
// than MaxClockSkew ahead of wall, it is ignored and Update returns false.
func (s *Clock) Update(stamp mulberrybeam.Stamp, wall time.Time) bool {
	if stamp.Wall > wall.Add(MaxClockSkew).UnixMilli() {
		return false
	}
	if stamp.Wall > s.last.Wall || stamp.Wall == s.last.Wall && stamp.Counter > s.last.Counter {
		s.last.Wall, s.last.Counter = stamp.Wall, stamp.Counter
	}
	return true
}

// Compare orders stamps by wall time, counter and process. It returns 0 only
// for identical stamps.
func Compare(a, b mulberrybeam.Stamp) int {
	return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.Process, b.Process))
}
