package indexer_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/process/indexer"
)

// keyRange returns consecutive keys whose bytes are distributed like those of
// hashes.
func keyRange(first, count int) []mulberrybeam.BlockKey {
	keys := make([]mulberrybeam.BlockKey, count)
	for i := range keys {
		binary.BigEndian.PutUint64(keys[i][:], uint64(first+i)*0x9E3779B97F4A7C15)
	}
	return keys
}

// model is the expected state of one target in an index of unlimited size.
type model struct {
	target   mulberrybeam.TargetID
	held     map[mulberrybeam.BlockKey]bool
	sequence uint64
	restarts int
}

func (m *model) step(t *rapid.T, index *indexer.Indexer) {
	draw := func(label string) []mulberrybeam.BlockKey {
		return keyRange(rapid.IntRange(1, 4).Draw(t, label), rapid.IntRange(0, 4).Draw(t, label+" count"))
	}
	event := mulberrybeam.CacheEvent{Target: m.target, Instance: mulberrybeam.InstanceID(fmt.Sprint(m.restarts)), Sequence: m.sequence + 1, Removed: draw("removed"), Stored: draw("stored")}
	switch rapid.SampledFrom([]string{"event", "sent", "gap", "duplicate", "late", "restart", "drop"}).Draw(t, "step") {
	case "sent":
		index.RecordSent(0, m.target, event.Instance, event.Stored)
		event.Removed = nil
		event.Sequence = m.sequence
	case "gap":
		event.Sequence++
		m.held = map[mulberrybeam.BlockKey]bool{}
		index.Apply(0, event)
	case "duplicate":
		event.Sequence = m.sequence
		index.Apply(0, event)
		return
	case "late":
		event.Instance = mulberrybeam.InstanceID(fmt.Sprint(m.restarts - 1))
		index.Apply(0, event)
		return
	case "restart":
		m.restarts++
		*m = model{target: m.target, held: map[mulberrybeam.BlockKey]bool{}, restarts: m.restarts}
		index.RecordSent(0, m.target, mulberrybeam.InstanceID(fmt.Sprint(m.restarts)), nil)
		return
	case "drop":
		m.held = map[mulberrybeam.BlockKey]bool{}
		index.Invalidate(m.target)
		return
	default:
		index.Apply(0, event)
	}
	m.sequence = event.Sequence
	for _, key := range event.Removed {
		delete(m.held, key)
	}
	for _, key := range event.Stored {
		m.held[key] = true
	}
}

// The index must match a model of unlimited size: blocks are invalidated by a
// gap, a restart or a removal, and none are lost or appear otherwise.
func TestIndexMatchesAModelWithoutBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := indexer.New()
		var models []*model
		for _, target := range []mulberrybeam.TargetID{"a", "b", "c"} {
			for restart := range 2 { // so that there is a previous instance
				index.RecordSent(0, target, mulberrybeam.InstanceID(fmt.Sprint(restart)), nil)
			}
			models = append(models, &model{target: target, held: map[mulberrybeam.BlockKey]bool{}, restarts: 1})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			rapid.SampledFrom(models).Draw(t, "target").step(t, index)
			keys := keyRange(rapid.IntRange(1, 4).Draw(t, "first"), 4)
			firstMissing := func(m *model) int {
				return slices.IndexFunc(append(keys, mulberrybeam.BlockKey{}), func(key mulberrybeam.BlockKey) bool { return !m.held[key] })
			}
			longest := len(keys) - 1
			for longest >= 0 && !slices.ContainsFunc(models, func(m *model) bool { return m.held[keys[longest]] }) {
				longest--
			}
			for _, m := range models {
				if got, want := index.CachedBlocks(0, m.target, keys), firstMissing(m); got != want {
					t.Fatalf("CachedBlocks of target %s: got %d, want %d", m.target, got, want)
				}
				if got, want := slices.Contains(index.Holders(0, keys), m.target), longest >= 0 && m.held[keys[longest]]; got != want {
					t.Fatalf("Holders contains target %s: got %v, want %v", m.target, got, want)
				}
			}
		}
	})
}

