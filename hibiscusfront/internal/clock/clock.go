// Package clock provides the clock by which leases are measured.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"hibiscuslb/fleet"
)

// BootTime returns a clock that advances while the host is suspended, unlike the
// Go runtime's monotonic clock. It starts at one hour, so that the zero Instant
// is long past.
func BootTime() fleet.Clock {
	start := boottime() - time.Hour
	return func() fleet.Instant { return fleet.Instant(boottime() - start) }
}

func boottime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39. Without it, no lease is safe.
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
