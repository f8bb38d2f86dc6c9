package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

// WriteTables writes one table for each experiment: the median of each figure
// with its least and most for each variant, and against names the variant that
// the others are compared with, pair by pair; empty for none.
func WriteTables(w io.Writer, results []load.Result, against string) error {
	groups := groupsOf(results)
	for start := 0; start < len(groups); {
		end := start
		for end < len(groups) && groups[end].experiment == groups[start].experiment {
			end++
		}
		if err := writeTable(w, groups[start:end], against); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func writeTable(w io.Writer, groups []group, against string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s\n", groups[0].experiment)
	fmt.Fprintf(t, "figure")
	for _, g := range groups {
		fmt.Fprintf(t, "\t%s (%d)", g.variant, len(g.results))
	}
	base, compared := find(groups, against)
	for _, g := range others(groups, against, compared) {
		fmt.Fprintf(t, "\t%s less %s", g.variant, against)
	}
	fmt.Fprintln(t)
	for _, m := range metrics {
		row := cells(groups, m)
		if row == "" {
			continue
		}
		fmt.Fprintf(t, "%s, %s%s", m.name, m.unit, row)
		for _, g := range others(groups, against, compared) {
			fmt.Fprintf(t, "\t%s", g.differences(base, m).signed())
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func cells(groups []group, m metric) string {
	row, found := "", false
	for _, g := range groups {
		s := g.spread(m)
		found = found || s.count > 0
		row += "\t" + s.String()
	}
	if !found {
		return ""
	}
	return row
}

func find(groups []group, variant string) (group, bool) {
	for _, g := range groups {
		if variant != "" && g.variant == variant {
			return g, true
		}
	}
	return group{}, false
}

func others(groups []group, against string, compared bool) []group {
	var out []group
	for _, g := range groups {
		if compared && g.variant != against {
			out = append(out, g)
		}
	}
	return out
}

// String gives "median [least, most]".
func (s spread) String() string {
	if s.count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g [%.4g, %.4g]", s.median, s.least, s.most)
}

func (s spread) signed() string {
	if s.count == 0 {
		return "-"
	}
	return fmt.Sprintf("%+.3g [%+.3g, %+.3g]", s.median, s.least, s.most)
}
