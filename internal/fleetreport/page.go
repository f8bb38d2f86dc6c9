package fleetreport

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/gravitational/trace"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"clock": clock, "ms": milliseconds}).Parse(pageText))

// maxConfigurations is the number of configurations that the page lists.
const maxConfigurations = 20

// page is what the template shows.
type page struct {
	*Report
	Processes, Unreadable int
	Plots                 []template.HTML
	Newest                []Configuration
}

// Write writes the report as one HTML page, which needs no other file.
func (r *Report) Write(w io.Writer) error {
	p := page{Report: r, Processes: len(r.processes), Unreadable: r.unreadable, Newest: r.Configurations()}
	if len(p.Newest) > maxConfigurations {
		p.Newest = p.Newest[:maxConfigurations]
	}
	plots := []struct {
		title, unit string
		list        []series
	}{
		{"Exchanges by their end", "a second", r.load()},
		{"Refusals by reason", "a second", r.refusals()},
		{"Entries by the configuration that they hold", "entries", r.upToDate()},
	}
	for _, one := range plots {
		image, err := draw(one.title, one.unit, r.step(), one.list)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, image)
	}
	return trace.Wrap(pageTemplate.Execute(w, p))
}

func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
