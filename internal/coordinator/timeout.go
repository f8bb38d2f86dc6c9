package coordinator

import "time"

// slowestTransfer is the least rate, bytes a second, at which a command
// travels between control instances that are not at fault.
const slowestTransfer = 2 << 20

// proposeTimeout bounds one try to commit a command of size bytes.
func proposeTimeout(size int) time.Duration {
	return 2*callTimeout + time.Duration(size)*time.Second/slowestTransfer
}
