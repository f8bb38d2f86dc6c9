package relay

import (
	"sync/atomic"
	"time"
)

// Confirmation tells until when a configuration was the newest that operators had a
// confirmation for, by the word of the control instances' leader.
type Confirmation struct{ at atomic.Int64 }

// At gives that moment, as the time since the machine was started.
func (c *Confirmation) At() time.Duration { return time.Duration(c.at.Load()) }

// Raise notes a later moment; an earlier one changes nothing.
func (c *Confirmation) Raise(at time.Duration) {
	for {
		known := c.at.Load()
		if int64(at) <= known || c.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}
