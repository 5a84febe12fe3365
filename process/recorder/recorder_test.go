package recorder_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/recorder"
)

// Guards against a timeline that exceeds its capacity, loses its newest
// entries, or is sorted by anything but the stamps.
func TestRingKeepsNewestSortedByStamp(t *testing.T) {
	is := is.New(t)
	observed := 0
	ring := recorder.New(recorder.WithCapacity(4), recorder.WithObserver(func(mulberrybeam.Entry) { observed++ }))
	for i, wall := range []int64{9, 1, 5, 3, 5, 4} {
		ring.Record(mulberrybeam.Entry{
			Stamp: mulberrybeam.Stamp{Wall: wall, Counter: uint32(10 - i)}, Text: fmt.Sprint(i),
		})
	}
	texts := ""
	for _, entry := range ring.Entries() {
		texts += entry.Text
	}
	is.Equal(texts, "3542") // the last four entries, sorted by wall time and counter
	is.Equal(observed, 6)
}

// Guards against entries lost or mixed up by concurrent calls to Record.
func TestConcurrentRecords(t *testing.T) {
	is := is.New(t)
	ring := recorder.New(recorder.WithCapacity(1000))
	var group sync.WaitGroup
	for process := range 10 {
		group.Go(func() {
			for i := range 100 {
				id := mulberrybeam.ProcessID(fmt.Sprint(process))
				ring.Record(mulberrybeam.Entry{Process: id, Subject: string(id), Stamp: mulberrybeam.Stamp{Counter: uint32(i)}})
			}
		})
	}
	group.Wait()
	entries := ring.Entries()
	is.Equal(len(entries), 1000)
	for _, entry := range entries {
		is.Equal(entry.Subject, string(entry.Process))
	}
}

// Guards against a timeline that exceeds the memory of the process because entries hold
// what other systems sent, and against long texts that cannot be told apart.
func TestLongTextsAreShortened(t *testing.T) {
	const limit = 2300
	is := is.New(t)
	ring := recorder.New(recorder.WithCapacity(2048), recorder.WithObserver(func(entry mulberrybeam.Entry) {
		is.True(len(entry.Text) <= limit)
	}))
	long := strings.Repeat("ä", 1<<19)
	for i := range 8 {
		end := fmt.Sprint(i)
		ring.Record(mulberrybeam.Entry{Request: mulberrybeam.RequestID(long + end), Subject: long + end, Text: long + end})
	}
	ring.Record(mulberrybeam.Entry{Text: "short"})
	entries := ring.Entries()
	is.Equal(entries[8].Text, "short")
	texts := map[string]bool{}
	for _, entry := range entries[:8] {
		is.True(len(entry.Request)+len(entry.Subject)+len(entry.Text) <= 3*limit)
		is.True(utf8.ValidString(entry.Text) && strings.HasPrefix(entry.Text, "ää"))
		texts[entry.Text] = true
	}
	is.Equal(len(texts), 8)
}
