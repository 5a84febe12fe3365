package wavescheduler

import (
	"cmp"
	"slices"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Schedule holds the waves of one model and version while engines register, leave
// and load the version. A change costs the search of one engine in the order, where
// CurrentAndNextWave orders all engines.
type Schedule struct {
	key     string
	version int
	// engines maps all engines of the model to their versions.
	engines map[mulberrybeam.InstanceID]int
	// outdated are the engines that lack the version, in the order of the version.
	// Those in added are yet to be sorted in.
	outdated []rankedEngine
	added    []rankedEngine
}

type rankedEngine struct {
	id    mulberrybeam.InstanceID
	score uint64
}

// NewSchedule returns the schedule of a model and version without engines.
func NewSchedule(model mulberrybeam.ModelName, version int) *Schedule {
	return &Schedule{key: orderKey(model, version), version: version, engines: map[mulberrybeam.InstanceID]int{}}
}

// Set adds an engine or changes its version.
func (s *Schedule) Set(engine Engine) {
	current, known := s.engines[engine.ID]
	s.engines[engine.ID] = engine.Version
	wasOutdated, isOutdated := known && current < s.version, engine.Version < s.version
	switch {
	case isOutdated && !wasOutdated:
		s.added = append(s.added, s.rank(engine.ID))
	case wasOutdated && !isOutdated:
		s.removeOutdated(engine.ID)
	}
}

// Remove removes an engine.
func (s *Schedule) Remove(id mulberrybeam.InstanceID) {
	current, known := s.engines[id]
	delete(s.engines, id)
	if known && current < s.version {
		s.removeOutdated(id)
	}
}

// CurrentWave returns the engines of the current wave.
func (s *Schedule) CurrentWave() []mulberrybeam.InstanceID {
	return s.firstWaves(1)
}

// CurrentAndNextWave returns the engines of the current and the next wave.
func (s *Schedule) CurrentAndNextWave() []mulberrybeam.InstanceID {
	return s.firstWaves(drainingWaves)
}

func (s *Schedule) firstWaves(waves int) []mulberrybeam.InstanceID {
	s.sortAdded()
	count := min(waves*waveSize(len(s.engines)), len(s.outdated))
	wave := make([]mulberrybeam.InstanceID, count)
	for i, engine := range s.outdated[:count] {
		wave[i] = engine.id
	}
	return wave
}

func (s *Schedule) rank(id mulberrybeam.InstanceID) rankedEngine {
	return rankedEngine{id, ranker.Score(s.key, string(id))}
}

func (s *Schedule) removeOutdated(id mulberrybeam.InstanceID) {
	s.sortAdded()
	if at, found := slices.BinarySearchFunc(s.outdated, s.rank(id), compareRanks); found {
		s.outdated = slices.Delete(s.outdated, at, at+1)
	}
}

// sortAdded sorts the added engines into the order, one by one if there are few.
func (s *Schedule) sortAdded() {
	const maxInsertions = 16
	if len(s.added) > maxInsertions {
		s.outdated = append(s.outdated, s.added...)
		slices.SortFunc(s.outdated, compareRanks)
	} else {
		for _, engine := range s.added {
			at, _ := slices.BinarySearchFunc(s.outdated, engine, compareRanks)
			s.outdated = slices.Insert(s.outdated, at, engine)
		}
	}
	s.added = s.added[:0]
}

// compareRanks orders engines as ranker.Top does.
func compareRanks(a, b rankedEngine) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}
