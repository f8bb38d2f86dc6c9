package endpoint

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// cacheIndex follows one endpoint incarnation's prefix cache by its numbered
// events. Pure.
//
// The failure: an event is lost on its way, the index goes on as if nothing
// was missing, and prompts are sent for a prefix that was evicted long ago. The
// guard: an event that isn't the next in number stops the index until a whole
// snapshot has come; a snapshot older than the events seen is not taken.
type cacheIndex struct {
	sequence uint64
	gap      bool
	prefixes map[uint64]uint64 // prefix to the sequence that stored it
	version  uint64            // rises at each change
}

// apply takes events in order; it tells whether a resync is needed. Events
// already seen are skipped.
func (c *cacheIndex) apply(events []engineapi.CacheEvent) (resync bool) {
	for _, e := range events {
		if e.Sequence <= c.sequence {
			continue
		}
		if c.gap || e.Sequence != c.sequence+1 {
			c.gap = true
			return true
		}
		c.sequence = e.Sequence
		c.change(e)
	}
	return c.gap
}

func (c *cacheIndex) change(e engineapi.CacheEvent) {
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

// resync takes a snapshot unless it is older than what was seen.
func (c *cacheIndex) resync(s engineapi.CacheSnapshot) bool {
	if s.Sequence < c.sequence {
		return false
	}
	c.sequence = s.Sequence
	c.gap = false
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

// newest gives the limit last stored prefixes, newest first; none while a gap
// is open.
func (c *cacheIndex) newest(limit int) []uint64 {
	if c.gap || len(c.prefixes) == 0 {
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
