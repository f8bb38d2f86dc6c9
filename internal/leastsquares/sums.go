// Package leastsquares fits a line to observations, of which old ones are
// forgotten. It is pure and keeps no observation.
package leastsquares

// Sums are the decayed sums of a fit. The zero value has seen nothing.
type Sums struct {
	n, x, y, xx, xy float64
}

// Line is y = Base + Slope*x.
type Line struct {
	Base, Slope float64
}

// leastSpread is the share of the x's variance in their mean square below
// which the slope counts as not determined.
const leastSpread = 1e-3

// Add takes one observation. About the last memory observations weigh.
func (s *Sums) Add(x, y, memory float64) {
	keep := 1 - 1/memory
	s.n = s.n*keep + 1
	s.x = s.x*keep + x
	s.y = s.y*keep + y
	s.xx = s.xx*keep + x*x
	s.xy = s.xy*keep + x*y
}

// Weight is the number of observations that still count.
func (s *Sums) Weight() float64 { return s.n }

// Mean gives the mean y; 0 before the first observation.
func (s *Sums) Mean() float64 { return s.y / max(1, s.n) }

// Line gives the line with the least squared error that neither falls nor
// begins below 0. ok is false where there is none, as when all x are nearly
// the same.
func (s *Sums) Line() (l Line, ok bool) {
	determinant := s.n*s.xx - s.x*s.x
	if determinant <= leastSpread*s.n*s.xx {
		return Line{}, false
	}
	l.Slope = (s.n*s.xy - s.x*s.y) / determinant
	l.Base = (s.y - l.Slope*s.x) / s.n
	return l, l.Slope > 0 && l.Base >= 0
}

// ThroughOrigin gives the line through the origin and the mean.
func (s *Sums) ThroughOrigin() Line { return Line{Slope: s.y / max(1, s.x)} }

// At gives y at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }
