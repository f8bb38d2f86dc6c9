package relay

import "time"

// MaxAddressTTL is the maximum time that callers are asked to cache an address.
const MaxAddressTTL = time.Second

// Constants of a planned shutdown.
const (
	// addressTTLFactor is how many times the stated time some callers cache an address.
	addressTTLFactor = 3
	// shutdownMargin is how long before the end of the shutdown's time the process ends by
	// itself.
	shutdownMargin = 500 * time.Millisecond
)

// ShutdownPlan plans an entry's shutdown: it leaves the address lists, keeps serving until
// callers have moved, and ends when nothing is in flight or its time is up.
//
// Load pattern: entries are stopped one after another under full load, and callers that
// cached an address past its time still connect. An entry that closed its listener at once
// would refuse them.
type ShutdownPlan struct {
	Timeout time.Duration // time from the start of the shutdown until the process is killed
}

// MaxDuration returns when to end at the latest, counted from the start of the shutdown.
func (p ShutdownPlan) MaxDuration() time.Duration { return max(0, p.Timeout-shutdownMargin) }

// AcceptDuration returns how long to accept new requests: as long as callers cache an address, but
// at most three quarters of MaxDuration, so that requests still in flight can finish.
func (p ShutdownPlan) AcceptDuration() time.Duration {
	return min(addressTTLFactor*MaxAddressTTL, p.MaxDuration()*3/4)
}
