package dispatch

import "time"

// Waiting decides how a request waits for memory at the endpoints.
//
// Load pattern: requests need more memory than there is, for some seconds in a
// burst or all the time. One that has missed its target would take a place
// from one that can still make it, which then misses its own: each place is
// worth least when requests are served in the order of their arrival. So a
// request asks often as long as its target is in reach, at whichever entry it
// waits and without any word between the entries, and is then told at once when
// to come again.
type Waiting struct {
	Target   time.Duration // to the first part of the answer; 0 for none
	Patience time.Duration // for the whole answer
	Silence  time.Duration // after which a caller leaves who has heard nothing
	Start    time.Duration // that passes from a place to the first part
	Length   time.Duration // of an answer
}

// The figures of waiting.
const (
	// askPause is the wait between two questions. Answers end some 20 times a
	// second in a fleet of 12 endpoints that is full.
	askPause = 25 * time.Millisecond
	// lateStart is what may pass from a place to the first part where a burst
	// has filled the readers: beyond it the caller has left, and what was read
	// for it is lost.
	lateStart = 800 * time.Millisecond
)

// Left is how long a request may still wait for a place, after it has waited
// for some time.
func (w Waiting) Left(waited time.Duration) time.Duration {
	left := w.Patience - w.Length
	if w.Target > 0 {
		left = min(left, w.Target)
	}
	return left - w.Start - waited
}

// Pause is how long a request waits before it asks again, after it has waited
// for some time; give up is true when no answer could come in time.
func (w Waiting) Pause(waited time.Duration) (pause time.Duration, giveUp bool) {
	switch {
	case w.Patience > 0 && waited+w.Start+w.Length > w.Patience:
		return 0, true
	case w.Silence > 0 && waited+lateStart > w.Silence:
		return 0, true
	case w.Target > 0 && waited+w.Start >= w.Target:
		return 0, true
	}
	return askPause, false
}
