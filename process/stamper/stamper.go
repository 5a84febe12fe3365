// Package stamper is a hybrid logical clock. It gives stamps that rise within
// a process and exceed every stamp the process has seen, and that stay close
// to wall time while the wall clocks of the fleet do.
package stamper

import (
	"cmp"
	"math"
	"time"

	"mulberrybeam"
)

// MaxAhead bounds how far a stamp of another process may be ahead of the own
// wall clock. Without a bound one process with a broken clock would push the
// clocks of all others ahead for good.
const MaxAhead = 10 * time.Minute

// Stamper is the clock of one process. It is not safe for concurrent use.
type Stamper struct {
	last mulberrybeam.Stamp
}

// New returns the clock of a process.
func New(process mulberrybeam.ProcessID) *Stamper {
	return &Stamper{last: mulberrybeam.Stamp{Process: process}}
}

// Next returns a stamp above all that were given or seen before.
func (s *Stamper) Next(wall time.Time) mulberrybeam.Stamp {
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

// See takes in a stamp of another process. It returns false, and takes
// nothing in, when the stamp is more than MaxAhead ahead of wall.
func (s *Stamper) See(stamp mulberrybeam.Stamp, wall time.Time) bool {
	if stamp.Wall > wall.Add(MaxAhead).UnixMilli() {
		return false
	}
	if stamp.Wall > s.last.Wall || stamp.Wall == s.last.Wall && stamp.Counter > s.last.Counter {
		s.last.Wall, s.last.Counter = stamp.Wall, stamp.Counter
	}
	return true
}

// Compare orders stamps. Stamps of two processes are equal only if they are
// the same stamp.
func Compare(a, b mulberrybeam.Stamp) int {
	return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.Process, b.Process))
}
