package endpoint

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// cacheIndex tracks the prefix cache of one endpoint incarnation by its
// numbered events. It does no I/O.
//
// If a lost event went unnoticed, prompts would be sent for a prefix that was
// evicted long ago. So an event whose number isn't the next one stops the index
// until a full snapshot arrives, and a snapshot older than the last event is
// rejected.
type cacheIndex struct {
	sequence uint64
	hasGap   bool
	prefixes map[uint64]uint64 // prefix to the sequence number that stored it
	version  uint64            // incremented by each change
}

// apply applies events in order and reports whether a resync is needed. Events
// that were applied before are skipped.
func (c *cacheIndex) apply(events []engineapi.CacheEvent) (resync bool) {
	for _, e := range events {
		if e.Sequence <= c.sequence {
			continue
		}
		if c.hasGap || e.Sequence != c.sequence+1 {
			c.hasGap = true
			return true
		}
		c.sequence = e.Sequence
		c.applyEvent(e)
	}
	return c.hasGap
}

func (c *cacheIndex) applyEvent(e engineapi.CacheEvent) {
	c.version++
	if !e.Stored {
		delete(c.prefixes, e.Prefix)
		return
	}
	if c.prefixes == nil {
		c.prefixes = make(map[uint64]uint64)
	}
	if len(c.prefixes) >= maxPrefixes {
		c.dropOldest()
	}
	c.prefixes[e.Prefix] = e.Sequence
}

func (c *cacheIndex) dropOldest() {
	var oldest, at uint64
	first := true
	for p, s := range c.prefixes {
		if first || s < at {
			oldest, at, first = p, s, false
		}
	}
	delete(c.prefixes, oldest)
}

// resync applies a snapshot and reports whether it was new enough: one older
// than the last event is rejected.
func (c *cacheIndex) resync(s engineapi.CacheSnapshot) bool {
	if s.Sequence < c.sequence {
		return false
	}
	c.sequence = s.Sequence
	c.hasGap = false
	c.version++
	c.prefixes = make(map[uint64]uint64, min(len(s.Prefixes), maxPrefixes))
	for _, p := range s.Prefixes {
		if len(c.prefixes) >= maxPrefixes {
			break
		}
		c.prefixes[p] = s.Sequence
	}
	return true
}

// newest returns up to limit prefixes, the last stored first; none while events
// are missing.
func (c *cacheIndex) newest(limit int) []uint64 {
	if c.hasGap || len(c.prefixes) == 0 {
		return nil
	}
	list := make([]uint64, 0, len(c.prefixes))
	for p := range c.prefixes {
		list = append(list, p)
	}
	sort.Slice(list, func(a, b int) bool {
		if c.prefixes[list[a]] != c.prefixes[list[b]] {
			return c.prefixes[list[a]] > c.prefixes[list[b]]
		}
		return list[a] < list[b]
	})
	return list[:min(limit, len(list))]
}
