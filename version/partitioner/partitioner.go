// Package partitioner assigns two engines to each context key by rendezvous
// hashing and caches the result, so that a request does not have to score all
// engines.
//
// The key space is divided into a fixed number of partitions, each of which has
// a pair of engines. All processes with the same engines compute the same pairs.
// Adding or removing an engine changes only the partitions that it gains or
// loses.
package partitioner

import (
	"encoding/binary"
	"slices"
	"strconv"
	"sync/atomic"

	"mulberrybeam"
	"mulberrybeam/version/ranker"
)

// Partitions is the number of partitions of the key space. With 640 engines,
// each is first in 26 partitions on average, and the busiest one in less than
// twice as many.
const Partitions = 1 << 14

// Partitioner has the pairs of one revision, each computed on first use. It is
// safe for concurrent use.
type Partitioner struct {
	// Tables are the tables of the revision.
	Tables       *mulberrybeam.Tables
	pairsByModel map[mulberrybeam.ModelName]*pairTable
}

// pairTable caches the pairs of one model. A cell has the positions of the two
// engines in engines, counted from 1, that of the first engine in the upper 32
// bits. 0 in a half means no engine, and a cell of 0 is not computed yet.
type pairTable struct {
	engines []mulberrybeam.TargetID
	cells   [Partitions]atomic.Uint64
}

// New returns a partitioner for tables. It reuses the pairs of previous, which
// may be nil, for models whose engines are unchanged.
func New(tables *mulberrybeam.Tables, previous *Partitioner) *Partitioner {
	p := &Partitioner{Tables: tables, pairsByModel: make(map[mulberrybeam.ModelName]*pairTable, len(tables.EnginesByModel))}
	for model, engines := range tables.EnginesByModel {
		if previous != nil {
			if known := previous.pairsByModel[model]; known != nil && slices.Equal(known.engines, engines) {
				p.pairsByModel[model] = known
				continue
			}
		}
		p.pairsByModel[model] = &pairTable{engines: engines}
	}
	return p
}

// Pair returns the two engines for a key, the preferred one first. One or both
// are empty if the model has fewer than two engines.
func (p *Partitioner) Pair(model mulberrybeam.ModelName, key mulberrybeam.BlockKey) (first, second mulberrybeam.TargetID) {
	table := p.pairsByModel[model]
	if table == nil || len(table.engines) == 0 {
		return "", ""
	}
	// Keys are hash values, so any of their bits are evenly distributed.
	partition := binary.BigEndian.Uint64(key[:8]) % Partitions
	cell := table.cells[partition].Load()
	if cell == 0 {
		cell = table.compute(partition)
		table.cells[partition].Store(cell)
	}
	first = table.engines[cell>>32-1]
	if position := uint32(cell); position != 0 {
		second = table.engines[position-1]
	}
	return first, second
}

func (t *pairTable) compute(partition uint64) uint64 {
	var cell uint64
	top := ranker.Top(strconv.FormatUint(partition, 10), t.engines, 2)
	for i, engine := range top {
		position := uint64(slices.Index(t.engines, engine) + 1)
		cell |= position << (32 * (1 - i))
	}
	return cell
}
