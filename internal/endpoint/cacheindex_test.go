package endpoint

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

func event(sequence, prefix uint64, stored bool) engineapi.CacheEvent {
	return engineapi.CacheEvent{Sequence: sequence, Prefix: prefix, Stored: stored}
}

// When an event is lost, prompts would go to an engine for a prefix that it has
// evicted. From the gap on the index returns nothing, until a full snapshot has
// arrived.
func TestCacheGap(t *testing.T) {
	var c cacheIndex
	assert.Assert(t, !c.apply([]engineapi.CacheEvent{event(1, 10, true), event(2, 20, true)}))
	assert.DeepEqual(t, c.newest(8), []uint64{20, 10})
	assert.Assert(t, c.apply([]engineapi.CacheEvent{event(4, 30, true)}), "event 3 is missing")
	assert.Equal(t, len(c.newest(8)), 0)
	assert.Assert(t, c.apply([]engineapi.CacheEvent{event(5, 40, true)}), "still missing")

	assert.Assert(t, !c.resync(engineapi.CacheSnapshot{Sequence: 1}), "an older snapshot must not be taken")
	assert.Assert(t, c.resync(engineapi.CacheSnapshot{Sequence: 5, Prefixes: []uint64{20, 30, 40}}))
	assert.Equal(t, len(c.newest(8)), 3)
	assert.Assert(t, !c.apply([]engineapi.CacheEvent{event(4, 99, true), event(5, 98, true), event(6, 20, false)}))
	assert.Equal(t, len(c.newest(8)), 2, "late events are skipped, the next one counts")
}

func TestCacheIsBounded(t *testing.T) {
	var c cacheIndex
	for n := range uint64(2 * maxPrefixes) {
		c.apply([]engineapi.CacheEvent{event(n+1, n, true)})
	}
	assert.Equal(t, len(c.prefixes), maxPrefixes)
	assert.Equal(t, c.newest(1)[0], uint64(2*maxPrefixes-1))
}
