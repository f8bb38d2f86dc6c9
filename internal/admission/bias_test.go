package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Predictions are 600 ms short. The wait that is predicted just within the
// patience is over it in truth: each such request admitted is a late answer.
func TestShortPredictionsAreCorrected(t *testing.T) {
	c := New(Options{})
	r := plain()
	r.PredictedWait = 1400 * ms
	assert.Assert(t, c.Admit(start, r).Admitted)
	for range 200 {
		c.FirstToken(start, r, 2000*ms)
	}
	assert.Assert(t, !c.Admit(start, r).Admitted)
	r.PredictedWait = 900 * ms
	assert.Assert(t, c.Admit(start, r).Admitted)
}

// For a while all waits are far over their predictions, until all requests are
// refused. As none is admitted nothing new is learned; the lesson must fade, or
// the team would be refused for ever.
func TestCorrectionFades(t *testing.T) {
	c := New(Options{})
	r := plain()
	r.PredictedWait = 1000 * ms
	assert.Assert(t, c.Admit(start, r).Admitted)
	for range 1000 {
		c.FirstToken(start, r, time.Minute)
	}
	assert.Assert(t, !c.Admit(start, r).Admitted)
	assert.Assert(t, c.Admit(start.Add(time.Minute), r).Admitted)
	r.PredictedWait = 700 * ms
	assert.Assert(t, c.Admit(start, r).Admitted) // at most half the patience is added
}

func TestLongPredictionsArentShortened(t *testing.T) {
	c := New(Options{})
	r := plain()
	r.PredictedWait = 1000 * ms
	assert.Assert(t, c.Admit(start, r).Admitted)
	for range 200 {
		c.FirstToken(start, r, 0)
	}
	r.PredictedWait = 1700 * ms
	assert.Assert(t, !c.Admit(start, r).Admitted)
}
