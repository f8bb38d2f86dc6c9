package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

// WriteTables writes one table for each experiment: the median, minimum and maximum
// of each figure for each variant. baseline names the variant that the others are
// compared with, pair by pair; if empty, none are compared.
func WriteTables(w io.Writer, results []load.Result, baseline string) error {
	groups := groupsOf(results)
	for start := 0; start < len(groups); {
		end := start
		for end < len(groups) && groups[end].experiment == groups[start].experiment {
			end++
		}
		if err := writeTable(w, groups[start:end], baseline); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func writeTable(w io.Writer, groups []group, baseline string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s\n", groups[0].experiment)
	fmt.Fprintf(t, "figure")
	for _, g := range groups {
		fmt.Fprintf(t, "\t%s (%d)", g.variant, len(g.results))
	}
	base, compared := findVariant(groups, baseline)
	for _, g := range comparedGroups(groups, baseline, compared) {
		fmt.Fprintf(t, "\t%s less %s", g.variant, baseline)
	}
	fmt.Fprintln(t)
	for _, m := range metrics {
		row := metricCells(groups, m)
		if row == "" {
			continue
		}
		fmt.Fprintf(t, "%s, %s%s", m.name, m.unit, row)
		for _, g := range comparedGroups(groups, baseline, compared) {
			fmt.Fprintf(t, "\t%s", g.differences(base, m).signed())
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func metricCells(groups []group, m metric) string {
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

func findVariant(groups []group, variant string) (group, bool) {
	for _, g := range groups {
		if variant != "" && g.variant == variant {
			return g, true
		}
	}
	return group{}, false
}

func comparedGroups(groups []group, baseline string, compared bool) []group {
	var out []group
	for _, g := range groups {
		if compared && g.variant != baseline {
			out = append(out, g)
		}
	}
	return out
}

// String returns "median [minimum, maximum]".
func (s spread) String() string {
	if s.count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g [%.4g, %.4g]", s.median, s.lowest, s.highest)
}

func (s spread) signed() string {
	if s.count == 0 {
		return "-"
	}
	return fmt.Sprintf("%+.3g [%+.3g, %+.3g]", s.median, s.lowest, s.highest)
}
