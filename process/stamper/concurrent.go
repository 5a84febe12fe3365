package stamper

import (
	"sync/atomic"
	"time"

	"mulberrybeam"
)

// counterBits leaves 44 bits for milliseconds, enough until the year 2527. A
// counter that overflows carries into the milliseconds.
const counterBits = 20

// ConcurrentClock is a clock that is safe for concurrent use. It takes no lock, since
// control and request goroutines both stamp timeline entries.
type ConcurrentClock struct {
	process mulberrybeam.ProcessID
	last    atomic.Uint64
}

// NewConcurrent returns the clock of a process.
func NewConcurrent(process mulberrybeam.ProcessID) *ConcurrentClock {
	return &ConcurrentClock{process: process}
}

// Next returns a stamp greater than all that were returned or seen before.
func (s *ConcurrentClock) Next(wall time.Time) mulberrybeam.Stamp {
	physical := uint64(wall.UnixMilli()) << counterBits
	for {
		last := s.last.Load()
		next := max(last+1, physical)
		if s.last.CompareAndSwap(last, next) {
			return mulberrybeam.Stamp{
				Wall: int64(next >> counterBits), Counter: uint32(next & (1<<counterBits - 1)), Process: s.process,
			}
		}
	}
}

// Update advances the clock to a stamp of another process. A stamp that is more
// than MaxClockSkew ahead of wall is ignored.
func (s *ConcurrentClock) Update(stamp mulberrybeam.Stamp, wall time.Time) {
	if stamp.Wall > wall.Add(MaxClockSkew).UnixMilli() {
		return
	}
	seen := uint64(stamp.Wall)<<counterBits + uint64(min(stamp.Counter, 1<<counterBits-1))
	for {
		last := s.last.Load()
		if seen <= last || s.last.CompareAndSwap(last, seen) {
			return
		}
	}
}
