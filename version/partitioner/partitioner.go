// Package partitioner keeps the rendezvous pairs of one revision's engines, so
// that a request finds the two engines of its context without scoring all of
// them.
//
// The key space is divided into a fixed number of partitions, and rendezvous
// hashing assigns two engines to each. All processes with the same engines
// derive the same pairs. Engines that come or go move only the partitions
// that they gain or lose.
package partitioner

import (
	"encoding/binary"
	"slices"
	"strconv"
	"sync/atomic"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Partitions is the number of parts of the key space. At 640 engines each
// engine is first in 26 of them on average, so that the busiest one has less
// than twice the average.
const Partitions = 1 << 14

// Partitioner has the pairs of one revision. Pairs are derived at their first
// use. It may be used by several goroutines.
type Partitioner struct {
	// Tables are the tables the pairs belong to.
	Tables *mulberrybeam.Tables
	models map[mulberrybeam.ModelName]*pairs
}

// pairs holds for each partition the two engines as indexes into engines,
// plus 1, the first in the upper half. 0 is not derived yet.
type pairs struct {
	engines []mulberrybeam.TargetID
	cells   [Partitions]atomic.Uint64
}

// New returns the pairs for tables. Those of models whose engines are the same
// in previous, which may be nil, are taken over.
func New(tables *mulberrybeam.Tables, previous *Partitioner) *Partitioner {
	p := &Partitioner{Tables: tables, models: make(map[mulberrybeam.ModelName]*pairs, len(tables.EnginesByModel))}
	for model, engines := range tables.EnginesByModel {
		if previous != nil {
			if old := previous.models[model]; old != nil && slices.Equal(old.engines, engines) {
				p.models[model] = old
				continue
			}
		}
		p.models[model] = &pairs{engines: engines}
	}
	return p
}

// Pair returns the engines of the partition of a key, the preferred one
// first. One or both are empty when the model has fewer engines.
func (p *Partitioner) Pair(model mulberrybeam.ModelName, key mulberrybeam.BlockKey) (first, second mulberrybeam.TargetID) {
	of := p.models[model]
	if of == nil || len(of.engines) == 0 {
		return "", ""
	}
	// Keys are hash values, so any of their bits divide them evenly.
	number := binary.BigEndian.Uint64(key[:8]) % Partitions
	cell := of.cells[number].Load()
	if cell == 0 {
		cell = of.derive(number)
		of.cells[number].Store(cell)
	}
	first = of.engines[cell>>32-1]
	if place := uint32(cell); place != 0 {
		second = of.engines[place-1]
	}
	return first, second
}

func (of *pairs) derive(number uint64) uint64 {
	var cell uint64
	top := ranker.Top(strconv.FormatUint(number, 10), of.engines, 2)
	for i, engine := range top {
		place := uint64(slices.Index(of.engines, engine) + 1)
		cell |= place << (32 * (1 - i))
	}
	return cell
}
