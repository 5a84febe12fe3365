package partitioner_test

import (
	"encoding/binary"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/partitioner"
)

type pair struct{ first, second mulberrybeam.TargetID }

// allPairs returns the pairs of all partitions, computed by several goroutines.
func allPairs(engines int, previous *partitioner.Partitioner) ([]pair, *partitioner.Partitioner) {
	const workers = 4
	var list []mulberrybeam.TargetID
	for i := range engines {
		list = append(list, mulberrybeam.TargetID(fmt.Sprint("engine-", i)))
	}
	p := partitioner.New(&mulberrybeam.Tables{EnginesByModel: map[mulberrybeam.ModelName][]mulberrybeam.TargetID{"m": list}}, previous)
	found := make([]pair, partitioner.Partitions)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for number := worker; number < len(found); number += workers {
				var key mulberrybeam.BlockKey
				binary.BigEndian.PutUint64(key[:], uint64(number))
				found[number].first, found[number].second = p.Pair("m", key)
			}
		})
	}
	group.Wait()
	return found, p
}

// Guards against keys that move between the remaining engines when another is
// removed, and against cached pairs of an outdated engine list.
func TestOnlyThePartitionsOfARemovedEngineMove(t *testing.T) {
	before, previous := allPairs(20, nil)
	after, _ := allPairs(19, previous)
	for partition, previousPair := range before {
		currentPair := after[partition]
		ok := currentPair == previousPair
		switch mulberrybeam.TargetID("engine-19") {
		case previousPair.first:
			ok = currentPair.first == previousPair.second
		case previousPair.second:
			ok = currentPair.first == previousPair.first
		}
		if !ok || previousPair.first == previousPair.second || previousPair.second == "" {
			t.Fatalf("partition %d changed from %v to %v", partition, previousPair, currentPair)
		}
	}
}

// Guards against an engine that is first for far more keys than others, and
// against an index out of range when a model has fewer than two engines.
func TestPartitionsAreSpreadOverAllEngines(t *testing.T) {
	is := is.New(t)
	for engines, want := range map[int]pair{0: {}, 1: {first: "engine-0"}} {
		few, p := allPairs(engines, nil)
		is.Equal(few[7], want)
		first, _ := p.Pair("unknown", mulberrybeam.BlockKey{})
		is.Equal(first, mulberrybeam.TargetID(""))
	}
	firsts := map[mulberrybeam.TargetID]int{}
	many, _ := allPairs(640, nil)
	for _, found := range many {
		firsts[found.first]++
	}
	is.Equal(len(firsts), 640)
	for engine, count := range firsts {
		if count >= 2*partitioner.Partitions/640 { // the limit that Partitions documents
			t.Errorf("engine %s is first in %d partitions", engine, count)
		}
	}
}
