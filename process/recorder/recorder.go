// Package recorder keeps the timeline of a process in a ring buffer, so that
// recording an entry takes constant time.
package recorder

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"mulberrybeam"
	"mulberrybeam/process/stamper"
)

// defaultCapacity holds the entries of about a minute of requests to one entry
// host in the largest deployment, four a second with a few entries each, and of
// an hour of control events.
const defaultCapacity = 8192

// Limits of the texts of an entry, in bytes. Texts may contain what other systems sent.
const (
	maxNameBytes = 256
	maxTextBytes = 2048
	// digestBytes is the length of the hash that tells longer texts apart.
	digestBytes = 8
)

// Ring is a timeline of bounded length. Its methods never block and are safe
// for concurrent use.
type Ring struct {
	stamp   func() mulberrybeam.Stamp
	observe func(mulberrybeam.Entry)
	next    atomic.Uint64
	entries []atomic.Pointer[mulberrybeam.Entry]
}

// Option configures a Ring.
type Option func(*Ring)

// WithCapacity sets the maximum number of entries.
func WithCapacity(entries int) Option {
	return func(r *Ring) { r.entries = make([]atomic.Pointer[mulberrybeam.Entry], entries) }
}

// WithStamp sets the clock for entries without a stamp.
func WithStamp(stamp func() mulberrybeam.Stamp) Option {
	return func(r *Ring) { r.stamp = stamp }
}

// WithObserver sets a function that is called with each recorded entry.
func WithObserver(observe func(mulberrybeam.Entry)) Option {
	return func(r *Ring) { r.observe = observe }
}

// New returns an empty timeline.
func New(options ...Option) *Ring {
	r := &Ring{}
	WithCapacity(defaultCapacity)(r)
	for _, option := range options {
		option(r)
	}
	return r
}

// Record adds an entry and drops the oldest if the ring is full.
func (r *Ring) Record(entry mulberrybeam.Entry) {
	if r.stamp != nil && entry.Stamp == (mulberrybeam.Stamp{}) {
		entry.Stamp = r.stamp()
	}
	entry.Request = mulberrybeam.RequestID(shorten(string(entry.Request), maxNameBytes))
	entry.Subject = shorten(entry.Subject, maxNameBytes)
	entry.Text = shorten(entry.Text, maxTextBytes)
	if r.observe != nil {
		r.observe(entry)
	}
	index := r.next.Add(1) - 1
	r.entries[index%uint64(len(r.entries))].Store(&entry)
}

// shorten returns a text of more than limit bytes as its beginning, its length and its
// hash, in a copy that does not keep the whole text in memory.
func shorten(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	digest := sha256.Sum256([]byte(text))
	return fmt.Sprintf("%s... (%d bytes, SHA-256 %x)", strings.ToValidUTF8(text[:limit], ""), len(text), digest[:digestBytes])
}

// Entries returns the entries sorted by stamp, so that a cause precedes its
// effects.
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
