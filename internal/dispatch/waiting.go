package dispatch

import "time"

// Waiting decides how a request waits for memory at the endpoints.
//
// Load pattern: a burst of some seconds in which requests need more memory
// than there is. One whose target is still in reach is worth several that are
// late, so it asks often, and those past their target ask seldom: a place that
// comes free goes to a fresh one, at whichever entry it waits, without any
// word between the entries. A late one gets the places that are left over.
type Waiting struct {
	Target   time.Duration // to the first part of the answer; 0 for none
	Patience time.Duration // for the whole answer
	Silence  time.Duration // after which a caller leaves who has heard nothing
	Start    time.Duration // that passes from a place to the first part
	Length   time.Duration // of an answer
}

// The paces of asking.
const (
	// freshPause is the wait between two questions of a request that can make
	// its target. Answers end some 20 times a second in a fleet that is full.
	freshPause = 25 * time.Millisecond
	// latePause is that of one that is late: ten fresh ones ask in between.
	latePause = 250 * time.Millisecond
	// lateStart is what may pass from a place to the first part where a burst
	// has filled the readers: beyond it the caller has left, and what was read
	// for it is lost.
	lateStart = 800 * time.Millisecond
)

// Pause is how long a request waits before it asks again, after it has waited
// for some time; give up is true when no answer could end in time.
func (w Waiting) Pause(waited time.Duration) (pause time.Duration, giveUp bool) {
	if w.Patience > 0 && waited+w.Start+w.Length > w.Patience {
		return 0, true
	}
	if w.Silence > 0 && waited+lateStart > w.Silence {
		return 0, true
	}
	if w.Target > 0 && waited+w.Start < w.Target {
		return freshPause, false
	}
	return latePause, false
}
