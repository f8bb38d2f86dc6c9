package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// figure is one measured quantity at one size, over all daemons and windows
// where it was taken.
type figure struct {
	Name     string  `json:"name"`
	Role     string  `json:"role"` // "leader", "control", "entry" or "fleet"
	Variable string  `json:"vary"` // the varied quantity, such as "daemons"
	Size     int     `json:"size"`
	Unit     string  `json:"unit"`
	Count    int     `json:"count"`
	Min      float64 `json:"least"`
	Median   float64 `json:"median"`
	P99      float64 `json:"p99"` // the maximum if there are fewer than 100 values
	Max      float64 `json:"most"`
}

// report holds figures in the order in which they were measured.
type report struct {
	figures []figure
}

func newReport() *report { return &report{} }

// sweepPoint is the varied quantity and its value for a measurement.
type sweepPoint struct {
	variable string
	value    int
}

// add adds the figure of a set of values, unless all are zero.
func (r *report) add(name, role, unit string, at sweepPoint, values []float64) {
	if len(values) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(values))
	if sorted[0] == 0 && sorted[len(sorted)-1] == 0 {
		return
	}
	f := figure{
		Name: name, Role: role, Unit: unit, Variable: at.variable, Size: at.value, Count: len(sorted),
		Min:    sorted[0],
		Median: quantile(sorted, 0.5),
		P99:    quantile(sorted, 0.99),
		Max:    sorted[len(sorted)-1],
	}
	r.figures = append(r.figures, f)
	fmt.Fprintf(os.Stderr, "%s=%d %s %s: %.4g %s\n", f.Variable, f.Size, f.Role, f.Name, f.Median, f.Unit)
}

// quantile returns the q-quantile of sorted values by the nearest-rank method.
func quantile(sorted []float64, q float64) float64 {
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

func (r *report) print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VARIED\tSIZE\tROLE\tFIGURE\tUNIT\tMEDIAN\tLEAST\tP99\tMOST\tCOUNT")
	for _, f := range r.figures {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%d\n",
			f.Variable, f.Size, f.Role, f.Name, f.Unit, f.Median, f.Min, f.P99, f.Max, f.Count)
	}
	_ = table.Flush()
	table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nSLOPE FOR ONE OF\tROLE\tFIGURE\tUNIT\tSLOPE\tAT NONE\tSIZES\tFARTHEST FROM LINE")
	for _, s := range slopes(r.figures) {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%d to %d\t%.3g\n",
			s.Variable, s.Role, s.Name, s.Unit, s.Slope, s.Intercept, s.From, s.To, s.Residual)
	}
	_ = table.Flush()
}

// document is the JSON form of a report.
type document struct {
	Figures []figure `json:"figures"`
	Slopes  []slope  `json:"slopes"`
}

func (r *report) write(path string) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(document{r.figures, slopes(r.figures)}, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(data, '\n'), 0o644))
}
