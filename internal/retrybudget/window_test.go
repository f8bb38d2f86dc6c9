package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated fleet of the window tests.
const (
	windowEntries = 7
	windowRatio   = 0.2
	windowSlack   = 54.0
	windowLength  = 10 * time.Second
	windowRun     = 90 * time.Second
	windowTick    = 20 * time.Millisecond
)

// windowCase describes the traffic and the faults of a fleet whose endpoints reject requests.
// A nil function means nothing unusual.
type windowCase struct {
	name string
	rate float64 // requests per second at one entry
	// requests replaces rate where the traffic changes.
	requests func(entry int, at time.Duration) float64
	// demand reports whether requests are rejected at a time: entries then retry as often as
	// the budget allows.
	demand func(at time.Duration) bool
	// restarts reports whether an entry is restarted at a time.
	restarts func(entry int, at time.Duration) bool
	// reportedEntries returns the number of entries that a control instance reports.
	reportedEntries func(entry int, at time.Duration) int
	// maxDelay is the longest time between the decision to retry and the attempt, until one
	// second after the middle of the run.
	maxDelay time.Duration
}

// burstsAfter returns a demand of 300 ms at each of some times after the middle of the run.
func burstsAfter(after ...time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool {
		for _, one := range after {
			if begin := windowRun/2 + one; at >= begin && at < begin+300*time.Millisecond {
				return true
			}
		}
		return false
	}
}

// restartOnceAfter restarts every entry at a time after the middle of the run.
func restartOnceAfter(after time.Duration) func(int, time.Duration) bool {
	return func(_ int, at time.Duration) bool { return at == windowRun/2+after }
}

var windowCases = []windowCase{
	{name: "always rejected", rate: 3},
	{name: "traffic falls", requests: func(_ int, at time.Duration) float64 {
		if at%(20*time.Second) < 10*time.Second {
			return 20
		}
		return 0.5
	}},
	{name: "traffic moves between entries", requests: func(entry int, at time.Duration) float64 {
		if int(at/(5*time.Second))%windowEntries == entry {
			return 60
		}
		return 0
	}},
	{name: "callers of killed entries move to the others", requests: func(entry int, at time.Duration) float64 {
		switch {
		case at < windowRun/2+time.Second:
			return 20
		case entry < 4:
			return 0
		}
		return 20 * windowEntries / 3
	}, demand: burstsAfter(0, 9500*time.Millisecond)},
	{name: "rejected at both ends of a window", rate: 0.2, demand: burstsAfter(900*time.Millisecond, 10*time.Second+150*time.Millisecond)},
	{name: "killed after retrying", rate: 0.2, demand: burstsAfter(0, 9500*time.Millisecond), restarts: restartOnceAfter(time.Second)},
	{name: "killed repeatedly", rate: 0.2, restarts: func(_ int, at time.Duration) bool {
		return at > windowRun/2 && at%(400*time.Millisecond) == 0
	}},
	{name: "too few entries reported for a moment", rate: 0.2, reportedEntries: func(entry int, at time.Duration) int {
		if at > windowRun/2 && at < windowRun/2+time.Second {
			return 1 + entry/2
		}
		return windowEntries
	}},
	{name: "retried after a delay", rate: 0.2, demand: burstsAfter(0, 10*time.Second), maxDelay: 4 * time.Second},
}

// Guards against more extra arrivals in some window than the fleet may send, because the
// counted window is too short, the shares add up to more than the slack, or a process
// doesn't know what was sent before it started.
func TestBudgetOverAnyWindow(t *testing.T) {
	for _, c := range windowCases {
		t.Run(c.name, func(t *testing.T) {
			requests, extras := simulateWindow(c)
			worst, from := 0.0, time.Duration(0)
			for _, start := range extras {
				over := float64(countWithin(extras, start, start+windowLength)) - windowBound(requests, start)
				if over > worst {
					worst, from = over, start
				}
			}
			assert.Assert(t, worst <= 0, "%.1f arrivals over the bound in the window from %s", worst, from)
			assert.Assert(t, len(extras) > 0)
		})
	}
}

// windowBound returns how many extra arrivals the fleet may send in the window from start.
// The largest number of requests of this window, of the one before it and of the one halfway
// between them counts.
func windowBound(requests []time.Duration, start time.Duration) float64 {
	maxRequests := 0
	for _, from := range []time.Duration{start, start - windowLength, start - windowLength/2} {
		maxRequests = max(maxRequests, countWithin(requests, from, from+windowLength))
	}
	return windowRatio*float64(maxRequests) + windowSlack
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}

// simulateWindow returns the times of all requests and of all extra arrivals.
func simulateWindow(c windowCase) (requests, extras []time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	entries := make([]*Budget, windowEntries)
	var attempts []delayedAttempt
	for at := time.Duration(0); at < windowRun; at += windowTick {
		now := begin.Add(at)
		for n := range entries {
			if entries[n] == nil || c.restarts != nil && c.restarts(n, at) {
				entries[n] = New(now, Limits{Ratio: windowRatio, Slack: windowSlack, Window: windowLength})
			}
			entries[n].SetEntries(now, c.reportedEntriesAt(n, at))
			if random.Float64() < c.rateAt(n, at)*windowTick.Seconds() {
				requests = append(requests, at)
				entries[n].RecordRequest(now, "s")
			}
			for c.demandAt(at) {
				reservation := entries[n].Reserve(now, "s")
				if reservation == nil {
					break
				}
				delay := time.Duration(random.Float64() * float64(c.maxDelayAt(at)))
				attempts = append(attempts, delayedAttempt{reservation: reservation, at: at + delay})
			}
		}
		var sent []time.Duration
		attempts, sent = sendDue(attempts, at)
		extras = append(extras, sent...)
	}
	return requests, extras
}

// delayedAttempt is an attempt that was decided on and is sent later.
type delayedAttempt struct {
	reservation *Reservation
	at          time.Duration
}

// sendDue sends the attempts that are due.
func sendDue(attempts []delayedAttempt, at time.Duration) (later []delayedAttempt, sent []time.Duration) {
	for _, s := range attempts {
		if s.at > at {
			later = append(later, s)
			continue
		}
		s.reservation.Commit(begin.Add(at))
		sent = append(sent, s.at)
	}
	return later, sent
}

func (c windowCase) rateAt(entry int, at time.Duration) float64 {
	if c.requests == nil {
		return c.rate
	}
	return c.requests(entry, at)
}

func (c windowCase) demandAt(at time.Duration) bool { return c.demand == nil || c.demand(at) }

func (c windowCase) maxDelayAt(at time.Duration) time.Duration {
	if at > windowRun/2+time.Second {
		return 0
	}
	return c.maxDelay
}

func (c windowCase) reportedEntriesAt(entry int, at time.Duration) int {
	if c.reportedEntries == nil {
		return windowEntries
	}
	return c.reportedEntries(entry, at)
}
