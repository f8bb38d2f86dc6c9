package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// controlAfterWaits returns a Control that has admitted a request with one
// predicted wait and observed its first token after another wait, the given
// number of times.
func controlAfterWaits(t *testing.T, predicted, seen time.Duration, times int) (*Control, Request) {
	t.Helper()
	c := New(Options{})
	r := plain()
	r.PredictedWait = predicted
	assert.Assert(t, c.Admit(start, r).Admitted)
	for range times {
		c.ObserveFirstToken(start, r, seen)
	}
	return c, r
}

// Predictions are 600 ms too short. A request whose predicted wait is just within
// the patience would be answered late if it were admitted.
func TestShortPredictionsAreCorrected(t *testing.T) {
	c, r := controlAfterWaits(t, 1400*ms, 2000*ms, 200)
	assert.Assert(t, !c.Admit(start, r).Admitted)
	r.PredictedWait = 900 * ms
	assert.Assert(t, c.Admit(start, r).Admitted)
}

// All waits are far longer than predicted for a while, until all requests are
// refused. As no admitted request corrects the bias any more, it must decay, or
// the team would be refused forever.
func TestCorrectionFades(t *testing.T) {
	c, r := controlAfterWaits(t, 1000*ms, time.Minute, 1000)
	assert.Assert(t, !c.Admit(start, r).Admitted)
	assert.Assert(t, c.Admit(start.Add(time.Minute), r).Admitted)
	r.PredictedWait = 700 * ms
	assert.Assert(t, c.Admit(start, r).Admitted) // the correction is at most half the patience
}

func TestLongPredictionsArentShortened(t *testing.T) {
	c, r := controlAfterWaits(t, 1000*ms, 0, 200)
	r.PredictedWait = 1700 * ms
	assert.Assert(t, !c.Admit(start, r).Admitted)
}
