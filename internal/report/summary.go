package report

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

// group holds the runs of one variant of one experiment.
type group struct {
	experiment string
	variant    string
	results    []load.Result
}

// groupsOf sorts results into groups, by experiment and then variant.
func groupsOf(results []load.Result) []group {
	var groups []group
	index := map[[2]string]int{}
	for _, r := range results {
		key := [2]string{r.Experiment, r.Variant}
		at, ok := index[key]
		if !ok {
			at = len(groups)
			index[key] = at
			groups = append(groups, group{experiment: r.Experiment, variant: r.Variant})
		}
		groups[at].results = append(groups[at].results, r)
	}
	sort.SliceStable(groups, func(a, b int) bool {
		if groups[a].experiment != groups[b].experiment {
			return groups[a].experiment < groups[b].experiment
		}
		return groups[a].variant < groups[b].variant
	})
	return groups
}

// spread is the median and range of a set of values.
type spread struct {
	median, lowest, highest float64
	count                   int
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return spread{median: median, lowest: sorted[0], highest: sorted[len(sorted)-1], count: len(sorted)}
}

func (g group) spread(m metric) spread {
	var values []float64
	for _, r := range g.results {
		if v, ok := m.value(r); ok {
			values = append(values, v)
		}
	}
	return spreadOf(values)
}

// differences returns the spread of a metric of g minus that of base, over the
// pairs that both have run. The two runs of an interleaved pair share the
// machine's other load, so that their differences vary less than the values.
func (g group) differences(base group, m metric) spread {
	byPair := map[int]load.Result{}
	for _, r := range base.results {
		byPair[r.Pair] = r
	}
	var values []float64
	for _, r := range g.results {
		other, ok := byPair[r.Pair]
		if !ok {
			continue
		}
		value, ok := m.value(r)
		baseValue, baseOK := m.value(other)
		if ok && baseOK {
			values = append(values, value-baseValue)
		}
	}
	return spreadOf(values)
}
