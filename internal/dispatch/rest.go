package dispatch

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// longestRest bounds the rest that one answer asks for, so that a faulty endpoint
	// doesn't take itself out for good.
	longestRest = 5 * time.Minute
	// leavingKept is how long an endpoint is known to leave. It is gone by then; one that
	// still reports itself ready has said so by mistake.
	leavingKept = 10 * time.Minute
)

// ParseRest reads the values of a header, each a number of seconds or several with commas.
// What can't be read asks for no rest; of several the longest counts.
func ParseRest(values []string) time.Duration {
	longest := 0.0
	for _, value := range values {
		for _, number := range strings.Split(value, ",") {
			seconds, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
			if err == nil && !math.IsNaN(seconds) && !math.IsInf(seconds, 0) {
				longest = max(longest, seconds)
			}
		}
	}
	return time.Duration(min(longest, longestRest.Seconds()) * float64(time.Second))
}

// RestOf is the rest that an answer asks its sender for: one by which a request was turned
// away may.
func RestOf(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return ParseRest(h.Values("Retry-After"))
}

// Rest takes in that an endpoint wants nothing from this entry for a while.
func (b *Book) Rest(now time.Time, e *Endpoint, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e.Incarnation())
	b.keepRest(s, now.Add(d))
	b.rests[e.ID] = heardRest{heard: now, until: s.restUntil}
}

// heardRest is a rest that was asked for under an endpoint's ID.
type heardRest struct{ heard, until time.Time }

// isOf tells whether a run of the endpoint may have asked for it: it had started before the
// word came.
//
// Failure guarded: an endpoint starts again and asks for rest in answer to a request that was
// sent before the entry heard of its new run. The word would end with the run before, and the
// next request goes there.
func (r heardRest) isOf(id Incarnation) bool {
	return id.Born > 0 && !r.heard.IsZero() && r.heard.UnixMilli() >= int64(id.Born)
}

// keepRest is called with b.mu held.
func (b *Book) keepRest(s *state, until time.Time) {
	if until.After(s.restUntil) {
		s.restUntil = until
	}
	if b.policy.Has(KeepRest) {
		b.block(s, s.restUntil)
	}
}

// Leave takes in that an endpoint leaves. It tells whether that is new.
func (b *Book) Leave(now time.Time, e *Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e.Incarnation())
	isNew := !s.leaves(now)
	s.leavesUntil = now.Add(leavingKept)
	if b.policy.Has(AvoidLeaving) {
		b.block(s, s.leavesUntil)
	}
	return isNew
}

// Unwanted is why an endpoint wants nothing from this entry.
type Unwanted int

// The reasons.
const (
	Wanted  Unwanted = iota // it takes requests
	Resting                 // it asked for rest
	Leaving                 // it leaves
)

// String gives the name used in logs and metrics.
func (u Unwanted) String() string { return [...]string{"wanted", "resting", "leaving"}[u] }

// Unwanted tells whether an endpoint wants nothing from this entry now.
func (b *Book) Unwanted(now time.Time, e *Endpoint) Unwanted {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.known(e.Incarnation())
	switch {
	case s == nil:
		return Wanted
	case s.leaves(now):
		return Leaving
	case now.Before(s.restUntil):
		return Resting
	}
	return Wanted
}

// Takes tells whether an endpoint may get requests from this entry as far as its own words
// go.
func (b *Book) Takes(now time.Time, e *Endpoint) bool {
	switch b.Unwanted(now, e) {
	case Resting:
		return !b.policy.Has(KeepRest)
	case Leaving:
		return !b.policy.Has(AvoidLeaving)
	case Wanted:
	}
	return true
}

func (s *state) leaves(now time.Time) bool { return now.Before(s.leavesUntil) }
