package standin

import (
	"container/list"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// prefixCache is an LRU cache of prompt blocks. It is not safe for concurrent use.
type prefixCache struct {
	maxBlocks    int
	blocks       map[uint64]*list.Element
	recentlyUsed *list.List // front: most recent; values are uint64
	sequence     uint64
}

func cacheBlocks(t Timing) int {
	return int(t.PrefixCacheBytes / (t.KVBytesPerToken * engineapi.PrefixBlockBytes / bytesPerToken))
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, blocks: map[uint64]*list.Element{}, recentlyUsed: list.New()}
}

// matchPrefix returns how many blocks from the start are cached, and marks them as used.
func (c *prefixCache) matchPrefix(prefixes []uint64) int {
	for n, p := range prefixes {
		element, ok := c.blocks[p]
		if !ok {
			return n
		}
		c.recentlyUsed.MoveToFront(element)
	}
	return len(prefixes)
}

// store adds blocks, evicts others if necessary, and returns the changes.
func (c *prefixCache) store(prefixes []uint64) []engineapi.CacheEvent {
	var events []engineapi.CacheEvent
	for _, p := range prefixes {
		if element, ok := c.blocks[p]; ok {
			c.recentlyUsed.MoveToFront(element)
			continue
		}
		c.blocks[p] = c.recentlyUsed.PushFront(p)
		events = append(events, c.event(p, true))
		if c.recentlyUsed.Len() > c.maxBlocks {
			events = append(events, c.evict())
		}
	}
	return events
}

func (c *prefixCache) evict() engineapi.CacheEvent {
	prefix := c.recentlyUsed.Remove(c.recentlyUsed.Back()).(uint64)
	delete(c.blocks, prefix)
	return c.event(prefix, false)
}

func (c *prefixCache) event(prefix uint64, stored bool) engineapi.CacheEvent {
	c.sequence++
	return engineapi.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
}

func (c *prefixCache) snapshot() engineapi.CacheSnapshot {
	s := engineapi.CacheSnapshot{Sequence: c.sequence, Prefixes: make([]uint64, 0, len(c.blocks))}
	for e := c.recentlyUsed.Front(); e != nil; e = e.Next() {
		s.Prefixes = append(s.Prefixes, e.Value.(uint64))
	}
	return s
}
