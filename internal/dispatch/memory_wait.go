package dispatch

import "time"

// MemoryWait decides how long a request waits for memory at the endpoints.
//
// Load pattern: requests need more memory than there is, for some seconds in a
// burst or permanently. A request that has missed its target would take memory
// from one that can still meet it and that then misses its own: serving requests
// in the order of their arrival makes the worst use of memory. So a request polls
// for memory while its target can be met, at any entry and without coordination
// between entries, and after that its caller is told at once when to repeat.
type MemoryWait struct {
	TargetLatency time.Duration // until the first part of the answer; 0 for none
	CallerTimeout time.Duration // until the end of the answer
	IdleTimeout   time.Duration // after which a caller that received nothing disconnects
	StartLatency  time.Duration // usual time from reserved memory to the first part
	Rest          time.Duration // expected duration of what is left of the answer
	Begun         bool          // the caller has a part of the answer already
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
	// shortRestShare is the share of the expected rest of an answer that may well be all of it:
	// estimates are right in the median only. A caller that has a part of the answer and is refused
	// has lost that part, so it is refused only if even so short a rest would not end in time.
	shortRestShare = 0.5
)

// requiredTime returns how much time the rest of the answer must have.
func (w MemoryWait) requiredTime() time.Duration {
	if w.Begun {
		return time.Duration(shortRestShare * float64(w.Rest))
	}
	return w.Rest
}

// Remaining returns how long a request that has waited for the given time may still wait.
func (w MemoryWait) Remaining(waited time.Duration) time.Duration {
	left := w.CallerTimeout - w.requiredTime()
	if w.TargetLatency > 0 {
		left = min(left, w.TargetLatency)
	}
	return left - w.StartLatency - waited
}

// WaitEnd is why a wait for memory ends.
type WaitEnd int

// Why a wait ends.
const (
	WaitGoesOn    WaitEnd = iota
	WaitLacksTime         // the answer can't end before its caller leaves
	WaitIsTooLong         // its first part can't come while the caller waits for it, or within its target
)

// String returns the name used in logs.
func (e WaitEnd) String() string {
	return [...]string{"goes-on", "no-time", "too-long"}[e]
}

// NextPoll returns the delay until a request that has waited for the given time polls again, or
// why it doesn't: its answer can no longer be in time.
func (w MemoryWait) NextPoll(waited time.Duration) (time.Duration, WaitEnd) {
	switch {
	case w.CallerTimeout > 0 && waited+w.StartLatency+w.requiredTime() > w.CallerTimeout:
		return 0, WaitLacksTime
	case w.IdleTimeout > 0 && waited+lateStartLatency > w.IdleTimeout:
		return 0, WaitIsTooLong
	case w.TargetLatency > 0 && waited+w.StartLatency >= w.TargetLatency:
		return 0, WaitIsTooLong
	}
	return pollInterval, WaitGoesOn
}
