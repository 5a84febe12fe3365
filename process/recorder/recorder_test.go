package recorder_test

import (
	"fmt"
	"sync"
	"testing"

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
