package coordinator

import "time"

// minTransferRate is the minimum rate, in bytes per second, at which a command travels
// between healthy control instances.
const minTransferRate = 2 << 20

// proposeTimeout returns the timeout of one attempt to commit a command of size bytes.
func proposeTimeout(size int) time.Duration {
	return 2*callTimeout + time.Duration(size)*time.Second/minTransferRate
}
