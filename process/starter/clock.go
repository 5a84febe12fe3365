package starter

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock returns monotonic time since the call. It counts the time for which the
// host is suspended, so that leases and what is known of keys age meanwhile.
func clock() func() time.Duration {
	start := bootTime()
	return func() time.Duration { return bootTime() - start }
}

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(now.Nano())
}
