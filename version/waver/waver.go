// Package waver decides which engines change over to new weights next, so that
// the process that orders them and those that route requests agree.
package waver

import (
	"fmt"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

const (
	// waves is the number of parts in which a model's engines change over.
	// Loads at once slow each other beyond a sixth of the engines.
	waves = 6
	// ahead is the number of waves that get no new requests, so that those of
	// the later ones have little left to finish when their turn comes.
	ahead = 2
)

// Engine is an engine and the version that it has.
type Engine struct {
	ID      mulberrybeam.InstanceID
	Version int
}

// Next returns the engines that change over now: those without the version
// that are first in its order, up to one wave of all engines. Every version has
// an order of its own, so that no engine always goes first.
func Next(model mulberrybeam.ModelName, version int, engines []Engine) []mulberrybeam.InstanceID {
	return first(1, model, version, engines)
}

// Leaving returns the engines that change over now or soon.
func Leaving(model mulberrybeam.ModelName, version int, engines []Engine) []mulberrybeam.InstanceID {
	return first(ahead, model, version, engines)
}

func first(count int, model mulberrybeam.ModelName, version int, engines []Engine) []mulberrybeam.InstanceID {
	key := fmt.Sprintf("%s %d", model, version)
	var old []mulberrybeam.InstanceID
	for _, engine := range engines {
		if engine.Version < version {
			old = append(old, engine.ID)
		}
	}
	return ranker.Top(key, old, count*((len(engines)+waves-1)/waves))
}
