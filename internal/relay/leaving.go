package relay

import "time"

// AddressKeep is the longest that callers are asked to keep an address.
const AddressKeep = time.Second

// The figures of a planned stop.
const (
	// keepFactor is how many times the stated time some callers keep an address.
	keepFactor = 3
	// stopMargin is how long before the end of the time for a planned stop the
	// process ends by itself.
	stopMargin = 500 * time.Millisecond
)

// Leaving plans an entry's planned stop: it leaves the address lists, serves on
// until callers have moved, and ends when nothing is in flight or its time is up.
//
// Load pattern: entries are stopped one after another under full load, and
// callers that kept an address past its time still come. One that closed its
// listener at once would refuse them.
type Leaving struct {
	Within time.Duration // time for the stop before the process is killed
}

// Limit is when to end by itself at the latest, from the start of the stop.
func (l Leaving) Limit() time.Duration { return max(0, l.Within-stopMargin) }

// Linger is how long to take new requests: as long as callers keep an address,
// but leaving a quarter of the time to what is still in flight then.
func (l Leaving) Linger() time.Duration { return min(keepFactor*AddressKeep, l.Limit()*3/4) }
