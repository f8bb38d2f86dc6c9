package load

import (
	"syscall"
	"time"
)

// cpuSeconds returns the CPU time that this process has used, in seconds.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return used.Seconds()
}
