package main

import "math"

// slope is the least-squares line through the medians of one figure, with the range
// of sizes that it is fitted to.
type slope struct {
	Name      string  `json:"name"`
	Role      string  `json:"role"`
	Variable  string  `json:"vary"`
	Unit      string  `json:"unit"`
	Slope     float64 `json:"slope"`     // Unit for each additional one of Variable
	Intercept float64 `json:"intercept"` // Unit
	From      int     `json:"from"`
	To        int     `json:"to"`
	Residual  float64 `json:"residual"` // maximum distance of a median from the line, Unit
}

// Varied quantities that have no slope, since the machine limits the rates.
const (
	variableCallers   = "callers"
	variableOperators = "operators"
)

type slopeKey struct{ name, role, variable string }

// slopes returns the slope of each figure whose first and last size differ. Figures
// over callers or operators are left out, since the machine limits their rates.
func slopes(figures []figure) []slope {
	var order []slopeKey
	points := make(map[slopeKey][]figure)
	for _, f := range figures {
		if f.Variable == variableCallers || f.Variable == variableOperators {
			continue
		}
		key := slopeKey{f.Name, f.Role, f.Variable}
		if _, ok := points[key]; !ok {
			order = append(order, key)
		}
		points[key] = append(points[key], f)
	}
	var out []slope
	for _, key := range order {
		if list := points[key]; list[0].Size != list[len(list)-1].Size {
			out = append(out, fitLine(list))
		}
	}
	return out
}

func fitLine(points []figure) slope {
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
	s := slope{Name: first.Name, Role: first.Role, Variable: first.Variable, Unit: first.Unit, From: first.Size, To: last.Size}
	s.Slope = xy / xx
	s.Intercept = meanY - s.Slope*meanX
	for _, p := range points {
		s.Residual = math.Max(s.Residual, math.Abs(p.Median-s.Intercept-s.Slope*float64(p.Size)))
	}
	return s
}