// A full index must evict the least recently used block, and the end of a
// context before its beginning. A block must keep its latest holders, not its
// first ones.
func TestFullIndexEvictsTheOldest(t *testing.T) {
	is := is.New(t)
	index := indexer.New(indexer.WithMaxBlocks(6))
	index.RecordSent(0, "a", "1", keyRange(0, 4))
	index.RecordSent(0, "a", "1", keyRange(100, 4))
	is.Equal(index.Blocks(), 6)
	is.Equal(index.CachedBlocks(0, "a", keyRange(0, 4)), 2)
	is.Equal(index.CachedBlocks(0, "a", keyRange(100, 4)), 4)
	index.RemoveTarget("a")
	is.Equal(len(index.Holders(0, keyRange(100, 4))), 0)
	for _, target := range []mulberrybeam.TargetID{"b", "c", "d", "e", "f"} {
		index.RecordSent(0, target, "1", keyRange(0, 1))
	}
	is.Equal(index.Holders(0, keyRange(0, 1)), []mulberrybeam.TargetID{"f", "e", "d", "c"})
}

// A target whose events go to another process may have removed its blocks long
// ago. Entries older than the average residence of other targets' blocks must
// not count.
func TestEntriesOlderThanTheAverageResidenceDoNotCount(t *testing.T) {
	is := is.New(t)
	index := indexer.New()
	index.RecordSent(0, "a", "1", keyRange(0, 2))
	is.Equal(index.CachedBlocks(time.Hour, "a", keyRange(0, 2)), 2) // no removal seen yet
	index.Apply(0, mulberrybeam.CacheEvent{Target: "b", Instance: "1", Sequence: 1, Stored: keyRange(100, 1)})
	index.Apply(time.Minute, mulberrybeam.CacheEvent{Target: "b", Instance: "1", Sequence: 2, Removed: keyRange(100, 1)})
	is.Equal(index.AverageResidence(), time.Minute)
	is.Equal(index.CachedBlocks(time.Minute, "a", keyRange(0, 2)), 2)
	is.Equal(index.CachedBlocks(time.Hour, "a", keyRange(0, 2)), 0)
	is.Equal(len(index.Holders(time.Hour, keyRange(0, 2))), 0)
	index.RecordSent(time.Hour, "a", "1", keyRange(0, 2))
	is.Equal(index.CachedBlocks(time.Hour, "a", keyRange(0, 2)), 2)
}

// BenchmarkIndex measures the time of each operation on 16 keys and the memory
// per block, in an index of 1,048,576 blocks.
func BenchmarkIndex(b *testing.B) {
	const blocks = 1 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := indexer.New(indexer.WithMaxBlocks(blocks))
	for i := 0; i < blocks; i += 16 {
		index.RecordSent(0, mulberrybeam.TargetID(fmt.Sprint(i/16%640)), "1", keyRange(i, 16))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys := keyRange(16*640, 16)
	for name, run := range map[string]func(){
		"cached-16": func() { index.CachedBlocks(0, "0", keys) },
		"cached-0":  func() { index.CachedBlocks(0, "1", keys) },
		"holders":   func() { index.Holders(0, keys) },
		"sent":      func() { index.RecordSent(0, "0", "1", keys) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks, "bytes/block")
		})
	}
}

// A restarted target must not be chosen for blocks that its previous instance
// held.
func TestDescribesOnlyTheInstanceThatHeldTheBlocks(t *testing.T) {
	is := is.New(t)
	index := indexer.New()
	is.True(!index.Tracks("a", "i1"))
	index.RecordSent(0, "a", "i1", keyRange(0, 2))
	is.True(index.Tracks("a", "i1"))
	is.True(!index.Tracks("a", "i2"))
}
