package dispatch

import "time"

// Overload describes a call to a plain service before it is sent.
//
// Load pattern: calls arrive faster than the endpoints of a service answer them, for some
// seconds. Each call that is sent then waits behind all others, and once the wait is as
// long as the target, every call is late. Refusing a part of them at once, to return when
// the burst is over, lets the others be answered in time.
type Overload struct {
	Expected  time.Duration // until the answer of the chosen endpoint; 0 if it wouldn't wait or that is unknown
	Remaining time.Duration // until the call's target; 0 for no target
}

// The bounds of refusals, as shares of the remaining time. Refusals begin before the
// expected answer is late: loads are some tenths of a second old, and answers vary around
// their mean. The share grows gradually, since entries that all refused above one bound
// would empty the endpoints and fill them again in turns.
const (
	refusalBegins = 0.5
	refusesAll    = 1.0
)

// RefusalShare returns the share of such calls to refuse, from 0 to 1.
func (o Overload) RefusalShare() float64 {
	if o.Expected <= 0 || o.Remaining <= 0 {
		return 0
	}
	late := float64(o.Expected) / float64(o.Remaining)
	return min(1, max(0, (late-refusalBegins)/(refusesAll-refusalBegins)))
}

// minRecordedCalls is how many calls show the mean work of a pool: single ones take several
// times as long.
const minRecordedCalls = 10

// workWeight is the weight of the newest call in the mean work of a pool: about the last
// forty calls count.
const workWeight = 0.05

// RecordCall records how long a plain endpoint took for a call and its load then.
func (stats *EndpointStats) RecordCall(e *Endpoint, took time.Duration, l ReportedLoad) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	pool := stats.poolOf(e)
	work := float64(took) / max(1, l.perSlot())
	pool.calls++
	pool.workNs += max(workWeight, 1/float64(pool.calls)) * (work - pool.workNs)
}

// ExpectedAnswer returns how long a call to a chosen endpoint is expected to take. It is 0 if
// the call would not wait there, and while only few calls to its pool have been recorded.
func (stats *EndpointStats) ExpectedAnswer(c Choice) time.Duration {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	pool := stats.poolOf(c.Endpoint)
	if c.EndpointLoad < 1 || pool.calls < minRecordedCalls {
		return 0
	}
	return time.Duration(pool.workNs * c.EndpointLoad)
}
