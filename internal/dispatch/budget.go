package dispatch

import (
	"sync"
	"time"
)

// Budget bounds the arrivals at each service beyond the first of each
// exchange, so that retries can't multiply an overload. The bound is the
// fleet's: over any window, a ratio of the exchanges plus a slack for all
// entries together. Each entry keeps to its share of the slack.
type Budget struct {
	ratio  float64
	window time.Duration
	slack  float64 // of all entries

	mu       sync.Mutex
	entries  int
	started  time.Time
	services map[string]*spending
}

// safety is the part of the bound that is used: windows slide, and entries
// learn late how many share the slack.
const safety = 0.8

// pieces is into how many parts a window is cut for counting.
const pieces = 10

// spending counts in pieces of the window, newest last.
type spending struct {
	piece    int64 // number of the newest piece
	requests [pieces]int
	extras   [pieces]int
}

// NewBudget makes a budget that begins at now.
func NewBudget(now time.Time, ratio float64, window time.Duration, slack float64) *Budget {
	return &Budget{ratio: ratio, window: window, slack: slack, entries: 1, started: now, services: map[string]*spending{}}
}

// Share tells how many entries share the slack.
func (b *Budget) Share(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
}

// Request counts an exchange for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spending(now, service)
	s.requests[pieces-1]++
}

// Spend tells whether one more arrival fits, and counts it if so.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spending(now, service)
	if float64(sum(s.extras)+1) > b.bound(now, s) {
		return false
	}
	s.extras[pieces-1]++
	return true
}

// Left is how many more arrivals fit now.
func (b *Budget) Left(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spending(now, service)
	return b.bound(now, s) - float64(sum(s.extras))
}

// bound is this entry's part. An entry that was restarted doesn't know what
// its predecessor spent of the slack in this window, so it gets none of it
// until the window is over, but for one arrival.
func (b *Budget) bound(now time.Time, s *spending) float64 {
	slack := b.slack / float64(b.entries)
	if now.Sub(b.started) < b.window {
		slack = min(slack, max(1, slack*float64(now.Sub(b.started))/float64(b.window)))
	}
	return safety * (b.ratio*float64(sum(s.requests)) + slack)
}

func (b *Budget) spending(now time.Time, service string) *spending {
	s := b.services[service]
	piece := int64(now.Sub(b.started) / (b.window / pieces))
	if s == nil {
		s = &spending{piece: piece}
		b.services[service] = s
	}
	for ; s.piece < piece; s.piece++ {
		if piece-s.piece > pieces {
			s.piece = piece - pieces
		}
		copy(s.requests[:], s.requests[1:])
		copy(s.extras[:], s.extras[1:])
		s.requests[pieces-1], s.extras[pieces-1] = 0, 0
	}
	return s
}

func sum(list [pieces]int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
