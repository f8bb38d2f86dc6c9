package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// learned has admitted a request with a predicted wait, and has seen so many
// first tokens after another one.
func learned(t *testing.T, predicted, seen time.Duration, times int) (*Control, Request) {
	t.Helper()
	c := New(Options{})
	r := plain()
	r.PredictedWait = predicted
	assert.Assert(t, c.Admit(start, r).Admitted)
	for range times {
		c.FirstToken(start, r, seen)
	}
	return c, r
}

// Predictions are 600 ms short. The wait that is predicted just within the
// patience is over it in truth: each such request admitted is a late answer.
func TestShortPredictionsAreCorrected(t *testing.T) {
	c, r := learned(t, 1400*ms, 2000*ms, 200)
	assert.Assert(t, !c.Admit(start, r).Admitted)
	r.PredictedWait = 900 * ms
	assert.Assert(t, c.Admit(start, r).Admitted)
}

// For a while all waits are far over their predictions, until all requests are
// refused. As none is admitted nothing new is learned; the lesson must fade, or
// the team would be refused for ever.
func TestCorrectionFades(t *testing.T) {
	c, r := learned(t, 1000*ms, time.Minute, 1000)
	assert.Assert(t, !c.Admit(start, r).Admitted)
	assert.Assert(t, c.Admit(start.Add(time.Minute), r).Admitted)
	r.PredictedWait = 700 * ms
	assert.Assert(t, c.Admit(start, r).Admitted) // at most half the patience is added
}

func TestLongPredictionsArentShortened(t *testing.T) {
	c, r := learned(t, 1000*ms, 0, 200)
	r.PredictedWait = 1700 * ms
	assert.Assert(t, !c.Admit(start, r).Admitted)
}
