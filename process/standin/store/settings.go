// Package store is a fake of a context store over real HTTP, with a memory
// and a disk tier behind one link and with fault controls.
package store

import "time"

// Settings are the fixed properties of a store.
type Settings struct {
	// Address is "ip:port", or empty for an ephemeral loopback port.
	Address string
	// MemoryBytes and DiskBytes are the capacities of the tiers.
	MemoryBytes int64
	DiskBytes   int64
	// LinkRate is the bytes per second that all transfers share.
	LinkRate float64
	// DiskDelay is added to a read from disk.
	DiskDelay time.Duration
}

// Faults are the faults that can be set while the store runs. Counts that end
// in Next are used up by the calls that hit them.
type Faults struct {
	// Full refuses all data with 507.
	Full bool
	// LinkRate replaces the link's rate when above 0.
	LinkRate float64
	// Delay is added to every call.
	Delay time.Duration
	// CorruptNext changes a byte of the data read, TruncateNext breaks a
	// read off in the middle, FailNext answers with 500.
	CorruptNext  int
	TruncateNext int
	FailNext     int
}

// Option changes the settings of a store.
type Option func(*Settings)

// WithAddress sets the address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithCapacity sets the capacities of the tiers in bytes.
func WithCapacity(memory, disk int64) Option {
	return func(s *Settings) { s.MemoryBytes, s.DiskBytes = memory, disk }
}

// WithLinkRate sets the rate of the link in bytes per second.
func WithLinkRate(rate float64) Option {
	return func(s *Settings) { s.LinkRate = rate }
}

func defaults() Settings {
	return Settings{
		MemoryBytes: 64 << 20, DiskBytes: 256 << 20,
		LinkRate: 100 << 20, DiskDelay: 5 * time.Millisecond,
	}
}
