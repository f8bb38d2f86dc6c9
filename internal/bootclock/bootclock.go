// Package bootclock tells the time since the machine was started, the time in which
// it was suspended included.
//
// Go's monotonic clock stands still while a machine is suspended, and the time of
// day can be set back. What must not outlive a limit by anyone's clock, such as the
// right to accept a key, is counted by this one.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now gives the time since the machine was started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
