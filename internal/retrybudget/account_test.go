package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limited gives a budget of so many arrivals beyond the first.
func limited(n float64) *Budget {
	return older(Limits{Slack: n / usedPart, Window: 10 * time.Second}, 1)
}

// Guards against a second arrival without a reservation, and against reservations that are
// kept by requests that have ended.
func TestAccount(t *testing.T) {
	now := at(0)
	b := limited(1)
	first, second := b.Open(now, "s"), b.Open(now, "s")
	assert.Assert(t, first.MaySend(now) && second.MaySend(now), "the first is free")
	assert.Assert(t, !first.Arrived(now) && !second.Arrived(now))
	assert.Assert(t, first.MaySend(now))
	assert.Assert(t, first.MaySend(now), "one reservation is enough")
	assert.Assert(t, !second.MaySend(now))
	first.Close()
	assert.Assert(t, second.MaySend(now))
	assert.Assert(t, second.Arrived(now))
	second.Close()
	assert.Assert(t, !first.MaySend(now), "what has arrived isn't given back")
	assert.Equal(t, second.Seen(), 2)
}

// A send that may be free has a reservation of its own: turned away as the first, it leaves
// that to the next one; as a later one, both have theirs.
func TestAccountOfASendThatMayBeFree(t *testing.T) {
	now := at(0)
	b := limited(2)
	a := b.Open(now, "s")
	assert.Assert(t, !a.ArrivedWith(now, a.Reserve(now)))
	assert.Assert(t, a.MaySend(now))
	assert.Equal(t, a.Left(now), 1.0)
	assert.Assert(t, a.ArrivedWith(now, a.Reserve(now)))
	assert.Assert(t, a.MaySend(now))
	assert.Assert(t, a.Reserve(now) == nil)
	assert.Assert(t, a.Arrived(now))
	assert.Equal(t, a.Seen(), 3)
}
