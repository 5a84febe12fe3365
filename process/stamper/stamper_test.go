package stamper_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

// Guards against a stamp that does not exceed an earlier one, whatever the wall
// clock and the stamps of other processes.
func TestStampsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := stamper.New("a/1")
		last := mulberrybeam.Stamp{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			wall := time.UnixMilli(rapid.Int64Range(0, 5000).Draw(t, "wall"))
			if rapid.Bool().Draw(t, "sees") {
				seen := mulberrybeam.Stamp{
					Wall:    rapid.Int64Range(0, 5000).Draw(t, "seen"),
					Counter: rapid.SampledFrom([]uint32{0, 1, math.MaxUint32}).Draw(t, "counter"),
					Process: "z/9",
				}
				if clock.Update(seen, wall) && stamper.Compare(seen, last) > 0 {
					last = seen
				}
			}
			next := clock.Next(wall)
			if stamper.Compare(next, last) <= 0 {
				t.Fatalf("stamp %v is not greater than %v", next, last)
			}
			last = next
		}
	})
}

// Guards against one wrong wall clock that advances the clocks of the others.
func TestStampFarAheadIsIgnored(t *testing.T) {
	is := is.New(t)
	clock := stamper.New("a/1")
	wall := time.UnixMilli(1_000_000)
	ahead := mulberrybeam.Stamp{Wall: wall.Add(stamper.MaxClockSkew + time.Second).UnixMilli()}
	is.True(!clock.Update(ahead, wall))
	is.Equal(clock.Next(wall).Wall, wall.UnixMilli())
}
