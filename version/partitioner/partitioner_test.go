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

func tables(engines int) *mulberrybeam.Tables {
	var list []mulberrybeam.TargetID
	for i := range engines {
		list = append(list, mulberrybeam.TargetID(fmt.Sprint("engine-", i)))
	}
	return &mulberrybeam.Tables{EnginesByModel: map[mulberrybeam.ModelName][]mulberrybeam.TargetID{"m": list}}
}

func key(partition int) (key mulberrybeam.BlockKey) {
	binary.BigEndian.PutUint64(key[:], uint64(partition))
	return key
}

// Guards against contexts that move between engines that stay when another
// engine leaves.
func TestOnlyThePartitionsOfARemovedEngineMove(t *testing.T) {
	before := partitioner.New(tables(20), nil)
	after := partitioner.New(tables(19), before)
	for number := range partitioner.Partitions {
		first, second := before.Pair("m", key(number))
		newFirst, newSecond := after.Pair("m", key(number))
		ok := newFirst == first && newSecond == second
		switch mulberrybeam.TargetID("engine-19") {
		case first:
			ok = newFirst == second
		case second:
			ok = newFirst == first
		}
		if !ok || first == second || second == "" {
			t.Fatalf("partition %d had %q and %q, has %q and %q", number, first, second, newFirst, newSecond)
		}
	}
}

// Guards against one engine that is first for far more contexts than others,
// and against a race between goroutines that derive pairs.
func TestPartitionsAreSpreadOverAllEngines(t *testing.T) {
	const workers = 4
	p := partitioner.New(tables(640), nil)
	var first [partitioner.Partitions]mulberrybeam.TargetID
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for number := worker; number < partitioner.Partitions; number += workers {
				first[number], _ = p.Pair("m", key(number))
			}
		})
	}
	group.Wait()
	firsts := map[mulberrybeam.TargetID]int{}
	for _, engine := range first {
		firsts[engine]++
	}
	for engine, count := range firsts {
		if count >= 2*partitioner.Partitions/640 { // the bound that Partitions states
			t.Errorf("engine %s is first in %d partitions", engine, count)
		}
	}
	is.New(t).Equal(len(firsts), 640)
}

// Guards against an index out of range when a model has no or one engine.
func TestFewerEnginesThanAPair(t *testing.T) {
	is := is.New(t)
	first, second := partitioner.New(tables(0), nil).Pair("m", key(1))
	is.Equal(first+second, mulberrybeam.TargetID(""))
	first, second = partitioner.New(tables(1), nil).Pair("m", key(1))
	is.Equal(first, mulberrybeam.TargetID("engine-0"))
	is.Equal(second, mulberrybeam.TargetID(""))
	first, _ = partitioner.New(tables(1), nil).Pair("unknown", key(1))
	is.Equal(first, mulberrybeam.TargetID(""))
}
