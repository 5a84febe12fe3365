// Package store provides a fake context store that listens on a real HTTP port.
// It has a memory tier and a disk tier behind one link and supports fault
// injection.
package store

import "time"

// Settings configures a store. It does not change after the start.
type Settings struct {
	// Address is the listen address as "ip:port". If empty, the store uses
	// an ephemeral loopback port.
	Address string
	// MemoryBytes and DiskBytes are the capacities of the two tiers.
	MemoryBytes int64
	DiskBytes   int64
	// LinkRate is the bandwidth in bytes per second that all transfers
	// share.
	LinkRate float64
	// DiskDelay is added to each read from the disk tier.
	DiskDelay time.Duration
}

// Faults holds the faults to inject, which can change while the store runs. A
// field whose name ends in Next is the number of upcoming calls to affect and
// decreases by one with each.
type Faults struct {
	// Full makes the store refuse all new data with status 507.
	Full bool
	// LinkRate replaces Settings.LinkRate if above 0.
	LinkRate float64
	// Delay is added to every call.
	Delay time.Duration
	// CorruptNext flips a bit in the data of a read, TruncateNext closes
	// the connection halfway through a read, and FailNext responds with
	// status 500.
	CorruptNext  int
	TruncateNext int
	FailNext     int
}

// Option modifies the settings of a store before it starts.
type Option func(*Settings)

// WithAddress sets the listen address.
func WithAddress(address string) Option {
	return func(s *Settings) { s.Address = address }
}

// WithCapacity sets the capacities of the tiers in bytes.
func WithCapacity(memory, disk int64) Option {
	return func(s *Settings) { s.MemoryBytes, s.DiskBytes = memory, disk }
}

// WithLinkRate sets the bandwidth of the link in bytes per second.
func WithLinkRate(rate float64) Option {
	return func(s *Settings) { s.LinkRate = rate }
}

func defaults() Settings {
	return Settings{
		MemoryBytes: 64 << 20, DiskBytes: 256 << 20,
		LinkRate: 100 << 20, DiskDelay: 5 * time.Millisecond,
	}
}
