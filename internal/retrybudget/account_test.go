package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newBudgetOf returns a budget of n extra arrivals.
func newBudgetOf(n float64) *Budget {
	return newWarmBudget(Limits{Slack: n / usableFraction, Window: 10 * time.Second}, 1)
}

// Guards against an extra arrival without a reservation, and against reservations that are
// kept after their request has ended.
func TestAccount(t *testing.T) {
	now := at(0)
	b := newBudgetOf(1)
	first, second := b.OpenAccount(now, "s"), b.OpenAccount(now, "s")
	assert.Assert(t, first.MaySend(now) && second.MaySend(now), "the first arrival needs no reservation")
	assert.Assert(t, !first.RecordArrival(now) && !second.RecordArrival(now))
	assert.Assert(t, first.MaySend(now))
	assert.Assert(t, first.MaySend(now), "one reservation is enough")
	assert.Assert(t, !second.MaySend(now))
	first.Close()
	assert.Assert(t, second.MaySend(now))
	assert.Assert(t, second.RecordArrival(now))
	second.Close()
	assert.Assert(t, !first.MaySend(now), "a used reservation is not returned")
	assert.Equal(t, second.Arrivals(), 2)
}

// Covers an attempt whose arrival may not count, which has a reservation of its own: as the
// first arrival, it leaves the reservation to the next attempt; as a later one, it uses it.
func TestAccountWithOwnReservation(t *testing.T) {
	now := at(0)
	b := newBudgetOf(2)
	a := b.OpenAccount(now, "s")
	assert.Assert(t, !a.RecordArrivalWith(now, a.Reserve(now)))
	assert.Assert(t, a.MaySend(now))
	assert.Equal(t, a.Remaining(now), 1.0)
	assert.Assert(t, a.RecordArrivalWith(now, a.Reserve(now)))
	assert.Assert(t, a.MaySend(now))
	assert.Assert(t, a.Reserve(now) == nil)
	assert.Assert(t, a.RecordArrival(now))
	assert.Equal(t, a.Arrivals(), 3)
}
