package relay

import (
	"sync/atomic"
	"time"
)

// Confirmation is the latest time at which a configuration was the newest one that
// operators had a confirmation for, as reported by the control instances' leader.
type Confirmation struct{ at atomic.Int64 }

// At returns that time, counted from the start of the machine.
func (c *Confirmation) At() time.Duration { return time.Duration(c.at.Load()) }

// Advance moves the time forward; an earlier one changes nothing.
func (c *Confirmation) Advance(at time.Duration) {
	for {
		known := c.at.Load()
		if int64(at) <= known || c.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}
