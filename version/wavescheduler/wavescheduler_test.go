package wavescheduler_test

import (
	"fmt"
	"math/rand/v2"
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

// Guards against a schedule that, after changes one by one, leaves out other engines
// than the processes that compute the waves from all engines.
func TestScheduleFollowsChanges(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	schedule := wavescheduler.NewSchedule("m", 5)
	current := map[mulberrybeam.InstanceID]int{}
	for range 3000 {
		for range 1 + random.IntN(30) {
			id := mulberrybeam.InstanceID(fmt.Sprint("e", random.IntN(200)))
			if random.IntN(4) == 0 {
				delete(current, id)
				schedule.Remove(id)
			} else {
				current[id] = 3 + random.IntN(4)
				schedule.Set(wavescheduler.Engine{ID: id, Version: current[id]})
			}
		}
		var engines []wavescheduler.Engine
		for id, version := range current {
			engines = append(engines, wavescheduler.Engine{ID: id, Version: version})
		}
		is.Equal(schedule.CurrentWave(), wavescheduler.CurrentWave("m", 5, engines))
		is.Equal(schedule.CurrentAndNextWave(), wavescheduler.CurrentAndNextWave("m", 5, engines))
	}
}
