// Package clock reads the clock that leases are counted on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"hibiscuslb/fleet"
)

// BootTime returns a clock that goes on while the host is suspended, unlike the
// runtime's monotonic clock. It starts at one hour, so that the zero Instant
// lies long in the past.
func BootTime() fleet.Clock {
	start := boottime() - time.Hour
	return func() fleet.Instant { return fleet.Instant(boottime() - start) }
}

func boottime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease is safe.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(now.Nano())
}
