package stamper_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

// Guards against two goroutines that get the same stamp, and against stamps
// that do not exceed a stamp that was seen.
func TestSharedStampsAreUniqueAndIncrease(t *testing.T) {
	is := is.New(t)
	clock := stamper.NewConcurrent("h/1")
	wall := time.UnixMilli(1_900_000_000_000)
	var mutex sync.Mutex
	seen := map[mulberrybeam.Stamp]bool{}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			var last mulberrybeam.Stamp
			for range 1000 {
				stamp := clock.Next(wall)
				mutex.Lock()
				if seen[stamp] || stamper.Compare(stamp, last) <= 0 {
					t.Errorf("stamp %v after %v is a duplicate or not greater", stamp, last)
				}
				seen[stamp] = true
				mutex.Unlock()
				last = stamp
			}
		})
	}
	group.Wait()

	ahead := mulberrybeam.Stamp{Wall: wall.UnixMilli() + 5000, Counter: 7, Process: "h/2"}
	clock.Update(ahead, wall)
	is.True(stamper.Compare(clock.Next(wall), ahead) > 0)
	tooFarAhead := mulberrybeam.Stamp{Wall: wall.Add(time.Hour).UnixMilli()}
	clock.Update(tooFarAhead, wall)
	is.True(stamper.Compare(clock.Next(wall), tooFarAhead) < 0)
}
