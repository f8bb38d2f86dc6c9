package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against losing time with each request on a peer that is unreachable for a while,
// and against finding it too late once it is back.
func TestPauseDoublesUpToMaximum(t *testing.T) {
	p := New(time.Second, 4*time.Second)
	now := time.Now()
	for _, pause := range []time.Duration{1, 2, 4, 4} {
		assert.Assert(t, p.Available("a", now))
		p.RecordFailure("a", now)
		assert.Assert(t, !p.Available("a", now.Add(pause*time.Second-1)))
		assert.Assert(t, p.Available("b", now))
		now = now.Add(pause * time.Second)
	}
	p.RecordSuccess("a")
	p.RecordFailure("a", now)
	assert.Assert(t, p.Available("a", now.Add(time.Second)))
}
