package retrybudget

import "time"

// slackShare computes an entry's fraction of the slack.
type slackShare struct {
	window    time.Duration
	startedAt time.Time // start of the process
	counts    []entryCount
}

// entryCount is a reported number of entries.
type entryCount struct {
	entries      int
	lastReported time.Time // when this number was last reported
}

// report records how many entries may send.
func (s *slackShare) report(now time.Time, entries int) {
	s.dropExpired(now)
	for i := range s.counts {
		if s.counts[i].entries == entries {
			s.counts[i].lastReported = now
			return
		}
	}
	s.counts = append(s.counts, entryCount{entries: entries, lastReported: now})
}

// dropExpired drops the numbers that were last reported more than a window ago.
func (s *slackShare) dropExpired(now time.Time) {
	current := s.counts[:0]
	for _, c := range s.counts {
		if now.Sub(c.lastReported) <= s.window {
			current = append(current, c)
		}
	}
	s.counts = current
}

// fraction returns the entry's fraction of the slack, from 0 to 1.
func (s *slackShare) fraction(now time.Time) float64 {
	s.dropExpired(now)
	if now.Sub(s.startedAt) < s.window || len(s.counts) == 0 {
		return 0
	}
	maxEntries := 1
	for _, c := range s.counts {
		maxEntries = max(maxEntries, c.entries)
	}
	return 1 / float64(maxEntries)
}
