package leastsquares

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLine(t *testing.T) {
	var s Sums
	_, ok := s.Fit()
	assert.Assert(t, !ok, "no observations")
	for x := range 10 {
		s.Add(float64(x), 5+2*float64(x), 100)
	}
	l, ok := s.Fit()
	assert.Assert(t, ok)
	assert.Assert(t, math.Abs(l.At(20)-45) < 1e-6, l)
	for range 1000 {
		s.Add(3, 7, 100)
	}
	_, ok = s.Fit()
	assert.Assert(t, !ok, "only one x is remembered")
	assert.Assert(t, math.Abs(s.ThroughOrigin().At(6)-14) < 1e-3)
	assert.Assert(t, math.Abs(s.Mean()-7) < 1e-3)
	assert.Assert(t, math.Abs(s.Weight()-100) < 1)
}
