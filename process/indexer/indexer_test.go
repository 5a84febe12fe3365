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

func key(number int) (key mulberrybeam.BlockKey) {
	// Multiplied by an odd number so that keys are spread like hashes.
	binary.BigEndian.PutUint64(key[:], uint64(number)*0x9E3779B97F4A7C15)
	return key
}

func chain(first, count int) []mulberrybeam.BlockKey {
	keys := make([]mulberrybeam.BlockKey, count)
	for i := range keys {
		keys[i] = key(first + i)
	}
	return keys
}

// model is the same index without bounds, one set of blocks for each target.
type model struct {
	*rapid.T
	index    *indexer.Indexer
	held     map[mulberrybeam.TargetID]map[mulberrybeam.BlockKey]bool
	sequence map[mulberrybeam.TargetID]uint64
	restarts map[mulberrybeam.TargetID]int
}

func (m *model) keys(label string) []mulberrybeam.BlockKey {
	return chain(rapid.IntRange(1, 4).Draw(m.T, label), rapid.IntRange(0, 4).Draw(m.T, label+" count"))
}

// instance names the instance of a target some restarts back.
func (m *model) instance(target mulberrybeam.TargetID, back int) mulberrybeam.InstanceID {
	return mulberrybeam.InstanceID(fmt.Sprint(target, "/", m.restarts[target]-back))
}

func (m *model) drop(target mulberrybeam.TargetID) {
	m.held[target] = map[mulberrybeam.BlockKey]bool{}
}

func (m *model) sent(target mulberrybeam.TargetID) {
	keys := m.keys("sent")
	m.index.Sent(target, m.instance(target, 0), keys)
	for _, key := range keys {
		m.held[target][key] = true
	}
}

// apply gives the index an event some steps after the last one. A step of 0
// repeats the last number, one above 1 makes a gap.
func (m *model) apply(target mulberrybeam.TargetID, step uint64) {
	event := mulberrybeam.CacheEvent{Target: target, Instance: m.instance(target, 0), Sequence: m.sequence[target] + step, Stored: m.keys("stored"), Removed: m.keys("removed")}
	m.index.Apply(event)
	if step == 0 {
		return
	}
	if step > 1 {
		m.drop(target)
	}
	m.sequence[target] = event.Sequence
	for _, key := range event.Removed {
		delete(m.held[target], key)
	}
	for _, key := range event.Stored {
		m.held[target][key] = true
	}
}

func (m *model) restart(target mulberrybeam.TargetID) {
	m.restarts[target]++
	m.sequence[target] = 0
	m.drop(target)
	m.index.Sent(target, m.instance(target, 0), nil)
}

func (m *model) check(targets []mulberrybeam.TargetID) {
	keys := m.keys("looked up")
	longest := 0
	for _, target := range targets {
		leading := 0
		for i, key := range keys {
			if m.held[target][key] {
				longest = max(longest, i+1)
				if leading == i {
					leading++
				}
			}
		}
		if got := m.index.CachedBlocks(target, keys); got != leading {
			m.Fatalf("target %s: %d blocks cached, want %d", target, got, leading)
		}
	}
	for _, target := range targets {
		want := longest > 0 && m.held[target][keys[longest-1]]
		if slices.Contains(m.index.Holders(keys), target) != want {
			m.Fatalf("target %s is a holder: want %v", target, want)
		}
	}
}

// Guards against beliefs that outlive a gap, a restart or a removal, and
// against beliefs that are lost or appear without a cause.
func TestIndexMatchesAModelWithoutBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			T: t, index: indexer.New(),
			held:     map[mulberrybeam.TargetID]map[mulberrybeam.BlockKey]bool{},
			sequence: map[mulberrybeam.TargetID]uint64{},
			restarts: map[mulberrybeam.TargetID]int{},
		}
		targets := []mulberrybeam.TargetID{"a", "b", "c"}
		for _, target := range targets {
			m.restart(target)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			target := rapid.SampledFrom(targets).Draw(t, "target")
			switch rapid.SampledFrom([]string{"sent", "event", "duplicate", "gap", "restart", "stale", "drop"}).Draw(t, "step") {
			case "sent":
				m.sent(target)
			case "event":
				m.apply(target, 1)
			case "duplicate":
				m.apply(target, 0)
			case "gap":
				m.apply(target, 2)
			case "restart":
				m.restart(target)
			case "stale":
				if m.restarts[target] > 1 { // no instance came before the first
					m.index.Apply(mulberrybeam.CacheEvent{Target: target, Instance: m.instance(target, 1), Sequence: 99, Stored: m.keys("stale")})
				}
			case "drop":
				m.drop(target)
				m.index.Drop(target)
			}
			m.check(targets)
		}
	})
}

