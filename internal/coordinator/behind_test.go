package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The metric must count only entries that missed changes for long, while changes come
// continuously and entries start and stop.
func TestCountsEntriesBehind(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	v := newEntryVersions()
	v.record("a", 1, 1, at(0))
	v.record("b", 1, 1, at(0))
	assert.Equal(t, v.behind(1, at(100)), 0)
	assert.Equal(t, v.behind(2, at(3000)), 0, "silent entries don't count")
	for ms := 3000; ms <= 6000; ms += 500 { // a change each half second
		newest := int64(2 + (ms-3000)/500)
		v.record("a", newest-1, newest, at(ms))
		v.record("b", 1, newest, at(ms))
	}
	assert.Equal(t, v.behind(8, at(6100)), 1, "only b has missed changes for long")
	v.record("b", 8, 8, at(6200))
	assert.Equal(t, v.behind(8, at(6300)), 0)
}

// Entries restart all day, each time with a new ID, and the metrics may never be read.
// The stored entries must not pile up.
func TestStoppedEntriesAreRemoved(t *testing.T) {
	v := newEntryVersions()
	for n := range 1000 {
		v.record(fmt.Sprint(n), 1, 1, time.Unix(int64(n), 0))
	}
	assert.Assert(t, len(v.entries) <= 4, "%d", len(v.entries))
}
