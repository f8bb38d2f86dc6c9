package standin

import (
	"container/list"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// prefixCache holds blocks of prompts, least recently used out first. It is
// not safe for concurrent use.
type prefixCache struct {
	most     int // blocks
	blocks   map[uint64]*list.Element
	order    *list.List // front: used last; values are uint64
	sequence uint64
}

func cacheBlocks(t Timing) int {
	return int(t.CacheBytes / (t.KVToken * engineapi.PrefixBlockBytes / bytesPerToken))
}

func newPrefixCache(most int) *prefixCache {
	return &prefixCache{most: most, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// hits gives how many blocks from the start are cached, and marks them used.
func (c *prefixCache) hits(prefixes []uint64) int {
	for n, p := range prefixes {
		element, ok := c.blocks[p]
		if !ok {
			return n
		}
		c.order.MoveToFront(element)
	}
	return len(prefixes)
}

// store adds blocks and gives what has changed.
func (c *prefixCache) store(prefixes []uint64) []engineapi.CacheEvent {
	var events []engineapi.CacheEvent
	for _, p := range prefixes {
		if element, ok := c.blocks[p]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[p] = c.order.PushFront(p)
		events = append(events, c.event(p, true))
		if c.order.Len() > c.most {
			events = append(events, c.evict())
		}
	}
	return events
}

func (c *prefixCache) evict() engineapi.CacheEvent {
	prefix := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, prefix)
	return c.event(prefix, false)
}

func (c *prefixCache) event(prefix uint64, stored bool) engineapi.CacheEvent {
	c.sequence++
	return engineapi.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
}

func (c *prefixCache) snapshot() engineapi.CacheSnapshot {
	s := engineapi.CacheSnapshot{Sequence: c.sequence, Prefixes: make([]uint64, 0, len(c.blocks))}
	for e := c.order.Front(); e != nil; e = e.Next() {
		s.Prefixes = append(s.Prefixes, e.Value.(uint64))
	}
	return s
}
