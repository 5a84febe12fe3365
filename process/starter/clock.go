package starter

import (
	"time"

	"golang.org/x/sys/unix"
)

// newClock returns a function that returns the monotonic time since the call of
// newClock. It includes time during which the host is suspended, so that leases and
// confirmations of API keys keep aging meanwhile.
func newClock() func() time.Duration {
	start := bootTime()
	return func() time.Duration { return bootTime() - start }
}

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock cannot be missing: Linux has had it since 2.6.39.
		panic(err)
	}
	return time.Duration(now.Nano())
}
