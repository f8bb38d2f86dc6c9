package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a result as text.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "experiment %s, variant %q, %.0f s counted, offered %.0f%% of capacity, good %.1f%% of the possible\n",
		r.Experiment, r.Variant, r.Seconds, 100*r.OfferedShare, 100*r.GoodOfPossible)
	fmt.Fprintln(t, "stream\toffered/s\tgood/s\ttokens/s\tfirst p50\tp95\tp99\tin target\tgap p50\tp95\tp99\tin target\tverdicts")
	for _, s := range r.Streams {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.1f%%\t%s\n",
			s.Name, s.OfferedPerSec, s.GoodPerSec, s.TokensPerSec,
			s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99, 100*s.FirstInTarget,
			s.TokenGap.P50, s.TokenGap.P95, s.TokenGap.P99, 100*s.GapInTarget, counts(s.Verdicts))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Streams {
		writeCauses(w, s)
	}
	if a := r.Audit; a != nil {
		fmt.Fprintf(w, "audit of %d endpoints: prefill %.0f ms, wasted %.2f%%, doubled %d, not-run but ran %d, still held %d\n",
			a.Endpoints, a.PrefillMs, 100*a.WastedShare, a.Doubled, a.NotRunButRan, a.StillHeld)
	}
	_, err := fmt.Fprintf(w, "generator: sending late p99 %.2f ms, max %.1f ms, unfinished %d, processor %.1f s\n",
		r.Generator.LateP99Ms, r.Generator.LateMaxMs, r.Generator.Unfinished, r.Generator.CPUSeconds)
	return err
}

func writeCauses(w io.Writer, s StreamResult) {
	if len(s.Codes) > 0 {
		fmt.Fprintf(w, "%s codes: %s\n", s.Name, counts(s.Codes))
	}
	if len(s.Details) > 0 {
		fmt.Fprintf(w, "%s details: %s\n", s.Name, counts(s.Details))
	}
}

// counts formats a map of counts, largest first.
func counts[K ~string](m map[K]int) string {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool {
		if m[keys[a]] != m[keys[b]] {
			return m[keys[a]] > m[keys[b]]
		}
		return keys[a] < keys[b]
	})
	parts := make([]string, len(keys))
	for n, k := range keys {
		parts[n] = fmt.Sprintf("%s %d", k, m[k])
	}
	return strings.Join(parts, ", ")
}
