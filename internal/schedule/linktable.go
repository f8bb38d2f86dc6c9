package schedule

import (
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// LinkTable holds the schedules of all declared links. It implements LinkCost
// and is safe for concurrent use.
type LinkTable struct {
	mu    sync.Mutex
	links map[linkKey]*LinkSchedule
	now   func() time.Time
}

type linkKey struct {
	from, to fleet.AvailabilityZone
}

// NewLinkTable returns a table of the declared links. now is the clock for
// Cost, which has no time parameter.
func NewLinkTable(links []settings.Link, now func() time.Time) *LinkTable {
	t := &LinkTable{links: make(map[linkKey]*LinkSchedule, len(links)), now: now}
	t.Apply(links)
	return t
}

// Apply applies changed settings. Links whose rate and delay are unchanged keep
// their bookings.
func (t *LinkTable) Apply(links []settings.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[linkKey]*LinkSchedule, len(links))
	for _, l := range links {
		key := linkKey{from: l.From, to: l.To}
		old, ok := t.links[key]
		if ok && old.rate == float64(l.Rate) && old.delay == l.Delay {
			next[key] = old
			continue
		}
		next[key] = NewLinkSchedule(float64(l.Rate), l.Delay)
	}
	t.links = next
}

// Cost implements LinkCost with the present bookings.
func (t *LinkTable) Cost(from, to fleet.AvailabilityZone, bytes int64) time.Duration {
	now := t.now()
	return t.Predict(now, now, from, to, bytes)
}

// Predict is LinkSchedule.Predict for the link between two zones. FlatLinkCost
// predicts a link that isn't declared.
func (t *LinkTable) Predict(now, readyAt time.Time, from, to fleet.AvailabilityZone, bytes int64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[linkKey{from: from, to: to}]
	if !ok {
		return FlatLinkCost{}.Cost(from, to, bytes)
	}
	return l.Predict(now, readyAt, bytes)
}

// Book is LinkSchedule.Book for the link between two zones.
func (t *LinkTable) Book(now, readyAt time.Time, from, to fleet.AvailabilityZone, attempt fleet.AttemptID, bytes int64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[linkKey{from: from, to: to}]
	if !ok {
		return readyAt.Add(FlatLinkCost{}.Cost(from, to, bytes))
	}
	return l.Book(now, readyAt, attempt, bytes)
}

// Finish releases an attempt's booking and corrects the link's rate by the
// observed transfer time; took 0 means that nothing was transferred.
func (t *LinkTable) Finish(from, to fleet.AvailabilityZone, attempt fleet.AttemptID, bytes int64, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[linkKey{from: from, to: to}]
	if !ok {
		return
	}
	l.Release(attempt)
	l.Observe(bytes, took)
}
