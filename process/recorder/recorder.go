// Package recorder keeps the time line of a process in a bounded ring, so
// that recording costs the same whatever was recorded before.
package recorder

import (
	"slices"
	"sync/atomic"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

// defaultCapacity keeps about a minute of entries at the request rate of one
// entry host in the largest deployment, four requests a second with a few
// entries each, and an hour of control events.
const defaultCapacity = 8192

// Ring is a time line of bounded length. Its methods may be called from any
// goroutine and never block.
type Ring struct {
	stamp   func() mulberrybeam.Stamp
	observe func(mulberrybeam.Entry)
	next    atomic.Uint64
	entries []atomic.Pointer[mulberrybeam.Entry]
}

// Option sets a property of a Ring.
type Option func(*Ring)

// WithCapacity sets how many entries are kept.
func WithCapacity(entries int) Option {
	return func(r *Ring) { r.entries = make([]atomic.Pointer[mulberrybeam.Entry], entries) }
}

// WithStamp sets the source of stamps for entries that have none.
func WithStamp(stamp func() mulberrybeam.Stamp) Option {
	return func(r *Ring) { r.stamp = stamp }
}

// WithObserver calls a function with each recorded entry, for counters.
func WithObserver(observe func(mulberrybeam.Entry)) Option {
	return func(r *Ring) { r.observe = observe }
}

// New returns an empty time line.
func New(options ...Option) *Ring {
	r := &Ring{}
	WithCapacity(defaultCapacity)(r)
	for _, option := range options {
		option(r)
	}
	return r
}

// Record adds an entry and drops the oldest when the ring is full.
func (r *Ring) Record(entry mulberrybeam.Entry) {
	if r.stamp != nil && entry.Stamp == (mulberrybeam.Stamp{}) {
		entry.Stamp = r.stamp()
	}
	if r.observe != nil {
		r.observe(entry)
	}
	at := r.next.Add(1) - 1
	r.entries[at%uint64(len(r.entries))].Store(&entry)
}

// Entries returns the kept entries in the order of their stamps, which puts a
// cause before its effects.
func (r *Ring) Entries() []mulberrybeam.Entry {
	entries := make([]mulberrybeam.Entry, 0, len(r.entries))
	for i := range r.entries {
		if entry := r.entries[i].Load(); entry != nil {
			entries = append(entries, *entry)
		}
	}
	slices.SortStableFunc(entries, func(a, b mulberrybeam.Entry) int { return stamper.Compare(a.Stamp, b.Stamp) })
	return entries
}
