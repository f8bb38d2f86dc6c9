package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A peer is dark for a while. Whoever asks it must not lose time there with each
// request, and must find it again soon after it is back.
func TestPeers(t *testing.T) {
	p := New(time.Second, 4*time.Second)
	now := time.Now()
	for _, pause := range []time.Duration{1, 2, 4, 4} {
		assert.Assert(t, p.Open("a", now))
		p.Failed("a", now)
		assert.Assert(t, !p.Open("a", now.Add(pause*time.Second-1)))
		assert.Assert(t, p.Open("b", now))
		now = now.Add(pause * time.Second)
	}
	p.Answered("a")
	p.Failed("a", now)
	assert.Assert(t, p.Open("a", now.Add(time.Second)))
}
