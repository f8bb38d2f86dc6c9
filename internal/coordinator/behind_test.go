package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An operator looks for entries that a change did not reach, while changes come
// all the time and entries come and go.
func TestEntriesThatAreBehind(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	v := newEntryVersions()
	v.heard("a", 1, 1, at(0))
	v.heard("b", 1, 1, at(0))
	assert.Equal(t, v.behind(1, at(100)), 0)
	assert.Equal(t, v.behind(2, at(3000)), 0, "silent ones are forgotten")
	for ms := 3000; ms <= 6000; ms += 500 { // a change each half second
		newest := int64(2 + (ms-3000)/500)
		v.heard("a", newest-1, newest, at(ms))
		v.heard("b", 1, newest, at(ms))
	}
	assert.Equal(t, v.behind(8, at(6100)), 1, "b alone has missed changes for long")
	v.heard("b", 8, 8, at(6200))
	assert.Equal(t, v.behind(8, at(6300)), 0)
}

// Entries restart all day, each time under another ID, and nobody reads the metrics.
// What is remembered of them must not grow.
func TestEntriesThatAreGoneAreForgotten(t *testing.T) {
	v := newEntryVersions()
	for n := range 1000 {
		v.heard(fmt.Sprint(n), 1, 1, time.Unix(int64(n), 0))
	}
	assert.Assert(t, len(v.entries) <= 4, "%d", len(v.entries))
}
