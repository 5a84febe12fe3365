// Package wavescheduler divides the engines of a model into the waves in which they
// load new weights. All processes compute the same waves, so the process that
// orders the loads and those that route requests agree.
package wavescheduler

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// waveCount is the number of waves in which the engines of a model are
	// upgraded. When more than a sixth of the engines load at the same time,
	// the loads slow each other down.
	waveCount = 6
	// drainingWaves is the number of waves, from the current one, whose engines
	// get no new requests, so that engines have few runs left when their wave
	// begins.
	drainingWaves = 2
)

// Engine is an engine with its current weight version.
type Engine struct {
	ID      mulberrybeam.InstanceID
	Version int
}

// CurrentWave returns the engines of the current wave: the first ones in the order of
// the version that do not have it yet, up to the size of one wave. Each version
// has its own order, so that no engine is always upgraded first.
func CurrentWave(model mulberrybeam.ModelName, version int, engines []Engine) []mulberrybeam.InstanceID {
	return firstWaves(1, model, version, engines)
}

// CurrentAndNextWave returns the engines of the current and the next wave.
func CurrentAndNextWave(model mulberrybeam.ModelName, version int, engines []Engine) []mulberrybeam.InstanceID {
	return firstWaves(drainingWaves, model, version, engines)
}

func firstWaves(waves int, model mulberrybeam.ModelName, version int, engines []Engine) []mulberrybeam.InstanceID {
	var outdated []mulberrybeam.InstanceID
	for _, engine := range engines {
		if engine.Version < version {
			outdated = append(outdated, engine.ID)
		}
	}
	return ranker.Top(orderKey(model, version), outdated, waves*waveSize(len(engines)))
}

// orderKey returns the rendezvous key for the order of the engines.
func orderKey(model mulberrybeam.ModelName, version int) string {
	return fmt.Sprintf("%s %d", model, version)
}

// waveSize returns the number of engines of one wave.
func waveSize(engines int) int {
	return (engines + waveCount - 1) / waveCount
}
