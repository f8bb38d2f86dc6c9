package main

import "math"

// slope is the straight line through the medians of one figure, by least
// squares, with the range of sizes that it rests on.
type slope struct {
	Name      string  `json:"name"`
	Role      string  `json:"role"`
	Vary      string  `json:"vary"`
	Unit      string  `json:"unit"`
	Slope     float64 `json:"slope"`     // unit for one more of Vary
	Intercept float64 `json:"intercept"` // unit
	From      int     `json:"from"`
	To        int     `json:"to"`
	Residual  float64 `json:"residual"` // greatest distance of a median from the line
}

// What sizes count where more of it doesn't mean more work for each.
const (
	varyCallers   = "callers"
	varyOperators = "operators"
)

type slopeKey struct{ name, role, vary string }

// slopes gives one for each figure that was taken at two sizes or more, and
// grows. Rates of many callers at once are bounded by the machine: no slope.
func slopes(figures []figure) []slope {
	var order []slopeKey
	points := make(map[slopeKey][]figure)
	for _, f := range figures {
		if f.Vary == varyCallers || f.Vary == varyOperators {
			continue
		}
		key := slopeKey{f.Name, f.Role, f.Vary}
		if _, ok := points[key]; !ok {
			order = append(order, key)
		}
		points[key] = append(points[key], f)
	}
	var out []slope
	for _, key := range order {
		if list := points[key]; list[0].Size != list[len(list)-1].Size {
			out = append(out, fit(list))
		}
	}
	return out
}

func fit(points []figure) slope {
	first, last := points[0], points[len(points)-1]
	var meanX, meanY float64
	for _, p := range points {
		meanX += float64(p.Size) / float64(len(points))
		meanY += p.Median / float64(len(points))
	}
	var xy, xx float64
	for _, p := range points {
		x := float64(p.Size) - meanX
		xy += x * (p.Median - meanY)
		xx += x * x
	}
	s := slope{Name: first.Name, Role: first.Role, Vary: first.Vary, Unit: first.Unit, From: first.Size, To: last.Size}
	s.Slope = xy / xx
	s.Intercept = meanY - s.Slope*meanX
	for _, p := range points {
		s.Residual = math.Max(s.Residual, math.Abs(p.Median-s.Intercept-s.Slope*float64(p.Size)))
	}
	return s
}
