package fleetreport

import (
	"bytes"
	"html/template"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// legendRoom is the height of a plot over that of its highest point.
	legendRoom = 1.3
)

// draw returns a plot of series as an SVG image.
func draw(title, unit string, step time.Duration, list []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds from the first line", unit
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for n, s := range list {
		line, err := plotter.NewLine(pointsOf(s, step))
		if err != nil {
			return "", trace.Wrap(err)
		}
		line.StepStyle, line.Color, line.Dashes = plotter.PostStep, plotutil.Color(n), plotutil.Dashes(n)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Y.Max *= legendRoom
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", trace.Wrap(err)
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", trace.Wrap(err)
	}
	return template.HTML(withoutProlog(image.Bytes())), nil
}

func pointsOf(s series, step time.Duration) plotter.XYs {
	points := make(plotter.XYs, len(s.points))
	for n, y := range s.points {
		points[n] = plotter.XY{X: float64(n) * step.Seconds(), Y: y}
	}
	return points
}

// withoutProlog returns an SVG image as it may stand inside a page.
func withoutProlog(image []byte) []byte {
	if start := bytes.Index(image, []byte("<svg")); start >= 0 {
		return image[start:]
	}
	return image
}
