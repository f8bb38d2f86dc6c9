package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One leader's clock is years ahead. Under the next leader, whose clock is
// right, classes and suspects must expire in time and loads must get slots of the
// weight store without a wait of years.
func TestLeaderClockFarAhead(t *testing.T) {
	const years = 10 * 365 * 24 * time.Hour
	l := fleetWithEntries(t, 3)
	l.clockMs += years.Milliseconds()
	for _, id := range []string{"1", "2", "3"} {
		assert.Equal(t, l.order(loadOrder(id, id)).Refusal, "")
	}
	l.crash("x", 1, 1)
	l.accept("teams/sorters", 1, teamYAML("sorters", "howrah"))
	l.clockMs -= years.Milliseconds()
	assert.Equal(t, l.order(loadOrder("4", "4")).Order.DelayMs, uint64(0))
	assert.Equal(t, len(l.machine.suspects.records), 0)
	assert.Assert(t, l.group(0) != nil)
	l.advance(formerClassRecordLives * defaultRecordLife.Milliseconds())
	assert.Assert(t, l.group(0) != nil)
	assert.Equal(t, len(l.machine.formerClasses.sorted()), 1)
	l.advance(1)
	assert.Assert(t, l.group(0) == nil)
	assert.Equal(t, len(l.machine.formerClasses.sorted()), 0)
}
