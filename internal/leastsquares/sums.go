// Package leastsquares fits a line to observations, with exponentially decreasing weight
// for older ones. It keeps sums, not the observations themselves.
package leastsquares

// Sums holds the exponentially decayed sums of a fit. The zero value has no observations.
type Sums struct {
	n, x, y, xx, xy float64
}

// Line is the line y = Base + Slope*x.
type Line struct {
	Base, Slope float64
}

// minRelativeVariance is the ratio of the variance of x to its mean square at or below
// which the slope counts as undetermined.
const minRelativeVariance = 1e-3

// Add adds one observation. The weight of older ones decays so that about the last window
// observations count.
func (s *Sums) Add(x, y, window float64) {
	keep := 1 - 1/window
	s.n = s.n*keep + 1
	s.x = s.x*keep + x
	s.y = s.y*keep + y
	s.xx = s.xx*keep + x*x
	s.xy = s.xy*keep + x*y
}

// Weight returns the effective number of observations, the sum of their weights.
func (s *Sums) Weight() float64 { return s.n }

// Mean returns the weighted mean of y, or 0 before the first observation.
func (s *Sums) Mean() float64 { return s.y / max(1, s.n) }

// Fit returns the line with the least squared error. ok is false when it is undetermined,
// as when all x are nearly the same, when its slope is not positive, or when its base is
// negative.
func (s *Sums) Fit() (l Line, ok bool) {
	determinant := s.n*s.xx - s.x*s.x
	if determinant <= minRelativeVariance*s.n*s.xx {
		return Line{}, false
	}
	l.Slope = (s.n*s.xy - s.x*s.y) / determinant
	l.Base = (s.y - l.Slope*s.x) / s.n
	return l, l.Slope > 0 && l.Base >= 0
}

// ThroughOrigin returns the line through the origin and the mean.
func (s *Sums) ThroughOrigin() Line { return Line{Slope: s.y / max(1, s.x)} }

// At returns y at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }
