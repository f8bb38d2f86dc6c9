package report

import (
	"path/filepath"
	"regexp"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	markRadius = 2.5 * vg.Millimeter / 2
)

// WritePlots writes all plots of the results into a folder as files of the
// given format, "svg" or "png", and returns their names.
func WritePlots(folder, format string, results []load.Result) ([]string, error) {
	var names []string
	for _, draw := range []func([]group) ([]namedPlot, error){firstTokenCurves, goodputOverLoad, goodputOverWaste} {
		drawings, err := draw(groupsOf(results))
		if err != nil {
			return names, trace.Wrap(err)
		}
		for _, d := range drawings {
			name := filepath.Join(folder, fileName(d.name)+"."+format)
			if err := d.plot.Save(plotWidth, plotHeight, name); err != nil {
				return names, trace.ConvertSystemError(err)
			}
			names = append(names, name)
		}
	}
	return names, nil
}

// namedPlot is a plot and the name of its file.
type namedPlot struct {
	name string
	plot *plot.Plot
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	return p
}

// firstTokenCurves plots for each experiment the cumulative distribution of
// the time to the first token, one line for each run and one colour for each
// variant.
func firstTokenCurves(groups []group) ([]namedPlot, error) {
	var drawings []namedPlot
	colour := 0
	for n, g := range groups {
		if n == 0 || groups[n-1].experiment != g.experiment {
			p := newPlot(g.experiment, "time to first token, ms", "share of whole answers")
			drawings = append(drawings, namedPlot{name: "first-token-" + g.experiment, plot: p})
			colour = 0
		}
		if err := addCurves(drawings[len(drawings)-1].plot, g, colour); err != nil {
			return nil, err
		}
		colour++
	}
	return drawings, nil
}

func addCurves(p *plot.Plot, g group, colour int) error {
	named := false
	for _, r := range g.results {
		for _, s := range r.Streams {
			if len(s.FirstToken.Curve) == 0 || s.TokenGap.Count == 0 {
				continue
			}
			points := make(plotter.XYs, len(s.FirstToken.Curve))
			for n, point := range s.FirstToken.Curve {
				points[n] = plotter.XY{X: point.Ms, Y: point.Share}
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(colour)
			p.Add(line)
			if !named {
				p.Legend.Add(g.variant, line)
				named = true
			}
		}
	}
	return nil
}

// goodputOverLoad plots good work over offered work, both as shares of the
// computed capacity, one point for each run.
func goodputOverLoad(groups []group) ([]namedPlot, error) {
	p := newPlot("Goodput over offered load", "offered, % of capacity", "good, % of capacity")
	return scatterPlot("goodput-over-load", p, groups, func(r load.Result) (plotter.XY, bool) {
		return plotter.XY{X: percent * r.OfferedShare, Y: percent * r.GoodShare}, r.OfferedShare > 0
	})
}

// goodputOverWaste plots goodput over wasted prefill, one point for each run.
func goodputOverWaste(groups []group) ([]namedPlot, error) {
	p := newPlot("Goodput against wasted prefill", "wasted prefill, % of prefill work", "good, % of the possible")
	return scatterPlot("wasted-prefill", p, groups, func(r load.Result) (plotter.XY, bool) {
		waste, ok := wastedPrefill(r)
		return plotter.XY{X: waste, Y: percent * r.GoodOfPossible}, ok && r.OfferedShare > 0
	})
}

func scatterPlot(name string, p *plot.Plot, groups []group, at func(load.Result) (plotter.XY, bool)) ([]namedPlot, error) {
	byVariant := map[string]plotter.XYs{}
	var variants []string
	for _, g := range groups {
		if _, ok := byVariant[g.variant]; !ok {
			variants = append(variants, g.variant)
		}
		for _, r := range g.results {
			if point, ok := at(r); ok {
				byVariant[g.variant] = append(byVariant[g.variant], point)
			}
		}
	}
	drawn := false
	for n, v := range variants {
		if len(byVariant[v]) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(byVariant[v])
		if err != nil {
			return nil, err
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(n), plotutil.Shape(n), markRadius
		p.Add(scatter)
		p.Legend.Add(v, scatter)
		drawn = true
	}
	if !drawn {
		return nil, nil
	}
	return []namedPlot{{name: name, plot: p}}, nil
}

var invalidFileNameChars = regexp.MustCompile(`[^A-Za-z0-9._-]+`)

func fileName(name string) string { return invalidFileNameChars.ReplaceAllString(name, "-") }
