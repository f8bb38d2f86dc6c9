package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The fleet of the window tests.
const (
	windowEntries = 7
	windowRatio   = 0.2
	windowSlack   = 54.0
	windowLength  = 10 * time.Second
	windowRun     = 90 * time.Second
	windowStep    = 20 * time.Millisecond
)

// windowCase is what happens to a fleet whose endpoints turn requests away. Nil functions
// stand for nothing unusual.
type windowCase struct {
	name string
	rate float64 // of requests at an entry in a second
	// requests replaces rate where traffic changes.
	requests func(entry int, at time.Duration) float64
	// demand tells whether requests are turned away at a moment: all that the budget
	// allows is sent again.
	demand func(at time.Duration) bool
	// restarts tells whether an entry is started anew at a moment.
	restarts func(entry int, at time.Duration) bool
	// told is how many entries a control instance tells.
	told func(entry int, at time.Duration) int
	// wait is how long after its decision a request is sent again at most, up to the
	// middle of the run and a little more.
	wait time.Duration
}

// bursts is true for a moment at each of some times after the middle of the run.
func bursts(after ...time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool {
		for _, one := range after {
			if begin := windowRun/2 + one; at >= begin && at < begin+300*time.Millisecond {
				return true
			}
		}
		return false
	}
}

// once is true for an entry at a time after the middle of the run.
func once(after time.Duration) func(int, time.Duration) bool {
	return func(_ int, at time.Duration) bool { return at == windowRun/2+after }
}

var windowCases = []windowCase{
	{name: "always turned away", rate: 3},
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
	{name: "callers of killed entries go to the others", requests: func(entry int, at time.Duration) float64 {
		switch {
		case at < windowRun/2+time.Second:
			return 20
		case entry < 4:
			return 0
		}
		return 20 * windowEntries / 3
	}, demand: bursts(0, 9500*time.Millisecond)},
	{name: "turned away at both ends of a window", rate: 0.2, demand: bursts(900*time.Millisecond, 10*time.Second+150*time.Millisecond)},
	{name: "killed after what was sent", rate: 0.2, demand: bursts(0, 9500*time.Millisecond), restarts: once(time.Second)},
	{name: "killed again and again", rate: 0.2, restarts: func(_ int, at time.Duration) bool {
		return at > windowRun/2 && at%(400*time.Millisecond) == 0
	}},
	{name: "too few entries told for a moment", rate: 0.2, told: func(entry int, at time.Duration) int {
		if at > windowRun/2 && at < windowRun/2+time.Second {
			return 1 + entry/2
		}
		return windowEntries
	}},
	{name: "sent again after a wait", rate: 0.2, demand: bursts(0, 10*time.Second), wait: 4 * time.Second},
}

// Guards against more arrivals beyond the first in some window than the fleet may send,
// by a count whose window is short, by shares that add up to more than the whole, and by
// processes that know nothing of what was sent before they began.
func TestBudgetOverAnyWindow(t *testing.T) {
	for _, c := range windowCases {
		t.Run(c.name, func(t *testing.T) {
			requests, extras := playWindow(c)
			worst, from := 0.0, time.Duration(0)
			for _, start := range extras {
				over := float64(within(extras, start, start+windowLength)) - windowBound(requests, start)
				if over > worst {
					worst, from = over, start
				}
			}
			assert.Assert(t, worst <= 0, "%.1f arrivals over the bound in the window from %s", worst, from)
			assert.Assert(t, len(extras) > 0)
		})
	}
}

// windowBound is what the fleet may send beyond the first in the window from start. Of the
// requests of this window, of the one before and of the one between, the most count.
func windowBound(requests []time.Duration, start time.Duration) float64 {
	most := 0
	for _, from := range []time.Duration{start, start - windowLength, start - windowLength/2} {
		most = max(most, within(requests, from, from+windowLength))
	}
	return windowRatio*float64(most) + windowSlack
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}

// playWindow gives the times of all requests and of all arrivals beyond the first.
func playWindow(c windowCase) (requests, extras []time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	entries := make([]*Budget, windowEntries)
	var sends []windowSend
	for at := time.Duration(0); at < windowRun; at += windowStep {
		now := begin.Add(at)
		for n := range entries {
			if entries[n] == nil || c.restarts != nil && c.restarts(n, at) {
				entries[n] = New(now, Limits{Ratio: windowRatio, Slack: windowSlack, Window: windowLength})
			}
			entries[n].Entries(now, c.toldAt(n, at))
			if random.Float64() < c.rateAt(n, at)*windowStep.Seconds() {
				requests = append(requests, at)
				entries[n].Request(now, "s")
			}
			for c.demandAt(at) {
				extra := entries[n].Reserve(now, "s")
				if extra == nil {
					break
				}
				wait := time.Duration(random.Float64() * float64(c.waitAt(at)))
				sends = append(sends, windowSend{extra: extra, at: at + wait})
			}
		}
		var sent []time.Duration
		sends, sent = sendDue(sends, at)
		extras = append(extras, sent...)
	}
	return requests, extras
}

// windowSend is a send that was decided on.
type windowSend struct {
	extra *Reservation
	at    time.Duration
}

// sendDue makes the sends whose time has come.
func sendDue(sends []windowSend, at time.Duration) (later []windowSend, sent []time.Duration) {
	for _, s := range sends {
		if s.at > at {
			later = append(later, s)
			continue
		}
		s.extra.Commit(begin.Add(at))
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

func (c windowCase) waitAt(at time.Duration) time.Duration {
	if at > windowRun/2+time.Second {
		return 0
	}
	return c.wait
}

func (c windowCase) toldAt(entry int, at time.Duration) int {
	if c.told == nil {
		return windowEntries
	}
	return c.told(entry, at)
}