// Guards against unbounded memory, and against dropping the beginning of a
// context before its end.
func TestFullIndexDropsTheOldestEndFirst(t *testing.T) {
	is := is.New(t)
	index := indexer.New(indexer.WithBlocks(6))
	index.Sent("a", "1", chain(0, 4))
	index.Sent("a", "1", chain(100, 4))
	is.Equal(index.Blocks(), 6)
	is.Equal(index.CachedBlocks("a", chain(0, 4)), 2)
	is.Equal(index.CachedBlocks("a", chain(100, 4)), 4)
	index.Forget("a")
	is.Equal(index.CachedBlocks("a", chain(100, 4)), 0)
	is.Equal(len(index.Holders(chain(100, 4))), 0)
}

// Guards against a block that keeps only its first holders.
func TestBlockKeepsItsLatestHolders(t *testing.T) {
	is := is.New(t)
	index := indexer.New()
	for i := range indexer.MaxHolders + 3 {
		index.Sent(mulberrybeam.TargetID(fmt.Sprint(i)), "1", chain(0, 1))
	}
	holders := index.Holders(chain(0, 1))
	is.Equal(len(holders), indexer.MaxHolders)
	is.Equal(holders[0], mulberrybeam.TargetID(fmt.Sprint(indexer.MaxHolders+2)))
}

// Guards against an own send that is believed for good where no cache events
// tell that the target removed the block, and against a belief that ends where
// they would tell.
func TestOwnSendsAreBelievedForAWhileWithoutEvents(t *testing.T) {
	is := is.New(t)
	now := time.Second
	index := indexer.New(indexer.WithClock(func() time.Duration { return now }))
	keys := chain(1, 3)
	index.Sent("a", "1", keys)
	index.Sent("b", "1", keys)
	now += indexer.BeliefTime
	is.Equal(index.CachedBlocks("a", keys), 3)
	now += 2 * time.Second
	index.Follow("b")
	is.Equal(index.CachedBlocks("a", keys), 0)
	is.Equal(index.CachedBlocks("b", keys), 3)
	is.Equal(index.Holders(keys), []mulberrybeam.TargetID{"b"})
	now += indexer.FollowTime + time.Second
	is.Equal(index.CachedBlocks("b", keys), 0)
	index.Sent("a", "1", keys)
	is.Equal(index.CachedBlocks("a", keys), 3)
}

// BenchmarkEntry reports the memory of one block in an index of 1,000,000.
func BenchmarkEntry(b *testing.B) {
	const blocks = 1_000_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := filled(blocks)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks, "bytes/block")
		runtime.KeepAlive(index)
	}
}

func filled(blocks int) *indexer.Indexer {
	index := indexer.New(indexer.WithBlocks(blocks))
	for i := 0; i < blocks; i += 16 {
		index.Sent(mulberrybeam.TargetID(fmt.Sprint(i/16%640)), "1", chain(i, 16))
	}
	return index
}

func BenchmarkLookUp(b *testing.B) {
	for _, blocks := range []int{1 << 14, 1 << 18, 1 << 20} {
		index := filled(blocks)
		keys := chain(16*640, 16)
		run := func(name string, look func()) {
			b.Run(fmt.Sprintf("%s/blocks=%d", name, blocks), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					look()
				}
			})
		}
		run("cached-16-of-16", func() { index.CachedBlocks("0", keys) })
		run("cached-0-of-16", func() { index.CachedBlocks("1", keys) })
		run("holders", func() { index.Holders(keys) })
		run("sent-16", func() { index.Sent("0", "1", keys) })
	}
}
