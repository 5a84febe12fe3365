package wavescheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/wavescheduler"
)

// Guards against an upgrade that leaves too few engines in service, and against
// one that never reaches some engines.
func TestWavesCoverAllEngines(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 18, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			engines := make([]wavescheduler.Engine, count)
			for i := range engines {
				engines[i] = wavescheduler.Engine{ID: mulberrybeam.InstanceID(fmt.Sprint("e", i)), Version: 1}
			}
			for upgraded := 0; upgraded < count; {
				next := wavescheduler.CurrentWave("m", 2, engines)
				is.True(len(next) > 0)
				is.Equal(wavescheduler.CurrentAndNextWave("m", 2, engines)[:len(next)], next)
				is.True(len(next) <= (count+5)/6)
				for i := range engines {
					if slices.Contains(next, engines[i].ID) {
						engines[i].Version = 2
						upgraded++
					}
				}
			}
			is.Equal(len(wavescheduler.CurrentWave("m", 2, engines)), 0)
		})
	}
}

// Guards against processes that disagree on the waves because they list the
// engines in different orders.
func TestWavesDoNotDependOnListOrder(t *testing.T) {
	is := is.New(t)
	engines := []wavescheduler.Engine{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 2}}
	want := wavescheduler.CurrentWave("m", 2, engines)
	slices.Reverse(engines)
	is.Equal(wavescheduler.CurrentWave("m", 2, engines), want)
}
