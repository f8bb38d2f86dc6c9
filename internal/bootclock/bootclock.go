// Package bootclock returns the time since the machine was booted, including time spent
// suspended.
//
// Go's monotonic clock stops while a machine is suspended, and the wall clock can be set
// back. Time limits that must hold in both cases, such as how long a key may be accepted,
// use this clock.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
