package dispatch

import "time"

// Waiting decides how long a request waits for memory at the endpoints.
//
// Load pattern: requests need more memory than there is, for some seconds in a
// burst or permanently. A request that has missed its target would take memory
// from one that can still meet it and that then misses its own: serving requests
// in the order of their arrival makes the worst use of memory. So a request polls
// for memory while its target can be met, at any entry and without coordination
// between entries, and after that its caller is told at once when to repeat.
type Waiting struct {
	Target   time.Duration // until the first part of the answer; 0 for none
	Patience time.Duration // until the end of the answer
	Silence  time.Duration // after which a caller that received nothing disconnects
	Start    time.Duration // usual time from reserved memory to the first part
	Length   time.Duration // expected duration of the answer
}

// The parameters of a wait for memory.
const (
	// pollInterval is the interval between two requests for memory. In a fully loaded
	// fleet of 12 endpoints about 20 answers end per second.
	pollInterval = 25 * time.Millisecond
	// lateStartLatency is the time from reserved memory to the first part if a burst
	// has filled the prefill endpoints. A request without that much time left is given
	// up: its caller would disconnect first, and its prefill would be wasted.
	lateStartLatency = 800 * time.Millisecond
)

// Left returns how long a request that has waited for the given time may still wait.
func (w Waiting) Left(waited time.Duration) time.Duration {
	left := w.Patience - w.Length
	if w.Target > 0 {
		left = min(left, w.Target)
	}
	return left - w.Start - waited
}

// Pause returns the delay until a request that has waited for the given time polls
// again; giveUp is true if its answer can no longer be in time.
func (w Waiting) Pause(waited time.Duration) (delay time.Duration, giveUp bool) {
	switch {
	case w.Patience > 0 && waited+w.Start+w.Length > w.Patience:
		return 0, true
	case w.Silence > 0 && waited+lateStartLatency > w.Silence:
		return 0, true
	case w.Target > 0 && waited+w.Start >= w.Target:
		return 0, true
	}
	return pollInterval, false
}
